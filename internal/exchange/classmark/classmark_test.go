package classmark

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hollyspur/internal/exchange/jack"
)

var fields = rapid.SampledFrom(Fields)
var names = rapid.SampledFrom([]string{"a", "b", "c"})

// word draws one word, its content by its source and version: one version has one content.
func word(t *rapid.T) Word {
	w := Word{Field: fields.Draw(t, "field"), From: Source{Namespace: names.Draw(t, "namespace"), Item: names.Draw(t, "item"), Version: int64(rapid.IntRange(1, 3).Draw(t, "version")),
		Role: rapid.SampledFrom([]Role{OfRoute, OfService}).Draw(t, "role")}}
	n := len(w.From.Namespace+w.From.Item) + int(w.From.Namespace[0]) + 3*int(w.From.Item[0]) + 5*int(w.From.Version) + 7*len(w.Field)
	if kinds[w.Field] < inAll {
		w.Num = float64(n % 4)
		return w
	}
	for i, x := range []string{"a", "b", "c"} {
		if n>>i&1 == 1 {
			w.Set = append(w.Set, x)
		}
	}
	return w
}

func words(t *rapid.T, name string) (l Words) {
	for range rapid.IntRange(0, 8).Draw(t, name) {
		l = Merge(l, Words{word(t)})
	}
	return l
}

// The merge is an algebra, and it only ever tightens: whatever is merged in, by whoever, nothing that held anybody back holds
// less, and no caller that was denied is let in.
func TestAlgebra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := words(t, "a"), words(t, "b"), words(t, "c")
		assert.DeepEqual(t, Merge(a, b), Merge(b, a))
		assert.DeepEqual(t, Merge(Merge(a, b), c), Merge(a, Merge(b, c)))
		assert.DeepEqual(t, Merge(a, a), a)
		assert.Equal(t, Merge(a, b).Print(), Merge(Merge(b, a), b).Print())
		// Of a source that says something else now, its word before is no part of the merged rule.
		a = slices.DeleteFunc(a, func(w Word) bool { return slices.ContainsFunc(b, w.says) })
		both := Merge(a, b)
		for _, f := range Fields {
			if e, changed := effect(f, a, both); changed && e.Loosens {
				t.Fatalf("%v: %v and %v", e, a, b)
			}
		}
		for _, x := range []string{"a", "b", "c", "d"} {
			_, before := a.Denies(x)
			_, after := both.Denies(x)
			assert.Assert(t, !before || after)
		}
		route := Route{Once: rapid.Bool().Draw(t, "once")}
		m, n := a.Mark(route, "a"), both.Mark(route, "a")
		if h, is := a.Field(Tries); is && h.Num >= 1 {
			assert.Assert(t, n.Tries <= m.Tries)
		}
		assert.Assert(t, n.Ratio <= m.Ratio && n.Priority >= m.Priority)
		for _, e := range []string{"a", "b", "c"} {
			assert.Assert(t, m.Again(e) || !n.Again(e))
		}
	})
}

func yes(b bool) *bool { return &b }

func on(l ...string) *[]string { return &l }

// shop is two teams and the mesh's operator: sends of dispatch go to devicebook's service as well.
func shop(more ...Ruling) *Set {
	return NewSet([]Namespace{
		{Name: "dispatch", Owners: []string{"ana", "bo"}, Services: []string{"send"}, Hosts: []string{"push.example"}},
		{Name: "devicebook", Owners: []string{"cy"}, Services: []string{"book"}, Prefixes: []Place{{"push.example", "/tokens/"}}},
		{Name: "quota", Owners: []string{"di"}, Within: "devicebook", Services: []string{"quota"}},
	}, more, []Route{
		{Name: "send", Host: "Push.example", Prefix: "/send/", Version: 1, Services: []string{"send", "book"}, TimeoutS: 2, Tries: 3, Priority: 1, Once: true},
		{Name: "tokens", Host: "push.example", Prefix: "/tokens/all/", Version: 1, Services: []string{"book"}, TimeoutS: 5, Tries: 2, Priority: 2},
		{Name: "quota", Host: "other.example", Prefix: "/", Version: 1, Services: []string{"quota"}, TimeoutS: 1, Tries: 2, Priority: 2},
	})
}

// Who owns what, whose words a request meets, and which of them hold.
func TestMerged(t *testing.T) {
	s := shop(
		Ruling{Name: "patience", ConfigVersion: 4, Namespace: "dispatch", TimeoutS: 1.5, Tries: 2},
		Ruling{Name: "shelter", ConfigVersion: 7, Namespace: "devicebook", TimeoutS: 1.8, Tries: 1, RetryOn: on("refused", "broken"), Callers: Callers{Allow: []string{"send", "quota"}}},
		Ruling{Name: "calm", ConfigVersion: 2, Namespace: "devicebook", On: On{Callers: []string{"book"}}, TimeoutS: 0.5},
		Ruling{Name: "all", ConfigVersion: 1, Namespace: Mesh, RetryRatio: new(float64), RetryOn: on("refused", "failed")},
		Ruling{Name: "later", ConfigVersion: 1, Namespace: "devicebook", On: On{Services: []string{"book"}, Routes: []string{"not-yet"}}, KeyedAgain: yes(false)},
		Ruling{Name: "mine", ConfigVersion: 1, Namespace: "dispatch", On: On{Routes: []string{"send"}}, Priority: new(int)},
	)
	item, text := s.Check()
	assert.Equal(t, item+text, "")
	send, _ := s.Route("send")
	tokens, _ := s.Route("tokens")
	quota, _ := s.Route("quota")
	assert.DeepEqual(t, []string{s.OwnerOfRoute(send), s.OwnerOfRoute(tokens), s.OwnerOfRoute(quota), s.OwnerOfService("quota"), s.OwnerOfService("none")},
		[]string{"dispatch", "devicebook", Mesh, "quota", Mesh})
	for _, x := range []struct {
		route           Route
		service, caller string
		want            map[Field]string
	}{
		{send, "book", "", map[Field]string{Tries: "1 ruling shelter", Timeout: "1.5 ruling patience", RetryOn: "refused ruling shelter", Priority: "1 route send", Keyed: "false ruling later", Allow: "quota, send ruling shelter", Ratio: "0 ruling all"}},
		{send, "send", "", map[Field]string{Tries: "2 ruling patience", Timeout: "1.5 ruling patience", RetryOn: "failed, refused ruling all"}},
		{send, "send", "book", map[Field]string{Timeout: "0.5 ruling calm", Tries: "1 ruling shelter"}},
		{tokens, "book", "send", map[Field]string{Timeout: "1.5 ruling patience"}},
		{quota, "quota", "", map[Field]string{Tries: "1 ruling shelter", Timeout: "1 route quota", Allow: "quota, send ruling shelter"}}, // it lies within devicebook
	} {
		words, ruled := s.Words(x.route, x.service, x.caller)
		assert.Assert(t, ruled)
		for f, want := range x.want {
			h, _ := words.Field(f)
			assert.Equal(t, h.Value()+" "+h.From.Item, want, "%s of %s to %s from %s: %v", f, x.route.Name, x.service, x.caller, h)
		}
	}
	words, _ := s.Words(send, "book", "book")
	m := words.Mark(send, "book")
	assert.Assert(t, m.Tries == 1 && m.Denied.Item == "ruling shelter" && m.Denied.Namespace == "devicebook" && m.Again("refused") && !m.Again("broken") && m.Ratio == 0)
	h, _ := words.Field(Timeout)
	assert.Equal(t, fmt.Sprint(h.From, h.Over[0].From), "ruling calm of devicebook, version 2 (as caller) ruling patience of dispatch, version 4 (as route)")
	_, ruled := shop().Words(quota, "quota", "send")
	assert.Assert(t, ruled, "its owner may rule tomorrow")
	_, ruled = shop().Words(quota, "elsewhere", "elsewhere")
	assert.Assert(t, !ruled, "what nobody owns holds as it is")
}

// What does not fit together, what is another's, what refuses another's rule, what loosens it: each turned down with both
// owners, both items, the route and a request. What tightens is let through and told.
func TestJudge(t *testing.T) {
	book := On{Services: []string{"book"}}
	base := []Ruling{
		{Name: "shelter", ConfigVersion: 1, Namespace: "devicebook", On: book, TimeoutS: 2, Callers: Callers{Allow: []string{"send", "quota"}}},
		{Name: "own", ConfigVersion: 1, Namespace: "devicebook", On: On{Routes: []string{"tokens"}}, TimeoutS: 3},
		{Name: "needs", ConfigVersion: 1, Namespace: "dispatch", On: On{Routes: []string{"send"}}, NeedsS: 1, Callers: Callers{Need: []string{"send"}}},
	}
	with := func(r Ruling) []Ruling {
		l := slices.DeleteFunc(slices.Clone(base), func(o Ruling) bool { return o.Name == r.Name })
		if r.Namespace != "" {
			l = append(l, r)
		}
		return l
	}
	for _, x := range []struct {
		by       string
		ruling   Ruling
		consents []string
		err      error
		text     string // of the error, or of the effects
	}{
		{"ana", Ruling{Name: "x", Namespace: "nobody", Tries: 1}, nil, ErrUnfit, `"nobody" is not known`},
		{"ana", Ruling{Name: "x", Namespace: "dispatch", On: On{Services: []string{"book"}}, Tries: 1}, nil, ErrUnfit, "which is of devicebook and not of dispatch"},
		{"ana", Ruling{Name: "x", Namespace: "dispatch", On: On{Routes: []string{"tokens"}}, Tries: 1}, nil, ErrUnfit, "which is of devicebook"},
		{"ana", Ruling{Name: "x", Namespace: "devicebook", Tries: 1}, nil, ErrForeign, "ruling x is of devicebook, and ana owns dispatch"},
		{"eve", Ruling{Name: "x", Namespace: "dispatch", Tries: 1}, nil, ErrForeign, "eve owns nothing"},
		{"di", Ruling{Name: "x", Namespace: "devicebook", Tries: 1}, nil, ErrForeign, "di owns quota"},
		// It gives less time than the route's owner says it needs.
		{"cy", Ruling{Name: "x", ConfigVersion: 2, Namespace: "devicebook", TimeoutS: 0.8}, nil, ErrConflict, "route send to book: less time than it needs: ruling needs of dispatch, version 1 (as route) says NeedsS 1, and " +
			"ruling x of devicebook, version 2 (as service) says TimeoutS 0.8; for example Push.example/send/, Caller-Service: (any)"},
		{"cy", Ruling{Name: "x", Namespace: "devicebook", Callers: Callers{Deny: []string{"send"}}}, nil, ErrConflict, "a caller that must be let in is not: ruling needs of dispatch"},
		{"cy", Ruling{Name: "x", Namespace: "devicebook", Callers: Callers{Allow: []string{"elsewhere"}}}, nil, ErrConflict, "ruling x of devicebook"},
		{"ana", Ruling{Name: "needs", ConfigVersion: 2, Namespace: "dispatch", On: On{Routes: []string{"send"}}, NeedsS: 2.1}, nil, ErrConflict, "less time than it needs"},
		// The caller's own limit meets what the route needs, where the route names the caller.
		{"ana", Ruling{Name: "x", Namespace: "dispatch", On: On{Callers: []string{"send"}}, TimeoutS: 0.5}, nil, ErrConflict, "TimeoutS 0.5; for example Push.example/send/, Caller-Service: send"},
		// Loosening: its own service's limit is longer than the other's route had.
		{"cy", Ruling{Name: "shelter", ConfigVersion: 2, Namespace: "devicebook", On: book, TimeoutS: 4, Callers: base[0].Callers}, nil, nil, ""}, // on send the item's 2 s holds
		{"cy", Ruling{Name: "shelter", ConfigVersion: 2, Namespace: "devicebook", On: book, TimeoutS: 2, Callers: Callers{Allow: []string{"send", "quota", "other"}}}, nil, ErrConsent, "LOOSENS route send to book, of dispatch"},
		{"cy", Ruling{Name: "shelter"}, nil, ErrConsent, "dispatch has to consent; for example Push.example/send/"},
		{"cy", Ruling{Name: "shelter"}, []string{"dispatch:cy"}, ErrConsent, ""},
		{"cy", Ruling{Name: "shelter"}, []string{"dispatch:ana"}, nil, "LOOSENS route send to book, of dispatch"},
		{"cy", Ruling{Name: "y", Namespace: "devicebook", On: On{Callers: []string{"quota"}}, Tries: 1}, nil, nil, ""}, // its own calls
		{"", Ruling{Name: "shelter"}, nil, nil, "LOOSENS route send to book, of devicebook and dispatch: Callers.Allow quota, send -> -"},
		// Tightening is told to whoever it concerns, those among them who may call no longer.
		{"cy", Ruling{Name: "x", ConfigVersion: 1, Namespace: "devicebook", TimeoutS: 1.2}, nil, nil, "tightens route send to book, of dispatch: TimeoutS 2 -> 1.2, by ruling x of devicebook"},
		{"cy", Ruling{Name: "x", Namespace: "devicebook", Callers: Callers{Deny: []string{"quota"}}}, nil, nil, "tightens route tokens to book, of quota: Callers.Deny - -> quota"},
		{"cy", Ruling{Name: "own", ConfigVersion: 2, Namespace: "devicebook", On: On{Routes: []string{"tokens"}}, TimeoutS: 9}, nil, nil, ""}, // all its own
	} {
		effects, err := Judge(shop(base...), shop(with(x.ruling)...), Change{By: x.by, Rulings: []string{x.ruling.Name}, Consents: x.consents})
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
	_, err := Judge(shop(base...), shop(append(slices.Clone(base), Ruling{Name: "x", Namespace: Mesh, Callers: Callers{Allow: []string{"a", "send"}}},
		Ruling{Name: "y", Namespace: "devicebook", On: On{Services: []string{"book"}}, Callers: Callers{Allow: []string{"a", "quota"}}})...), Change{Rulings: []string{"x", "y"}})
	assert.Assert(t, errors.Is(err, ErrConflict), "%v", err)
	// Routes are their owners' to change, by their place; what is the mesh's is nobody else's.
	before, after := shop(base...), shop(base...)
	for _, x := range []struct {
		c  Change
		ok bool
	}{{Change{By: "ana", Routes: []string{"send"}}, true}, {Change{By: "ana", Routes: []string{"tokens"}}, false}, {Change{By: "ana", Routes: []string{"quota"}}, false},
		{Change{By: "ana", Spaces: []string{"dispatch"}}, false}, {Change{By: "ana", Others: []string{"limits"}}, false}, {Change{Others: []string{"limits"}}, true}} {
		_, err := Judge(before, after, x.c)
		assert.Assert(t, (err == nil) == x.ok, "%v: %v", x.c, err)
	}
	// Delegations that go round, and what two own.
	for want, l := range map[string][]Namespace{
		"a within b within a":                 {{Name: "a", Within: "b"}, {Name: "b", Within: "a"}},
		`"none", which is not known`:          {{Name: "a", Within: "none"}},
		"service s is owned by a and by b":    {{Name: "a", Services: []string{"s"}}, {Name: "b", Services: []string{"s"}}},
		"h.example/p/ is owned by a and by b": {{Name: "a", Prefixes: []Place{{"h.example", "/p/"}}}, {Name: "b", Prefixes: []Place{{"H.example", "/p/"}}}},
	} {
		_, err := Judge(NewSet(nil, nil, nil), NewSet(l, nil, nil), Change{Spaces: []string{"a"}})
		assert.ErrorContains(t, err, want)
	}
	// A namespace goes only with its rulings.
	_, err = Judge(shop(base...), NewSet(nil, base, nil), Change{Spaces: []string{"dispatch", "devicebook"}})
	assert.Assert(t, errors.Is(err, ErrUnfit), "%v", err)
}

type checker interface{ Check() *jack.Fault }

// What a namespace or a ruling says wrong by itself is named with its field.
func TestMistakes(t *testing.T) {
	two := 2.0
	for want, x := range map[string]checker{
		"Owners":                       Namespace{Name: "a"},
		"Within is the namespace":      Namespace{Name: "a", Owners: []string{"x"}, Within: "a"},
		"Services the mesh's own":      Namespace{Name: Mesh, Owners: []string{"x"}, Services: []string{"s"}},
		"Prefixes[0].PathPrefix is p":  Namespace{Name: "a", Owners: []string{"x"}, Prefixes: []Place{{"h", "p"}}},
		"the ruling says nothing":      Ruling{Name: "a", Namespace: "n"},
		"RetryOn[0] is sometimes":      Ruling{Name: "a", Namespace: "n", RetryOn: on("sometimes")},
		"Callers says who may call":    Ruling{Name: "a", Namespace: "n", On: On{Callers: []string{"c"}}, Tries: 1, Callers: Callers{Deny: []string{"d"}}},
		"NeedsS is 2, more than":       Ruling{Name: "a", Namespace: "n", NeedsS: 2, TimeoutS: 1},
		"Callers.Need names c, whom":   Ruling{Name: "a", Namespace: "n", Callers: Callers{Need: []string{"c"}, Deny: []string{"c"}}},
		"Tries is -1; wanted: gte 0":   Ruling{Name: "a", Namespace: "n", Tries: -1},
		"RetryRatio is 2; wanted: lte": Ruling{Name: "a", Namespace: "n", RetryRatio: &two},
	} {
		f := x.Check()
		assert.Assert(t, f != nil && strings.Contains(f.Field+" "+f.Text, want), "%s: %v", want, f)
	}
	assert.Assert(t, Ruling{Name: "a", Namespace: "n", Tries: 1}.Check() == nil)
}

// Ten thousand routes of two hundred namespaces, each with rulings: what a line reckons at a change, and what a register does.
func BenchmarkSet(b *testing.B) {
	var spaces []Namespace
	var rulings []Ruling
	var routes []Route
	for n := range 200 {
		of := fmt.Sprint("team-", n)
		spaces = append(spaces, Namespace{Name: of, Owners: []string{"o"}, Services: []string{fmt.Sprint("s", n)}, Hosts: []string{fmt.Sprintf("h%d.example", n)}})
		rulings = append(rulings, Ruling{Name: of, Namespace: of, ConfigVersion: 1, TimeoutS: 3, Tries: 2}, Ruling{Name: of + "-callers", Namespace: of, ConfigVersion: 1,
			On: On{Services: []string{fmt.Sprint("s", n)}}, Callers: Callers{Deny: []string{fmt.Sprint("s", (n+1)%200)}}})
	}
	for n := range 10_000 {
		routes = append(routes, Route{Name: fmt.Sprint("r", n), Host: fmt.Sprintf("h%d.example", n%200), Prefix: fmt.Sprintf("/p%d/", n), Version: 1,
			Services: []string{fmt.Sprint("s", (n+n/200)%200)}, TimeoutS: 2, Tries: 2})
	}
	before := NewSet(spaces, rulings, routes)
	b.Run("line", func(b *testing.B) {
		for b.Loop() {
			s := NewSet(spaces, rulings, routes)
			for _, r := range s.Routes() {
				words, _ := s.Words(r, r.Services[0], "s7")
				words.Mark(r, "s7")
			}
		}
	})
	b.Run("register", func(b *testing.B) {
		changed := slices.Clone(rulings)
		changed[0].TimeoutS, changed[0].ConfigVersion = 1, 2
		for b.Loop() {
			_, err := Judge(before, NewSet(spaces, changed, routes), Change{By: "o", Rulings: []string{"team-0"}})
			assert.NilError(b, err)
		}
	})
}
