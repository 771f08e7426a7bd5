package engine

import (
	"testing"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/testkit"
)

type spendable struct{ spent bool }

func (s spendable) Spent() bool { return s.spent }

// The times of a call that is arriving run from its last byte: until then neither the engine's last call nor its
// attempt's time-out ends it; from then on both do.
func TestArrivingCallTimesOutFromItsLastByte(t *testing.T) {
	t.Parallel()
	e, h := startWithServers(t, "a")
	c, r := newCall(e, "1", "read", 50*time.Millisecond)
	c.Arriving, c.Payload = true, spendable{true}
	e.Submit(c)
	a := testkit.Wait(t, h.started)
	time.Sleep(150 * time.Millisecond) // three times what it would have had
	select {
	case x := <-r.ended:
		t.Fatalf("ended while it was arriving: %+v", x)
	default:
	}
	if a.Timeout <= 0 || a.Timeout > 50*time.Millisecond {
		t.Errorf("the server is told %v", a.Timeout)
	}
	e.Arrived(c)
	e.Arrived(c) // twice is once
	if err := h.cause(t, a); err != ErrTimedOut {
		t.Errorf("its attempt ended with %v", err)
	}
	a.End(balancer.TimedOut, nil)
	if x := testkit.Wait(t, r.ended); x.Verdict == Served {
		t.Errorf("%+v", x)
	}
	testkit.Eventually(t, "it stays open", func() bool { return e.Open() == 0 })
	if len(h.started) > 0 {
		t.Error("what was spent is sent again")
	}
}

// Answers that have begun go on when all else is abandoned.
func TestAbandonAllSparesBegunStreams(t *testing.T) {
	t.Parallel()
	e, h := startWithServers(t, "a")
	begun, br := newCall(e, "1", "read", limit)
	e.Submit(begun)
	a := testkit.Wait(t, h.started)
	a.Began(&reply{})
	testkit.Wait(t, br.began)
	waits, wr := newCall(e, "2", "read", limit)
	e.Submit(waits)
	testkit.Wait(t, h.started)
	e.AbandonAll()
	if x := testkit.Wait(t, wr.ended); x.Verdict != Failed {
		t.Errorf("%+v", x)
	}
	a.End(balancer.Success, nil)
	if x := testkit.Wait(t, br.ended); x.Verdict != Served {
		t.Errorf("what had begun: %+v", x)
	}
}
