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

// testTimeout is how long a test waits for something that should happen at once, and the deadline of calls that should not
// reach it.
const testTimeout = testkit.Limit

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// moduleFunc implements Module with a function.
type moduleFunc func(e balancer.Event) []balancer.Action

func (f moduleFunc) Handle(_ time.Duration, e balancer.Event) []balancer.Action { return f(e) }

// manualSender is a Sender that only records attempts; the test ends them.
type manualSender struct {
	started chan *Attempt
	ctx     sync.Map    // context by *Attempt
	dropped chan string // endpoint ids of Drop
}

func newManualSender() *manualSender {
	return &manualSender{started: make(chan *Attempt, 100), dropped: make(chan string, 100)}
}

func (s *manualSender) Start(ctx context.Context, a *Attempt) {
	s.ctx.Store(a, ctx)
	s.started <- a
}
func (s *manualSender) Drop(ep *Endpoint) { s.dropped <- ep.ID }
func (s *manualSender) Sweep()            {}

// cause waits for the end of an attempt's context and returns its cause.
func (s *manualSender) cause(t *testing.T, a *Attempt) error {
	t.Helper()
	value, _ := s.ctx.Load(a)
	ctx := value.(context.Context)
	select {
	case <-ctx.Done():
	case <-time.After(testTimeout):
		t.Fatal("the attempt's context has not ended")
	}
	return context.Cause(ctx)
}

// reply is a Reply that counts its releases.
type reply struct{ released atomic.Int64 }

func (r *reply) Release() { r.released.Add(1) }

// receiver is a Receiver that records its notifications.
type receiver struct {
	started chan Reply
	ended   chan Answer
}

func newReceiver() *receiver {
	return &receiver{make(chan Reply, 10), make(chan Answer, 10)}
}
func (r *receiver) ResponseStarted(reply Reply) { r.started <- reply }
func (r *receiver) Ended(a Answer)              { r.ended <- a }

var classes = []balancer.Class{
	{
		Name:     "order",
		Effect:   balancer.NonIdempotent,
		Aim:      time.Second,
		Deadline: testTimeout,
		Worth:    1,
	},
	{
		Name:     "read",
		Effect:   balancer.Idempotent,
		Aim:      time.Second,
		Deadline: testTimeout,
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

// startEngine runs an engine until the end of the test. Its module is a balancer.Balancer unless cfg sets another.
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

// startWithServers runs an engine with a balancer.Balancer, the given servers and a manualSender.
func startWithServers(t *testing.T, ids ...string) (*Engine, *manualSender) {
	t.Helper()
	sender := newManualSender()
	e := startEngine(t, Config{Sender: sender})
	e.Start(serverList(ids...))
	return e, sender
}

// serverList returns a complete list of ready servers with the given ids, and the version "1".
func serverList(ids ...string) ListUpdate {
	update := ListUpdate{Full: true, Version: "1"}
	for _, id := range ids {
		update.Servers = append(update.Servers, Listed{balancer.Server{ID: id}, id + ":1"})
	}
	return update
}

// newCall returns a call whose deadline is timeLeft from now, and its receiver.
func newCall(e *Engine, id, class string, timeLeft time.Duration) (*Call, *receiver) {
	r := newReceiver()
	now := e.Now()
	return &Call{
		ID:         id,
		Class:      class,
		Deadline:   now + timeLeft,
		FallbackAt: now + timeLeft + timeLeft/10,
		Receiver:   r,
	}, r
}

// waitIdle waits until the engine has run all functions that were queued before.
func waitIdle(t testing.TB, e *Engine) {
	t.Helper()
	done := make(chan struct{})
	e.Do(func() { close(done) })
	testkit.Wait(t, done)
}

// The reply of a successful attempt becomes the call's only answer; the reply of a second End is released.
func TestSuccessAnswersCallOnce(t *testing.T) {
	e, sender := startWithServers(t, "a", "b")
	c, r := newCall(e, "c-1", "order", testTimeout)
	c.Payload = "payload"
	e.Submit(c)
	a := testkit.Wait(t, sender.started)
	if a.Payload != "payload" || a.Timeout <= 0 || a.Timeout > testTimeout {
		t.Errorf("attempt with payload %v and timeout %v", a.Payload, a.Timeout)
	}
	first := &reply{}
	a.End(balancer.Success, first)
	if ans := testkit.Wait(t, r.ended); ans.Verdict != Served || ans.Reply != first {
		t.Errorf("answer %+v, want it served with the first reply", ans)
	}
	late := &reply{}
	a.End(balancer.Success, late) // an attempt ends once: this only releases the reply
	waitIdle(t, e)
	if e.OpenCalls() != 0 || len(r.ended) != 0 || first.released.Load() != 0 || late.released.Load() != 1 {
		t.Errorf(
			"%d calls open, %d more answers, first reply released %d times, second %d times",
			e.OpenCalls(),
			len(r.ended),
			first.released.Load(),
			late.released.Load(),
		)
	}
}

// A call that is not idempotent is retried only after endings that prove that the server did not run it. All other endings
// fail the call.
func TestNonIdempotentCallIsRetriedOnlyIfNotExecuted(t *testing.T) {
	for _, c := range []struct {
		ending  balancer.Ending
		retried bool
	}{
		{balancer.Unreachable, true},
		{balancer.Overloaded, true},
		{balancer.Failure, false},
		{balancer.Broken, false},
		{balancer.TimedOut, false},
		{balancer.Canceled, false},
	} {
		e, sender := startWithServers(t, "a", "b", "c")
		call, r := newCall(e, "c-1", "order", testTimeout)
		e.Submit(call)
		testkit.Wait(t, sender.started).End(c.ending, nil)
		if c.retried {
			testkit.Wait(t, sender.started).End(balancer.Success, &reply{})
			if a := testkit.Wait(t, r.ended); a.Verdict != Served {
				t.Errorf("ending %d: answer %+v, want it served by a retry", c.ending, a)
			}
		} else if a := testkit.Wait(t, r.ended); a.Verdict != Failed {
			t.Errorf("ending %d: answer %+v, want it failed", c.ending, a)
		}
		waitIdle(t, e)
		if len(sender.started) > 0 {
			t.Errorf("ending %d: %d attempts too many", c.ending, len(sender.started))
		}
	}
}

// MayWrite returns false if the call has finished or the endpoint has become unusable since the attempt was started.
func TestMayWriteChecksCallAndEndpoint(t *testing.T) {
	e, sender := startWithServers(t, "a")
	c, _ := newCall(e, "c-1", "read", testTimeout)
	e.Submit(c)
	a := testkit.Wait(t, sender.started)
	if _, ok := a.MayWrite(); !ok {
		t.Error("MayWrite returns false for an attempt that has just started")
	}
	n := serverList("a")
	n.Servers[0].State = balancer.Draining
	e.Apply(n)
	testkit.Wait(t, sender.dropped)
	waitIdle(t, e)
	if ending, ok := a.MayWrite(); ok || ending != balancer.Unreachable {
		t.Errorf("MayWrite at a draining server: %v, %v; want Unreachable, false", ending, ok)
	}
	e.Apply(serverList("a"))
	e.CallerGone(c)
	waitIdle(t, e)
	if ending, ok := a.MayWrite(); ok || ending != balancer.NeverSent {
		t.Errorf("MayWrite for a caller that has gone: %v, %v; want NeverSent, false", ending, ok)
	}
	if cause := sender.cause(t, a); !errors.Is(cause, ErrWithdrawn) {
		t.Errorf("the attempt was canceled with %v, want ErrWithdrawn", cause)
	}
	if e.OpenCalls() != 1 {
		t.Errorf("%d calls open while the attempt is in flight, want 1", e.OpenCalls())
	}
	a.End(balancer.Canceled, nil)
	waitIdle(t, e)
	if e.OpenCalls() != 0 {
		t.Errorf("%d calls open after the end of the attempt", e.OpenCalls())
	}
}

// A call with the id of an open call is answered as a duplicate. The id can be used again once that call has ended. Calls
// without an id are never duplicates.
func TestDuplicateCallIDIsRejected(t *testing.T) {
	e, sender := startWithServers(t, "a")
	for range 2 {
		first, r := newCall(e, "c-1", "read", testTimeout)
		duplicate, duplicateReceiver := newCall(e, "c-1", "read", testTimeout)
		e.Submit(first)
		e.Submit(duplicate)
		if a := testkit.Wait(t, duplicateReceiver.ended); a.Verdict != Duplicate {
			t.Errorf("answer %+v, want a duplicate", a)
		}
		e.CallerGone(duplicate) // has no effect on the first call
		testkit.Wait(t, sender.started).End(balancer.Success, &reply{})
		testkit.Wait(t, r.ended)
		waitIdle(t, e)
	}
	for range 2 {
		c, _ := newCall(e, "", "read", testTimeout)
		e.Submit(c)
		testkit.Wait(t, sender.started)
	}
}

// The engine fails a call that the module does not answer, at Call.FallbackAt, and notifies the module.
func TestUnansweredCallFailsAtFallbackTime(t *testing.T) {
	gone := make(chan balancer.ClientGone, 1)
	e := startEngine(t, Config{Sender: newManualSender(), Module: moduleFunc(func(ev balancer.Event) []balancer.Action {
		if clientGone, ok := ev.(balancer.ClientGone); ok {
			gone <- clientGone
		}
		return nil
	})})
	c, r := newCall(e, "c-1", "read", 10*time.Millisecond)
	e.Submit(c)
	if a := testkit.Wait(t, r.ended); a.Verdict != Failed {
		t.Errorf("answer %+v, want it failed", a)
	}
	testkit.Wait(t, gone)
}

// Calls that wait for a server count against the limit of pending calls. A call over the limit is rejected at once, and a
// call that stops waiting releases its unit of the limit.
func TestPendingLimitRejectsAndReleases(t *testing.T) {
	sender, pending := newManualSender(), testkit.NewSharedLimit(2)
	e := startEngine(t, Config{Sender: sender, Pending: pending})
	var receivers []*receiver
	var calls []*Call
	for i := range 3 {
		c, r := newCall(e, fmt.Sprint(i), "order", testTimeout) // waits, since there is no server
		e.Submit(c)
		receivers, calls = append(receivers, r), append(calls, c)
	}
	if a := testkit.Wait(t, receivers[2].ended); a.Verdict != Rejected || a.RetryAfter <= 0 {
		t.Errorf("call over the limit: answer %+v, want it rejected with retry advice", a)
	}
	e.CallerGone(calls[0])
	waitIdle(t, e)
	if n := pending.Left(); n != 1 {
		t.Errorf("%d units of the limit are free after one caller has gone, want 1", n)
	}
	e.Apply(serverList("a"))
	testkit.Wait(t, sender.started).End(balancer.Success, &reply{})
	testkit.Wait(t, receivers[1].ended)
	waitIdle(t, e)
	if n := pending.Left(); n != 2 || e.OpenCalls() != 0 {
		t.Errorf("%d units of the limit are free at the end, want 2; %d calls open, want 0", n, e.OpenCalls())
	}
}

// EndCallAndAttempt, for a carrier that has answered the caller itself, ends call and attempt without an answer.
func TestEndCallAndAttemptGivesNoAnswer(t *testing.T) {
	e, sender := startWithServers(t, "a")
	for range 3 {
		c, r := newCall(e, "c-1", "order", testTimeout)
		e.Submit(c)
		a := testkit.Wait(t, sender.started)
		e.EndCallAndAttempt(c, a, balancer.Failure)
		e.EndCallAndAttempt(c, a, balancer.Failure) // a second call has no effect
		a.End(balancer.Success, nil)
		waitIdle(t, e)
		if e.OpenCalls() != 0 || len(r.ended) != 0 {
			t.Errorf("%d calls open and %d answers, want none", e.OpenCalls(), len(r.ended))
		}
	}
}

// AbandonAll fails a call with an attempt in flight. The attempt's reply is then released, and the call closed.
func TestAbandonAllFailsOpenCalls(t *testing.T) {
	e, sender := startWithServers(t, "a")
	c, r := newCall(e, "c-1", "order", testTimeout)
	e.Submit(c)
	a := testkit.Wait(t, sender.started)
	e.AbandonAll()
	if ans := testkit.Wait(t, r.ended); ans.Verdict != Failed {
		t.Errorf("answer %+v, want it failed", ans)
	}
	late := &reply{}
	a.End(balancer.Success, late)
	waitIdle(t, e)
	if late.released.Load() != 1 || e.OpenCalls() != 0 {
		t.Errorf("late reply released %d times, %d calls open", late.released.Load(), e.OpenCalls())
	}
}
