package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/validation"
	"cranegrade/internal/testkit/goldenrecord"
)

// Decisions on random namespaces, policies, routes, changes and rollouts are the same as recorded in testdata/golden.json.
func TestGoldenDecisions(t *testing.T) {
	goldenrecord.Assert(t, 200, map[string]goldenrecord.Play{
		"checks": goldenChecks, "merged": goldenMerged, "changes": goldenChanges, "steps": goldenSteps,
	})
}

// drawSubset draws a subset of values, in their order. Each value is in it with a probability of one third.
func drawSubset(r *rand.Rand, values ...string) (out []string) {
	for _, v := range values {
		if r.IntN(3) == 0 {
			out = append(out, v)
		}
	}
	return out
}

var goldenServices = []string{"send", "book", "quota", "free"}

func drawNamespaces(r *rand.Rand) []Namespace {
	l := []Namespace{
		{Name: "dispatch", Owners: []string{"ana", "bo"}, Services: []string{"send"}, Hosts: []string{"push.example"}},
		{Name: "devicebook", Owners: []string{"cy"}, Services: []string{"book"}, Prefixes: []HostPrefix{{"push.example", "/tokens/"}}},
	}
	if r.IntN(4) > 0 {
		l = append(l, Namespace{
			Name: "quota", Owners: []string{"di", "ana"}, Within: goldenrecord.Pick(r, "devicebook", "devicebook", "devicebook", "", "", "none"),
			Services: []string{"quota"},
			Prefixes: []HostPrefix{{"Push.example", goldenrecord.Pick(r, "/tokens/all/", "/tokens/all/", "/send/", "/send/", "/tokens/")}},
		})
	}
	if r.IntN(16) == 0 {
		l[0].Within = "quota"
	}
	if r.IntN(16) == 0 {
		l[1].Services = append(l[1].Services, "send")
	}
	return l
}

func drawPolicy(r *rand.Rand, name string) Policy {
	p := Policy{Name: name, ConfigVersion: int64(1 + r.IntN(3)), Namespace: goldenrecord.Pick(r,
		"dispatch", "devicebook", "quota", MeshNamespace,
		"dispatch", "devicebook", "dispatch", "devicebook", "quota")}
	if r.IntN(24) == 0 {
		p.Namespace = "nobody"
	}
	services, routes := goldenServices, []string{"send", "tokens", "quota", "later"}
	if r.IntN(12) > 0 { // only what the namespace certainly owns
		owned := map[string][]string{"dispatch": {"send"}, "devicebook": {"book", "book"}, "quota": {"quota"}}
		services, routes = owned[p.Namespace], []string{"later"}
		if p.Namespace == "devicebook" {
			routes = append(routes, "tokens")
		}
	}
	switch r.IntN(4) {
	case 0:
		p.On.Routes = drawSubset(r, routes...)
	case 1:
		p.On.Services = drawSubset(r, services...)
	case 2:
		p.On.Callers = drawSubset(r, services...)
	}
	if r.IntN(2) == 0 {
		p.Tries = r.IntN(4)
	}
	if r.IntN(3) == 0 {
		again := r.IntN(2) == 0
		p.KeyedAgain = &again
	}
	if r.IntN(3) == 0 {
		endings := drawSubset(r, "refused", "unreachable", "failed", "broken", "timed_out")
		p.RetryOn = &endings
	}
	if r.IntN(2) == 0 {
		p.TimeoutS = goldenrecord.Pick(r, 0.5, 1, 2, 3.5)
	}
	if r.IntN(4) == 0 {
		p.NeedsS = goldenrecord.Pick(r, 0.25, 0.75, 1.5)
	}
	if r.IntN(3) == 0 {
		ratio := goldenrecord.Pick(r, 0, 0.1, 0.5)
		p.RetryRatio = &ratio
	}
	if r.IntN(3) == 0 {
		priority := r.IntN(4)
		p.Priority = &priority
	}
	if r.IntN(3) == 0 {
		p.Callers = CallerRules{Allow: append(drawSubset(r, goldenServices...), "send"), Deny: drawSubset(r, "free"), Need: drawSubset(r, "book", "quota")}
	}
	return p
}

func drawPolicies(r *rand.Rand, most int) (l []Policy) {
	for n := range r.IntN(most + 1) {
		l = append(l, drawPolicy(r, fmt.Sprint("ruling-", n)))
	}
	return l
}

func goldenRoutes() []Route {
	return []Route{
		{
			Name: "send", Host: "Push.example", Prefix: "/send/", Version: 1, Services: []string{"send", "book"},
			TimeoutS: 2, MaxAttempts: 3, Priority: 1, AtMostOnce: true,
		},
		{
			Name: "tokens", Host: "push.example", Prefix: "/tokens/all/", Version: 1, Services: []string{"book"},
			TimeoutS: 5, MaxAttempts: 2, Priority: 2,
		},
		{
			Name: "quota", Host: "other.example", Prefix: "/", Version: 4, Services: []string{"quota", "free"},
			TimeoutS: 1, MaxAttempts: 2, Priority: 2,
		},
	}
}

// goldenChecks records the validation of single items and of sets, and the fingerprints of sets.
func goldenChecks(r *rand.Rand, g *goldenrecord.Record) {
	for n := range 20 {
		p := drawPolicy(r, goldenrecord.Pick(r, "x", "x", "x", ""))
		if r.IntN(8) == 0 {
			p.Tries = -1
		}
		recordFault(g, p.Validate())
		l := drawNamespaces(r)
		s := l[n%len(l)]
		switch r.IntN(6) {
		case 0:
			s.Owners = nil
		case 1:
			s.Within = s.Name
		case 2:
			s.Name = MeshNamespace
		case 3:
			s.Prefixes = []HostPrefix{{"h", "p"}}
		}
		recordFault(g, s.Validate())
	}
	_, err := Evaluate(NewSet(nil, nil, nil), NewSet(drawNamespaces(r), drawPolicies(r, 4), goldenRoutes()), Change{})
	g.Decide(errors.Is(err, ErrInvalidSet))
	if err != nil {
		g.Say(err.Error())
	}
	l := drawPolicies(r, 6)
	g.Decide(Fingerprint(len(l), func(n int) (string, int64, []byte) {
		return l[n].Name, l[n].ConfigVersion, []byte(goldenrecord.JSON(l[n]))
	}))
}

func recordFault(g *goldenrecord.Record, f *validation.Fault) {
	if f == nil {
		g.Count("valid")
		g.Decide("valid")
		return
	}
	g.Count("invalid")
	g.Decide(f.Field)
	g.Say(f.Text)
}

// goldenMerged records merged policies, the decisions that follow from them, and their explanations.
func goldenMerged(r *rand.Rand, g *goldenrecord.Record) {
	s := NewSet(drawNamespaces(r), drawPolicies(r, 6), goldenRoutes())
	for _, route := range s.Routes() {
		g.Decide(route.Name, s.OwnerOfRoute(route))
		for _, service := range route.Services {
			g.Decide(s.OwnerOfService(service), s.OwnersOfService(service))
			for _, caller := range append([]string{""}, goldenServices...) {
				recordMerged(g, s, route, service, caller)
			}
		}
	}
	report := s.Report()
	g.Decide(goldenrecord.JSON(report))
	g.Say(report.String())
}

// recordMerged records the merged policy for a caller's requests on a route to a service.
func recordMerged(g *goldenrecord.Record, s *Set, route Route, service, caller string) {
	clauses, governed := s.ClausesFor(route, service, caller)
	if governed {
		g.Count("ruled")
	} else {
		g.Count("not ruled")
	}
	decision := clauses.Decide(route, caller)
	g.Decide(governed, goldenrecord.JSON(clauses), clauses.Fingerprint(),
		decision.Fingerprint, decision.MaxAttempts, decision.Timeout, decision.Priority,
		decision.RetryRatio, decision.RetryOn, decision.RetryOnAny)
	if decision.DeniedBy != nil {
		g.Count("denied")
		g.Decide("denied", goldenrecord.JSON(decision.DeniedBy))
		g.Say(decision.DeniedBy.String())
	}
	for _, ending := range []string{"refused", "broken", "timed_out"} {
		g.Decide(decision.MayRetry(ending))
	}
	x := s.Explain(route, service, caller)
	g.Decide(goldenrecord.JSON(x))
	g.Say(x.String())
}

// goldenChanges records the results of evaluating changes.
func goldenChanges(r *rand.Rand, g *goldenrecord.Record) {
	for range 20 {
		namespaces := drawNamespaces(r)
		policies := drawPolicies(r, 5)
		if r.IntN(2) == 0 { // without former policies, more changes are accepted
			policies = nil
		}
		before := NewSet(namespaces, policies, goldenRoutes())
		c := Change{
			Author:   goldenrecord.Pick(r, "", "", "ana", "cy", "ana", "cy", "di", "eve"),
			Consents: drawSubset(r, "dispatch:ana", "devicebook:cy", "quota:di", "mesh:x"),
		}
		next, routes := drawChange(r, policies, &c)
		after := NewSet(namespaces, next, routes)
		effects, err := Evaluate(before, after, c)
		kind := "other"
		var conflict *Conflict
		switch {
		case err == nil:
			kind = "taken"
		case errors.Is(err, ErrInvalidSet):
			kind = "unfit"
		case errors.As(err, &conflict):
			kind = "conflict"
			g.Decide(goldenrecord.JSON([]Clause{conflict.A, conflict.B}), conflict.Route, conflict.Service, conflict.Caller)
		case errors.Is(err, ErrNotOwner):
			kind = "foreign"
		case errors.Is(err, ErrConsentRequired):
			kind = "consent"
		}
		g.Count(kind)
		if err != nil {
			g.Say(err.Error())
		}
		g.Decide(kind, errors.Is(err, ErrConflict), goldenrecord.JSON(effects))
		for _, e := range effects {
			g.Say(e.String())
		}
	}
}

// drawChange draws the policies and routes after a change, and adds the changed items to c.
func drawChange(r *rand.Rand, policies []Policy, c *Change) ([]Policy, []Route) {
	next := append([]Policy(nil), policies...)
	routes := goldenRoutes()
	name := fmt.Sprint("ruling-", r.IntN(6))
	switch r.IntN(5) {
	case 0:
		route := &routes[r.IntN(len(routes))]
		route.Version, route.TimeoutS, route.MaxAttempts = route.Version+1, goldenrecord.Pick(r, 0.5, 4), 1+r.IntN(4)
		c.Routes = []string{route.Name}
		return next, routes
	case 1:
		if len(next) > 0 {
			c.Policies = []string{next[len(next)-1].Name}
			return next[:len(next)-1], routes
		}
	case 2:
		c.Namespaces = drawSubset(r, "dispatch", "quota")
		c.Others = drawSubset(r, "limits")
	}
	p := drawPolicy(r, name)
	p.ConfigVersion += 3
	c.Policies = append(c.Policies, name)
	for n := range next {
		if next[n].Name == name {
			next[n] = p
			return next, routes
		}
	}
	return append(next, p), routes
}

// goldenSteps records the two steps of a rollout at the leader and at three sidecars.
func goldenSteps(r *rand.Rand, g *goldenrecord.Record) {
	var rollout Rollout
	sidecars := make([]SidecarState, 3)
	var index uint64
	var now, since time.Duration
	set := func() string { return goldenrecord.Pick(r, "", "s1", "s2", "s3") }
	for range 60 {
		now += time.Duration(r.IntN(1500)) * time.Millisecond
		n := r.IntN(len(sidecars))
		switch r.IntN(7) {
		case 0:
			index++
			rollout, since = rollout.Agree(set(), index), now
		case 1:
			index++
			var activated bool
			rollout, activated = rollout.Activate(goldenrecord.Pick(r, rollout.Agreed, set()), index)
			g.Decide(activated)
		case 2:
			sidecars[n] = sidecars[n].Receive(goldenrecord.Pick(r, rollout.Agreed, set()))
		case 3:
			var adopt, reload bool
			sidecars[n], adopt, reload = sidecars[n].Activate(rollout.Active, uint64(r.IntN(int(index)+2)))
			g.Decide(adopt, reload)
		case 4:
			sidecars[n] = sidecars[n].Restore(rollout.Active, rollout.ActiveIndex, now-time.Second)
		case 5:
			var same bool
			sidecars[n], same = sidecars[n].Confirm(goldenrecord.Pick(r, rollout.Active, set()), rollout.ActiveIndex, rollout.Agreed,
				now-time.Duration(r.IntN(2000))*time.Millisecond)
			g.Decide(same)
		}
		var reports []SidecarReport
		for i, s := range sidecars {
			reports = append(reports, SidecarReport{fmt.Sprint("line-", i), s.Received, r.IntN(8) == 0})
			g.Decide(s.Received, s.Active, s.ActiveIndex, s.ConfirmedAt, s.HasPolicies, s.IsFenced(now))
		}
		ok, waitsFor := rollout.CanActivate(reports, now-since)
		if ok {
			g.Count("ready")
		} else if rollout.IsPending() {
			g.Count("waits")
		}
		g.Decide(ok, rollout.IsPending(), goldenrecord.JSON(rollout))
		g.Say(waitsFor)
	}
}
