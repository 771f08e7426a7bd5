package policy

import (
	"slices"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// basePolicies returns the policies before the changes of these tests.
func basePolicies() []Policy {
	return []Policy{
		{
			Name: "shelter", ConfigVersion: 1, Namespace: "devicebook", On: Selector{Services: []string{"book"}}, TimeoutS: 2,
			Callers: CallerRules{Allow: []string{"send", "quota"}},
		},
		{Name: "own", ConfigVersion: 1, Namespace: "devicebook", On: Selector{Routes: []string{"tokens"}}, TimeoutS: 3},
		{
			Name: "needs", ConfigVersion: 1, Namespace: "dispatch", On: Selector{Routes: []string{"send"}}, NeedsS: 1,
			Callers: CallerRules{Need: []string{"send"}},
		},
	}
}

// withPolicy returns basePolicies with one policy added or replaced, or removed if p has no namespace.
func withPolicy(p Policy) []Policy {
	policies := slices.DeleteFunc(basePolicies(), func(o Policy) bool { return o.Name == p.Name })
	if p.Namespace != "" {
		policies = append(policies, p)
	}
	return policies
}

// evaluatePolicy evaluates a change of one policy of basePolicies.
func evaluatePolicy(author string, p Policy, consents ...string) ([]Effect, error) {
	change := Change{Author: author, Policies: []string{p.Name}, Consents: consents}
	return Evaluate(twoTeams(basePolicies()...), twoTeams(withPolicy(p)...), change)
}

// Evaluate rejects a change that makes the set inconsistent, changes an item of another owner, or contradicts or loosens another
// owner's policy. The error names the owners, the items, the route and an example of a request.
func TestEvaluateRejects(t *testing.T) {
	dispatch := func(p Policy) Policy { p.Name, p.Namespace = "x", "dispatch"; return p }
	devicebook := func(p Policy) Policy { p.Name, p.Namespace = "x", "devicebook"; return p }
	shelter := basePolicies()[0]
	shelter.ConfigVersion, shelter.Callers = 2, CallerRules{Allow: []string{"send", "quota", "other"}}
	for _, x := range []struct {
		name, author string
		policy       Policy
		consents     []string
		err          error
		text         string
	}{
		{"unknown namespace", "ana", Policy{Name: "x", Namespace: "nobody", Tries: 1}, nil, ErrInvalidSet, `"nobody" is not known`},
		{
			"selects another owner's service", "ana", dispatch(Policy{On: Selector{Services: []string{"book"}}, Tries: 1}), nil, ErrInvalidSet,
			"which is of devicebook and not of dispatch",
		},
		{
			"selects another owner's route", "ana", dispatch(Policy{On: Selector{Routes: []string{"tokens"}}, Tries: 1}), nil, ErrInvalidSet,
			"which is of devicebook",
		},
		{"another owner's namespace", "ana", devicebook(Policy{Tries: 1}), nil, ErrNotOwner, "policy x is of devicebook, and ana owns dispatch"},
		{"author without a namespace", "eve", dispatch(Policy{Tries: 1}), nil, ErrNotOwner, "eve owns nothing"},
		{"author owns only a nested namespace", "di", devicebook(Policy{Tries: 1}), nil, ErrNotOwner, "di owns quota"},
		{
			"less time than the route's owner needs", "cy", devicebook(Policy{ConfigVersion: 2, TimeoutS: 0.8}), nil, ErrConflict,
			"route send to book: less time than it needs: ruling needs of dispatch, version 1 (as route) says NeedsS 1, and " +
				"ruling x of devicebook, version 2 (as service) says TimeoutS 0.8; for example Push.example/send/, Caller-Service: (any)",
		},
		{
			"denies a required caller", "cy", devicebook(Policy{Callers: CallerRules{Deny: []string{"send"}}}), nil, ErrConflict,
			"a caller that must be let in is not: ruling needs of dispatch",
		},
		{
			"allows no caller together with another policy", "cy", devicebook(Policy{Callers: CallerRules{Allow: []string{"elsewhere"}}}), nil, ErrConflict,
			"ruling x of devicebook",
		},
		{
			"needs more time than the service allows", "ana",
			Policy{Name: "needs", ConfigVersion: 2, Namespace: "dispatch", On: Selector{Routes: []string{"send"}}, NeedsS: 2.1},
			nil, ErrConflict,
			"less time than it needs",
		},
		{
			"less time for a caller that the route names", "ana",
			dispatch(Policy{On: Selector{Callers: []string{"send"}}, TimeoutS: 0.5}), nil,
			ErrConflict, "TimeoutS 0.5; for example Push.example/send/, Caller-Service: send",
		},
		{"allows more callers without consent", "cy", shelter, nil, ErrConsentRequired, "LOOSENS route send to book, of dispatch"},
		{
			"removed without consent", "cy",
			Policy{Name: "shelter"},
			nil, ErrConsentRequired,
			"dispatch has to consent; for example Push.example/send/",
		},
		{"removed with the consent of a non-owner", "cy", Policy{Name: "shelter"}, []string{"dispatch:cy"}, ErrConsentRequired, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			effects, err := evaluatePolicy(x.author, x.policy, x.consents...)
			assert.Assert(t, errors.Is(err, x.err), "%v, %v", err, effects)
			assert.ErrorContains(t, err, x.text)
		})
	}
}

// A change that only tightens others' policies, or has consent, is accepted. Its effects name the owners concerned, including
// those of newly denied callers.
func TestEvaluateReportsEffects(t *testing.T) {
	shelter := basePolicies()[0]
	shelter.ConfigVersion, shelter.TimeoutS = 2, 4
	for _, x := range []struct {
		name, author string
		policy       Policy
		consents     []string
		text         string // part of the effects, or "" if there are none
	}{
		{"longer than the route's own timeout", "cy", shelter, nil, ""},
		{"removed with consent", "cy", Policy{Name: "shelter"}, []string{"dispatch:ana"}, "LOOSENS route send to book, of dispatch"},
		{"calls of the author's own service", "cy", Policy{Name: "y", Namespace: "devicebook", On: Selector{Callers: []string{"quota"}}, Tries: 1}, nil, ""},
		{
			"removed by the operator", "",
			Policy{Name: "shelter"},
			nil,
			"LOOSENS route send to book, of devicebook and dispatch: Callers.Allow quota, send -> -",
		},
		{
			"less time", "cy",
			Policy{Name: "x", ConfigVersion: 1, Namespace: "devicebook", TimeoutS: 1.2},
			nil,
			"tightens route send to book, of dispatch: TimeoutS 2 -> 1.2, by ruling x of devicebook",
		},
		{
			"denies a caller", "cy",
			Policy{Name: "x", Namespace: "devicebook", Callers: CallerRules{Deny: []string{"quota"}}},
			nil,
			"tightens route tokens to book, of quota: Callers.Deny - -> quota",
		},
		{
			"concerns only the author's own namespace", "cy",
			Policy{Name: "own", ConfigVersion: 2, Namespace: "devicebook", On: Selector{Routes: []string{"tokens"}}, TimeoutS: 9},
			nil, "",
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			effects, err := evaluatePolicy(x.author, x.policy, x.consents...)
			assert.NilError(t, err)
			var lines []string
			for _, e := range effects {
				lines = append(lines, e.String())
			}
			assert.Assert(t, strings.Contains(strings.Join(lines, "\n"), x.text) && (x.text != "" || len(lines) == 0), "%q", lines)
		})
	}
}

// Each two of three lists of allowed callers have a caller in common, but all three have none.
func TestEvaluateRejectsEmptyIntersectionOfAllowedCallers(t *testing.T) {
	policies := append(basePolicies(),
		Policy{Name: "x", Namespace: MeshNamespace, Callers: CallerRules{Allow: []string{"a", "send"}}},
		Policy{
			Name: "y", Namespace: "devicebook", On: Selector{Services: []string{"book"}},
			Callers: CallerRules{Allow: []string{"a", "quota"}},
		})
	_, err := Evaluate(twoTeams(basePolicies()...), twoTeams(policies...), Change{Policies: []string{"x", "y"}})
	assert.Assert(t, errors.Is(err, ErrConflict), "%v", err)
}

// A route may be changed by the owners of its host or prefix. Items of the operator may be changed by the operator only.
func TestEvaluateChecksOwnership(t *testing.T) {
	before, after := twoTeams(basePolicies()...), twoTeams(basePolicies()...)
	for _, x := range []struct {
		name    string
		change  Change
		allowed bool
	}{
		{"route of the author", Change{Author: "ana", Routes: []string{"send"}}, true},
		{"route of another owner", Change{Author: "ana", Routes: []string{"tokens"}}, false},
		{"route of the operator", Change{Author: "ana", Routes: []string{"quota"}}, false},
		{"namespace of the author", Change{Author: "ana", Namespaces: []string{"dispatch"}}, false},
		{"limits", Change{Author: "ana", Others: []string{"limits"}}, false},
		{"limits, by the operator", Change{Others: []string{"limits"}}, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			_, err := Evaluate(before, after, x.change)
			assert.Assert(t, (err == nil) == x.allowed, "%v", err)
		})
	}
}

// Namespaces must not form a cycle, be nested in unknown ones, or own the same service or prefix.
func TestEvaluateRejectsInconsistentNamespaces(t *testing.T) {
	for want, namespaces := range map[string][]Namespace{
		"a within b within a":              {{Name: "a", Within: "b"}, {Name: "b", Within: "a"}},
		`"none", which is not known`:       {{Name: "a", Within: "none"}},
		"service s is owned by a and by b": {{Name: "a", Services: []string{"s"}}, {Name: "b", Services: []string{"s"}}},
		"h.example/p/ is owned by a and by b": {
			{Name: "a", Prefixes: []HostPrefix{{"h.example", "/p/"}}},
			{Name: "b", Prefixes: []HostPrefix{{"H.example", "/p/"}}},
		},
	} {
		t.Run(want, func(t *testing.T) {
			_, err := Evaluate(NewSet(nil, nil, nil), NewSet(namespaces, nil, nil), Change{Namespaces: []string{"a"}})
			assert.ErrorContains(t, err, want)
		})
	}
}

// A namespace that still has policies can't be removed.
func TestEvaluateRejectsRemovingNamespacesWithPolicies(t *testing.T) {
	_, err := Evaluate(twoTeams(basePolicies()...), NewSet(nil, basePolicies(), nil), Change{Namespaces: []string{"dispatch", "devicebook"}})
	assert.Assert(t, errors.Is(err, ErrInvalidSet), "%v", err)
}

// A time-out that equals the time that another policy needs is not a conflict.
func TestEvaluateAcceptsTimeoutEqualToNeededTime(t *testing.T) {
	_, err := evaluatePolicy("cy", Policy{Name: "x", ConfigVersion: 1, Namespace: "devicebook", TimeoutS: 1})
	assert.NilError(t, err)
}
