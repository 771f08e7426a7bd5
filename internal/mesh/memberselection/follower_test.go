package memberselection

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// shell plays the shell: it keeps what the actions made of the connections.
type shell struct {
	t          *testing.T
	selector   *Selector
	now        time.Duration
	open       map[ConnID]string // address by dial, until closed or dropped
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
			_, is := s.open[a.ID]
			assert.Assert(s.t, is && s.followed == 0, "follows %v while %v is followed", a.ID, s.followed)
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

// advanceTo lets time pass up to a time, with the ticks that are due.
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

func (s *shell) heartbeat(addr string, inTouch bool) {
	s.selector.HeartbeatReceived(s.now, s.connTo(addr), inTouch)
	s.applyActions()
}

func (s *shell) closeConn(addr string) {
	id := s.connTo(addr)
	s.forget(id)
	s.selector.ConnectionClosed(s.now, id)
	s.applyActions()
}

func (s *shell) answerConfirm(some bool) {
	id := s.confirming
	s.confirming = 0
	s.selector.ConfirmationReceived(s.now, id, some)
	s.applyActions()
}

func (s *shell) assertFollowed(addr string) {
	s.t.Helper()
	assert.Equal(s.t, s.open[s.followed], addr)
}

func (s *shell) reachable() bool {
	ok, until := s.selector.Reachable()
	return ok || s.now < until
}

// newFollowingShell follows a, which is in touch and confirmed.
func newFollowingShell(t *testing.T) *shell {
	s := newShell(t, "a", "b", "c")
	s.firstMessage("a")
	s.heartbeat("a", true)
	s.answerConfirm(true)
	return s
}

func TestFirstEstablishedMemberIsFollowed(t *testing.T) {
	s := newShell(t, "a", "b", "c")
	assert.Equal(t, len(s.open), 3, "all are dialled side by side")
	assert.Assert(t, !s.reachable())
	s.advanceTo(5 * ms)
	s.firstMessage("b")
	s.assertFollowed("b")
	assert.Equal(t, s.confirming, s.followed, "its table is asked for at once")
	s.firstMessage("a")
	s.assertFollowed("b")
	assert.Equal(t, len(s.open), 3, "the others are kept until it is known to be in touch")
	s.heartbeat("b", true)
	assert.Equal(t, len(s.open), 1)
	assert.Assert(t, s.reachable())
}

func TestMemberWithLeaderIsPreferred(t *testing.T) {
	s := newShell(t, "a", "b", "c")
	s.firstMessage("a")
	s.heartbeat("a", false)
	s.firstMessage("b")
	s.heartbeat("b", false)
	s.assertFollowed("a")
	s.firstMessage("c")
	s.heartbeat("c", true)
	s.assertFollowed("c")
	assert.Equal(t, len(s.open), 1)
}

// The bound of silence, to the nanosecond: what keeps a home and what does not, with requests that wait and without.
func TestSilentMemberIsLeft(t *testing.T) {
	s := newFollowingShell(t)
	s.advanceTo(SilenceTimeout - 1)
	s.assertFollowed("a")
	s.selector.MessageReceived(s.now, s.followed, s.now) // anything heard counts from when it came
	s.applyActions()
	s.advanceTo(2*SilenceTimeout - 2)
	s.assertFollowed("a")
	s.advanceTo(2*SilenceTimeout - 1)
	assert.Equal(t, s.followed, ConnID(0))
	assert.Assert(t, s.connTo("b") != 0 && s.connTo("c") != 0 && s.connTo("a") == 0, "the others are dialled at once, and it is not")
	s.closeConn("b")
	s.closeConn("c")
	s.advanceTo(s.now + LeftMemberBackoff - 1)
	assert.Equal(t, s.connTo("a"), ConnID(0))
	s.advanceTo(s.now + 1)
	assert.Assert(t, s.connTo("a") != 0)

	s = newFollowingShell(t)
	s.advanceTo(100 * ms)
	s.selector.SetRequestsWaiting(s.now, true)
	s.advanceTo(WaitingSilenceTimeout - 1)
	s.assertFollowed("a")
	s.advanceTo(WaitingSilenceTimeout)
	assert.Equal(t, s.followed, ConnID(0))

	s = newFollowingShell(t)
	s.advanceTo(WaitingSilenceTimeout - 10*ms)
	s.selector.SetRequestsWaiting(s.now, true) // it has been silent for long, but these have not waited yet
	s.applyActions()
	s.advanceTo(WaitingSilenceTimeout - 10*ms + WaitingThreshold - 1)
	s.assertFollowed("a")
	s.advanceTo(s.now + 1)
	assert.Equal(t, s.followed, ConnID(0))

	s = newFollowingShell(t)
	s.selector.SetRequestsWaiting(s.now, true)
	s.selector.SetRequestsWaiting(s.now, false)
	s.applyActions()
	s.advanceTo(SilenceTimeout - 1)
	s.assertFollowed("a")
}

// A home that has lost its leader is kept until another one is in touch; requests are refused once the grace is over.
func TestLeaderlessMemberIsKeptUntilReplaced(t *testing.T) {
	s := newFollowingShell(t)
	s.advanceTo(100 * ms)
	s.heartbeat("a", false)
	assert.Assert(t, s.reachable())
	s.advanceTo(100*ms + LeaderlessTimeout - 1)
	assert.Equal(t, len(s.open), 1)
	s.advanceTo(100*ms + LeaderlessTimeout)
	assert.Equal(t, len(s.open), 3)
	s.assertFollowed("a")
	s.advanceTo(100*ms + ReachableGrace - 1)
	assert.Assert(t, s.reachable())
	s.advanceTo(100*ms + ReachableGrace)
	assert.Assert(t, !s.reachable())
	s.heartbeat("a", false)
	s.firstMessage("b")
	s.heartbeat("b", false)
	s.assertFollowed("a")
	s.heartbeat("a", true) // an election that has ended
	assert.Assert(t, s.reachable())
	assert.Equal(t, len(s.open), 1)
	s.heartbeat("a", false)
	s.advanceTo(s.now + LeaderlessTimeout)
	s.firstMessage("c")
	s.heartbeat("c", true)
	s.assertFollowed("c")
	assert.Equal(t, s.confirming, s.followed, "what the new one tells is confirmed, too")
	assert.Assert(t, s.reachable())
	assert.Equal(t, s.connTo("a"), ConnID(0))
}

// A home whose connection ends: the others are dialled at once, and it again after a pause that grows and is bounded.
func TestFollowedConnectionCloses(t *testing.T) {
	s := newFollowingShell(t)
	s.advanceTo(50 * ms)
	s.closeConn("a")
	assert.Assert(t, s.reachable(), "requests wait for another")
	assert.Equal(t, s.lastDialed["b"], s.now)
	assert.Equal(t, s.lastDialed["c"], s.now)
	for _, rest := range []time.Duration{MinDialBackoff, 2 * MinDialBackoff, 4 * MinDialBackoff, MaxDialBackoff, MaxDialBackoff} {
		at := s.now
		s.advanceTo(at + rest - 1)
		assert.Assert(t, s.lastDialed["a"] <= at)
		s.advanceTo(at + rest)
		assert.Equal(t, s.lastDialed["a"], s.now)
		s.closeConn("a")
	}
	s.advanceTo(50*ms + ReachableGrace)
	assert.Assert(t, !s.reachable())
}

func TestSilentDialTimesOut(t *testing.T) {
	s := newShell(t, "a")
	first := s.connTo("a")
	s.advanceTo(DialTimeout - 1)
	assert.Equal(t, s.connTo("a"), first)
	s.advanceTo(DialTimeout)
	assert.Assert(t, s.connTo("a") != 0 && s.connTo("a") != first)
	s.selector.FirstMessageReceived(s.now, first) // late, of a dial that was given up
	s.applyActions()
	assert.Equal(t, s.followed, ConnID(0))
}

// The members told last are dialled, also where no seed is right any more, and a home that is no member stays until it is left.
func TestMembersReplaceSeeds(t *testing.T) {
	s := newFollowingShell(t)
	s.selector.SetMembers(s.now, 5, []string{"d", "e"})
	s.selector.SetMembers(s.now, 4, []string{"x"})
	s.selector.SetMembers(s.now, 6, nil)
	s.selector.SetSeeds(s.now, []string{"y"})
	s.applyActions()
	s.assertFollowed("a")
	s.closeConn("a")
	for _, addr := range []string{"d", "e", "y"} {
		assert.Assert(t, s.connTo(addr) != 0, addr)
	}
	assert.Assert(t, s.connTo("b") == 0 && s.connTo("x") == 0)
	s.selector.SetSeeds(s.now, []string{"z"})
	s.applyActions()
	assert.Assert(t, s.connTo("y") == 0 && s.connTo("z") != 0)
}

func TestTableIsConfirmed(t *testing.T) {
	s := newShell(t, "a", "b")
	s.firstMessage("a")
	s.answerConfirm(false)
	assert.Assert(t, !s.reachable())
	s.advanceTo(ConfirmBackoff - 1)
	assert.Equal(t, s.confirming, ConnID(0))
	s.advanceTo(ConfirmBackoff)
	assert.Equal(t, s.confirming, s.followed)
	old := s.confirming
	s.closeConn("a")
	s.firstMessage("b")
	s.selector.ConfirmationReceived(s.now, old, true) // the answer of one that is left counts for nothing
	s.applyActions()
	assert.Assert(t, !s.reachable())
	assert.Equal(t, s.confirming, s.followed)
	s.answerConfirm(true)
	assert.Assert(t, s.reachable(), "a majority stood behind it")
	assert.Equal(t, len(s.open), 1)
}

// Random events: at most one dial of an address, one home at a time, never due at once (sidecar.carryOut checks these); while
// there is no home every address is dialled again soon, and the same events give the same actions.
func TestRandomEvents(t *testing.T) {
	play := func(seed uint64) []string {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := newShell(t, "a", "b", "c")
		addrs := []string{"a", "b", "c", "d"}
		for range 2000 {
			s.advanceTo(s.now + time.Duration(rng.Int64N(int64(200*ms))))
			addr := addrs[rng.IntN(len(addrs))]
			switch rng.IntN(10) {
			case 0, 1:
				s.firstMessage(addr)
			case 2, 3:
				s.heartbeat(addr, true)
			case 4:
				s.heartbeat(addr, false)
			case 5, 6:
				if s.connTo(addr) != 0 {
					s.closeConn(addr)
				}
			case 7:
				s.selector.SetRequestsWaiting(s.now, rng.IntN(2) == 0)
				s.applyActions()
			case 8:
				s.selector.SetMembers(s.now, rng.Uint64N(100), addrs[:1+rng.IntN(4)])
				s.applyActions()
			case 9:
				if s.confirming != 0 {
					s.answerConfirm(rng.IntN(2) == 0)
				}
			}
			if s.followed == 0 {
				for _, c := range s.selector.candidates {
					assert.Assert(t, c.id != 0 || c.retryAt <= s.now+LeftMemberBackoff, "%s is not dialled again", c.addr)
				}
			}
		}
		return s.trace
	}
	for seed := range uint64(30) {
		assert.DeepEqual(t, play(seed), play(seed))
	}
}
