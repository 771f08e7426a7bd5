package engine

import (
	"errors"
	"testing"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/testkit"
)

// Once a streamed reply has started, only its attempt decides the call: other attempts are withdrawn, the deadline no longer
// applies, and a broken stream fails the call without another attempt.
func TestStartedStreamDecidesCall(t *testing.T) {
	for _, broken := range []bool{false, true} {
		sender := newManualSender()
		started := make(chan balancer.Started, 1)
		outcomes := make(chan balancer.Outcome, 10)
		module, err := balancer.New(settings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		clock := NewClock()
		e := startEngine(t, Config{Sender: sender, Module: moduleFunc(func(ev balancer.Event) []balancer.Action {
			switch ev := ev.(type) {
			case balancer.Request: // adds a hedged attempt
				return append(module.Handle(clock.Now(), ev), balancer.Send{ID: ev.ID, Server: "b"})
			case balancer.Started:
				started <- ev
				return []balancer.Action{balancer.Cancel{ID: ev.ID, Attempt: 1 - ev.Attempt}}
			case balancer.Outcome:
				outcomes <- ev
				return nil
			}
			return module.Handle(clock.Now(), ev)
		})})
		e.Start(serverList("a", "b"))
		c, r := newCall(e, "c-1", "read", 50*time.Millisecond)
		e.Submit(c)
		first, second := testkit.Wait(t, sender.started), testkit.Wait(t, sender.started)
		winner, loser := &reply{}, &reply{}
		second.ResponseStarted(winner)
		if streamed := testkit.Wait(t, r.started); streamed != winner {
			t.Errorf("the receiver got the reply %v, want that of the second attempt", streamed)
		}
		if s := testkit.Wait(t, started); s.Attempt != 1 {
			t.Errorf("the module got %+v, want attempt 1", s)
		}
		if cause := sender.cause(t, first); !errors.Is(cause, ErrWithdrawn) {
			t.Errorf("the other attempt was canceled with %v, want ErrWithdrawn", cause)
		}
		first.ResponseStarted(loser) // its reply starts before it observes the cancellation
		first.End(balancer.Success, nil)
		waitIdle(t, e)
		if loser.released.Load() != 1 || len(r.ended) != 0 {
			t.Errorf("the other reply was released %d times, want 1; %d answers, want 0", loser.released.Load(), len(r.ended))
		}
		// The stream continues after the deadline and the time of the fallback answer.
		for e.Now() < c.FallbackAt+time.Millisecond {
			time.Sleep(time.Millisecond)
		}
		waitIdle(t, e)
		if len(r.ended) != 0 {
			t.Fatal("the call with a started stream was answered at its deadline")
		}
		if testkit.Wait(t, outcomes); broken {
			second.End(balancer.Broken, nil)
		} else {
			second.End(balancer.Success, nil)
		}
		if a := testkit.Wait(t, r.ended); (a.Verdict == Failed) != broken {
			t.Errorf("stream broken: %v, answer %+v", broken, a)
		}
		if o := testkit.Wait(t, outcomes); !o.Ended || o.Attempt != 1 {
			t.Errorf("outcome %+v, want attempt 1 to end the call", o)
		}
		waitIdle(t, e)
		if e.OpenCalls() != 0 || len(sender.started) != 0 {
			t.Errorf("%d calls open and %d more attempts, want none", e.OpenCalls(), len(sender.started))
		}
	}
}
