package engine

import (
	"errors"
	"testing"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/testkit"
)

type spendable struct{ spent bool }

func (s spendable) Spent() bool { return s.spent }

// The deadlines of a call that is still arriving count from its last byte. Until then neither the fallback answer nor the
// time-out of its attempt ends it; after that both do.
func TestArrivingCallTimesOutFromItsLastByte(t *testing.T) {
	t.Parallel()
	e, h := startWithServers(t, "a")
	c, r := newCall(e, "1", "read", 50*time.Millisecond)
	c.BodyIncomplete, c.Payload = true, spendable{true}
	e.Submit(c)
	a := testkit.Wait(t, h.started)
	time.Sleep(150 * time.Millisecond) // three times its deadline
	select {
	case answer := <-r.ended:
		t.Fatalf("answered while it was arriving: %+v", answer)
	default:
	}
	if a.Timeout <= 0 || a.Timeout > 50*time.Millisecond {
		t.Errorf("the attempt has a time-out of %v", a.Timeout)
	}
	e.BodyArrived(c)
	e.BodyArrived(c) // a second call has no effect
	if err := h.cause(t, a); !errors.Is(err, ErrTimedOut) {
		t.Errorf("its attempt ended with %v", err)
	}
	a.End(balancer.TimedOut, nil)
	if answer := testkit.Wait(t, r.ended); answer.Verdict == Served {
		t.Errorf("answer %+v", answer)
	}
	testkit.Eventually(t, "the call stays open", func() bool { return e.OpenCalls() == 0 })
	if len(h.started) > 0 {
		t.Error("a call whose body was spent is sent again")
	}
}

// AbandonAll fails calls that wait, but not those whose streamed reply has begun.
func TestAbandonAllSparesBegunStreams(t *testing.T) {
	t.Parallel()
	e, h := startWithServers(t, "a")
	streamed, streamedReceiver := newCall(e, "1", "read", limit)
	e.Submit(streamed)
	a := testkit.Wait(t, h.started)
	a.ResponseStarted(&reply{})
	testkit.Wait(t, streamedReceiver.began)
	waiting, waitingReceiver := newCall(e, "2", "read", limit)
	e.Submit(waiting)
	testkit.Wait(t, h.started)
	e.AbandonAll()
	if answer := testkit.Wait(t, waitingReceiver.ended); answer.Verdict != Failed {
		t.Errorf("waiting call: answer %+v", answer)
	}
	a.End(balancer.Success, nil)
	if answer := testkit.Wait(t, streamedReceiver.ended); answer.Verdict != Served {
		t.Errorf("streamed call: answer %+v", answer)
	}
}
