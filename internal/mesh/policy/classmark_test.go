package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cranegrade/internal/mesh/validation"
)

var anyField = rapid.SampledFrom(AllFields)
var anyName = rapid.SampledFrom([]string{"a", "b", "c"})

// drawClause draws one word, its content by its source and version: one version has one content.
func drawClause(t *rapid.T) Clause {
	w := Clause{Field: anyField.Draw(t, "field"), Source: Source{Namespace: anyName.Draw(t, "namespace"), Item: anyName.Draw(t, "item"), Version: int64(rapid.IntRange(1, 3).Draw(t, "version")),
		Role: rapid.SampledFrom([]Role{RoleRouteOwner, RoleServiceOwner}).Draw(t, "role")}}
	n := len(w.Source.Namespace+w.Source.Item) + int(w.Source.Namespace[0]) + 3*int(w.Source.Item[0]) + 5*int(w.Source.Version) + 7*len(w.Field)
	if mergeKinds[w.Field] < intersection {
		w.Number = float64(n % 4)
		return w
	}
	for i, x := range []string{"a", "b", "c"} {
		if n>>i&1 == 1 {
			w.Values = append(w.Values, x)
		}
	}
	return w
}

func drawClauses(t *rapid.T, name string) (l Clauses) {
	for range rapid.IntRange(0, 8).Draw(t, name) {
		l = Merge(l, Clauses{drawClause(t)})
	}
	return l
}

// The merge is an algebra, and it only ever tightens: whatever is merged in, by whoever, nothing that held anybody back holds
// less, and no caller that was denied is let in.
func TestMergeOnlyTightens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawClauses(t, "a"), drawClauses(t, "b"), drawClauses(t, "c")
		assert.DeepEqual(t, Merge(a, b), Merge(b, a))
		assert.DeepEqual(t, Merge(Merge(a, b), c), Merge(a, Merge(b, c)))
		assert.DeepEqual(t, Merge(a, a), a)
		assert.Equal(t, Merge(a, b).Fingerprint(), Merge(Merge(b, a), b).Fingerprint())
		// Of a source that says something else now, its word before is no part of the merged rule.
		a = slices.DeleteFunc(a, func(w Clause) bool { return slices.ContainsFunc(b, w.sameOrigin) })
		both := Merge(a, b)
		for _, f := range AllFields {
			if e, changed := fieldEffect(f, a, both); changed && e.Loosens {
				t.Fatalf("%v: %v and %v", e, a, b)
			}
		}
		for _, x := range []string{"a", "b", "c", "d"} {
			_, before := a.DeniedBy(x)
			_, after := both.DeniedBy(x)
			assert.Assert(t, !before || after)
		}
		route := Route{AtMostOnce: rapid.Bool().Draw(t, "once")}
		m, n := a.Decide(route, "a"), both.Decide(route, "a")
		if h, is := a.Effective(FieldTries); is && h.Number >= 1 {
			assert.Assert(t, n.MaxAttempts <= m.MaxAttempts)
		}
		assert.Assert(t, n.RetryRatio <= m.RetryRatio && n.Priority >= m.Priority)
		for _, e := range []string{"a", "b", "c"} {
			assert.Assert(t, m.MayRetry(e) || !n.MayRetry(e))
		}
	})
}

func boolPointer(b bool) *bool { return &b }

func endings(l ...string) *[]string { return &l }

// twoTeams is two teams and the mesh's operator: sends of dispatch go to devicebook's service as well.
func twoTeams(more ...Policy) *Set {
	return NewSet([]Namespace{
		{Name: "dispatch", Owners: []string{"ana", "bo"}, Services: []string{"send"}, Hosts: []string{"push.example"}},
		{Name: "devicebook", Owners: []string{"cy"}, Services: []string{"book"}, Prefixes: []HostPrefix{{"push.example", "/tokens/"}}},
		{Name: "quota", Owners: []string{"di"}, Within: "devicebook", Services: []string{"quota"}},
	}, more, []Route{
		{Name: "send", Host: "Push.example", Prefix: "/send/", Version: 1, Services: []string{"send", "book"}, TimeoutS: 2, MaxAttempts: 3, Priority: 1, AtMostOnce: true},
		{Name: "tokens", Host: "push.example", Prefix: "/tokens/all/", Version: 1, Services: []string{"book"}, TimeoutS: 5, MaxAttempts: 2, Priority: 2},
		{Name: "quota", Host: "other.example", Prefix: "/", Version: 1, Services: []string{"quota"}, TimeoutS: 1, MaxAttempts: 2, Priority: 2},
	})
}

// Who owns what, whose words a request meets, and which of them hold.
func TestClausesMeetOnARoute(t *testing.T) {
	s := twoTeams(
		Policy{Name: "patience", ConfigVersion: 4, Namespace: "dispatch", TimeoutS: 1.5, Tries: 2},
		Policy{Name: "shelter", ConfigVersion: 7, Namespace: "devicebook", TimeoutS: 1.8, Tries: 1, RetryOn: endings("refused", "broken"), Callers: CallerRules{Allow: []string{"send", "quota"}}},
		Policy{Name: "calm", ConfigVersion: 2, Namespace: "devicebook", On: Selector{Callers: []string{"book"}}, TimeoutS: 0.5},
		Policy{Name: "all", ConfigVersion: 1, Namespace: MeshNamespace, RetryRatio: new(float64), RetryOn: endings("refused", "failed")},
		Policy{Name: "later", ConfigVersion: 1, Namespace: "devicebook", On: Selector{Services: []string{"book"}, Routes: []string{"not-yet"}}, KeyedAgain: boolPointer(false)},
		Policy{Name: "mine", ConfigVersion: 1, Namespace: "dispatch", On: Selector{Routes: []string{"send"}}, Priority: new(int)},
	)
	item, text := s.validate()
	assert.Equal(t, item+text, "")
	send, _ := s.Route("send")
	tokens, _ := s.Route("tokens")
	quota, _ := s.Route("quota")
	assert.DeepEqual(t, []string{s.OwnerOfRoute(send), s.OwnerOfRoute(tokens), s.OwnerOfRoute(quota), s.OwnerOfService("quota"), s.OwnerOfService("none")},
		[]string{"dispatch", "devicebook", MeshNamespace, "quota", MeshNamespace})
	for _, x := range []struct {
		route           Route
		service, caller string
		want            map[Field]string
	}{
		{send, "book", "", map[Field]string{FieldTries: "1 ruling shelter", FieldTimeout: "1.5 ruling patience", FieldRetryOn: "refused ruling shelter", FieldPriority: "1 route send", FieldKeyedAgain: "false ruling later", FieldAllow: "quota, send ruling shelter", FieldRetryRatio: "0 ruling all"}},
		{send, "send", "", map[Field]string{FieldTries: "2 ruling patience", FieldTimeout: "1.5 ruling patience", FieldRetryOn: "failed, refused ruling all"}},
		{send, "send", "book", map[Field]string{FieldTimeout: "0.5 ruling calm", FieldTries: "1 ruling shelter"}},
		{tokens, "book", "send", map[Field]string{FieldTimeout: "1.5 ruling patience"}},
		{quota, "quota", "", map[Field]string{FieldTries: "1 ruling shelter", FieldTimeout: "1 route quota", FieldAllow: "quota, send ruling shelter"}}, // it lies within devicebook
	} {
		words, ruled := s.ClausesFor(x.route, x.service, x.caller)
		assert.Assert(t, ruled)
		for f, want := range x.want {
			h, _ := words.Effective(f)
			assert.Equal(t, h.Value()+" "+h.Source.Item, want, "%s of %s to %s from %s: %v", f, x.route.Name, x.service, x.caller, h)
		}
	}
	words, _ := s.ClausesFor(send, "book", "book")
	m := words.Decide(send, "book")
	assert.Assert(t, m.MaxAttempts == 1 && m.DeniedBy.Item == "ruling shelter" && m.DeniedBy.Namespace == "devicebook" && m.MayRetry("refused") && !m.MayRetry("broken") && m.RetryRatio == 0)
	h, _ := words.Effective(FieldTimeout)
	assert.Equal(t, fmt.Sprint(h.Source, h.Overridden[0].Source), "ruling calm of devicebook, version 2 (as caller) ruling patience of dispatch, version 4 (as route)")
	_, ruled := twoTeams().ClausesFor(quota, "quota", "send")
	assert.Assert(t, ruled, "its owner may rule tomorrow")
	_, ruled = twoTeams().ClausesFor(quota, "elsewhere", "elsewhere")
	assert.Assert(t, !ruled, "what nobody owns holds as it is")
}

// What does not fit together, what is another's, what refuses another's rule, what loosens it: each turned down with both
// owners, both items, the route and a request. What tightens is let through and told.
func TestEvaluateChange(t *testing.T) {
	book := Selector{Services: []string{"book"}}
	base := []Policy{
		{Name: "shelter", ConfigVersion: 1, Namespace: "devicebook", On: book, TimeoutS: 2, Callers: CallerRules{Allow: []string{"send", "quota"}}},
		{Name: "own", ConfigVersion: 1, Namespace: "devicebook", On: Selector{Routes: []string{"tokens"}}, TimeoutS: 3},
		{Name: "needs", ConfigVersion: 1, Namespace: "dispatch", On: Selector{Routes: []string{"send"}}, NeedsS: 1, Callers: CallerRules{Need: []string{"send"}}},
	}
	with := func(r Policy) []Policy {
		l := slices.DeleteFunc(slices.Clone(base), func(o Policy) bool { return o.Name == r.Name })
		if r.Namespace != "" {
			l = append(l, r)
		}
		return l
	}
	for _, x := range []struct {
		by       string
		ruling   Policy
		consents []string
		err      error
		text     string // of the error, or of the effects
	}{
		{"ana", Policy{Name: "x", Namespace: "nobody", Tries: 1}, nil, ErrInvalidSet, `"nobody" is not known`},
		{"ana", Policy{Name: "x", Namespace: "dispatch", On: Selector{Services: []string{"book"}}, Tries: 1}, nil, ErrInvalidSet, "which is of devicebook and not of dispatch"},
		{"ana", Policy{Name: "x", Namespace: "dispatch", On: Selector{Routes: []string{"tokens"}}, Tries: 1}, nil, ErrInvalidSet, "which is of devicebook"},
		{"ana", Policy{Name: "x", Namespace: "devicebook", Tries: 1}, nil, ErrNotOwner, "ruling x is of devicebook, and ana owns dispatch"},
		{"eve", Policy{Name: "x", Namespace: "dispatch", Tries: 1}, nil, ErrNotOwner, "eve owns nothing"},
		{"di", Policy{Name: "x", Namespace: "devicebook", Tries: 1}, nil, ErrNotOwner, "di owns quota"},
		// It gives less time than the route's owner says it needs.
		{"cy", Policy{Name: "x", ConfigVersion: 2, Namespace: "devicebook", TimeoutS: 0.8}, nil, ErrConflict, "route send to book: less time than it needs: ruling needs of dispatch, version 1 (as route) says NeedsS 1, and " +
			"ruling x of devicebook, version 2 (as service) says TimeoutS 0.8; for example Push.example/send/, Caller-Service: (any)"},
		{"cy", Policy{Name: "x", Namespace: "devicebook", Callers: CallerRules{Deny: []string{"send"}}}, nil, ErrConflict, "a caller that must be let in is not: ruling needs of dispatch"},
		{"cy", Policy{Name: "x", Namespace: "devicebook", Callers: CallerRules{Allow: []string{"elsewhere"}}}, nil, ErrConflict, "ruling x of devicebook"},
		{"ana", Policy{Name: "needs", ConfigVersion: 2, Namespace: "dispatch", On: Selector{Routes: []string{"send"}}, NeedsS: 2.1}, nil, ErrConflict, "less time than it needs"},
		// The caller's own limit meets what the route needs, where the route names the caller.
		{"ana", Policy{Name: "x", Namespace: "dispatch", On: Selector{Callers: []string{"send"}}, TimeoutS: 0.5}, nil, ErrConflict, "TimeoutS 0.5; for example Push.example/send/, Caller-Service: send"},
		// Loosening: its own service's limit is longer than the other's route had.
		{"cy", Policy{Name: "shelter", ConfigVersion: 2, Namespace: "devicebook", On: book, TimeoutS: 4, Callers: base[0].Callers}, nil, nil, ""}, // on send the item's 2 s holds
		{"cy", Policy{Name: "shelter", ConfigVersion: 2, Namespace: "devicebook", On: book, TimeoutS: 2, Callers: CallerRules{Allow: []string{"send", "quota", "other"}}}, nil, ErrConsentRequired, "LOOSENS route send to book, of dispatch"},
		{"cy", Policy{Name: "shelter"}, nil, ErrConsentRequired, "dispatch has to consent; for example Push.example/send/"},
		{"cy", Policy{Name: "shelter"}, []string{"dispatch:cy"}, ErrConsentRequired, ""},
		{"cy", Policy{Name: "shelter"}, []string{"dispatch:ana"}, nil, "LOOSENS route send to book, of dispatch"},
		{"cy", Policy{Name: "y", Namespace: "devicebook", On: Selector{Callers: []string{"quota"}}, Tries: 1}, nil, nil, ""}, // its own calls
		{"", Policy{Name: "shelter"}, nil, nil, "LOOSENS route send to book, of devicebook and dispatch: Callers.Allow quota, send -> -"},
		// Tightening is told to whoever it concerns, those among them who may call no longer.
		{"cy", Policy{Name: "x", ConfigVersion: 1, Namespace: "devicebook", TimeoutS: 1.2}, nil, nil, "tightens route send to book, of dispatch: TimeoutS 2 -> 1.2, by ruling x of devicebook"},
		{"cy", Policy{Name: "x", Namespace: "devicebook", Callers: CallerRules{Deny: []string{"quota"}}}, nil, nil, "tightens route tokens to book, of quota: Callers.Deny - -> quota"},
		{"cy", Policy{Name: "own", ConfigVersion: 2, Namespace: "devicebook", On: Selector{Routes: []string{"tokens"}}, TimeoutS: 9}, nil, nil, ""}, // all its own
	} {
		effects, err := Evaluate(twoTeams(base...), twoTeams(with(x.ruling)...), Change{Author: x.by, Policies: []string{x.ruling.Name}, Consents: x.consents})
		if x.err != nil {
			assert.Assert(t, errors.Is(err, x.err), "%v: %v, %v", x, err, effects)
			assert.ErrorContains(t, err, x.text)
			continue
		}
		assert.NilError(t, err, "%v", x)
		var all []string
		for _, e := range effects {
			all = append(all, e.String())
		}
		assert.Assert(t, strings.Contains(strings.Join(all, "\n"), x.text) && (x.text != "" || len(all) == 0), "%v: %q", x, all)
	}
	// Three lists of callers of which each two have one in common, and all together none.
	_, err := Evaluate(twoTeams(base...), twoTeams(append(slices.Clone(base), Policy{Name: "x", Namespace: MeshNamespace, Callers: CallerRules{Allow: []string{"a", "send"}}},
		Policy{Name: "y", Namespace: "devicebook", On: Selector{Services: []string{"book"}}, Callers: CallerRules{Allow: []string{"a", "quota"}}})...), Change{Policies: []string{"x", "y"}})
	assert.Assert(t, errors.Is(err, ErrConflict), "%v", err)
	// Routes are their owners' to change, by their place; what is the mesh's is nobody else's.
	before, after := twoTeams(base...), twoTeams(base...)
	for _, x := range []struct {
		c  Change
		ok bool
	}{{Change{Author: "ana", Routes: []string{"send"}}, true}, {Change{Author: "ana", Routes: []string{"tokens"}}, false}, {Change{Author: "ana", Routes: []string{"quota"}}, false},
		{Change{Author: "ana", Namespaces: []string{"dispatch"}}, false}, {Change{Author: "ana", Others: []string{"limits"}}, false}, {Change{Others: []string{"limits"}}, true}} {
		_, err := Evaluate(before, after, x.c)
		assert.Assert(t, (err == nil) == x.ok, "%v: %v", x.c, err)
	}
	// Delegations that go round, and what two own.
	for want, l := range map[string][]Namespace{
		"a within b within a":                 {{Name: "a", Within: "b"}, {Name: "b", Within: "a"}},
		`"none", which is not known`:          {{Name: "a", Within: "none"}},
		"service s is owned by a and by b":    {{Name: "a", Services: []string{"s"}}, {Name: "b", Services: []string{"s"}}},
		"h.example/p/ is owned by a and by b": {{Name: "a", Prefixes: []HostPrefix{{"h.example", "/p/"}}}, {Name: "b", Prefixes: []HostPrefix{{"H.example", "/p/"}}}},
	} {
		_, err := Evaluate(NewSet(nil, nil, nil), NewSet(l, nil, nil), Change{Namespaces: []string{"a"}})
		assert.ErrorContains(t, err, want)
	}
	// A namespace goes only with its rulings.
	_, err = Evaluate(twoTeams(base...), NewSet(nil, base, nil), Change{Namespaces: []string{"dispatch", "devicebook"}})
	assert.Assert(t, errors.Is(err, ErrInvalidSet), "%v", err)
}

type checker interface{ Validate() *validation.Fault }

// What a namespace or a ruling says wrong by itself is named with its field.
func TestValidateNamesTheField(t *testing.T) {
	two := 2.0
	for want, x := range map[string]checker{
		"Owners":                       Namespace{Name: "a"},
		"Within is the namespace":      Namespace{Name: "a", Owners: []string{"x"}, Within: "a"},
		"Services the mesh's own":      Namespace{Name: MeshNamespace, Owners: []string{"x"}, Services: []string{"s"}},
		"Prefixes[0].PathPrefix is p":  Namespace{Name: "a", Owners: []string{"x"}, Prefixes: []HostPrefix{{"h", "p"}}},
		"the ruling says nothing":      Policy{Name: "a", Namespace: "n"},
		"RetryOn[0] is sometimes":      Policy{Name: "a", Namespace: "n", RetryOn: endings("sometimes")},
		"Callers says who may call":    Policy{Name: "a", Namespace: "n", On: Selector{Callers: []string{"c"}}, Tries: 1, Callers: CallerRules{Deny: []string{"d"}}},
		"NeedsS is 2, more than":       Policy{Name: "a", Namespace: "n", NeedsS: 2, TimeoutS: 1},
		"Callers.Need names c, whom":   Policy{Name: "a", Namespace: "n", Callers: CallerRules{Need: []string{"c"}, Deny: []string{"c"}}},
		"Tries is -1; wanted: gte 0":   Policy{Name: "a", Namespace: "n", Tries: -1},
		"RetryRatio is 2; wanted: lte": Policy{Name: "a", Namespace: "n", RetryRatio: &two},
	} {
		f := x.Validate()
		assert.Assert(t, f != nil && strings.Contains(f.Field+" "+f.Text, want), "%s: %v", want, f)
	}
	assert.Assert(t, Policy{Name: "a", Namespace: "n", Tries: 1}.Validate() == nil)
}

// Ten thousand routes of two hundred namespaces, each with rulings: what a line reckons at a change, and what a register does.
func BenchmarkPolicySet(b *testing.B) {
	var spaces []Namespace
	var rulings []Policy
	var routes []Route
	for n := range 200 {
		of := fmt.Sprint("team-", n)
		spaces = append(spaces, Namespace{Name: of, Owners: []string{"o"}, Services: []string{fmt.Sprint("s", n)}, Hosts: []string{fmt.Sprintf("h%d.example", n)}})
		rulings = append(rulings, Policy{Name: of, Namespace: of, ConfigVersion: 1, TimeoutS: 3, Tries: 2}, Policy{Name: of + "-callers", Namespace: of, ConfigVersion: 1,
			On: Selector{Services: []string{fmt.Sprint("s", n)}}, Callers: CallerRules{Deny: []string{fmt.Sprint("s", (n+1)%200)}}})
	}
	for n := range 10_000 {
		routes = append(routes, Route{Name: fmt.Sprint("r", n), Host: fmt.Sprintf("h%d.example", n%200), Prefix: fmt.Sprintf("/p%d/", n), Version: 1,
			Services: []string{fmt.Sprint("s", (n+n/200)%200)}, TimeoutS: 2, MaxAttempts: 2})
	}
	before := NewSet(spaces, rulings, routes)
	b.Run("line", func(b *testing.B) {
		for b.Loop() {
			s := NewSet(spaces, rulings, routes)
			for _, r := range s.Routes() {
				words, _ := s.ClausesFor(r, r.Services[0], "s7")
				words.Decide(r, "s7")
			}
		}
	})
	b.Run("register", func(b *testing.B) {
		changed := slices.Clone(rulings)
		changed[0].TimeoutS, changed[0].ConfigVersion = 1, 2
		for b.Loop() {
			_, err := Evaluate(before, NewSet(spaces, changed, routes), Change{Author: "o", Policies: []string{"team-0"}})
			assert.NilError(b, err)
		}
	})
}
