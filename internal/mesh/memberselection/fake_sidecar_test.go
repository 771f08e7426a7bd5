package memberselection

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// fakeSidecar carries out a selector's actions without a network: it only records the connections. After each step it checks that no
// address has two connections, that at most one member is followed, and that the next tick is in the future.
type fakeSidecar struct {
	t          *testing.T
	selector   *Selector
	now        time.Duration
	open       map[ConnID]string // address by connection, until it is closed
	followed   ConnID
	confirming ConnID // connection of the pending Confirm, or 0
	lastDialed map[string]time.Duration
	trace      []string
}

func newFakeSidecar(t *testing.T, seeds ...string) *fakeSidecar {
	s := &fakeSidecar{t: t, open: map[ConnID]string{}, lastDialed: map[string]time.Duration{}}
	s.selector = New(0, seeds)
	s.applyActions()
	return s
}

// newFollowingSidecar returns a sidecar that follows the member a, which has a leader and whose table is confirmed.
func newFollowingSidecar(t *testing.T) *fakeSidecar {
	s := newFakeSidecar(t, "a", "b", "c")
	s.firstMessage("a")
	s.heartbeat("a", true)
	s.answerConfirm(true)
	return s
}

func (s *fakeSidecar) applyActions() {
	for _, a := range s.selector.TakeActions() {
		s.trace = append(s.trace, fmt.Sprint(s.now, a))
		switch a.Kind {
		case Dial:
			for _, addr := range s.open {
				assert.Assert(s.t, addr != a.Addr, "%s is dialed although it has a connection already", addr)
			}
			s.open[a.ID], s.lastDialed[a.Addr] = a.Addr, s.now
		case Follow:
			_, isOpen := s.open[a.ID]
			assert.Assert(s.t, isOpen && s.followed == 0, "follows %v while %v is followed", a.ID, s.followed)
			s.followed = a.ID
		case Confirm:
			assert.Equal(s.t, a.ID, s.followed)
			s.confirming = a.ID
		case Close:
			s.markClosed(a.ID)
		}
	}
	assert.Equal(s.t, s.selector.Followed(), s.followed)
	assert.Assert(s.t, s.selector.NextTick() > s.now, "the next tick is not in the future")
}

// markClosed removes a connection from the open ones.
func (s *fakeSidecar) markClosed(id ConnID) {
	delete(s.open, id)
	if id == s.followed {
		s.followed, s.confirming = 0, 0
	}
}

// advanceTo advances the time and calls Tick whenever it is due until then.
func (s *fakeSidecar) advanceTo(at time.Duration) {
	for s.selector.NextTick() <= at {
		s.now = s.selector.NextTick()
		s.selector.Tick(s.now)
		s.applyActions()
	}
	s.now = at
	s.selector.Tick(at)
	s.applyActions()
}

func (s *fakeSidecar) connTo(addr string) ConnID {
	for id, a := range s.open {
		if a == addr {
			return id
		}
	}
	return 0
}

func (s *fakeSidecar) firstMessage(addr string) {
	s.selector.FirstMessageReceived(s.now, s.connTo(addr))
	s.applyActions()
}

func (s *fakeSidecar) heartbeat(addr string, hasLeader bool) {
	s.selector.HeartbeatReceived(s.now, s.connTo(addr), hasLeader)
	s.applyActions()
}

// message passes a message from the followed member to the selector.
func (s *fakeSidecar) message() {
	s.selector.MessageReceived(s.now, s.followed, s.now)
	s.applyActions()
}

func (s *fakeSidecar) setRequestsWaiting(waiting bool) {
	s.selector.SetRequestsWaiting(s.now, waiting)
	s.applyActions()
}

func (s *fakeSidecar) closeConn(addr string) {
	id := s.connTo(addr)
	s.markClosed(id)
	s.selector.ConnectionClosed(s.now, id)
	s.applyActions()
}

func (s *fakeSidecar) answerConfirm(confirmed bool) {
	id := s.confirming
	s.confirming = 0
	s.selector.ConfirmationReceived(s.now, id, confirmed)
	s.applyActions()
}

func (s *fakeSidecar) assertFollowed(addr string) {
	s.t.Helper()
	assert.Equal(s.t, s.open[s.followed], addr)
}

func (s *fakeSidecar) isReachable() bool {
	ok, until := s.selector.Reachable()
	return ok || s.now < until
}
