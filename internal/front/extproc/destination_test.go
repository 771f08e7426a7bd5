package extproc

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/structpb"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/extproc/stream"
	"cranegrade/internal/testkit"
	"cranegrade/internal/zone"
)

// stringList is a list of strings in metadata.
func stringList(texts ...string) *structpb.Value {
	list := &structpb.ListValue{}
	for _, text := range texts {
		list.Values = append(list.Values, structpb.NewStringValue(text))
	}
	return structpb.NewListValue(list)
}

// Only endpoints of the subset hint are picked; if there is none, the request is rejected at once.
func TestSubsetHint(t *testing.T) {
	e := newEnvironment(t, Config{DecisionTimeout: time.Second}, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4")
	unknown := make([]string, 5000)
	for i := range unknown {
		unknown[i] = fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
	}
	for _, c := range []struct {
		name string
		hint *structpb.Value
		want string
	}{
		{"one", structpb.NewStringValue("127.0.0.1:3"), "127.0.0.1:3"},
		{"text with commas", structpb.NewStringValue(" 127.0.0.1:3 , 127.0.0.9:9"), "127.0.0.1:3"},
		{"list", stringList("127.0.0.9:9", "127.0.0.1:2"), "127.0.0.1:2"},
		{"5,000 unknown and one", stringList(append(unknown, "127.0.0.1:4")...), "127.0.0.1:4"},
		{"empty text", structpb.NewStringValue(""), "503 retry-after"},
		{"empty list", stringList(), "503 retry-after"},
		{"unknown", stringList(unknown...), "503 retry-after"},
		{"malformed", structpb.NewStringValue(",, x,"), "503 retry-after"},
		{"another type", structpb.NewNumberValue(7), "503 retry-after"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i := range 8 { // a choice of all four would go elsewhere in most of these
				s := e.openStream()
				s.setSubset(c.hint)
				if got := s.pick("read", fmt.Sprint(c.name, i), 1); got != c.want {
					t.Errorf("got %s, want %s", got, c.want)
				}
				if isEndpoint(c.want) {
					s.respond("200")
				}
			}
		})
	}
	t.Run("draining", func(t *testing.T) {
		e.pool.Engine().Apply(engine.ListUpdate{
			Version: "2",
			Servers: []engine.Listed{{Server: balancer.Server{ID: "127.0.0.1:1", State: balancer.Draining}, Addr: "127.0.0.1:1"}},
		})
		s := e.openStream()
		s.setSubset(stringList("127.0.0.1:1"))
		if got := s.pick("read", "draining", 1); got != "503 retry-after" {
			t.Errorf("got %s", got)
		}
	})
}

// endingRecorder is a decision module that records the endings of attempts.
type endingRecorder struct {
	engine.Module
	mu      sync.Mutex // guards endings
	endings []balancer.Ending
}

// Handle implements engine.Module.
func (r *endingRecorder) Handle(now time.Duration, event balancer.Event) []balancer.Action {
	if outcome, ok := event.(balancer.Outcome); ok {
		r.mu.Lock()
		r.endings = append(r.endings, outcome.Ending)
		r.mu.Unlock()
	}
	return r.Module.Handle(now, event)
}

func (r *endingRecorder) recorded() []balancer.Ending {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.endings)
}

// newIdempotentModule makes a decision module whose only class is read.
func newIdempotentModule(t *testing.T, spares int) engine.Module {
	t.Helper()
	module, err := balancer.New(balancer.Settings{
		Classes: []balancer.Class{{
			Name:     "read",
			Effect:   balancer.Idempotent,
			Aim:      time.Second,
			Deadline: 5 * time.Second,
			Worth:    1,
		}},
		MaxAttempts: 3,
		Spares:      spares,
		Tick:        time.Millisecond,
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return module
}

// The module learns the ending at the endpoint of the decision, by which endpoint served.
func TestEndingAtEndpointOfDecision(t *testing.T) {
	const elsewhere = "10.9.9.9:1"
	for _, c := range []struct {
		name, status string
		served       func(endpoints []string) string
		want         balancer.Ending
	}{
		{
			name:   "success at the endpoint",
			status: "200",
			served: func(endpoints []string) string { return endpoints[0] },
			want:   balancer.Success,
		},
		{
			name:   "failure at the endpoint",
			status: "500",
			served: func(endpoints []string) string { return endpoints[0] },
			want:   balancer.Failure,
		},
		{
			name:   "success at a fallback",
			status: "200",
			served: func(endpoints []string) string { return endpoints[1] },
			want:   balancer.Unreachable,
		},
		{
			name:   "success elsewhere",
			status: "200",
			served: func([]string) string { return elsewhere },
			want:   balancer.NeverSent,
		},
		{
			name:   "failure elsewhere",
			status: "500",
			served: func([]string) string { return elsewhere },
			want:   balancer.NeverSent,
		},
		{
			name:   "unknown",
			status: "500",
			served: func([]string) string { return "" },
			want:   balancer.Failure,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			recorder := &endingRecorder{Module: newIdempotentModule(t, 1)}
			e := newEnvironmentWith(t, Config{}, poolOptions{module: recorder}, "127.0.0.1:1", "127.0.0.1:2")
			s := e.openStream()
			endpoints := strings.Split(s.pick("read", "id", 1), ",")
			if len(endpoints) != 2 {
				t.Fatalf("decided %q, want an endpoint and a fallback", endpoints)
			}
			s.respond(c.status, stream.ServedHeader, c.served(endpoints))
			testkit.Eventually(t, "the ending is not reported", func() bool { return len(recorder.recorded()) > 0 })
			if got := recorder.recorded(); !slices.Equal(got, []balancer.Ending{c.want}) {
				t.Errorf("endings %v, want %d", got, c.want)
			}
		})
	}
}

// A proxy that uses another endpoint than was decided is counted, and the endpoint of the decision is not blamed.
func TestMisroutedRequest(t *testing.T) {
	e := newEnvironment(t, Config{}, "127.0.0.1:1")
	s := e.openStream()
	s.pick("read", "1", 1)
	s.respond("500", stream.ServedHeader, "10.9.9.9:1")
	if n := e.front.Misrouted(); n != 1 {
		t.Errorf("%d misrouted, want 1", n)
	}
	s = e.openStream()
	if got := s.pick("read", "2", 1); got != "127.0.0.1:1" {
		t.Errorf("the endpoint that had no part in it: %s", got)
	}
	s.respond("200", stream.ServedHeader, "127.0.0.1:1")
	if n := e.front.Misrouted(); n != 1 {
		t.Errorf("%d misrouted, want 1", n)
	}
}

// Idempotent classes get endpoints that may be tried without asking again, others none. A fallback that served is not
// misrouted, and the first endpoint counts as unreachable.
func TestFallbacks(t *testing.T) {
	e := newEnvironmentWith(t, Config{}, poolOptions{spares: 2}, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4")
	s := e.openStream()
	endpoints := strings.Split(s.pick("read", "1", 1), ",")
	if len(endpoints) != 3 || endpoints[0] == endpoints[1] || endpoints[1] == endpoints[2] || endpoints[0] == endpoints[2] {
		t.Fatalf("decided %q", endpoints)
	}
	s.respond("200", stream.ServedHeader, endpoints[1])
	if n := e.front.Misrouted(); n != 0 {
		t.Errorf("%d misrouted, want 0", n)
	}
	for _, class := range []string{"order", "cell", "all"} {
		s := e.openStream()
		if got := s.pick(class, class, 1); strings.Contains(got, ",") {
			t.Errorf("%s goes to %s", class, got)
		}
		s.respond("200")
	}
}

// What a proxy carries is accounted by the endpoint that served, the zone of the caller that the proxy names, and the
// lengths that it shows.
func TestTransferIsAccountedByZone(t *testing.T) {
	accounts := zone.NewAccounting(nil)
	e := newEnvironmentWith(t,
		Config{},
		poolOptions{module: zone.NewModule(newIdempotentModule(t, 0), "p", zone.Config{Home: "a"}, accounts, 1)})
	news := engine.ListUpdate{Full: true, Version: "2"}
	for i, name := range []string{"a", "b"} {
		addr := fmt.Sprint("127.0.0.1:", i+1)
		news.Servers = append(news.Servers, engine.Listed{Server: balancer.Server{ID: addr, Zone: name}, Addr: addr})
	}
	e.pool.Engine().Apply(news)
	for i, c := range []struct{ callerZone, want, served string }{
		{
			callerZone: "",
			want:       "127.0.0.1:1",
			served:     "127.0.0.1:1",
		}, {
			callerZone: "b",
			want:       "127.0.0.1:2",
			served:     "",
		}, {
			callerZone: "",
			want:       "127.0.0.1:1",
			served:     "127.0.0.1:2",
		}, {
			callerZone: "",
			want:       "127.0.0.1:1",
			served:     "10.9.9.9:1",
		},
	} {
		s := e.openStream()
		if got := s.pick("read", fmt.Sprint(i), 1, "x-caller-zone", c.callerZone, "content-length", "100"); got != c.want {
			t.Errorf("%+v: goes to %s", c, got)
		}
		s.respond("200", stream.ServedHeader, c.served, "content-length", "30")
	}
	e.awaitNoOpenCalls("calls are left open")
	got := map[zone.Pair]zone.Traffic{}
	for _, row := range accounts.Rows() {
		got[row.Pair] = row.Traffic
	}
	one := zone.Traffic{Requests: 1, Out: 100, In: 30}
	if want := map[zone.Pair]zone.Traffic{
		{From: "a", To: "a"}: one,
		{From: "b", To: "b"}: one,
		{From: "a", To: "b"}: one,
		{From: "a"}:          one,
	}; !reflect.DeepEqual(got, want) {
		t.Errorf("accounted %v", got)
	}
}
