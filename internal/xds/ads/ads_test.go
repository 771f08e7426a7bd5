package ads

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"
)

const (
	whole = "type.googleapis.com/test.Whole"
	part  = "type.googleapis.com/test.Part"
	sec   = time.Second
)

// decode reads "NAME=VALUE"; a VALUE of "bad" is refused, one of "panic" panics.
func decode(a *anypb.Any, _ any) (string, any, error) {
	name, value, ok := strings.Cut(string(a.GetValue()), "=")
	switch {
	case !ok:
		return "", nil, errors.New("it is no resource")
	case value == "bad":
		return name, nil, errors.New("it is bad")
	case value == "panic":
		panic("decoder")
	}
	return name, value, nil
}

func newMachine(delta bool) *Machine {
	return New(Config{
		Delta: delta, Node: &corev3.Node{Id: "me"},
		Types: []Type{{URL: whole, Whole: true, Decode: decode}, {URL: part, Decode: decode}},
	})
}

func body(url, text string) *anypb.Any { return &anypb.Any{TypeUrl: url, Value: []byte(text)} }

// sotw is a response of "NAME=VALUE" resources.
func sotw(url, version, nonce string, texts ...string) *discovery.DiscoveryResponse {
	r := &discovery.DiscoveryResponse{TypeUrl: url, VersionInfo: version, Nonce: nonce}
	for _, t := range texts {
		r.Resources = append(r.Resources, body(url, t))
	}
	return r
}

// incremental is the same of the other variant; "-NAME" is a removal, "NAME" a heartbeat.
func incremental(url, nonce string, texts ...string) *discovery.DeltaDiscoveryResponse {
	r := &discovery.DeltaDiscoveryResponse{TypeUrl: url, Nonce: nonce, SystemVersionInfo: "s" + nonce}
	for _, t := range texts {
		name, _, full := strings.Cut(t, "=")
		switch {
		case t[0] == '-':
			r.RemovedResources = append(r.RemovedResources, t[1:])
		case full:
			r.Resources = append(r.Resources, &discovery.Resource{Name: name, Version: "v" + nonce, Resource: body(url, t)})
		default:
			r.Resources = append(r.Resources, &discovery.Resource{Name: name, Version: "v" + nonce})
		}
	}
	return r
}

// words says in one line each what actions are.
func words(l []Action) string {
	var out []string
	for _, a := range l {
		switch a := a.(type) {
		case Changed:
			w := "news"
			for _, r := range a.Updated {
				w += fmt.Sprintf(" %s=%v", r.Name, r.Value)
			}
			for _, n := range a.Removed {
				w += " -" + n
			}
			out = append(out, w)
		case Report:
			out = append(out, "report")
		case Send:
			w := ""
			if r := a.Request; r != nil {
				w = fmt.Sprintf("ask %s %v v=%s n=%s", r.TypeUrl[len(r.TypeUrl)-4:], r.ResourceNames, r.VersionInfo, r.ResponseNonce)
				if r.Node != nil {
					w += " node"
				}
				if r.ErrorDetail != nil {
					w += " NACK(" + r.ErrorDetail.Message + ")"
				}
			} else {
				r := a.Delta
				w = fmt.Sprintf("ask %s", r.TypeUrl[len(r.TypeUrl)-4:])
				if r.ResourceNamesSubscribe != nil {
					w += fmt.Sprintf(" +%v", r.ResourceNamesSubscribe)
				}
				if r.ResourceNamesUnsubscribe != nil {
					w += fmt.Sprintf(" -%v", r.ResourceNamesUnsubscribe)
				}
				if len(r.InitialResourceVersions) > 0 {
					w += " have"
					for _, n := range slices.Sorted(maps.Keys(r.InitialResourceVersions)) {
						w += " " + n + ":" + r.InitialResourceVersions[n]
					}
				}
				w += " n=" + r.ResponseNonce
				if r.Node != nil {
					w += " node"
				}
				if r.ErrorDetail != nil {
					w += " NACK(" + r.ErrorDetail.Message + ")"
				}
			}
			out = append(out, w)
		}
	}
	return strings.Join(out, "; ")
}

func expect(t *testing.T, what string, got []Action, want string) {
	t.Helper()
	if w := words(got); w != want {
		t.Errorf("%s:\n got %s\nwant %s", what, w, want)
	}
}

func TestStateOfTheWorld(t *testing.T) {
	m := newMachine(false)
	expect(t, "want before a stream", m.Want(0, whole, false, []string{"a", "b"}), "")
	expect(t, "open", m.Open(1*sec, false), "ask hole [a b] v= n= node")
	expect(t, "first", m.Receive(2*sec, sotw(whole, "1", "n1", "a=1", "b=1")), "news a=1 b=1; ask hole [a b] v=1 n=n1")
	expect(t, "the same again", m.Receive(2*sec, sotw(whole, "1", "n2", "a=1", "b=1")), "ask hole [a b] v=1 n=n2")
	expect(t, "one changed", m.Receive(2*sec, sotw(whole, "2", "n3", "a=2", "b=1")), "news a=2; ask hole [a b] v=2 n=n3")
	expect(t, "an old version again", m.Receive(2*sec, sotw(whole, "1", "n4", "a=1", "b=1")), "news a=1; ask hole [a b] v=1 n=n4")
	expect(t, "one bad of three", m.Receive(2*sec, sotw(whole, "3", "n5", "a=3", "b=bad")),
		"news a=3; report; ask hole [a b] v=1 n=n5 NACK(b: it is bad)")
	if r := m.Resources(whole)["b"]; r.Value != "1" || r.Version != "1" || r.Error != "it is bad" || r.ErrorAt != 2*sec {
		t.Errorf("after a refused update: %+v", r)
	}
	expect(t, "a bad one does not remove those that are not named", m.Receive(2*sec, sotw(whole, "3", "n6", "b=bad")),
		"report; ask hole [a b] v=1 n=n6 NACK(b: it is bad)")
	expect(t, "silence removes", m.Receive(2*sec, sotw(whole, "4", "n7", "b=4")), "news b=4 -a; ask hole [a b] v=4 n=n7")
	if r := m.Resources(whole)["a"]; r.Status != Missing {
		t.Errorf("a is %v", r.Status)
	}
	expect(t, "want more", m.Want(3*sec, whole, false, []string{"b", "c"}), "ask hole [b c] v=4 n=n7")
	expect(t, "no longer wanted", m.Receive(3*sec, sotw(whole, "5", "n8", "a=5", "b=4", "c=5")), "news c=5; ask hole [b c] v=5 n=n8")
	expect(t, "endpoints", m.Want(3*sec, part, false, []string{"x", "y"}), "ask Part [x y] v= n= node")
	expect(t, "endpoints come", m.Receive(3*sec, sotw(part, "1", "m1", "x=1")), "news x=1; ask Part [x y] v=1 n=m1")
	expect(t, "silence of endpoints says nothing", m.Receive(3*sec, sotw(part, "2", "m2", "y=1")), "news y=1; ask Part [x y] v=2 n=m2")
	m.Close()
	expect(t, "after the close nothing counts", m.Receive(4*sec, sotw(part, "3", "m3", "y=2")), "")
	expect(t, "again, the same control plane", m.Open(5*sec, true), "ask hole [b c] v=5 n= node; ask Part [x y] v=2 n= node")
	m.Close()
	expect(t, "again, another", m.Open(5*sec, false), "ask hole [b c] v= n= node; ask Part [x y] v= n= node")
	expect(t, "empty: all gone", m.Receive(6*sec, sotw(whole, "1", "k1")), "news -b -c; ask hole [b c] v=1 n=k1")
}

func TestIncremental(t *testing.T) {
	m := newMachine(true)
	m.Want(0, whole, false, []string{"a", "b"})
	expect(t, "open", m.Open(1*sec, false), "ask hole +[a b] n= node")
	expect(t, "first", m.ReceiveDelta(2*sec, incremental(whole, "1", "a=1", "b=1")), "news a=1 b=1; ask hole n=1")
	expect(t, "one bad", m.ReceiveDelta(2*sec, incremental(whole, "2", "a=2", "b=bad")), "news a=2; report; ask hole n=2 NACK(b: it is bad)")
	expect(t, "removed, and what was never there", m.ReceiveDelta(2*sec, incremental(whole, "3", "-a", "-z")), "news -a; ask hole n=3")
	expect(t, "removed again", m.ReceiveDelta(2*sec, incremental(whole, "4", "-a")), "ask hole n=4")
	expect(t, "back", m.ReceiveDelta(2*sec, incremental(whole, "5", "a=1")), "news a=1; ask hole n=5")
	expect(t, "the same again", m.ReceiveDelta(2*sec, incremental(whole, "6", "a=1")), "ask hole n=6")
	expect(t, "another name inside", m.ReceiveDelta(2*sec, &discovery.DeltaDiscoveryResponse{
		TypeUrl: whole, Nonce: "7",
		Resources: []*discovery.Resource{{Name: "a", Version: "9", Resource: body(whole, "q=1")}},
	}),
		`report; ask hole n=7 NACK(a: it is named "q" inside)`)
	expect(t, "want", m.Want(3*sec, whole, false, []string{"b", "c"}), "ask hole +[c] -[a] n=")
	expect(t, "told not to exist", m.ReceiveDelta(3*sec, incremental(whole, "8", "-c")), "news -c; ask hole n=8")
	m.Close()
	expect(t, "again, the same control plane", m.Open(5*sec, true), "ask hole +[b c] have b:v1 n= node")
	m.Close()
	expect(t, "again, another", m.Open(6*sec, false), "ask hole +[b c] n= node")
	expect(t, "first of the other", m.ReceiveDelta(6*sec, incremental(whole, "1", "b=9")), "news b=9; ask hole n=1")
}

// A wildcard of the incremental variant over to another control plane: what that does not name is gone
// once the time for resources is over.
func TestSweep(t *testing.T) {
	m := newMachine(true)
	m.Want(0, whole, true, nil)
	expect(t, "open", m.Open(1*sec, false), "ask hole +[] n= node")
	m.ReceiveDelta(2*sec, incremental(whole, "1", "a=1", "b=1"))
	m.Close()
	m.Open(3*sec, false)
	m.ReceiveDelta(4*sec, incremental(whole, "1", "a=1"))
	if at, ok := m.Next(); !ok || at != 18*sec {
		t.Errorf("next at %v, %v", at, ok)
	}
	expect(t, "in time", m.Advance(17*sec), "")
	expect(t, "over", m.Advance(18*sec), "report; news -b")
}

func TestMalformed(t *testing.T) {
	m := newMachine(false)
	m.Want(0, whole, false, []string{"a", "b", "c"})
	m.Open(0, false)
	expect(t, "unknown type", m.Receive(1, sotw("type.googleapis.com/test.Other", "1", "n1", "a=1")), "report")
	expect(t, "a type not asked for", m.Receive(1, sotw(part, "1", "n1", "x=1")), "report")
	expect(t, "no nonce", m.Receive(1, sotw(whole, "1", "", "a=1")), "report")
	wrong := sotw(whole, "1", "n1", "a=1")
	wrong.Resources = append(wrong.Resources, body(part, "b=1"))
	expect(t, "wrong type inside", m.Receive(1, wrong), `news a=1; report; ask hole [a b c] v= n=n1 NACK(resource 1: it is of the type "type.googleapis.com/test.Part")`)
	expect(t, "undecodable", m.Receive(1, sotw(whole, "2", "n2", "a=2", "\xff\xff")),
		"news a=2; report; ask hole [a b c] v= n=n2 NACK(resource 1: it is no resource)")
	expect(t, "a decoder's panic", m.Receive(1, sotw(whole, "2", "n3", "a=2", "b=panic")),
		"report; ask hole [a b c] v= n=n3 NACK(resource 1: it can't be decoded: decoder)")
	expect(t, "twice", m.Receive(1, sotw(whole, "3", "n4", "a=3", "b=1", "a=4")),
		"news b=1; report; ask hole [a b c] v= n=n4 NACK(a: it stands there twice)")
	if r := m.Resources(whole)["a"]; r.Value != "2" {
		t.Errorf("a is %v", r.Value)
	}
	empty := sotw(whole, "4", "n5", "a=2")
	wrapped, _ := proto.Marshal(&discovery.Resource{Name: "b", Version: "7", Resource: body(whole, "b=7")})
	empty.Resources = append(empty.Resources, &anypb.Any{TypeUrl: wrapperURL, Value: wrapped}, &anypb.Any{TypeUrl: wrapperURL, Value: []byte{0xff}})
	got := words(m.Receive(1, empty))
	if !strings.HasPrefix(got, "news b=7; report; ask hole [a b c] v= n=n5 NACK(a wrapped resource:") {
		t.Errorf("wrapped: %s", got)
	}
	var many []string
	for i := range 1000 {
		many = append(many, fmt.Sprintf("r%d=%d", i, i))
	}
	many[500] = "r500=bad"
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint("r", i)
	}
	m.Want(2, whole, false, names)
	l := m.Receive(2, sotw(whole, "5", "n6", many...))
	if n := len(l[0].(Changed).Updated); n != 999 {
		t.Errorf("%d good ones applied, not 999", n)
	}
	if s := l[2].(Send).Request.ErrorDetail; s.GetMessage() != "r500: it is bad" || s.GetCode() != 3 {
		t.Errorf("refused with %v", s)
	}
}

// A resource that was asked for and does not come does not exist after 15 s on an open stream.
func TestTimeout(t *testing.T) {
	for _, delta := range []bool{false, true} {
		m := newMachine(delta)
		m.Want(0, part, false, []string{"a", "b"})
		if _, ok := m.Next(); ok {
			t.Error("time runs without a stream")
		}
		m.Open(1*sec, false)
		if delta {
			m.ReceiveDelta(2*sec, incremental(part, "1", "a=1"))
		} else {
			m.Receive(2*sec, sotw(part, "1", "1", "a=1"))
		}
		m.Close()
		if _, ok := m.Next(); ok {
			t.Error("time runs while the stream is broken")
		}
		m.Open(10*sec, true)
		if at, ok := m.Next(); !ok || at != 25*sec {
			t.Errorf("next at %v, %v", at, ok)
		}
		expect(t, "in time", m.Advance(25*sec-1), "")
		expect(t, "over", m.Advance(25*sec), "report; news -b")
		expect(t, "once", m.Advance(40*sec), "")
		if delta {
			expect(t, "late", m.ReceiveDelta(41*sec, incremental(part, "2", "b=1")), "news b=1; ask Part n=2")
		} else {
			expect(t, "late", m.Receive(41*sec, sotw(part, "2", "2", "b=1")), "news b=1; ask Part [a b] v=2 n=2")
		}
	}
}

// A time to live ends unless it is renewed, also while no stream is open.
func TestTTL(t *testing.T) {
	with := func(nonce string, ttl time.Duration, full bool) *discovery.DeltaDiscoveryResponse {
		r := &discovery.Resource{Name: "a", Version: "1"}
		if ttl > 0 {
			r.Ttl = durationpb.New(ttl)
		}
		if full {
			r.Resource = body(part, "a=1")
		}
		return &discovery.DeltaDiscoveryResponse{TypeUrl: part, Nonce: nonce, Resources: []*discovery.Resource{r}}
	}
	m := newMachine(true)
	m.Want(0, part, false, []string{"a"})
	m.Open(0, false)
	expect(t, "with a time", m.ReceiveDelta(1*sec, with("1", 10*sec, true)), "news a=1; ask Part n=1")
	expect(t, "heartbeat", m.ReceiveDelta(6*sec, with("2", 10*sec, false)), "ask Part n=2")
	if at, ok := m.Next(); !ok || at != 16*sec {
		t.Errorf("next at %v, %v", at, ok)
	}
	m.Close()
	expect(t, "in time", m.Advance(15*sec), "")
	expect(t, "over", m.Advance(16*sec), "report; news -a")
	m.Open(17*sec, true)
	expect(t, "a heartbeat of what is gone", m.ReceiveDelta(18*sec, with("1", 10*sec, false)), "ask Part n=1")
	expect(t, "back without a time", m.ReceiveDelta(19*sec, with("2", 0, true)), "news a=1; ask Part n=2")
	if _, ok := m.Next(); ok {
		t.Error("a time to live without one")
	}
	// The other variant wraps resources.
	s := newMachine(false)
	s.Want(0, part, false, []string{"a"})
	s.Open(0, false)
	r := sotw(part, "1", "1")
	w, _ := anypb.New(&discovery.Resource{Name: "a", Resource: body(part, "a=1"), Ttl: durationpb.New(5 * sec)})
	r.Resources = append(r.Resources, w)
	expect(t, "wrapped", s.Receive(1*sec, r), "news a=1; ask Part [a] v=1 n=1")
	expect(t, "over", s.Advance(6*sec), "report; news -a")
}

// TestMachineProperty plays any order of events against a model: what is held is what the control plane
// said last of each wanted name, every response is answered once, with its nonce, and nothing panics.
func TestMachineProperty(t *testing.T) {
	for _, delta := range []bool{false, true} {
		rapid.Check(t, func(t *rapid.T) {
			m := newMachine(delta)
			now := time.Duration(1)
			names := []string{"a", "b", "c", "d"}
			open := false
			wanted := map[string]map[string]bool{whole: {}, part: {}}
			model := map[string]map[string]string{whole: {}, part: {}}
			news := map[string]map[string]string{whole: {}, part: {}} // as told by Changed
			asked := map[string]bool{}
			n := 0
			play := func(t *rapid.T, l []Action) (sends []Send) {
				for _, a := range l {
					switch a := a.(type) {
					case Changed:
						for _, r := range a.Updated {
							if news[a.Type][r.Name] == r.Value.(string) {
								t.Fatalf("news of %s, which is no other", r.Name)
							}
							news[a.Type][r.Name] = r.Value.(string)
						}
						for _, x := range a.Removed {
							delete(news[a.Type], x)
						}
					case Send:
						if !open {
							t.Fatal("a request without a stream")
						}
						sends = append(sends, a)
						if a.Request != nil {
							asked[a.Request.TypeUrl] = true
						} else {
							asked[a.Delta.TypeUrl] = true
						}
					}
				}
				return sends
			}
			url := func(t *rapid.T) string { return rapid.SampledFrom([]string{whole, part}).Draw(t, "type") }
			t.Repeat(map[string]func(*rapid.T){
				"want": func(t *rapid.T) {
					u := url(t)
					l := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(t, "names")
					wanted[u] = map[string]bool{}
					for _, x := range l {
						wanted[u][x] = true
					}
					for x := range model[u] {
						if !wanted[u][x] {
							delete(model[u], x)
							delete(news[u], x)
						}
					}
					play(t, m.Want(now, u, false, l))
				},
				"open": func(t *rapid.T) {
					if open {
						t.Skip("open")
					}
					open = true
					asked = map[string]bool{}
					for _, s := range play(t, m.Open(now, rapid.Bool().Draw(t, "same"))) {
						if s.Request != nil && (s.Request.Node == nil || s.Request.ResponseNonce != "") ||
							s.Delta != nil && (s.Delta.Node == nil || s.Delta.ResponseNonce != "") {
							t.Fatalf("a first request %v", s)
						}
					}
				},
				"close": func(t *rapid.T) {
					open = false
					m.Close()
				},
				"response": func(t *rapid.T) {
					u := url(t)
					n++
					nonce := fmt.Sprint(n)
					var texts []string
					bad := false
					said := map[string]string{}
					seen := map[string]int{}
					for range rapid.IntRange(0, 4).Draw(t, "resources") {
						x := rapid.SampledFrom(names).Draw(t, "name")
						v := rapid.SampledFrom([]string{"1", "2", "bad"}).Draw(t, "value")
						texts = append(texts, x+"="+v)
						seen[x]++
						bad = bad || v == "bad" && (delta || true)
						if v != "bad" {
							said[x] = v
						} else {
							said[x] = ""
						}
					}
					for x, k := range seen {
						if k > 1 {
							bad = true
							// A bad one among the two: the good one alone may count as there once.
							said[x] = "?"
						}
					}
					for _, v := range said {
						if v == "?" {
							t.Skip("twice is tested apart")
						}
					}
					var removed []string
					if delta {
						for _, x := range names {
							if seen[x] == 0 && rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
								removed = append(removed, x)
							}
						}
						for _, x := range removed {
							texts = append(texts, "-"+x)
						}
					}
					counts := open && asked[u]
					var sends []Send
					if delta {
						sends = play(t, m.ReceiveDelta(now, incremental(u, nonce, texts...)))
					} else {
						sends = play(t, m.Receive(now, sotw(u, "v"+nonce, nonce, texts...)))
					}
					if !counts {
						if len(sends) != 0 {
							t.Fatalf("an answer to what does not count: %v", sends)
						}
						return
					}
					if len(sends) != 1 {
						t.Fatalf("%d answers", len(sends))
					}
					var got string
					var refused bool
					if delta {
						got, refused = sends[0].Delta.ResponseNonce, sends[0].Delta.ErrorDetail != nil
					} else {
						got, refused = sends[0].Request.ResponseNonce, sends[0].Request.ErrorDetail != nil
						if refused != (sends[0].Request.VersionInfo != "v"+nonce) {
							t.Fatalf("refused %v, version %s", refused, sends[0].Request.VersionInfo)
						}
					}
					if got != nonce || refused != bad {
						t.Fatalf("nonce %s answered with %s, refused %v, bad %v", nonce, got, refused, bad)
					}
					for x, v := range said {
						if v != "" && wanted[u][x] {
							model[u][x] = v
						}
					}
					for _, x := range removed {
						delete(model[u], x)
					}
					if !delta && u == whole && !bad {
						for x := range model[u] {
							if seen[x] == 0 {
								delete(model[u], x)
							}
						}
					}
				},
				"time": func(t *rapid.T) {
					now += time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * sec
					play(t, m.Advance(now))
					if at, ok := m.Next(); ok && at <= now {
						t.Fatalf("due at %v, and it is %v", at, now)
					}
				},
				"": func(t *rapid.T) {
					for _, u := range []string{whole, part} {
						got := map[string]string{}
						for x, r := range m.Resources(u) {
							if r.Status == Received {
								got[x] = r.Value.(string)
							}
							if !wanted[u][x] {
								t.Fatalf("%s is held and not wanted", x)
							}
						}
						if !maps.Equal(got, model[u]) || !maps.Equal(news[u], model[u]) {
							t.Fatalf("%s: held %v, told %v, the model has %v", u, got, news[u], model[u])
						}
					}
				},
			})
		})
	}
}

// FuzzReceive feeds both variants whatever bytes there are.
func FuzzReceive(f *testing.F) {
	a, _ := proto.Marshal(sotw(whole, "1", "n", "a=1", "b=bad", "a=2"))
	b, _ := proto.Marshal(incremental(whole, "n", "a=1", "-b", "c"))
	f.Add(a, false)
	f.Add(b, true)
	f.Fuzz(func(t *testing.T, text []byte, delta bool) {
		m := newMachine(delta)
		m.Want(0, whole, true, nil)
		m.Want(0, part, false, []string{"a"})
		m.Open(0, false)
		sends := 0
		var l []Action
		if delta {
			r := &discovery.DeltaDiscoveryResponse{}
			if proto.Unmarshal(text, r) != nil {
				return
			}
			l = m.ReceiveDelta(1, r)
		} else {
			r := &discovery.DiscoveryResponse{}
			if proto.Unmarshal(text, r) != nil {
				return
			}
			l = m.Receive(1, r)
		}
		for _, x := range l {
			if _, is := x.(Send); is {
				sends++
			}
		}
		if sends > 1 {
			t.Fatalf("%d answers", sends)
		}
		m.Advance(100 * sec)
	})
}
