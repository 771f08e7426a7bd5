package extproc

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/structpb"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/extproc/stream"
	"cranegrade/internal/pool"
	"cranegrade/internal/testkit"
	"cranegrade/internal/zone"
)

const limit = testkit.Limit

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// tier is that of the worlds' settings: benchmarks are not held back by admission.
var tier = 0

// spares is how many fallbacks the worlds' modules name.
var spares = 0

// module stands in for the pool's module, unless it is nil.
var module engine.Module

// world is a front with one pool, whose module is the real one.
type world struct {
	t      testing.TB
	pool   *pool.Pool
	front  *Front
	client extproc.ExternalProcessorClient
	health healthpb.HealthClient
}

func (w *world) Ask(q *stream.Question, id string) (*pool.Pool, string, *stream.Final) {
	name, _, _ := strings.Cut(strings.TrimPrefix(q.Path, "/"), "/")
	return w.pool, name, nil
}

type noSender struct{ t testing.TB }

func (s noSender) Start(context.Context, *engine.Attempt) {
	s.t.Error("an attempt that the proxy does not carry")
}
func (s noSender) Drop(*engine.Endpoint) {}
func (s noSender) Sweep()                {}

func newWorld(t testing.TB, cfg Config, ids ...string) *world {
	t.Helper()
	b := pool.NewBudget(1 << 40)
	quotas := map[*pool.Share]pool.Quota{}
	share := func() *pool.Share {
		s := b.NewShare()
		quotas[s] = pool.Quota{}
		return s
	}
	clock := engine.NewClock()
	class := func(name string, e balancer.Effect, scope balancer.Scope) balancer.Class {
		return balancer.Class{Name: name, Effect: e, Scope: scope, Window: 10 * time.Second, Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 1}
	}
	w := &world{t: t}
	var err error
	w.pool, err = pool.New(pool.Config{
		Name: "p", Module: module, Seed: 1, Clock: clock, Sender: noSender{t}, Shares: pool.Shares{
			Calls: share(), PendingCalls: share(),
			Connections: share(), RequestBodies: share(), ResponseBuffers: share(), DownstreamConns: share(),
		},
		Settings: balancer.Settings{
			Classes: []balancer.Class{
				class("read", balancer.Idempotent, 0), class("order", balancer.NonIdempotent, 0),
				class("cell", balancer.IdempotentByKey, balancer.ScopeCell), class("all", balancer.IdempotentByKey, balancer.ScopeAll),
			},
			Balancers: 1, Tier: tier, Spares: spares, MaxAttempts: 3, MayCancel: true, Tick: time.Millisecond, MaxRetryAfter: time.Second,
		}, Pushed: false,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := b.Configure(1<<40, quotas); err != nil {
		t.Fatal(err)
	}
	w.pool.Run()
	w.list(ids...)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Clock, cfg.Routes = clock, w
	if cfg.Within == 0 {
		cfg.Within = limit // a slow machine gets more
	}
	w.front = New(l, cfg)
	served := make(chan error, 1)
	go func() { served <- w.front.Serve() }()
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	w.client, w.health = extproc.NewExternalProcessorClient(conn), healthpb.NewHealthClient(conn)
	t.Cleanup(func() {
		conn.Close()
		w.front.Close()
		if err := <-served; err != http.ErrServerClosed {
			t.Errorf("Serve: %v", err)
		}
		testkit.Eventually(t, "calls are left open", func() bool { return w.pool.Engine().OpenCalls() == 0 })
		w.pool.Stop()
	})
	return w
}

func (w *world) list(ids ...string) {
	n := engine.ListUpdate{Full: true, Version: "1"}
	for i, id := range ids {
		n.Servers = append(n.Servers, engine.Listed{Server: balancer.Server{ID: id, Cell: i / 2}, Addr: id})
	}
	w.pool.Engine().Apply(n)
}

// side is a stream of a proxy.
type side struct {
	t    testing.TB
	st   extproc.ExternalProcessor_ProcessClient
	up   context.CancelFunc
	meta *corev3.Metadata // beside request headers
}

func (w *world) stream() *side {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	w.t.Cleanup(cancel)
	st, err := w.client.Process(ctx)
	if err != nil {
		w.t.Fatal(err)
	}
	return &side{w.t, st, cancel, nil}
}

func fields(pairs ...string) *corev3.HeaderMap {
	m := &corev3.HeaderMap{}
	for i := 0; i < len(pairs); i += 2 {
		m.Headers = append(m.Headers, &corev3.HeaderValue{Key: pairs[i], RawValue: []byte(pairs[i+1])})
	}
	return m
}

// ask sends request headers and says what came: the server, or a status.
func (s *side) ask(class, id string, tries int, more ...string) string {
	s.t.Helper()
	h := append([]string{
		":method", "POST", ":path", "/" + class + "/1", ":authority", "a", "idempotency-key", "k",
		"x-envoy-attempt-count", fmt.Sprint(tries),
	}, more...)
	if id != "" {
		h = append(h, "x-request-id", id)
	}
	if err := s.st.Send(&extproc.ProcessingRequest{MetadataContext: s.meta, Request: &extproc.ProcessingRequest_RequestHeaders{
		RequestHeaders: &extproc.HttpHeaders{Headers: fields(h...)},
	}}); err != nil {
		s.t.Fatal(err)
	}
	m, err := s.st.Recv()
	if err != nil {
		s.t.Fatalf("no word: %v", err)
	}
	if r := m.GetImmediateResponse(); r != nil {
		text := fmt.Sprint(int(r.Status.Code))
		for _, f := range r.GetHeaders().GetSetHeaders() {
			text += " " + f.Header.Key
		}
		return text
	}
	for _, f := range m.GetRequestHeaders().GetResponse().GetHeaderMutation().GetSetHeaders() {
		if f.Header.Key == stream.DestinationHeader {
			return string(f.Header.RawValue)
		}
	}
	s.t.Fatalf("a word that says nothing: %v", m)
	return ""
}

// answer tells of response headers and ends the stream.
func (s *side) answer(status string, more ...string) {
	s.t.Helper()
	s.st.Send(&extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_ResponseHeaders{ResponseHeaders: &extproc.HttpHeaders{
		Headers: fields(append([]string{":status", status}, more...)...),
	}}})
	if _, err := s.st.Recv(); err != nil {
		s.t.Fatalf("response headers get no word: %v", err)
	}
	s.st.CloseSend()
	s.st.Recv()
}

func TestDecide(t *testing.T) {
	w := newWorld(t, Config{}, "127.0.0.1:1")
	for _, class := range []string{"read", "order", "cell", "all"} {
		s := w.stream()
		if got := s.ask(class, class, 1); got != "127.0.0.1:1" {
			t.Errorf("%s goes to %s", class, got)
		}
		s.answer("200")
	}
	if got := w.stream().ask("none", "x", 1); got != "404" {
		t.Errorf("no class: %s", got)
	}
	testkit.Eventually(t, "a slot is not given back", func() bool { return w.pool.Engine().OpenCalls() == 0 })
	if n := w.front.book.size(); n != 3 { // all but the safe one
		t.Errorf("%d requests are remembered", n)
	}
}

// With no server a question is answered before the proxy gives up, harmlessly.
func TestNoServerInTime(t *testing.T) {
	w := newWorld(t, Config{Within: 50 * time.Millisecond})
	if got := w.stream().ask("order", "1", 1); got != "503 retry-after" {
		t.Errorf("got %s", got)
	}
	w.list("127.0.0.1:1")
	s := w.stream()
	if got := s.ask("order", "1", 1); got != "127.0.0.1:1" { // a refusal is harmless: it may come again
		t.Errorf("again: %s", got)
	}
	s.answer("200")
}

// lateStream is a stream that came a while ago.
type lateStream struct {
	extproc.ExternalProcessor_ProcessServer
	ctx  context.Context
	got  []*extproc.ProcessingRequest
	sent []*extproc.ProcessingResponse
}

func (s *lateStream) Context() context.Context { return s.ctx }

func (s *lateStream) Recv() (*extproc.ProcessingRequest, error) {
	if len(s.got) == 0 {
		return nil, io.EOF
	}
	m := s.got[0]
	s.got = s.got[1:]
	return m, nil
}

func (s *lateStream) Send(m *extproc.ProcessingResponse) error {
	s.sent = append(s.sent, m)
	return nil
}

// A question's time runs from its arrival: what has waited for most of it is refused unbegun, harmlessly.
func TestLateQuestion(t *testing.T) {
	w := newWorld(t, Config{}, "127.0.0.1:1")
	for _, waited := range []time.Duration{0, w.front.cfg.Within - w.front.cfg.Within/lateShare/2} {
		s := &lateStream{ctx: context.WithValue(context.Background(), arrivedKey{}, w.front.cfg.Clock.Now()-waited)}
		s.got = []*extproc.ProcessingRequest{{Request: &extproc.ProcessingRequest_RequestHeaders{RequestHeaders: &extproc.HttpHeaders{
			Headers: fields(":method", "GET", ":path", "/read/1", ":authority", "a"),
		}}}}
		if err := w.front.Process(s); err != nil {
			t.Fatal(err)
		}
		late := s.sent[0].GetImmediateResponse().GetStatus().GetCode() == 503
		if late != (waited > 0) {
			t.Errorf("waited %v: %v", waited, s.sent)
		}
	}
	if w.front.Late() != 1 {
		t.Errorf("%d late", w.front.Late())
	}
}

// The proxy drops the side channel while the request may be at its server. A retry, before or after the
// slot is given back, goes only where the class allows.
func TestDroppedSideChannel(t *testing.T) {
	for _, c := range []struct {
		class, want string // of the retry: a server of the same cell, any, or a status
	}{{"order", "502"}, {"cell", "cell"}, {"all", "any"}, {"read", "any"}} {
		for _, late := range []bool{false, true} {
			w := newWorld(t, Config{Retries: true, Linger: 200 * time.Millisecond}, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4")
			first := w.stream()
			at := first.ask(c.class, "id", 1)
			first.up()
			if late {
				testkit.Eventually(t, "the slot is not given back", func() bool { return w.pool.Engine().OpenCalls() == 0 })
			}
			again := w.stream()
			got := again.ask(c.class, "id", 2)
			cell := func(addr string) byte { return (addr[len(addr)-1] - '1') / 2 }
			ok := false
			switch {
			case got == "502":
				ok = c.want == "502" || late && c.want != "any" || late && c.class == "all"
			case !strings.HasPrefix(got, "127"):
			case c.want == "any":
				ok = true
			case c.want == "cell":
				ok = !late && cell(got) == cell(at)
			}
			if !ok {
				t.Errorf("%s, late %v: at %s, then %s", c.class, late, at, got)
			}
			if strings.HasPrefix(got, "127") {
				again.answer("200")
			}
		}
	}
}

// A proxy's further tries find the request, and stay within the limit of attempts in all, over any
// number of streams.
func TestRetries(t *testing.T) {
	w := newWorld(t, Config{Retries: true, Linger: 300 * time.Millisecond}, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5")
	seen := map[string]bool{}
	for try := 1; try <= 5; try++ {
		s := w.stream()
		got := s.ask("order", "id", try)
		if try > 3 {
			if got[:3] != "503" && got[:3] != "502" {
				t.Errorf("try %d goes to %s", try, got)
			}
			continue
		}
		if seen[got] || !strings.HasPrefix(got, "127") {
			t.Fatalf("try %d goes to %s", try, got)
		}
		seen[got] = true
		s.answer("503", "x-unprocessed", "1") // never ran
	}
	// What may have run is not tried again.
	s := w.stream()
	s.ask("order", "other", 1)
	s.answer("500")
	if got := w.stream().ask("order", "other", 2); got != "502" {
		t.Errorf("after it may have run: %s", got)
	}
	// Nor is what we know nothing of: an earlier try may have run.
	for class, want := range map[string]string{"order": "502", "cell": "502"} {
		if got := w.stream().ask(class, "unknown-"+class, 2); got != want {
			t.Errorf("%s, unknown: %s", class, got)
		}
	}
	s = w.stream()
	if got := s.ask("all", "unknown-all", 2); !strings.HasPrefix(got, "127") {
		t.Errorf("keyed everywhere, unknown: %s", got)
	}
	s.answer("200")
}

// word tells of response headers and says what became of them: the header that is set, or taken off.
func (s *side) word(retry, status string, more ...string) string {
	s.t.Helper()
	s.st.Send(&extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_ResponseHeaders{ResponseHeaders: &extproc.HttpHeaders{
		Headers: fields(append([]string{":status", status}, more...)...),
	}}})
	m, err := s.st.Recv()
	if err != nil {
		s.t.Fatalf("response headers get no word: %v", err)
	}
	s.st.CloseSend()
	s.st.Recv()
	for _, f := range m.GetResponseHeaders().GetResponse().GetHeaderMutation().GetSetHeaders() {
		switch f.Header.Key {
		case retry:
			return "again"
		case ":status":
			status = string(f.Header.RawValue)
		}
	}
	return status
}

// The answer to a failed try says whether there is another, and there is just where it said so.
func TestRetryHeader(t *testing.T) {
	const retry = "x-again"
	for _, c := range []struct {
		class, status, unprocessed string
		want                       string
	}{
		{"order", "503", "1", "again"},
		{"order", "503", "0", "502"},
		{"order", "500", "0", "500"},
		{"read", "500", "0", "again"},
		{"cell", "500", "0", "again"},
		{"all", "503", "0", "again"},
		{"read", "404", "0", "404"},
		{"order", "200", "0", "200"},
	} {
		w := newWorld(t, Config{Retries: true, RetryHeader: retry, Linger: limit}, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4")
		s := w.stream()
		first := s.ask(c.class, "id", 1)
		got := s.word(retry, c.status, "x-unprocessed", c.unprocessed, retry, "1")
		if got != c.want {
			t.Errorf("%+v: the word is %s", c, got)
		}
		if got != "again" {
			testkit.Eventually(t, "a slot is kept though there is no other try", func() bool { return w.pool.Engine().OpenCalls() == 0 })
			continue
		}
		s = w.stream()
		if second := s.ask(c.class, "id", 2); second == first || !strings.HasPrefix(second, "127") {
			t.Errorf("%+v: at %s, then %s", c, first, second)
		}
		s.word(retry, "200")
	}
	// The limit of attempts holds.
	w := newWorld(t, Config{Retries: true, RetryHeader: retry, Linger: limit}, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5")
	tries := 0
	for got := "again"; got == "again"; tries++ {
		s := w.stream()
		s.ask("read", "id", tries+1)
		got = s.word(retry, "503", "x-unprocessed", "1")
	}
	if tries != 3 {
		t.Errorf("%d tries, 3 are allowed", tries)
	}
}

// A subset hint is the whole choice: a server of it, or a refusal at once.
func TestSubset(t *testing.T) {
	w := newWorld(t, Config{Within: time.Second}, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4")
	many := make([]string, 5000)
	for i := range many {
		many[i] = fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
	}
	list := func(l ...string) *structpb.Value {
		v := &structpb.ListValue{}
		for _, x := range l {
			v.Values = append(v.Values, structpb.NewStringValue(x))
		}
		return structpb.NewListValue(v)
	}
	for name, c := range map[string]struct {
		hint *structpb.Value
		want string
	}{
		"one":           {structpb.NewStringValue("127.0.0.1:3"), "127.0.0.1:3"},
		"text":          {structpb.NewStringValue(" 127.0.0.1:3 , 127.0.0.9:9"), "127.0.0.1:3"},
		"a list":        {list("127.0.0.9:9", "127.0.0.1:2"), "127.0.0.1:2"},
		"5,000 and one": {list(append(many, "127.0.0.1:4")...), "127.0.0.1:4"},
		"empty":         {structpb.NewStringValue(""), "503 retry-after"},
		"an empty list": {list(), "503 retry-after"},
		"unknown":       {list(many...), "503 retry-after"},
		"nonsense":      {structpb.NewStringValue(",, x,"), "503 retry-after"},
		"another type":  {structpb.NewNumberValue(7), "503 retry-after"},
	} {
		for i := range 8 { // a choice of all four would go elsewhere in most of these
			s := w.stream()
			s.meta = &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{stream.SubsetNamespace: {Fields: map[string]*structpb.Value{stream.SubsetHeader: c.hint}}}}
			if got := s.ask("read", fmt.Sprint(name, i), 1); got != c.want {
				t.Errorf("%s: %s, not %s", name, got, c.want)
			}
			if strings.HasPrefix(c.want, "127") {
				s.answer("200")
			}
		}
	}
	// Only one that drains is named.
	w.pool.Engine().Apply(engine.ListUpdate{Version: "2", Servers: []engine.Listed{{Server: balancer.Server{ID: "127.0.0.1:1", State: balancer.Draining}, Addr: "127.0.0.1:1"}}})
	s := w.stream()
	s.meta = &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{stream.SubsetNamespace: {Fields: map[string]*structpb.Value{stream.SubsetHeader: list("127.0.0.1:1")}}}}
	if got := s.ask("read", "draining", 1); got != "503 retry-after" {
		t.Errorf("a subset that drains: %s", got)
	}
}

// Two streams claim the same id at once: the second is turned away, unless it is the proxy's next try.
func TestSameID(t *testing.T) {
	w := newWorld(t, Config{}, "127.0.0.1:1", "127.0.0.1:2")
	s := w.stream()
	s.ask("order", "id", 1)
	if got := w.stream().ask("order", "id", 1); got != "409" {
		t.Errorf("the same id: %s", got)
	}
	if got := w.stream().ask("order", "id", 2); got != "502" { // the first may have run
		t.Errorf("the next try: %s", got)
	}
	s.answer("200") // for a request that is given up
	// Without ids nothing is told apart.
	a, b := w.stream(), w.stream()
	a.ask("order", "", 1)
	if got := b.ask("order", "", 1); !strings.HasPrefix(got, "127") {
		t.Errorf("without an id: %s", got)
	}
	a.answer("200")
	b.answer("200")
}

// The proxy uses another server than it was told: that is said, and our server is not blamed.
func TestAstray(t *testing.T) {
	w := newWorld(t, Config{}, "127.0.0.1:1")
	s := w.stream()
	s.ask("read", "1", 1)
	s.answer("500", stream.ServedHeader, "10.9.9.9:1")
	if n := w.front.Astray(); n != 1 {
		t.Errorf("%d went astray", n)
	}
	s = w.stream()
	if got := s.ask("read", "2", 1); got != "127.0.0.1:1" {
		t.Errorf("the server that had nothing of it: %s", got)
	}
	s.answer("200", stream.ServedHeader, "127.0.0.1:1")
	if n := w.front.Astray(); n != 1 {
		t.Errorf("%d went astray", n)
	}
}

// What a proxy carries is accounted by the endpoint that served, the zone that the proxy says it stands in, and the
// lengths that it shows.
func TestZones(t *testing.T) {
	in, err := balancer.New(balancer.Settings{
		Classes:     []balancer.Class{{Name: "read", Effect: balancer.Idempotent, Aim: time.Second, Deadline: 5 * time.Second, Worth: 1}},
		MaxAttempts: 3, Tick: time.Millisecond,
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	book := zone.NewBook(nil)
	module = zone.NewModule(in, "p", zone.Config{Home: "a"}, book, 1)
	defer func() { module = nil }()
	w := newWorld(t, Config{})
	n := engine.ListUpdate{Full: true, Version: "2"}
	for i, z := range []string{"a", "b"} {
		addr := fmt.Sprint("127.0.0.1:", i+1)
		n.Servers = append(n.Servers, engine.Listed{Server: balancer.Server{ID: addr, Zone: z}, Addr: addr})
	}
	w.pool.Engine().Apply(n)
	for i, c := range []struct{ from, goes, served string }{
		{"", "127.0.0.1:1", "127.0.0.1:1"}, {"b", "127.0.0.1:2", ""}, {"", "127.0.0.1:1", "127.0.0.1:2"}, {"", "127.0.0.1:1", "10.9.9.9:1"},
	} {
		s := w.stream()
		if got := s.ask("read", fmt.Sprint(i), 1, "x-caller-zone", c.from, "content-length", "100"); got != c.goes {
			t.Errorf("%+v: goes to %s", c, got)
		}
		s.answer("200", stream.ServedHeader, c.served, "content-length", "30")
	}
	testkit.Eventually(t, "calls are left open", func() bool { return w.pool.Engine().OpenCalls() == 0 })
	got := map[zone.Pair]zone.Traffic{}
	for _, r := range book.Rows() {
		got[r.Pair] = r.Traffic
	}
	one := zone.Traffic{Requests: 1, Out: 100, In: 30}
	if want := map[zone.Pair]zone.Traffic{{From: "a", To: "a"}: one, {From: "b", To: "b"}: one, {From: "a", To: "b"}: one, {From: "a"}: one}; !reflect.DeepEqual(got, want) {
		t.Errorf("accounted %v", got)
	}
}

// Safe classes get servers that may be tried without asking again, others none. One that served is no
// stray, and the first of the list is taken for unreachable.
func TestFallbacks(t *testing.T) {
	spares = 2
	defer func() { spares = 0 }()
	w := newWorld(t, Config{}, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4")
	s := w.stream()
	l := strings.Split(s.ask("read", "1", 1), ",")
	if len(l) != 3 || l[0] == l[1] || l[1] == l[2] || l[0] == l[2] {
		t.Fatalf("told %q", l)
	}
	s.answer("200", stream.ServedHeader, l[1])
	if n := w.front.Astray(); n != 0 {
		t.Errorf("%d went astray", n)
	}
	for _, class := range []string{"order", "cell", "all"} {
		s := w.stream()
		if got := s.ask(class, class, 1); strings.Contains(got, ",") {
			t.Errorf("%s is told %s", class, got)
		}
		s.answer("200")
	}
}

// A server that drains between question and decision gets nothing; the time that is left bounds the
// attempt, whose slot is given back when it is over, whatever the proxy does.
func TestTimes(t *testing.T) {
	w := newWorld(t, Config{Linger: time.Millisecond}, "127.0.0.1:1")
	s := w.stream()
	s.ask("order", "1", 1, "x-envoy-expected-rq-timeout-ms", "100")
	testkit.Eventually(t, "the slot is kept beyond its time", func() bool { return w.pool.Engine().OpenCalls() == 0 })
	s.answer("200") // too late
	for _, bad := range []string{"-1", "x", "99999999999"} {
		if got := w.stream().ask("order", "b"+bad, 1, "x-envoy-expected-rq-timeout-ms", bad); got != "400" {
			t.Errorf("time %q: %s", bad, got)
		}
	}
	for v, want := range map[string]time.Duration{
		"1H": time.Hour, "2M": 2 * time.Minute, "3S": 3 * time.Second, "4m": 4 * time.Millisecond,
		"5u": 5 * time.Microsecond, "6n": 6, "99999999H": 1 << 62,
	} {
		if got, ok := grpcTimeout(v); !ok || got != want {
			t.Errorf("%s: %v, %v", v, got, ok)
		}
	}
	for _, v := range []string{"", "S", "1", "1x", "-1S", "+1S", "123456789S", "0S", "1.5S"} {
		if d, ok := grpcTimeout(v); ok {
			t.Errorf("%q passes as %v", v, d)
		}
	}
}

func TestRateLimit(t *testing.T) {
	w := newWorld(t, Config{Rate: 3}, "127.0.0.1:1")
	refused := 0
	for i := range 30 {
		s := w.stream()
		if got := s.ask("read", fmt.Sprint(i), 1); got == "503 retry-after" {
			refused++
		} else {
			s.answer("200")
		}
	}
	if refused == 0 {
		t.Error("no question over the limit")
	}
	l := limits{rate: 10}
	n, b := 0, l.of(0, identity{name: "a"})
	for range 20 {
		if l.take(0, b) {
			n++
		}
	}
	if n != 10 || !l.take(100*time.Millisecond, b) || l.take(100*time.Millisecond, b) {
		t.Errorf("%d at once", n)
	}
}

// A proxy is one over all its connections, by the name that it gives; others are not touched by its limit.
func TestProxyStreams(t *testing.T) {
	w := newWorld(t, Config{ProxyStreams: 2}, "127.0.0.1:1")
	as := func(name string) *side {
		ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(context.Background(), ProxyID, name), limit)
		t.Cleanup(cancel)
		st, err := w.client.Process(ctx)
		if err != nil {
			t.Fatal(err)
		}
		return &side{t, st, cancel, nil}
	}
	var open []*side
	for i := range 2 {
		s := as("a")
		if got := s.ask("read", fmt.Sprint("a", i), 1); got != "127.0.0.1:1" {
			t.Errorf("stream %d: %s", i, got)
		}
		open = append(open, s)
	}
	if got := as("a").ask("read", "a3", 1); got != "503 retry-after" {
		t.Errorf("one too many: %s", got)
	}
	s := as("b")
	if got := s.ask("read", "b", 1); got != "127.0.0.1:1" {
		t.Errorf("another proxy: %s", got)
	}
	s.answer("200")
	for _, s := range open {
		s.answer("200")
	}
	testkit.Eventually(t, "streams are not given back", func() bool {
		w.front.mu.Lock()
		defer w.front.mu.Unlock()
		return w.front.proxies.by[identity{name: "a"}].open == 0
	})
	s = as("a")
	if got := s.ask("read", "a4", 1); got != "127.0.0.1:1" {
		t.Errorf("after they ended: %s", got)
	}
	s.answer("200")
}

// A proxy that does not keep to the protocol has its stream ended, and nothing else.
func TestViolation(t *testing.T) {
	w := newWorld(t, Config{}, "127.0.0.1:1")
	s := w.stream()
	s.ask("read", "1", 1)
	s.st.Send(&extproc.ProcessingRequest{})
	if _, err := s.st.Recv(); status.Code(err) != codes.InvalidArgument {
		t.Errorf("ended with %v", err)
	}
	if r, err := w.health.Check(context.Background(), &healthpb.HealthCheckRequest{Service: "envoy.service.ext_proc.v3.ExternalProcessor"}); err != nil || r.Status != healthpb.HealthCheckResponse_SERVING {
		t.Errorf("health: %v, %v", r, err)
	}
}

// At a shutdown every open stream is finished.
func TestShutdown(t *testing.T) {
	w := newWorld(t, Config{}, "127.0.0.1:1")
	s := w.stream()
	s.ask("read", "1", 1)
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		done <- w.front.Shutdown(ctx)
	}()
	testkit.Eventually(t, "new streams are still taken", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := w.health.Check(ctx, &healthpb.HealthCheckRequest{})
		return err != nil
	})
	s.answer("200")
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("Shutdown: %v", err)
		}
	case <-time.After(limit):
		t.Error("Shutdown waits for nothing")
	}
}

// A whole proxy dies with its streams: every slot comes back.
func TestProxyDies(t *testing.T) {
	w := newWorld(t, Config{Linger: 20 * time.Millisecond}, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	var all sync.WaitGroup
	for i := range 300 {
		all.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			st, err := w.client.Process(ctx)
			if err != nil {
				return
			}
			st.Send(&extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_RequestHeaders{RequestHeaders: &extproc.HttpHeaders{
				Headers: fields(":method", "POST", ":path", "/order/1", ":authority", "a", "x-request-id", fmt.Sprint(i)),
			}}})
			if i%2 == 0 {
				st.Recv()
			}
		})
	}
	all.Wait()
	testkit.Eventually(t, "slots are not given back", func() bool { return w.pool.Engine().OpenCalls() == 0 })
	if used, _ := w.pool.Shares().Calls.Used(); used != 0 {
		t.Errorf("room for %d calls is not given back", used)
	}
}

func TestBook(t *testing.T) {
	b := newBook(3)
	tickets := make([]*ticket, 6)
	for i := range tickets {
		tickets[i] = &ticket{}
		if found, _, _ := b.enter(0, fmt.Sprint(i), tickets[i]); found {
			t.Errorf("%d is known", i)
		}
	}
	if found, open, _ := b.enter(0, "1", &ticket{}); !found || open != tickets[1] {
		t.Error("an open one is not found")
	}
	b.close(0, "1", tickets[0], engine.Answer{}, time.Second) // not its ticket
	for i := range tickets {
		b.close(time.Duration(i), fmt.Sprint(i), tickets[i], engine.Answer{Verdict: engine.Failed}, time.Second)
	}
	if n := b.size(); n != 3 {
		t.Errorf("%d are remembered, 3 at most", n)
	}
	if found, open, a := b.enter(10, "5", &ticket{}); !found || open != nil || a.Verdict != engine.Failed {
		t.Errorf("what became of it: %v %v %v", found, open, a)
	}
	if found, _, _ := b.enter(2*time.Second, "5", &ticket{}); found {
		t.Error("remembered for too long")
	}
	if found, _, _ := b.enter(0, "", &ticket{}); found {
		t.Error("no id is known")
	}
}
