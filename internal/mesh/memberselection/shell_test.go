package memberselection

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// shell carries out a selector's actions like a sidecar, with connections that it only records. After each step it checks that no address
// has two connections, that at most one member is followed, and that the next tick is in the future.
type shell struct {
	t          *testing.T
	selector   *Selector
	now        time.Duration
	open       map[ConnID]string // address by dial, until closed
	followed   ConnID
	confirming ConnID // the latest Confirm that was not answered
	lastDialed map[string]time.Duration
	trace      []string
}

func newShell(t *testing.T, seeds ...string) *shell {
	s := &shell{t: t, open: map[ConnID]string{}, lastDialed: map[string]time.Duration{}}
	s.selector = New(0, seeds)
	s.applyActions()
	return s
}

// newFollowingShell returns a shell that follows the member a, which has a leader and whose table is confirmed.
func newFollowingShell(t *testing.T) *shell {
	s := newShell(t, "a", "b", "c")
	s.firstMessage("a")
	s.heartbeat("a", true)
	s.answerConfirm(true)
	return s
}

func (s *shell) applyActions() {
	for _, a := range s.selector.TakeActions() {
		s.trace = append(s.trace, fmt.Sprint(s.now, a))
		switch a.Kind {
		case Dial:
			for _, addr := range s.open {
				assert.Assert(s.t, addr != a.Addr, "two dials of %s", addr)
			}
			s.open[a.ID], s.lastDialed[a.Addr] = a.Addr, s.now
		case Follow:
			_, known := s.open[a.ID]
			assert.Assert(s.t, known && s.followed == 0, "follows %v while %v is followed", a.ID, s.followed)
			s.followed = a.ID
		case Confirm:
			assert.Equal(s.t, a.ID, s.followed)
			s.confirming = a.ID
		case Close:
			s.forget(a.ID)
		}
	}
	assert.Equal(s.t, s.selector.Followed(), s.followed)
	assert.Assert(s.t, s.selector.NextTick() > s.now, "it is due at once again")
}

func (s *shell) forget(id ConnID) {
	delete(s.open, id)
	if id == s.followed {
		s.followed, s.confirming = 0, 0
	}
}

// advanceTo advances the time, with all ticks that are due until then.
func (s *shell) advanceTo(at time.Duration) {
	for s.selector.NextTick() <= at {
		s.now = s.selector.NextTick()
		s.selector.Tick(s.now)
		s.applyActions()
	}
	s.now = at
	s.selector.Tick(at)
	s.applyActions()
}

func (s *shell) connTo(addr string) ConnID {
	for id, a := range s.open {
		if a == addr {
			return id
		}
	}
	return 0
}

func (s *shell) firstMessage(addr string) {
	s.selector.FirstMessageReceived(s.now, s.connTo(addr))
	s.applyActions()
}

func (s *shell) heartbeat(addr string, hasLeader bool) {
	s.selector.HeartbeatReceived(s.now, s.connTo(addr), hasLeader)
	s.applyActions()
}

// message passes any message of the followed member.
func (s *shell) message() {
	s.selector.MessageReceived(s.now, s.followed, s.now)
	s.applyActions()
}

func (s *shell) setRequestsWaiting(waiting bool) {
	s.selector.SetRequestsWaiting(s.now, waiting)
	s.applyActions()
}

func (s *shell) closeConn(addr string) {
	id := s.connTo(addr)
	s.forget(id)
	s.selector.ConnectionClosed(s.now, id)
	s.applyActions()
}

func (s *shell) answerConfirm(confirmed bool) {
	id := s.confirming
	s.confirming = 0
	s.selector.ConfirmationReceived(s.now, id, confirmed)
	s.applyActions()
}

func (s *shell) assertFollowed(addr string) {
	s.t.Helper()
	assert.Equal(s.t, s.open[s.followed], addr)
}

func (s *shell) isReachable() bool {
	ok, until := s.selector.Reachable()
	return ok || s.now < until
}
