package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"cranegrade/internal/mesh/validation"
)

// goldenRecord is what the package decides, in order. Texts for people are hashed apart from the decisions, so that a change
// of wording shows as just that. Only values go in, and JSON as it is stored: no name of the code.
type goldenRecord struct {
	decisions, texts hash.Hash
	counts           map[string]int
}

func newGoldenRecord() *goldenRecord {
	return &goldenRecord{decisions: sha256.New(), texts: sha256.New(), counts: map[string]int{}}
}

func (g *goldenRecord) decide(values ...any) { fmt.Fprintln(g.decisions, values...) }

func (g *goldenRecord) say(text string) { fmt.Fprintf(g.texts, "%q\n", text) }

func (g *goldenRecord) count(what string) { g.counts[what]++ }

// asJSON is a value as it is stored or sent.
func asJSON(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// TestGoldenDecisions compares decisions on drawn namespaces, policies, routes, changes and two-step activations with
// testdata/golden.json.
func TestGoldenDecisions(t *testing.T) {
	type section struct {
		Decisions string         `json:"decisions"`
		Texts     string         `json:"texts"`
		Counts    map[string]int `json:"counts"`
	}
	got := map[string]section{}
	for name, play := range map[string]func(*rand.Rand, *goldenRecord){
		"checks": goldenChecks, "merged": goldenMerged,
		"changes": goldenChanges, "steps": goldenSteps,
	} {
		g := newGoldenRecord()
		for seed := range uint64(200) {
			play(rand.New(rand.NewPCG(seed, 57)), g)
		}
		got[name] = section{hex.EncodeToString(g.decisions.Sum(nil)), hex.EncodeToString(g.texts.Sum(nil)), g.counts}
	}
	text, err := json.MarshalIndent(got, "", "  ")
	assert.NilError(t, err)
	golden.Assert(t, string(text)+"\n", "golden.json")
}

func pick[T any](r *rand.Rand, values ...T) T { return values[r.IntN(len(values))] }

// some draws a subset, in order; mostly of few.
func some(r *rand.Rand, values ...string) (out []string) {
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
			Name: "quota", Owners: []string{"di", "ana"}, Within: pick(r, "devicebook", "devicebook", "devicebook", "", "", "none"),
			Services: []string{"quota"},
			Prefixes: []HostPrefix{{"Push.example", pick(r, "/tokens/all/", "/tokens/all/", "/send/", "/send/", "/tokens/")}},
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
	p := Policy{Name: name, ConfigVersion: int64(1 + r.IntN(3)), Namespace: pick(r, "dispatch", "devicebook", "quota", MeshNamespace,
		"dispatch", "devicebook", "dispatch", "devicebook", "quota")}
	if r.IntN(24) == 0 {
		p.Namespace = "nobody"
	}
	services, routes := goldenServices, []string{"send", "tokens", "quota", "later"}
	if r.IntN(12) > 0 { // what is surely its namespace's
		owned := map[string][]string{"dispatch": {"send"}, "devicebook": {"book", "book"}, "quota": {"quota"}}
		services, routes = owned[p.Namespace], []string{"later"}
		if p.Namespace == "devicebook" {
			routes = append(routes, "tokens")
		}
	}
	switch r.IntN(4) {
	case 0:
		p.On.Routes = some(r, routes...)
	case 1:
		p.On.Services = some(r, services...)
	case 2:
		p.On.Callers = some(r, services...)
	}
	if r.IntN(2) == 0 {
		p.Tries = r.IntN(4)
	}
	if r.IntN(3) == 0 {
		again := r.IntN(2) == 0
		p.KeyedAgain = &again
	}
	if r.IntN(3) == 0 {
		endings := some(r, "refused", "unreachable", "failed", "broken", "timed_out")
		p.RetryOn = &endings
	}
	if r.IntN(2) == 0 {
		p.TimeoutS = pick(r, 0.5, 1, 2, 3.5)
	}
	if r.IntN(4) == 0 {
		p.NeedsS = pick(r, 0.25, 0.75, 1.5)
	}
	if r.IntN(3) == 0 {
		ratio := pick(r, 0, 0.1, 0.5)
		p.RetryRatio = &ratio
	}
	if r.IntN(3) == 0 {
		priority := r.IntN(4)
		p.Priority = &priority
	}
	if r.IntN(3) == 0 {
		p.Callers = CallerRules{Allow: append(some(r, goldenServices...), "send"), Deny: some(r, "free"), Need: some(r, "book", "quota")}
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

// goldenChecks looks at items by themselves, and at sets of them.
func goldenChecks(r *rand.Rand, g *goldenRecord) {
	for n := range 20 {
		p := drawPolicy(r, pick(r, "x", "x", "x", ""))
		if r.IntN(8) == 0 {
			p.Tries = -1
		}
		g.fault(p.Validate())
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
		g.fault(s.Validate())
	}
	_, err := Evaluate(NewSet(nil, nil, nil), NewSet(drawNamespaces(r), drawPolicies(r, 4), goldenRoutes()), Change{})
	g.decide(errors.Is(err, ErrInvalidSet))
	if err != nil {
		g.say(err.Error())
	}
	l := drawPolicies(r, 6)
	g.decide(Fingerprint(len(l), func(n int) (string, int64, []byte) { return l[n].Name, l[n].ConfigVersion, []byte(asJSON(l[n])) }))
}

func (g *goldenRecord) fault(f *validation.Fault) {
	if f == nil {
		g.count("valid")
		g.decide("valid")
		return
	}
	g.count("invalid")
	g.decide(f.Field)
	g.say(f.Text)
}

// goldenMerged looks at merged policies, the decisions that follow and how they are told.
func goldenMerged(r *rand.Rand, g *goldenRecord) {
	s := NewSet(drawNamespaces(r), drawPolicies(r, 6), goldenRoutes())
	for _, route := range s.Routes() {
		g.decide(route.Name, s.OwnerOfRoute(route))
		for _, service := range route.Services {
			g.decide(s.OwnerOfService(service), s.OwnersOfService(service))
			for _, caller := range append([]string{""}, goldenServices...) {
				g.merged(s, route, service, caller)
			}
		}
	}
	report := s.Report()
	g.decide(asJSON(report))
	g.say(report.String())
}

func (g *goldenRecord) merged(s *Set, route Route, service, caller string) {
	clauses, governed := s.ClausesFor(route, service, caller)
	if governed {
		g.count("ruled")
	} else {
		g.count("not ruled")
	}
	decision := clauses.Decide(route, caller)
	g.decide(governed, asJSON(clauses), clauses.Fingerprint(),
		decision.Fingerprint, decision.MaxAttempts, decision.Timeout, decision.Priority,
		decision.RetryRatio, decision.RetryOn, decision.RetryOnAny)
	if decision.DeniedBy != nil {
		g.count("denied")
		g.decide("denied", asJSON(decision.DeniedBy))
		g.say(decision.DeniedBy.String())
	}
	for _, ending := range []string{"refused", "broken", "timed_out"} {
		g.decide(decision.MayRetry(ending))
	}
	x := s.Explain(route, service, caller)
	g.decide(asJSON(x))
	g.say(x.String())
}

// goldenChanges has changes evaluated.
func goldenChanges(r *rand.Rand, g *goldenRecord) {
	for range 20 {
		namespaces := drawNamespaces(r)
		policies := drawPolicies(r, 5)
		if r.IntN(2) == 0 { // of an agreed set most fit
			policies = nil
		}
		before := NewSet(namespaces, policies, goldenRoutes())
		c := Change{
			Author:   pick(r, "", "", "ana", "cy", "ana", "cy", "di", "eve"),
			Consents: some(r, "dispatch:ana", "devicebook:cy", "quota:di", "mesh:x"),
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
			g.decide(asJSON([]Clause{conflict.A, conflict.B}), conflict.Route, conflict.Service, conflict.Caller)
		case errors.Is(err, ErrNotOwner):
			kind = "foreign"
		case errors.Is(err, ErrConsentRequired):
			kind = "consent"
		}
		g.count(kind)
		if err != nil {
			g.say(err.Error())
		}
		g.decide(kind, errors.Is(err, ErrConflict), asJSON(effects))
		for _, e := range effects {
			g.say(e.String())
		}
	}
}

// drawChange draws what a change makes of policies and routes, and names it in c.
func drawChange(r *rand.Rand, policies []Policy, c *Change) ([]Policy, []Route) {
	next := append([]Policy(nil), policies...)
	routes := goldenRoutes()
	name := fmt.Sprint("ruling-", r.IntN(6))
	switch r.IntN(5) {
	case 0:
		route := &routes[r.IntN(len(routes))]
		route.Version, route.TimeoutS, route.MaxAttempts = route.Version+1, pick(r, 0.5, 4), 1+r.IntN(4)
		c.Routes = []string{route.Name}
		return next, routes
	case 1:
		if len(next) > 0 {
			c.Policies = []string{next[len(next)-1].Name}
			return next[:len(next)-1], routes
		}
	case 2:
		c.Namespaces = some(r, "dispatch", "quota")
		c.Others = some(r, "limits")
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

// goldenSteps plays the two steps of a rollout, at the leader and at three sidecars.
func goldenSteps(r *rand.Rand, g *goldenRecord) {
	var rollout Rollout
	sidecars := make([]SidecarState, 3)
	var index uint64
	var now, since time.Duration
	set := func() string { return pick(r, "", "s1", "s2", "s3") }
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
			rollout, activated = rollout.Activate(pick(r, rollout.Agreed, set()), index)
			g.decide(activated)
		case 2:
			sidecars[n] = sidecars[n].Receive(pick(r, rollout.Agreed, set()))
		case 3:
			var adopt, reload bool
			sidecars[n], adopt, reload = sidecars[n].Activate(rollout.Active, uint64(r.IntN(int(index)+2)))
			g.decide(adopt, reload)
		case 4:
			sidecars[n] = sidecars[n].Restore(rollout.Active, rollout.ActiveIndex, now-time.Second)
		case 5:
			var same bool
			sidecars[n], same = sidecars[n].Confirm(pick(r, rollout.Active, set()), rollout.ActiveIndex, rollout.Agreed,
				now-time.Duration(r.IntN(2000))*time.Millisecond)
			g.decide(same)
		}
		var reports []SidecarReport
		for i, s := range sidecars {
			reports = append(reports, SidecarReport{fmt.Sprint("line-", i), s.Received, r.IntN(8) == 0})
			g.decide(s.Received, s.Active, s.ActiveIndex, s.ConfirmedAt, s.HasPolicies, s.IsFenced(now))
		}
		ok, waitsFor := rollout.CanActivate(reports, now-since)
		if ok {
			g.count("ready")
		} else if rollout.IsPending() {
			g.count("waits")
		}
		g.decide(ok, rollout.IsPending(), asJSON(rollout))
		g.say(waitsFor)
	}
}
