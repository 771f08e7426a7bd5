package sidecar

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/config"
)

// acceptedItems returns the items of a request, which the control plane accepts.
func acceptedItems(t *testing.T, request string) []config.Item {
	t.Helper()
	items, err := config.ParseItems([]byte(request))
	assert.NilError(t, err)
	_, _, err = config.Table{}.ApplyItems(items)
	assert.NilError(t, err)
	return items
}

// routeRequest returns a request with the services s and t, and a route with this action and target.
func routeRequest(version int, action, target string) string {
	return fmt.Sprintf(`{"Upsert":{"ListenerList":[{"HostName":"h.example","PolicyRules":[{"Name":"r","RouteType":"keyed",
		"TargetLatencyS":%s,"ConfigVersion":%d,"MatchCriteria":{"PathPrefix":"/"},"ForwardAction":{%s,"RetryCount":2}}]}],
		"UpstreamGroups":[{"Name":"s","ConfigVersion":1},{"Name":"t","ConfigVersion":1}]}}`, target, version, action)
}

// Guards against a configuration that the control plane accepts and that ends each sidecar, at once and at each start. It happened with a split that
// named one service in two parts (two classes of one name), and with a time-out below a nanosecond (a class with a target of 0), of a route or of a
// policy.
func TestAcceptedConfigurationDoesNotEndSidecar(t *testing.T) {
	const plain = `"Service":"s","TimeoutS":1`
	for name, request := range map[string]string{
		"one service in both parts": routeRequest(2, `"TrafficSplit":[{"Service":"s","Weight":90},{"Service":"s","Weight":10}],"TimeoutS":1`, "0.5"),
		"one service in two of four parts, one without weight": routeRequest(2,
			`"TrafficSplit":[{"Service":"s","Weight":0},{"Service":"t","Weight":1},{"Service":"s","Weight":1},{"Service":"t","Weight":0}],"TimeoutS":1`, "0.5"),
		"time-out below a nanosecond":          routeRequest(2, `"Service":"s","TimeoutS":1e-12`, "0"),
		"target below a nanosecond":            routeRequest(2, plain, "1e-12"),
		"weights with an infinite sum":         routeRequest(2, `"TrafficSplit":[{"Service":"s","Weight":1e308},{"Service":"s","Weight":1e308}],"TimeoutS":1`, "0"),
		"policy's time-out below a nanosecond": policyRequest(`"TimeoutS":1e-12`),
	} {
		for _, known := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, pool exists=%v", name, known), func(t *testing.T) {
				s, _, _ := newFollowingSidecar(t)
				if known {
					s.configuration.mergeItems(acceptedItems(t, routeRequest(1, plain, "0.5")))
				}
				items := acceptedItems(t, request)
				s.configuration.mergeItems(items)
				s.configuration.mu.Lock()
				s.configuration.policies.table = s.configuration.items.PolicyItems()
				s.configuration.rebuildRouting()
				s.configuration.mu.Unlock()
				pool := s.pools.get("s")
				assert.Assert(t, pool != nil, "the service has no pool")
				assert.Equal(t, len(pool.classes), 1)
				assert.Assert(t, pool.classes["r"].Aim > 0 && pool.classes["r"].Deadline > 0, "%+v", pool.classes)
				route := s.configuration.routing.Load().Match("h.example", "/")
				assert.Assert(t, route.HasDestination(route.PickService(0)) && route.HasDestination(route.PickService(0.99)))
			})
		}
	}
}

// policyRequest returns a request with the service s, a route to it, and a policy with this field.
func policyRequest(field string) string {
	return fmt.Sprintf(`{"Upsert":{"ListenerList":[{"HostName":"h.example","PolicyRules":[{"Name":"r","RouteType":"keyed","ConfigVersion":2,
		"MatchCriteria":{"PathPrefix":"/"},"ForwardAction":{"Service":"s","TimeoutS":1,"RetryCount":2}}]}],
		"UpstreamGroups":[{"Name":"s","ConfigVersion":1}],
		"NamespaceList":[{"Name":"n","ConfigVersion":1,"Owners":["ana"],"Services":["s"]}],
		"RulingList":[{"Name":"p","Namespace":"n","ConfigVersion":1,%s}]}}`, field)
}

// Limits of any size are applied as limits: none becomes negative, which would close each connection at once.
func TestLimitsBeyondAnyDuration(t *testing.T) {
	s, _, _ := newFollowingSidecar(t)
	s.configuration.mergeItems(acceptedItems(t, `{"Upsert":{"Limits":{"HeaderTimeoutS":1e300,"IdleTimeoutS":1e300,"ConfigVersion":1}}}`))
	limits := s.configuration.routing.Load().Limits
	assert.Assert(t, limits.HeaderTimeoutS.Duration() > 0 && limits.IdleTimeoutS.Duration() > 0, "%+v", limits)
}

// A service whose pool can't be opened is without a pool, and does not end the sidecar.
func TestPoolThatCannotBeOpened(t *testing.T) {
	s, _, _ := newFollowingSidecar(t)
	_, err := s.pools.openService("s", nil) // a pool needs at least one class
	assert.ErrorContains(t, err, "Classes")
}
