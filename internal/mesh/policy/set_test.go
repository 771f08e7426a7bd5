package policy

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// overlappingPolicies returns policies of both teams and the operator that apply to the same requests.
func overlappingPolicies() []Policy {
	return []Policy{
		{Name: "patience", ConfigVersion: 4, Namespace: "dispatch", TimeoutS: 1.5, Tries: 2},
		{
			Name: "shelter", ConfigVersion: 7, Namespace: "devicebook", TimeoutS: 1.8, Tries: 1, RetryOn: endings("refused", "broken"),
			Callers: CallerRules{Allow: []string{"send", "quota"}},
		},
		{Name: "calm", ConfigVersion: 2, Namespace: "devicebook", On: Selector{Callers: []string{"book"}}, TimeoutS: 0.5},
		{Name: "all", ConfigVersion: 1, Namespace: MeshNamespace, RetryRatio: new(float64), RetryOn: endings("refused", "failed")},
		{
			Name: "later", ConfigVersion: 1, Namespace: "devicebook", On: Selector{Services: []string{"book"}, Routes: []string{"not-yet"}},
			KeyedAgain: boolPointer(false),
		},
		{Name: "mine", ConfigVersion: 1, Namespace: "dispatch", On: Selector{Routes: []string{"send"}}, Priority: new(int)},
	}
}

func routeNamed(t *testing.T, s *Set, name string) Route {
	t.Helper()
	r, exists := s.Route(name)
	assert.Assert(t, exists, name)
	return r
}

// The owner of a route follows from its prefix, or else its host. What no namespace owns belongs to the operator.
func TestSetOwners(t *testing.T) {
	s := twoTeams()
	for route, want := range map[string]string{"send": "dispatch", "tokens": "devicebook", "quota": MeshNamespace} {
		assert.Equal(t, s.OwnerOfRoute(routeNamed(t, s, route)), want, route)
	}
	assert.Equal(t, s.OwnerOfService("quota"), "quota")
	assert.Equal(t, s.OwnerOfService("none"), MeshNamespace)
}

// ClausesFor merges the policies of all namespaces that a request concerns; the tightest clause of each field is effective.
func TestClausesForMergesPolicies(t *testing.T) {
	s := twoTeams(overlappingPolicies()...)
	assert.NilError(t, s.validate())
	for _, x := range []struct {
		name, route, service, caller string
		want                         map[Field]string // value and item
	}{
		{"another team's service", "send", "book", "", map[Field]string{
			FieldTries: "1 ruling shelter", FieldTimeout: "1.5 ruling patience", FieldRetryOn: "refused ruling shelter",
			FieldPriority: "1 route send", FieldKeyedAgain: "false ruling later", FieldAllowedCallers: "quota, send ruling shelter",
			FieldRetryRatio: "0 ruling all",
		}},
		{"the team's own service", "send", "send", "", map[Field]string{
			FieldTries: "2 ruling patience", FieldTimeout: "1.5 ruling patience", FieldRetryOn: "failed, refused ruling all",
		}},
		{"a caller with a policy", "send", "send", "book", map[Field]string{
			FieldTimeout: "0.5 ruling calm", FieldTries: "1 ruling shelter",
		}},
		{"the caller's team", "tokens", "book", "send", map[Field]string{FieldTimeout: "1.5 ruling patience"}},
		{"a namespace nested in devicebook", "quota", "quota", "", map[Field]string{
			FieldTries: "1 ruling shelter", FieldTimeout: "1 route quota", FieldAllowedCallers: "quota, send ruling shelter",
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			clauses, governed := s.ClausesFor(routeNamed(t, s, x.route), x.service, x.caller)
			assert.Assert(t, governed)
			for f, want := range x.want {
				e, _ := clauses.Effective(f)
				assert.Equal(t, e.Value()+" "+e.Source.Item, want, "%s: %v", f, e)
			}
		})
	}
}

func TestDecideForDeniedCaller(t *testing.T) {
	s := twoTeams(overlappingPolicies()...)
	send := routeNamed(t, s, "send")
	clauses, _ := s.ClausesFor(send, "book", "book")
	d := clauses.Decide(send, "book")
	assert.Equal(t, d.MaxAttempts, 1)
	assert.Equal(t, d.DeniedBy.Item, "ruling shelter")
	assert.Equal(t, d.DeniedBy.Namespace, "devicebook")
	assert.Assert(t, d.MayRetry("refused") && !d.MayRetry("broken"))
	assert.Equal(t, d.RetryRatio, 0.0)
	e, _ := clauses.Effective(FieldTimeout)
	assert.Equal(t, fmt.Sprint(e.Source, e.Overridden[0].Source),
		"ruling calm of devicebook, version 2 (as caller) ruling patience of dispatch, version 4 (as route)")
}

// Requests are governed if a namespace owns the route or a service, even without any policy.
func TestClausesForReportsGoverned(t *testing.T) {
	s := twoTeams()
	quota := routeNamed(t, s, "quota")
	_, governed := s.ClausesFor(quota, "quota", "send")
	assert.Assert(t, governed, "the owner of the route or a service may set a policy later")
	_, governed = s.ClausesFor(quota, "elsewhere", "elsewhere")
	assert.Assert(t, !governed, "no namespace owns the route or a service")
}

// Measures what a sidecar and a control-plane member compute at a change, with 10,000 routes of 200 namespaces, each with
// policies.
func BenchmarkPolicySet(b *testing.B) {
	namespaces, policies, routes := manyItems()
	before := NewSet(namespaces, policies, routes)
	b.Run("sidecar", func(b *testing.B) {
		for b.Loop() {
			s := NewSet(namespaces, policies, routes)
			for _, r := range s.Routes() {
				clauses, _ := s.ClausesFor(r, r.Services[0], "s7")
				clauses.Decide(r, "s7")
			}
		}
	})
	b.Run("member", func(b *testing.B) {
		changed := slices.Clone(policies)
		changed[0].TimeoutS, changed[0].ConfigVersion = 1, 2
		for b.Loop() {
			_, err := Evaluate(before, NewSet(namespaces, changed, routes), Change{Author: "o", Policies: []string{"team-0"}})
			assert.NilError(b, err)
		}
	})
}

// manyItems returns the items of BenchmarkPolicySet.
func manyItems() (namespaces []Namespace, policies []Policy, routes []Route) {
	const teams, routeCount = 200, 10_000
	service := func(n int) string { return fmt.Sprint("s", n%teams) }
	host := func(n int) string { return fmt.Sprintf("h%d.example", n%teams) }
	for n := range teams {
		team := fmt.Sprint("team-", n)
		namespaces = append(namespaces, Namespace{Name: team, Owners: []string{"o"}, Services: []string{service(n)}, Hosts: []string{host(n)}})
		policies = append(policies, Policy{Name: team, Namespace: team, ConfigVersion: 1, TimeoutS: 3, Tries: 2}, Policy{
			Name: team + "-callers", Namespace: team, ConfigVersion: 1,
			On: Selector{Services: []string{service(n)}}, Callers: CallerRules{Deny: []string{service(n + 1)}},
		})
	}
	for n := range routeCount {
		routes = append(routes, Route{
			Name: fmt.Sprint("r", n), Host: host(n), Prefix: fmt.Sprintf("/p%d/", n), Version: 1,
			Services: []string{service(n + n/teams)}, TimeoutS: 2, MaxAttempts: 2,
		})
	}
	return namespaces, policies, routes
}
