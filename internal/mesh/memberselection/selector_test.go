package memberselection

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFirstEstablishedMemberIsFollowed(t *testing.T) {
	s := newFakeSidecar(t, "a", "b", "c")
	assert.Equal(t, len(s.open), 3, "all seeds are dialed in parallel")
	assert.Assert(t, !s.isReachable())
	s.advanceTo(5 * ms)
	s.firstMessage("b")
	s.assertFollowed("b")
	assert.Equal(t, s.confirming, s.followed, "the confirmation of its table is requested immediately")
	s.firstMessage("a")
	s.assertFollowed("b")
	assert.Equal(t, len(s.open), 3, "the other connections are kept until the followed member reports a leader")
	s.heartbeat("b", true)
	assert.Equal(t, len(s.open), 1)
	assert.Assert(t, s.isReachable())
}

func TestMemberWithLeaderIsPreferred(t *testing.T) {
	s := newFakeSidecar(t, "a", "b", "c")
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

// A silent member is abandoned exactly at its silence deadline, to the nanosecond, with and without waiting requests.
func TestSilentMemberIsAbandoned(t *testing.T) {
	for _, c := range []struct {
		name        string
		set         func(s *fakeSidecar)
		abandonedAt time.Duration
	}{
		{"no request waits", func(*fakeSidecar) {}, SilenceTimeout},
		{"a message restarts the timeout from its arrival", func(s *fakeSidecar) {
			s.advanceTo(SilenceTimeout - 1)
			s.message()
		}, 2*SilenceTimeout - 1},
		{"requests wait", func(s *fakeSidecar) {
			s.advanceTo(100 * ms)
			s.setRequestsWaiting(true)
		}, WaitingSilenceTimeout},
		{"requests begin to wait after a long silence", func(s *fakeSidecar) {
			s.advanceTo(WaitingSilenceTimeout - 10*ms)
			s.setRequestsWaiting(true)
		}, WaitingSilenceTimeout - 10*ms + WaitingThreshold},
		{"requests have stopped waiting", func(s *fakeSidecar) {
			s.setRequestsWaiting(true)
			s.setRequestsWaiting(false)
		}, SilenceTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFollowingSidecar(t)
			c.set(s)
			s.advanceTo(c.abandonedAt - 1)
			s.assertFollowed("a")
			s.advanceTo(c.abandonedAt)
			assert.Equal(t, s.followed, ConnID(0))
		})
	}
}

// An abandoned member is dialed again later than the others.
func TestAbandonedMemberIsDialedLast(t *testing.T) {
	s := newFollowingSidecar(t)
	s.advanceTo(SilenceTimeout)
	assert.Assert(t, s.connTo("b") != 0 && s.connTo("c") != 0 && s.connTo("a") == 0, "the others are dialed immediately, the abandoned member is not")
	s.closeConn("b")
	s.closeConn("c")
	s.advanceTo(s.now + AbandonedMemberBackoff - 1)
	assert.Equal(t, s.connTo("a"), ConnID(0))
	s.advanceTo(s.now + 1)
	assert.Assert(t, s.connTo("a") != 0)
}

// A member that has lost its leader is kept until another one has a leader; requests are rejected after the grace period.
func TestLeaderlessMemberIsKeptUntilReplaced(t *testing.T) {
	s := newFollowingSidecar(t)
	s.advanceTo(100 * ms)
	s.heartbeat("a", false)
	assert.Assert(t, s.isReachable())
	s.advanceTo(100*ms + LeaderlessTimeout - 1)
	assert.Equal(t, len(s.open), 1)
	s.advanceTo(100*ms + LeaderlessTimeout)
	assert.Equal(t, len(s.open), 3)
	s.assertFollowed("a")
	s.advanceTo(100*ms + ReachableGrace - 1)
	assert.Assert(t, s.isReachable())
	s.advanceTo(100*ms + ReachableGrace)
	assert.Assert(t, !s.isReachable())
	s.heartbeat("a", false)
	s.firstMessage("b")
	s.heartbeat("b", false)
	s.assertFollowed("a")
	s.heartbeat("a", true) // its election has ended
	assert.Assert(t, s.isReachable())
	assert.Equal(t, len(s.open), 1)
	s.heartbeat("a", false)
	s.advanceTo(s.now + LeaderlessTimeout)
	s.firstMessage("c")
	s.heartbeat("c", true)
	s.assertFollowed("c")
	assert.Equal(t, s.confirming, s.followed, "the table of the new member is confirmed, too")
	assert.Assert(t, s.isReachable())
	assert.Equal(t, s.connTo("a"), ConnID(0))
}

// When the followed connection ends, the other addresses are dialed immediately, and its own address after a bounded exponential
// backoff.
func TestFollowedConnectionCloses(t *testing.T) {
	s := newFollowingSidecar(t)
	s.advanceTo(50 * ms)
	s.closeConn("a")
	assert.Assert(t, s.isReachable(), "requests may be started during the grace period")
	assert.Equal(t, s.lastDialed["b"], s.now)
	assert.Equal(t, s.lastDialed["c"], s.now)
	for _, backoff := range []time.Duration{MinDialBackoff, 2 * MinDialBackoff, 4 * MinDialBackoff, MaxDialBackoff, MaxDialBackoff} {
		at := s.now
		s.advanceTo(at + backoff - 1)
		assert.Assert(t, s.lastDialed["a"] <= at)
		s.advanceTo(at + backoff)
		assert.Equal(t, s.lastDialed["a"], s.now)
		s.closeConn("a")
	}
	s.advanceTo(50*ms + ReachableGrace)
	assert.Assert(t, !s.isReachable())
}

func TestSilentDialTimesOut(t *testing.T) {
	s := newFakeSidecar(t, "a")
	first := s.connTo("a")
	s.advanceTo(DialTimeout - 1)
	assert.Equal(t, s.connTo("a"), first)
	s.advanceTo(DialTimeout)
	assert.Assert(t, s.connTo("a") != 0 && s.connTo("a") != first)
	s.selector.FirstMessageReceived(s.now, first) // arrives late, after the dial was aborted
	s.applyActions()
	assert.Equal(t, s.followed, ConnID(0))
}

// The members of the latest list are dialed in addition to the current seeds. A followed member that is no longer in the list is kept
// until its connection ends for another reason.
func TestLatestMembersAndSeedsAreDialed(t *testing.T) {
	s := newFollowingSidecar(t)
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
	s := newFakeSidecar(t, "a", "b")
	s.firstMessage("a")
	s.answerConfirm(false)
	assert.Assert(t, !s.isReachable())
	s.advanceTo(ConfirmBackoff - 1)
	assert.Equal(t, s.confirming, ConnID(0))
	s.advanceTo(ConfirmBackoff)
	assert.Equal(t, s.confirming, s.followed)
	late := s.confirming
	s.closeConn("a")
	s.firstMessage("b")
	s.selector.ConfirmationReceived(s.now, late, true) // an answer on a connection that has ended is ignored
	s.applyActions()
	assert.Assert(t, !s.isReachable())
	assert.Equal(t, s.confirming, s.followed)
	s.answerConfirm(true)
	assert.Assert(t, s.isReachable(), "a quorum has confirmed the leader")
	assert.Equal(t, len(s.open), 1)
}

// Random events never violate the invariants that fakeSidecar.applyActions checks; while no member is followed, every address is dialed
// again within AbandonedMemberBackoff; and the same events give the same actions.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(30) {
		assert.DeepEqual(t, playRandomEvents(t, seed), playRandomEvents(t, seed))
	}
}

func playRandomEvents(t *testing.T, seed uint64) []string {
	const events = 2000
	rng := rand.New(rand.NewPCG(seed, 1))
	s := newFakeSidecar(t, "a", "b", "c")
	addrs := []string{"a", "b", "c", "d"}
	for range events {
		s.advanceTo(s.now + time.Duration(rng.Int64N(int64(200*ms))))
		s.randomEvent(rng, addrs)
		if s.followed != 0 {
			continue
		}
		for _, c := range s.selector.candidates {
			assert.Assert(t, c.id != 0 || c.retryAt <= s.now+AbandonedMemberBackoff, "%s is not dialed again", c.addr)
		}
	}
	return s.trace
}

func (s *fakeSidecar) randomEvent(rng *rand.Rand, addrs []string) {
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
		s.setRequestsWaiting(rng.IntN(2) == 0)
	case 8:
		s.selector.SetMembers(s.now, rng.Uint64N(100), addrs[:1+rng.IntN(4)])
		s.applyActions()
	case 9:
		if s.confirming != 0 {
			s.answerConfirm(rng.IntN(2) == 0)
		}
	}
}
