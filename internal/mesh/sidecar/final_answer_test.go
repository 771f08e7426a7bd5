package sidecar

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/testkit"
)

// configure sends items from the control plane to all sidecars, and waits until the caller's sidecar has the named route.
func (x *callChain) configure(routeName, text string) {
	x.t.Helper()
	items, err := config.ParseItems([]byte(text))
	assert.NilError(x.t, err)
	x.controlPlane.mu.Lock()
	for conn := range x.controlPlane.conns {
		conn.Send(config.ItemsToWire(items))
	}
	x.controlPlane.mu.Unlock()
	await(x.t, func() bool { return x.near.configuration.routing.Load().Route(routeName) != nil })
}

// shortRoute is a route whose timeout is far shorter than the time budget of the tests' calls.
const (
	shortRouteTimeout = 300 * time.Millisecond
	shortRoute        = `{"Upsert":{"ListenerList":[{"HostName":"` + chainHost + `","PolicyRules":[{"Name":"short","RouteType":"idempotent",
		"TargetLatencyS":0.1,"Priority":1,"ConfigVersion":2,"MatchCriteria":{"PathPrefix":"/short/"},
		"ForwardAction":{"Service":"stock","TimeoutS":0.3,"RetryCount":3}}]}]}}`
)

// A call without a response from its server is answered within the route's timeout, even if the caller's time budget is longer.
func TestResponseWithinRouteTimeout(t *testing.T) {
	x := startCallChain(t, 1)
	x.configure("short", shortRoute)
	x.attachServer(0, func(a *arrival) bool {
		a.awaitEnd()
		return false
	})
	began := time.Now()
	answer := x.call("short", "plain", "", testkit.Limit)
	// An idempotent call may be rejected as well as timed out.
	assert.Assert(t, answer.Status == http.StatusGatewayTimeout || answer.Status == http.StatusServiceUnavailable, "%+v", answer)
	assert.Assert(t, time.Since(began) < promptTimeout, "%v", time.Since(began))
}

// The deadline of a call and the time of the engine's fallback answer are within both the route's timeout and the caller's time budget.
func TestDeadlineIsWithinTimeBudget(t *testing.T) {
	const now = time.Hour
	x := startCallChain(t, 1)
	x.configure("short", shortRoute)
	protocol := &callerProtocol{
		env: x.near.env, configuration: x.near.configuration, pools: x.near.pools, controlPlane: x.near.controlPlane, tokens: x.near.tokens,
	}
	for budget, limit := range map[string]time.Duration{
		"": shortRouteTimeout, "5000": shortRouteTimeout, "300": shortRouteTimeout, "100": 100 * time.Millisecond, "4": 4 * time.Millisecond,
		"0.5": 500 * time.Microsecond,
	} {
		request := httptest.NewRequest(http.MethodGet, "http://"+chainHost+"/short/plain", nil)
		request.Header.Set(headerAttemptID, newAttemptID())
		if budget != "" {
			request.Header.Set(headerTimeBudget, budget)
		}
		var call engine.Call
		_, rejection := protocol.ParseRequest(request, x.near.pools.get("stock").pool, "short", now, &call)
		assert.Assert(t, rejection == nil, "%+v", rejection)
		assert.Assert(t, now < call.Deadline && call.Deadline < call.FallbackAt && call.FallbackAt < now+limit,
			"budget %q: deadline after %v, fallback after %v", budget, call.Deadline-now, call.FallbackAt-now)
	}
}
