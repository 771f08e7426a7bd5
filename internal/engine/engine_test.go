package engine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cranegrade/balancer"
	"cranegrade/internal/testkit"
)

const limit = testkit.Limit

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// moduleFunc is a module of a test's own.
type moduleFunc func(e balancer.Event) []balancer.Action

func (f moduleFunc) Handle(_ time.Duration, e balancer.Event) []balancer.Action { return f(e) }

// manualSender is a sender whose attempts end when the test says so.
type manualSender struct {
	started chan *Attempt
	ctx     sync.Map // *Attempt to its context
	dropped chan string
}

func newManualSender() *manualSender {
	return &manualSender{started: make(chan *Attempt, 100), dropped: make(chan string, 100)}
}

func (h *manualSender) Start(ctx context.Context, a *Attempt) {
	h.ctx.Store(a, ctx)
	h.started <- a
}
func (h *manualSender) Drop(ep *Endpoint) { h.dropped <- ep.ID }
func (h *manualSender) Sweep()            {}

func (h *manualSender) cause(t *testing.T, a *Attempt) error {
	v, _ := h.ctx.Load(a)
	ctx := v.(context.Context)
	select {
	case <-ctx.Done():
	case <-time.After(limit):
		t.Fatal("the attempt's context goes on")
	}
	return context.Cause(ctx)
}

// reply counts how often it is released.
type reply struct{ released atomic.Int64 }

func (r *reply) Release() { r.released.Add(1) }

// receiver keeps what it is told.
type receiver struct {
	began chan Reply
	ended chan Answer
}

func newReceiver() *receiver {
	return &receiver{make(chan Reply, 10), make(chan Answer, 10)}
}
func (r *receiver) Began(b Reply)  { r.began <- b }
func (r *receiver) Ended(a Answer) { r.ended <- a }

var classes = []balancer.Class{{Name: "order", Effect: balancer.Unsafe, Aim: time.Second, Deadline: limit, Worth: 1},
	{Name: "read", Effect: balancer.Safe, Aim: time.Second, Deadline: limit, Worth: 1}}

func settings() balancer.Settings {
	return balancer.Settings{Classes: classes, Balancers: 1, MaxAttempts: 4, MayCancel: true,
		SecondCopies: true, Tick: time.Millisecond}
}

// startEngine runs an engine until the test ends; nil m stands for the real module.
func startEngine(t testing.TB, cfg Config) *Engine {
	t.Helper()
	if cfg.Module == nil {
		b, err := balancer.New(settings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		cfg.Module = b
	}
	cfg.Clock = NewClock()
	e := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	go e.Run(ctx)
	t.Cleanup(func() {
		cancel()
		testkit.Wait(t, e.Done())
	})
	return e
}

func serverList(ids ...string) News {
	n := News{Full: true, Version: "1"}
	for _, id := range ids {
		n.Servers = append(n.Servers, Listed{balancer.Server{ID: id}, id + ":1"})
	}
	return n
}

func newCall(e *Engine, id, class string, left time.Duration) (*Call, *receiver) {
	r := newReceiver()
	now := e.Now()
	return &Call{ID: id, Class: class, Deadline: now + left, Last: now + left + left/10, To: r}, r
}

// waitIdle returns once the engine has worked off what was posted before.
func waitIdle(t testing.TB, e *Engine) {
	t.Helper()
	done := make(chan struct{})
	e.Do(func() { close(done) })
	testkit.Wait(t, done)
}

func TestServed(t *testing.T) {
	h := newManualSender()
	e := startEngine(t, Config{Sender: h})
	e.Start(serverList("a", "b"))
	c, r := newCall(e, "c-1", "order", limit)
	c.Payload = "payload"
	e.Submit(c)
	a := testkit.Wait(t, h.started)
	if a.Payload != "payload" || a.Timeout <= 0 || a.Timeout > limit {
		t.Errorf("attempt %+v", a)
	}
	got := &reply{}
	a.End(balancer.Success, got)
	if ans := testkit.Wait(t, r.ended); ans.Verdict != Served || ans.Reply != got {
		t.Errorf("answer %+v", ans)
	}
	late := &reply{}
	a.End(balancer.Success, late) // an attempt ends once
	waitIdle(t, e)
	if e.Open() != 0 || len(r.ended) != 0 || got.released.Load() != 0 || late.released.Load() != 1 {
		t.Errorf("%d open, %d more answers, released %d and %d", e.Open(), len(r.ended), got.released.Load(), late.released.Load())
	}
}

// The endings that prove that nothing ran lead to another attempt, even of an unsafe call; the others
// to its failure.
func TestEndingsOfUnsafe(t *testing.T) {
	for _, c := range []struct {
		ending balancer.Ending
		again  bool
	}{{balancer.Unreachable, true}, {balancer.Overloaded, true}, {balancer.Failure, false},
		{balancer.Broken, false}, {balancer.TimedOut, false}, {balancer.Withdrawn, false}} {
		h := newManualSender()
		e := startEngine(t, Config{Sender: h})
		e.Start(serverList("a", "b", "c"))
		call, r := newCall(e, "c-1", "order", limit)
		e.Submit(call)
		testkit.Wait(t, h.started).End(c.ending, nil)
		if c.again {
			testkit.Wait(t, h.started).End(balancer.Success, &reply{})
			if a := testkit.Wait(t, r.ended); a.Verdict != Served {
				t.Errorf("ending %d: answer %+v", c.ending, a)
			}
		} else if a := testkit.Wait(t, r.ended); a.Verdict != Failed {
			t.Errorf("ending %d: answer %+v", c.ending, a)
		}
		waitIdle(t, e)
		if len(h.started) > 0 {
			t.Errorf("ending %d: another attempt", c.ending)
		}
	}
}

// At the moment of writing an attempt asks again: a finished call or an endpoint that has left the
// list stops it.
func TestBegin(t *testing.T) {
	h := newManualSender()
	e := startEngine(t, Config{Sender: h})
	e.Start(serverList("a"))
	c, _ := newCall(e, "c-1", "read", limit)
	e.Submit(c)
	a := testkit.Wait(t, h.started)
	if _, ok := a.Begin(); !ok {
		t.Error("may not begin at once")
	}
	n := serverList("a")
	n.Servers[0].State = balancer.Draining
	e.Apply(n)
	testkit.Wait(t, h.dropped)
	waitIdle(t, e)
	if ending, ok := a.Begin(); ok || ending != balancer.Unreachable {
		t.Errorf("begins at a server that drains: %v %v", ending, ok)
	}
	e.Apply(serverList("a"))
	e.Gone(c)
	waitIdle(t, e)
	if ending, ok := a.Begin(); ok || ending != balancer.Void {
		t.Errorf("begins for a caller that has gone: %v %v", ending, ok)
	}
	if cause := h.cause(t, a); cause != ErrWithdrawn {
		t.Errorf("the attempt ends with %v", cause)
	}
	if e.Open() != 1 {
		t.Errorf("%d calls open while an attempt is out", e.Open())
	}
	a.End(balancer.Withdrawn, nil)
	waitIdle(t, e)
	if e.Open() != 0 {
		t.Errorf("%d calls open", e.Open())
	}
}

// An id that is open is turned away; once it is not, it may come again. No id is never open.
func TestDuplicateID(t *testing.T) {
	h := newManualSender()
	e := startEngine(t, Config{Sender: h})
	e.Start(serverList("a"))
	for range 2 {
		first, r := newCall(e, "c-1", "read", limit)
		again, r2 := newCall(e, "c-1", "read", limit)
		e.Submit(first)
		e.Submit(again)
		if a := testkit.Wait(t, r2.ended); a.Verdict != Duplicate {
			t.Errorf("answer %+v", a)
		}
		e.Gone(again) // which the engine never took
		testkit.Wait(t, h.started).End(balancer.Success, &reply{})
		testkit.Wait(t, r.ended)
		waitIdle(t, e)
	}
	for range 2 {
		c, _ := newCall(e, "", "read", limit)
		e.Submit(c)
		testkit.Wait(t, h.started)
	}
}

// Whatever the module forgets, the caller has an answer, and the module hears of it.
func TestLastCall(t *testing.T) {
	gone := make(chan balancer.ClientGone, 1)
	e := startEngine(t, Config{Sender: newManualSender(), Module: moduleFunc(func(ev balancer.Event) []balancer.Action {
		if g, is := ev.(balancer.ClientGone); is {
			gone <- g
		}
		return nil
	})})
	c, r := newCall(e, "c-1", "read", 10*time.Millisecond)
	e.Submit(c)
	if a := testkit.Wait(t, r.ended); a.Verdict != Failed {
		t.Errorf("answer %+v", a)
	}
	testkit.Wait(t, gone)
}

// Once a streamed reply has begun it belongs to its attempt: other attempts are withdrawn, there is no
// deadline, and a break midway is the call's failure, never a second run.
func TestStream(t *testing.T) {
	for _, broken := range []bool{false, true} {
		h := newManualSender()
		started := make(chan balancer.Started, 1)
		outcomes := make(chan balancer.Outcome, 10)
		m, err := balancer.New(settings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		clock := NewClock()
		e := startEngine(t, Config{Sender: h, Module: moduleFunc(func(ev balancer.Event) []balancer.Action {
			switch ev := ev.(type) {
			case balancer.Request: // and a second copy, as a module that hedges would send
				return append(m.Handle(clock.Now(), ev), balancer.Send{ID: ev.ID, Server: "b"})
			case balancer.Started:
				started <- ev
				return []balancer.Action{balancer.Cancel{ID: ev.ID, Attempt: 1 - ev.Attempt}}
			case balancer.Outcome:
				outcomes <- ev
				return nil
			}
			return m.Handle(clock.Now(), ev)
		})})
		e.Start(serverList("a", "b"))
		c, r := newCall(e, "c-1", "read", 50*time.Millisecond)
		e.Submit(c)
		first, second := testkit.Wait(t, h.started), testkit.Wait(t, h.started)
		head, loser := &reply{}, &reply{}
		second.Began(head)
		if b := testkit.Wait(t, r.began); b != head {
			t.Errorf("began with %v", b)
		}
		if s := testkit.Wait(t, started); s.Attempt != 1 {
			t.Errorf("started %+v", s)
		}
		if cause := h.cause(t, first); cause != ErrWithdrawn {
			t.Errorf("the other attempt ends with %v", cause)
		}
		first.Began(loser) // crosses the cancel
		first.End(balancer.Success, nil)
		waitIdle(t, e)
		if loser.released.Load() != 1 || len(r.ended) != 0 {
			t.Errorf("the loser: released %d times, %d answers", loser.released.Load(), len(r.ended))
		}
		// Past the deadline and the last call the stream still runs.
		for e.Now() < c.Last+time.Millisecond {
			time.Sleep(time.Millisecond)
		}
		waitIdle(t, e)
		if len(r.ended) != 0 {
			t.Fatal("a stream that has begun ended at the deadline")
		}
		if testkit.Wait(t, outcomes); broken {
			second.End(balancer.Broken, nil)
		} else {
			second.End(balancer.Success, nil)
		}
		if a := testkit.Wait(t, r.ended); (a.Verdict == Failed) != broken {
			t.Errorf("broken %v: answer %+v", broken, a)
		}
		if o := testkit.Wait(t, outcomes); !o.Ended || o.Attempt != 1 {
			t.Errorf("outcome %+v", o)
		}
		waitIdle(t, e)
		if e.Open() != 0 || len(h.started) != 0 {
			t.Errorf("%d calls open, %d more attempts", e.Open(), len(h.started))
		}
	}
}

// Calls that wait for a server are counted: over the limit they are refused at once, and each that
// stops waiting gives its place back.
func TestHeldLimit(t *testing.T) {
	h, held := newManualSender(), testkit.NewRoom(2)
	e := startEngine(t, Config{Sender: h, Pending: held})
	var rs []*receiver
	var cs []*Call
	for i := range 3 {
		c, r := newCall(e, fmt.Sprint(i), "order", limit) // and no server
		e.Submit(c)
		rs, cs = append(rs, r), append(cs, c)
	}
	if a := testkit.Wait(t, rs[2].ended); a.Verdict != Refused || a.RetryAfter <= 0 {
		t.Errorf("over the limit: %+v", a)
	}
	e.Gone(cs[0])
	waitIdle(t, e)
	if n := held.Left(); n != 1 {
		t.Errorf("room for %d after one has gone, not 1", n)
	}
	e.Apply(serverList("a"))
	testkit.Wait(t, h.started).End(balancer.Success, &reply{})
	testkit.Wait(t, rs[1].ended)
	waitIdle(t, e)
	if n := held.Left(); n != 2 || e.Open() != 0 {
		t.Errorf("room for %d after all, %d open", n, e.Open())
	}
}

// observingSource is a source that hears of attempts.
type observingSource struct {
	*scriptedSource
	began, ended, dropped atomic.Int64
}

func (o *observingSource) Began(string)                  { o.began.Add(1) }
func (o *observingSource) Ended(string, balancer.Ending) { o.ended.Add(1) }
func (o *observingSource) Dropped()                      { o.dropped.Add(1) }

// A source may have a share of calls refused: harmlessly, with advice, and without a word to the module.
func TestDrops(t *testing.T) {
	h, o := newManualSender(), &observingSource{scriptedSource: newScriptedSource("drops")}
	e := startEngine(t, Config{Sender: h, Source: o})
	n := serverList("a", "b", "c", "d")
	n.Drop = 0.5
	e.Apply(n)
	const calls = 400
	refused := 0
	for i := range calls {
		c, r := newCall(e, fmt.Sprint(i), "order", limit)
		e.Submit(c)
		select {
		case a := <-h.started:
			a.End(balancer.Success, nil)
			if ans := testkit.Wait(t, r.ended); ans.Verdict != Served {
				t.Fatalf("answer %+v", ans)
			}
		case ans := <-r.ended:
			if ans.Verdict != Refused || ans.RetryAfter <= 0 {
				t.Fatalf("answer %+v", ans)
			}
			refused++
		case <-time.After(limit):
			t.Fatal("neither")
		}
	}
	waitIdle(t, e)
	if refused < calls/4 || refused > calls*3/4 || o.dropped.Load() != int64(refused) ||
		o.began.Load() != int64(calls-refused) || o.ended.Load() != o.began.Load() || e.Open() != 0 {
		t.Errorf("%d refused of %d; the source heard of %d, of %d begun and %d ended; %d open", refused, calls,
			o.dropped.Load(), o.began.Load(), o.ended.Load(), e.Open())
	}
	n.Drop = 0
	e.Apply(n)
	for i := range 50 {
		c, r := newCall(e, fmt.Sprint("more", i), "order", limit)
		e.Submit(c)
		testkit.Wait(t, h.started).End(balancer.Success, nil)
		testkit.Wait(t, r.ended)
	}
}

// Whoever carried the attempt has answered the caller: both are over, and no answer follows.
func TestSettle(t *testing.T) {
	h := newManualSender()
	e := startEngine(t, Config{Sender: h})
	e.Start(serverList("a"))
	for range 3 {
		c, r := newCall(e, "c-1", "order", limit)
		e.Submit(c)
		a := testkit.Wait(t, h.started)
		e.EndCallAndAttempt(c, a, balancer.Failure)
		e.EndCallAndAttempt(c, a, balancer.Failure) // again changes nothing
		a.End(balancer.Success, nil)
		waitIdle(t, e)
		if e.Open() != 0 || len(r.ended) != 0 {
			t.Errorf("%d open, %d answers", e.Open(), len(r.ended))
		}
	}
}

func TestAbandonAll(t *testing.T) {
	h := newManualSender()
	e := startEngine(t, Config{Sender: h})
	e.Start(serverList("a"))
	c, r := newCall(e, "c-1", "order", limit)
	e.Submit(c)
	a := testkit.Wait(t, h.started)
	e.AbandonAll()
	if ans := testkit.Wait(t, r.ended); ans.Verdict != Failed {
		t.Errorf("answer %+v", ans)
	}
	late := &reply{}
	a.End(balancer.Success, late)
	waitIdle(t, e)
	if late.released.Load() != 1 || e.Open() != 0 {
		t.Errorf("late reply released %d times, %d open", late.released.Load(), e.Open())
	}
}

// The engine must not use a server that a list no longer names, nor an address that it has left.
func TestListRulesEndpoints(t *testing.T) {
	e := New(Config{Clock: NewClock(), Sender: newManualSender(), Module: moduleFunc(func(balancer.Event) []balancer.Action { return nil })})
	e.apply(serverList("a", "b", "c"))
	a, b, c := e.endpoints["a"], e.endpoints["b"], e.endpoints["c"]
	drain := serverList("a", "b")
	drain.Full, drain.Servers[0].State, drain.Servers[1].Addr = false, balancer.Draining, "b:9"
	e.apply(drain)
	if a.Usable() || b.Usable() || !c.Usable() || !e.endpoints["b"].Usable() {
		t.Error("after changes: a drains, b moved, c stays")
	}
	back := serverList("a")
	back.Full = false
	e.apply(back)
	if !a.Usable() || e.endpoints["a"] != a {
		t.Error("a serves again")
	}
	e.apply(serverList("a"))
	if c.Usable() || len(e.endpoints) != 1 {
		t.Error("a full list that names only a")
	}
	restarted := serverList("a")
	restarted.Servers[0].Boot = time.Second
	e.apply(restarted)
	if a.Usable() || !e.endpoints["a"].Usable() {
		t.Error("a started anew: its old connections are of no use")
	}
}

// scriptedSource is a source that a test feeds.
type scriptedSource struct {
	name   string
	asked  chan string
	news   chan News
	fail   chan error
	closed chan struct{}
}

func newScriptedSource(name string) *scriptedSource {
	return &scriptedSource{name, make(chan string, 100), make(chan News), make(chan error), make(chan struct{}, 100)}
}

func (s *scriptedSource) String() string { return s.name }
func (s *scriptedSource) Follow(ctx context.Context, since string, news func(News)) error {
	s.asked <- since
	defer func() { s.closed <- struct{}{} }()
	for {
		select {
		case n := <-s.news:
			news(n)
		case err := <-s.fail:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// One source is followed at a time, from the version that was applied last; another source from the
// beginning, whose news alone count.
func TestSources(t *testing.T) {
	one, two := newScriptedSource("one"), newScriptedSource("two")
	lists := make(chan balancer.ServerList, 10)
	e := startEngine(t, Config{Sender: newManualSender(), Source: one, Pushed: true, Module: moduleFunc(func(ev balancer.Event) []balancer.Action {
		if l, is := ev.(balancer.ServerList); is {
			lists <- l
		}
		return nil
	})})
	e.Start(serverList("a"))
	testkit.Wait(t, lists)
	if v := testkit.Wait(t, one.asked); v != "1" {
		t.Errorf("asked since %q", v)
	}
	n := serverList("a", "b")
	n.Version = "2"
	one.news <- n
	testkit.Wait(t, lists)
	one.fail <- errors.New("broke")
	if v := testkit.Wait(t, one.asked); v != "2" {
		t.Errorf("after a break asked since %q", v)
	}
	testkit.Wait(t, one.closed)
	e.SetSource(two)
	if v := testkit.Wait(t, two.asked); v != "" {
		t.Errorf("the new source asked since %q", v)
	}
	testkit.Wait(t, one.closed)
	two.fail <- errors.New("down from the start")
	if v := testkit.Wait(t, two.asked); v != "" {
		t.Errorf("again since %q", v)
	}
	waitIdle(t, e)
	e.Do(func() {
		if len(e.endpoints) != 2 {
			t.Errorf("the list does not stay as it was: %d", len(e.endpoints))
		}
	})
	two.news <- serverList("c")
	if l := testkit.Wait(t, lists); len(l.Servers) != 1 || l.Servers[0].ID != "c" {
		t.Errorf("list %+v", l)
	}
}

// instantSender answers at once.
type instantSender struct{ r reply }

func (s *instantSender) Start(_ context.Context, a *Attempt) { go a.End(balancer.Success, &s.r) }
func (s *instantSender) Drop(*Endpoint)                      {}
func (s *instantSender) Sweep()                              {}

type signal chan struct{}

func (s signal) Began(Reply)  {}
func (s signal) Ended(Answer) { s <- struct{}{} }

// BenchmarkEngine measures calls through one engine whose sender answers at once.
func BenchmarkEngine(b *testing.B) {
	e := startEngine(b, Config{Sender: &instantSender{}})
	e.Start(serverList("a", "b", "c", "d", "e", "f", "g", "h", "i", "j"))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		done := make(signal, 1)
		for pb.Next() {
			now := e.Now()
			e.Submit(&Call{Class: "read", Deadline: now + time.Second, Last: now + 2*time.Second, To: done})
			<-done
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

// alternatingSender is a sender that ends every attempt at once and keeps nothing.
type alternatingSender struct{}

func (alternatingSender) Start(_ context.Context, a *Attempt) {
	go a.End([]balancer.Ending{balancer.Success, balancer.Unreachable}[int(a.Endpoint.ID[len(a.Endpoint.ID)-1])%2], nil)
}
func (alternatingSender) Drop(*Endpoint) {}
func (alternatingSender) Sweep()         {}

// What an engine and its module hold for servers that are gone: nothing, however many there were.
func TestChurnIsForgotten(t *testing.T) {
	e := startEngine(t, Config{Sender: alternatingSender{}})
	var first []string
	for i := range 60 {
		first = append(first, fmt.Sprintf("s%06d", i))
	}
	e.Start(serverList(first...))
	var held []int
	for i := range 7200 { // an hour of two a second
		gone, come := fmt.Sprintf("s%06d", i), fmt.Sprintf("s%06d", i+60)
		n := serverList(gone, come)
		n.Full, n.Servers[0].State, n.Servers[1].Boot = false, balancer.Gone, e.Now()
		e.Apply(n)
		if i%4 == 0 {
			c, r := newCall(e, fmt.Sprint("c-", i), "read", limit)
			e.Submit(c)
			testkit.Wait(t, r.ended)
		}
		if i%1800 == 1799 {
			testkit.Eventually(t, "attempts still out", func() bool { waitIdle(t, e); return e.Open() == 0 })
			e.Do(func() {
				held = append(held, testkit.Held(e.endpoints)+testkit.Held(e.idByAddr)+testkit.Held(e.calls)+
					testkit.Held(e.callerIDs)+testkit.Held(e.cfg.Module))
			})
			waitIdle(t, e)
		}
	}
	t.Log("held:", held)
	if held[3] > held[0]*5/4 {
		t.Errorf("held after each quarter: %v", held)
	}
}
