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

// moduleFunc is a module whose Handle is a function.
type moduleFunc func(e balancer.Event) []balancer.Action

func (f moduleFunc) Handle(_ time.Duration, e balancer.Event) []balancer.Action { return f(e) }

// manualSender is a sender whose attempts are ended by the test.
type manualSender struct {
	started chan *Attempt
	ctx     sync.Map // from *Attempt to its context
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
		t.Fatal("the attempt's context has not ended")
	}
	return context.Cause(ctx)
}

// reply counts how often it is released.
type reply struct{ released atomic.Int64 }

func (r *reply) Release() { r.released.Add(1) }

// receiver records what it is notified of.
type receiver struct {
	began chan Reply
	ended chan Answer
}

func newReceiver() *receiver {
	return &receiver{make(chan Reply, 10), make(chan Answer, 10)}
}
func (r *receiver) ResponseStarted(b Reply) { r.began <- b }
func (r *receiver) Ended(a Answer)          { r.ended <- a }

var classes = []balancer.Class{
	{
		Name:     "order",
		Effect:   balancer.NonIdempotent,
		Aim:      time.Second,
		Deadline: limit,
		Worth:    1,
	},
	{
		Name:     "read",
		Effect:   balancer.Idempotent,
		Aim:      time.Second,
		Deadline: limit,
		Worth:    1,
	},
}

func settings() balancer.Settings {
	return balancer.Settings{
		Classes:      classes,
		Balancers:    1,
		MaxAttempts:  4,
		MayCancel:    true,
		SecondCopies: true,
		Tick:         time.Millisecond,
	}
}

// startEngine runs an engine until the end of the test; its module is a balancer.Balancer unless cfg has one.
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

// startWithServers runs an engine with a balancer.Balancer and these servers; the test ends the attempts.
func startWithServers(t *testing.T, ids ...string) (*Engine, *manualSender) {
	t.Helper()
	sender := newManualSender()
	e := startEngine(t, Config{Sender: sender})
	e.Start(serverList(ids...))
	return e, sender
}

// serverList is the complete list of these servers, all of them ready, with the version 1.
func serverList(ids ...string) ListUpdate {
	n := ListUpdate{Full: true, Version: "1"}
	for _, id := range ids {
		n.Servers = append(n.Servers, Listed{balancer.Server{ID: id}, id + ":1"})
	}
	return n
}

// newCall returns a call whose deadline is after left, and its receiver.
func newCall(e *Engine, id, class string, left time.Duration) (*Call, *receiver) {
	r := newReceiver()
	now := e.Now()
	return &Call{
		ID:         id,
		Class:      class,
		Deadline:   now + left,
		FallbackAt: now + left + left/10,
		Receiver:   r,
	}, r
}

// waitIdle returns once the engine has handled everything that was posted before.
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
	a.End(balancer.Success, late) // has no effect: an attempt ends once
	waitIdle(t, e)
	if e.OpenCalls() != 0 || len(r.ended) != 0 || got.released.Load() != 0 || late.released.Load() != 1 {
		t.Errorf(
			"%d calls open, %d more answers, first reply released %d times, second %d times",
			e.OpenCalls(),
			len(r.ended),
			got.released.Load(),
			late.released.Load(),
		)
	}
}

// Endings that prove that nothing ran lead to another attempt even of a call that is not idempotent. All others fail it.
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

// MayWrite refuses an attempt whose call has finished, or whose endpoint has become unusable, since it was started.
func TestBeginRefusesFinishedCallAndUnusableEndpoint(t *testing.T) {
	e, h := startWithServers(t, "a")
	c, _ := newCall(e, "c-1", "read", limit)
	e.Submit(c)
	a := testkit.Wait(t, h.started)
	if _, ok := a.MayWrite(); !ok {
		t.Error("MayWrite refuses an attempt that has just started")
	}
	n := serverList("a")
	n.Servers[0].State = balancer.Draining
	e.Apply(n)
	testkit.Wait(t, h.dropped)
	waitIdle(t, e)
	if ending, ok := a.MayWrite(); ok || ending != balancer.Unreachable {
		t.Errorf("MayWrite at a draining server: %v %v", ending, ok)
	}
	e.Apply(serverList("a"))
	e.CallerGone(c)
	waitIdle(t, e)
	if ending, ok := a.MayWrite(); ok || ending != balancer.NeverSent {
		t.Errorf("MayWrite for a caller that has gone: %v %v", ending, ok)
	}
	if cause := h.cause(t, a); !errors.Is(cause, ErrWithdrawn) {
		t.Errorf("the cause of its end is %v", cause)
	}
	if e.OpenCalls() != 1 {
		t.Errorf("%d calls open while an attempt is in flight", e.OpenCalls())
	}
	a.End(balancer.Canceled, nil)
	waitIdle(t, e)
	if e.OpenCalls() != 0 {
		t.Errorf("%d calls open", e.OpenCalls())
	}
}

// A call with the id of an open one is rejected; later the id may be used again. Calls without an id are never duplicates.
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
		e.CallerGone(again) // has no effect on the first call
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

// A call that the module never answers gets the fallback answer, and the module is notified.
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

// Calls that wait for a server count against a limit. Over it they are rejected at once, and each that stops waiting returns
// its part.
func TestPendingLimitRejectsAndReleases(t *testing.T) {
	h, pending := newManualSender(), testkit.NewSharedLimit(2)
	e := startEngine(t, Config{Sender: h, Pending: pending})
	var receivers []*receiver
	var calls []*Call
	for i := range 3 {
		c, r := newCall(e, fmt.Sprint(i), "order", limit) // waits, since there is no server
		e.Submit(c)
		receivers, calls = append(receivers, r), append(calls, c)
	}
	if a := testkit.Wait(t, receivers[2].ended); a.Verdict != Rejected || a.RetryAfter <= 0 {
		t.Errorf("over the limit: %+v", a)
	}
	e.CallerGone(calls[0])
	waitIdle(t, e)
	if n := pending.Left(); n != 1 {
		t.Errorf("%d of the limit are left after one caller has gone, want 1", n)
	}
	e.Apply(serverList("a"))
	testkit.Wait(t, h.started).End(balancer.Success, &reply{})
	testkit.Wait(t, receivers[1].ended)
	waitIdle(t, e)
	if n := pending.Left(); n != 2 || e.OpenCalls() != 0 {
		t.Errorf("%d of the limit are left at the end, %d calls open", n, e.OpenCalls())
	}
}

// A carrier that has answered the caller itself ends call and attempt in one step, and no answer follows.
func TestEndCallAndAttemptGivesNoAnswer(t *testing.T) {
	e, h := startWithServers(t, "a")
	for range 3 {
		c, r := newCall(e, "c-1", "order", limit)
		e.Submit(c)
		a := testkit.Wait(t, h.started)
		e.EndCallAndAttempt(c, a, balancer.Failure)
		e.EndCallAndAttempt(c, a, balancer.Failure) // a second call has no effect
		a.End(balancer.Success, nil)
		waitIdle(t, e)
		if e.OpenCalls() != 0 || len(r.ended) != 0 {
			t.Errorf("%d calls open, %d answers", e.OpenCalls(), len(r.ended))
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
	if late.released.Load() != 1 || e.OpenCalls() != 0 {
		t.Errorf("late reply released %d times, %d calls open", late.released.Load(), e.OpenCalls())
	}
}
