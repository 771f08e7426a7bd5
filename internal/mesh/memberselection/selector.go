// Package memberselection decides which control-plane member a sidecar follows, that is, which member it sends its record and its
// requests to and receives the configuration from. (This is unrelated to raft followers.) It decides which addresses to dial and
// when, which connection to keep, when to switch to another member, when to have the configuration confirmed, and whether requests
// that need the control plane may be started.
//
// The package is a deterministic state machine like etcd's raft: the caller passes events with their times and carries out the
// returned actions, and the same events give the same actions. The package must never do I/O, read a clock, start a goroutine, log,
// draw random numbers or depend on map order. The caller (in a sidecar, the goroutine of controlPlaneConn.run) carries out the
// actions in order and owns the connections, which are identified by a ConnID. Times are durations since an origin that the caller
// chooses.
//
// All known members are dialed in parallel, and the first one that sends a message is followed. A followed member that has lost its
// leader is kept until another member is found that has one: during an election no member has a leader, so switching between them
// gains nothing. The rules are described in docs/design/control.md.
package memberselection

import (
	"slices"
	"time"
)

// Selector selects the member that one sidecar follows. It must be used by one goroutine only. Use New to create one.
type Selector struct {
	now          time.Duration // of the latest event; never decreases
	seeds        []string
	members      []string
	membersIndex uint64 // log index of the members list
	candidates   []*candidate
	lastID       ConnID
	actions      []Action

	followed      *candidate    // the candidate whose connection is followed, or nil
	lastMessageAt time.Duration // when the followed member sent its latest message
	leaderLostAt  time.Duration // when the followed member lost its leader; valid only while it has none
	reachable     bool          // whether the followed member has a leader
	graceDeadline time.Duration // until when requests may still be started while reachable is false

	requestsWaiting bool
	waitingSince    time.Duration

	confirming bool          // whether a Confirm is pending
	confirmed  bool          // whether the followed member's table has been confirmed
	confirmAt  time.Duration // earliest time of the next Confirm
}

// New returns a selector that starts by dialing the seeds, which are addresses of the form host:port.
func New(now time.Duration, seeds []string) *Selector {
	s := &Selector{now: now, seeds: slices.Clone(seeds)}
	s.updateCandidates()
	s.advance()
	return s
}

// TakeActions returns the actions queued since the last call. The caller must carry them out in order.
func (s *Selector) TakeActions() []Action {
	taken := s.actions
	s.actions = nil
	return taken
}

// Reachable returns whether requests that need the control plane may be started: always if ok is true, otherwise only before the
// time until.
func (s *Selector) Reachable() (ok bool, until time.Duration) { return s.reachable, s.graceDeadline }

// Followed returns the ID of the followed connection, or 0 if no member is followed.
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

// SetMembers replaces the members with the list as of a log index. It ignores an empty list and one of an earlier index.
func (s *Selector) SetMembers(now time.Duration, index uint64, members []string) {
	s.step(now, func() {
		if index < s.membersIndex || len(members) == 0 {
			return
		}
		s.membersIndex, s.members = index, slices.Clone(members)
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

// MessageReceived reports a message of any kind from a member. at, the time of its arrival, may be earlier than now.
func (s *Selector) MessageReceived(now time.Duration, id ConnID, at time.Duration) {
	s.step(now, func() {
		if s.followed != nil && s.followed.id == id {
			s.lastMessageAt = max(s.lastMessageAt, at)
		}
	})
}

// HeartbeatReceived reports a member's heartbeat. hasLeader means that the member has a leader that is backed by a quorum.
func (s *Selector) HeartbeatReceived(now time.Duration, id ConnID, hasLeader bool) {
	s.step(now, func() {
		c := s.candidateByID(id)
		if c == nil || !c.established {
			return
		}
		c.hasLeader = hasLeader
		switch {
		case c == s.followed:
			s.lastMessageAt = s.now
			s.setReachable(hasLeader)
		case hasLeader && s.followed != nil && s.isSearching():
			s.abandonFollowed(OtherMemberHasLeader)
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
		s.followed.hasLeader = true // a quorum has confirmed the leader that served the read
		s.setReachable(true)
	})
}

// SetRequestsWaiting reports whether requests wait for an answer from the followed member, which shortens its silence timeout.
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

// Tick advances the time without an event. The caller calls it at the time that NextTick returns.
func (s *Selector) Tick(now time.Duration) { s.step(now, func() {}) }
