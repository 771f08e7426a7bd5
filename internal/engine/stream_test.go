package engine

import (
	"errors"
	"testing"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/testkit"
)

// Once a streamed reply has begun, the call belongs to its attempt: other attempts are withdrawn, there is no deadline, and a
// break of the stream fails the call and never leads to another attempt.
func TestBegunStreamOwnsItsCall(t *testing.T) {
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
			case balancer.Request: // with a hedged request
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
		second.ResponseStarted(head)
		if b := testkit.Wait(t, r.began); b != head {
			t.Errorf("began with %v", b)
		}
		if s := testkit.Wait(t, started); s.Attempt != 1 {
			t.Errorf("started %+v", s)
		}
		if cause := h.cause(t, first); !errors.Is(cause, ErrWithdrawn) {
			t.Errorf("the other attempt ends with %v", cause)
		}
		first.ResponseStarted(loser) // crosses the cancellation
		first.End(balancer.Success, nil)
		waitIdle(t, e)
		if loser.released.Load() != 1 || len(r.ended) != 0 {
			t.Errorf("the other reply was released %d times, %d answers", loser.released.Load(), len(r.ended))
		}
		// The stream continues after the deadline and the time of the fallback answer.
		for e.Now() < c.FallbackAt+time.Millisecond {
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
		if e.OpenCalls() != 0 || len(h.started) != 0 {
			t.Errorf("%d calls open, %d more attempts", e.OpenCalls(), len(h.started))
		}
	}
}
