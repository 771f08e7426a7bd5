package memberselection

import "time"

// step applies an event at a time, and then everything that has become due.
func (s *Selector) step(now time.Duration, event func()) {
	s.now = max(s.now, now)
	event()
	s.advance()
}

// advance does everything that is due at the current time. The order matters: a member that is left here is replaced in the
// same step.
func (s *Selector) advance() {
	if s.followed != nil && s.now >= s.silenceDeadline() {
		s.leaveFollowed(s.silenceReason())
	}
	s.closeSilentDials()
	if s.followed == nil {
		s.followEstablished()
	}
	if s.isSeeking() {
		s.dialDue()
	} else {
		s.closeOthers()
	}
	if s.confirmIsOpen() && s.now >= s.confirmAt {
		s.confirming = true
		s.emit(Action{Kind: Confirm, ID: s.followed.id})
	}
}

// NextTick returns when Tick is due if no other event comes before.
func (s *Selector) NextTick() time.Duration {
	next := noDeadline
	if s.followed != nil {
		next = s.silenceDeadline()
		if s.confirmIsOpen() {
			next = min(next, s.confirmAt)
		}
		if !s.followed.hasLeader && !s.isSeeking() {
			next = min(next, s.leaderLostAt+LeaderlessTimeout)
		}
	}
	for _, c := range s.candidates {
		switch {
		case c.id != 0 && !c.established:
			next = min(next, c.dialedAt+DialTimeout)
		case c.id == 0 && s.isSeeking():
			next = min(next, c.retryAt)
		}
	}
	return next
}

// confirmIsOpen reports whether the followed member's table still has to be confirmed and no Confirm is pending.
func (s *Selector) confirmIsOpen() bool { return s.followed != nil && !s.confirming && !s.confirmed }

// silenceDeadline returns when the followed member counts as gone if it sends nothing.
func (s *Selector) silenceDeadline() time.Duration {
	at := s.lastHeard + SilenceTimeout
	if s.requestsWaiting {
		at = min(at, max(s.lastHeard+WaitingSilenceTimeout, s.waitingSince+WaitingThreshold))
	}
	return at
}

// silenceReason returns why a followed member that is silent for too long is left.
func (s *Selector) silenceReason() CloseReason {
	if s.now < s.lastHeard+SilenceTimeout {
		return SilentWhileRequestsWait
	}
	return SilentMember
}

// isSeeking reports whether members are dialed: none is followed, or the followed one has not reported a leader yet, or has been
// without one for too long.
func (s *Selector) isSeeking() bool {
	return s.followed == nil || !s.followed.hasLeader && s.now >= s.leaderLostAt+LeaderlessTimeout
}

// followEstablished follows a member that has already sent a message, preferably one with a leader.
func (s *Selector) followEstablished() {
	var best *candidate
	for _, c := range s.candidates {
		if c.established && (best == nil || c.hasLeader && !best.hasLeader) {
			best = c
		}
	}
	if best != nil {
		s.follow(best)
	}
}

// follow makes a candidate the followed member. Until it reports a leader, LeaderlessTimeout counts as already over, so that
// the other members are still dialed.
func (s *Selector) follow(c *candidate) {
	s.followed = c
	s.lastHeard = s.now
	s.leaderLostAt = s.now - LeaderlessTimeout
	s.confirming = false
	s.confirmed = false
	s.confirmAt = s.now
	s.emit(Action{Kind: Follow, ID: c.id})
	if c.hasLeader {
		s.setReachable(true)
	}
}

// leaveFollowed closes the followed connection. Its address is dialed again only after the others.
func (s *Selector) leaveFollowed(reason CloseReason) {
	c := s.followed
	s.closeCandidate(c, reason)
	c.retryAt = s.now + LeftMemberBackoff
	s.clearFollowed()
}

// clearFollowed resets the state of the followed member. The caller has closed its connection, or it has ended.
func (s *Selector) clearFollowed() {
	s.followed = nil
	s.confirming = false
	s.confirmed = false
	s.setReachable(false)
}

// setReachable records whether the followed member has a leader. If it has lost its leader just now, the grace period begins.
func (s *Selector) setReachable(hasLeader bool) {
	switch {
	case hasLeader:
		s.reachable = true
	case s.reachable:
		s.reachable = false
		s.leaderLostAt = s.now
		s.graceEnds = s.now + ReachableGrace
	}
}
