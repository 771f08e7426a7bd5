// Package memberselection decides which control-plane member a sidecar follows: which addresses to dial and when, whose
// connection to keep, when to leave a member for another, when to have the configuration confirmed, and whether requests that
// need the control plane may be started. (It has nothing to do with a raft follower.)
//
// It is a pure state machine in the manner of etcd's raft: events and the time go in, actions come out, and the same events give
// the same actions. It must never do I/O, read a clock, start a goroutine, log, draw random numbers or depend on map order. The
// caller, in a sidecar the goroutine of controlPlaneConn.run, carries the actions out in order and owns the connections, which are
// identified by a ConnID. Times are durations since an origin of the caller's choice.
//
// All known members are dialed side by side, and the first one that sends a message is followed. A followed member that has lost
// its leader is kept until another one is found that has a leader: during an election every member is without one, and moving
// between them gains nothing. The rules are described in docs/design/control.md.
package memberselection

import (
	"slices"
	"time"
)

// Selector is the state of one sidecar. It belongs to one goroutine. The zero value is not ready for use; see New.
type Selector struct {
	now        time.Duration // of the latest event; never goes back
	seeds      []string
	members    []string
	memberView uint64 // log index that members are of
	candidates []*candidate
	lastID     ConnID
	actions    []Action

	followed     *candidate    // the candidate whose connection is followed, or nil
	lastHeard    time.Duration // when the followed member last sent anything
	leaderLostAt time.Duration // when the followed member lost its leader; only valid while it has none
	reachable    bool          // the followed member has a leader
	graceEnds    time.Duration // while not reachable: until when requests may still be started

	requestsWaiting bool
	waitingSince    time.Duration

	confirming bool // a Confirm is pending
	confirmed  bool // the followed member's table has been confirmed
	confirmAt  time.Duration
}

// New returns a selector that begins with dials of the seeds (host:port).
func New(now time.Duration, seeds []string) *Selector {
	s := &Selector{now: now, seeds: slices.Clone(seeds)}
	s.updateCandidates()
	s.advance()
	return s
}

// TakeActions returns the actions since the last call. They are to be carried out in order.
func (s *Selector) TakeActions() []Action {
	taken := s.actions
	s.actions = nil
	return taken
}

// Reachable returns whether requests that need the control plane may be started: at any time while ok is true, otherwise only
// before until.
func (s *Selector) Reachable() (ok bool, until time.Duration) { return s.reachable, s.graceEnds }

// Followed returns the followed connection, or 0 if no member is followed.
func (s *Selector) Followed() ConnID {
	if s.followed == nil {
		return 0
	}
	return s.followed.id
}

// SetSeeds replaces the seeds, which may have changed in the settings.
func (s *Selector) SetSeeds(now time.Duration, seeds []string) {
	s.step(now, func() {
		if !slices.Equal(s.seeds, seeds) {
			s.seeds = slices.Clone(seeds)
			s.updateCandidates()
		}
	})
}

// SetMembers replaces the members by those of a log index. A list of an earlier index and an empty one are ignored.
func (s *Selector) SetMembers(now time.Duration, index uint64, members []string) {
	s.step(now, func() {
		if index < s.memberView || len(members) == 0 {
			return
		}
		s.memberView, s.members = index, slices.Clone(members)
		s.updateCandidates()
	})
}

// FirstMessageReceived reports that the member at the other end of a dial has sent its first message.
func (s *Selector) FirstMessageReceived(now time.Duration, id ConnID) {
	s.step(now, func() {
		c := s.candidateByID(id)
		if c == nil {
			return
		}
		c.established, c.backoff = true, 0
		if s.followed == nil {
			s.follow(c)
		}
	})
}

// MessageReceived reports that a member sent any message, at a time that may lie before now.
func (s *Selector) MessageReceived(now time.Duration, id ConnID, at time.Duration) {
	s.step(now, func() {
		if s.followed != nil && s.followed.id == id {
			s.lastHeard = max(s.lastHeard, at)
		}
	})
}

// HeartbeatReceived reports a member's heartbeat. hasLeader says that the member has a leader that a quorum follows.
func (s *Selector) HeartbeatReceived(now time.Duration, id ConnID, hasLeader bool) {
	s.step(now, func() {
		c := s.candidateByID(id)
		if c == nil || !c.established {
			return
		}
		c.hasLeader = hasLeader
		switch {
		case c == s.followed:
			s.lastHeard = s.now
			s.setReachable(hasLeader)
		case hasLeader && s.followed != nil && s.isSeeking():
			s.leaveFollowed(OtherMemberHasLeader)
			s.follow(c)
		}
	})
}

// ConfirmationReceived reports the result of a Confirm. confirmed is false if the table is empty or could not be confirmed.
func (s *Selector) ConfirmationReceived(now time.Duration, id ConnID, confirmed bool) {
	s.step(now, func() {
		if s.followed == nil || s.followed.id != id || !s.confirming {
			return
		}
		s.confirming = false
		if !confirmed {
			s.confirmAt = s.now + ConfirmBackoff
			return
		}
		s.confirmed = true
		s.followed.hasLeader = true // a quorum has confirmed the leader that the read was served by
		s.setReachable(true)
	})
}

// SetRequestsWaiting reports whether requests wait for an answer of the followed member, which shortens its silence timeout.
func (s *Selector) SetRequestsWaiting(now time.Duration, waiting bool) {
	s.step(now, func() {
		if waiting && !s.requestsWaiting {
			s.waitingSince = s.now
		}
		s.requestsWaiting = waiting
	})
}

// ConnectionClosed reports that a dial failed or a connection ended.
func (s *Selector) ConnectionClosed(now time.Duration, id ConnID) {
	s.step(now, func() {
		c := s.candidateByID(id)
		if c == nil {
			return
		}
		c.forgetConnection()
		c.backoff = min(max(2*c.backoff, MinDialBackoff), MaxDialBackoff)
		c.retryAt = s.now + c.backoff
		if c == s.followed {
			s.clearFollowed()
		}
	})
}

// Tick advances the time without an event. The caller calls it at NextTick.
func (s *Selector) Tick(now time.Duration) { s.step(now, func() {}) }
