package engine

import (
	"errors"
	"testing"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/testkit"
)

// spendable is a payload with a fixed result of Spent.
type spendable struct{ spent bool }

func (s spendable) Spent() bool { return s.spent }

// The deadline of a call whose body is incomplete starts to run with BodyArrived. Before that neither the fallback answer nor
// the timeout of its attempt ends the call; afterwards both apply.
func TestIncompleteBodyDelaysTimeouts(t *testing.T) {
	t.Parallel()
	e, sender := startWithServers(t, "a")
	c, r := newCall(e, "1", "read", 50*time.Millisecond)
	c.BodyIncomplete, c.Payload = true, spendable{true}
	e.Submit(c)
	a := testkit.Wait(t, sender.started)
	time.Sleep(150 * time.Millisecond) // three times the call's deadline
	select {
	case answer := <-r.ended:
		t.Fatalf("answered while its body was incomplete: %+v", answer)
	default:
	}
	if a.Timeout <= 0 || a.Timeout > 50*time.Millisecond {
		t.Errorf("the attempt has a timeout of %v, want at most 50 ms", a.Timeout)
	}
	e.BodyArrived(c)
	e.BodyArrived(c) // a second call has no effect
	if err := sender.cause(t, a); !errors.Is(err, ErrTimedOut) {
		t.Errorf("the attempt was canceled with %v, want ErrTimedOut", err)
	}
	a.End(balancer.TimedOut, nil)
	if answer := testkit.Wait(t, r.ended); answer.Verdict == Served {
		t.Errorf("answer %+v after the timeout of the attempt", answer)
	}
	testkit.Eventually(t, "the call stays open", func() bool { return e.OpenCalls() == 0 })
	if len(sender.started) > 0 {
		t.Error("a call whose body can be sent only once is sent again")
	}
}

// AbandonAll fails calls without a reply, but not those whose streamed reply has started.
func TestAbandonAllSparesStartedStreams(t *testing.T) {
	t.Parallel()
	e, sender := startWithServers(t, "a")
	streamed, streamedReceiver := newCall(e, "1", "read", testTimeout)
	e.Submit(streamed)
	a := testkit.Wait(t, sender.started)
	a.ResponseStarted(&reply{})
	testkit.Wait(t, streamedReceiver.started)
	waiting, waitingReceiver := newCall(e, "2", "read", testTimeout)
	e.Submit(waiting)
	testkit.Wait(t, sender.started)
	e.AbandonAll()
	if answer := testkit.Wait(t, waitingReceiver.ended); answer.Verdict != Failed {
		t.Errorf("waiting call: answer %+v, want it failed", answer)
	}
	a.End(balancer.Success, nil)
	if answer := testkit.Wait(t, streamedReceiver.ended); answer.Verdict != Served {
		t.Errorf("streamed call: answer %+v, want it served", answer)
	}
}
