package engine

import (
	"context"
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

// manualSender is a sender whose attempts end when the test ends them.
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

// cause waits for the end of an attempt's context and returns its cause.
func (h *manualSender) cause(t *testing.T, a *Attempt) error {
	t.Helper()
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

var classes = []balancer.Class{
	{Name: "order", Effect: balancer.NonIdempotent, Aim: time.Second, Deadline: limit, Worth: 1},
	{Name: "read", Effect: balancer.Idempotent, Aim: time.Second, Deadline: limit, Worth: 1},
}

func settings() balancer.Settings {
	return balancer.Settings{
		Classes: classes, Balancers: 1, MaxAttempts: 4, MayCancel: true,
		SecondCopies: true, Tick: time.Millisecond,
	}
}

// startEngine runs an engine until the test ends. Without a module in cfg it gets the real one.
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

// startWithServers runs an engine with the real module and these servers, whose attempts the test ends by hand.
func startWithServers(t *testing.T, ids ...string) (*Engine, *manualSender) {
	t.Helper()
	sender := newManualSender()
	e := startEngine(t, Config{Sender: sender})
	e.Start(serverList(ids...))
	return e, sender
}

// serverList is a full list, version 1, of servers that are ready.
func serverList(ids ...string) News {
	n := News{Full: true, Version: "1"}
	for _, id := range ids {
		n.Servers = append(n.Servers, Listed{balancer.Server{ID: id}, id + ":1"})
	}
	return n
}

// newCall returns a call that is due after left, and its receiver.
func newCall(e *Engine, id, class string, left time.Duration) (*Call, *receiver) {
	r := newReceiver()
	now := e.Now()
	return &Call{ID: id, Class: class, Deadline: now + left, Last: now + left + left/10, To: r}, r
}

// waitIdle returns once the engine has handled all that was posted before.
func waitIdle(t testing.TB, e *Engine) {
	t.Helper()
	done := make(chan struct{})
	e.Do(func() { close(done) })
	testkit.Wait(t, done)
}

func TestSuccessAnswersCallOnce(t *testing.T) {
	e, h := startWithServers(t, "a", "b")
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
func TestUnsafeCallIsRetriedOnlyIfNothingRan(t *testing.T) {
	for _, c := range []struct {
		ending balancer.Ending
		again  bool
	}{
		{balancer.Unreachable, true},
		{balancer.Overloaded, true},
		{balancer.Failure, false},
		{balancer.Broken, false},
		{balancer.TimedOut, false},
		{balancer.Canceled, false},
	} {
		e, h := startWithServers(t, "a", "b", "c")
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
func TestBeginRefusesFinishedCallAndUnusableEndpoint(t *testing.T) {
	e, h := startWithServers(t, "a")
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
	if ending, ok := a.Begin(); ok || ending != balancer.NeverSent {
		t.Errorf("begins for a caller that has gone: %v %v", ending, ok)
	}
	if cause := h.cause(t, a); cause != ErrWithdrawn {
		t.Errorf("the attempt ends with %v", cause)
	}
	if e.Open() != 1 {
		t.Errorf("%d calls open while an attempt is out", e.Open())
	}
	a.End(balancer.Canceled, nil)
	waitIdle(t, e)
	if e.Open() != 0 {
		t.Errorf("%d calls open", e.Open())
	}
}

// An id that is open is turned away; once it is not, it may come again. No id is never open.
func TestOpenIDIsRejectedAsDuplicate(t *testing.T) {
	e, h := startWithServers(t, "a")
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
func TestSilentModuleGetsFallbackAnswer(t *testing.T) {
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

// Calls that wait for a server are counted: over the limit they are refused at once, and each that
// stops waiting gives its place back.
func TestPendingLimitRejectsAndReleases(t *testing.T) {
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

// Whoever carried the attempt has answered the caller: both are over, and no answer follows.
func TestEndCallAndAttemptGivesNoAnswer(t *testing.T) {
	e, h := startWithServers(t, "a")
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

func TestAbandonAllFailsOpenCalls(t *testing.T) {
	e, h := startWithServers(t, "a")
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
