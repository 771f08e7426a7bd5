package memberselection

import "time"

// step advances the time to now, applies an event, and then performs everything that has become due.
func (s *Selector) step(now time.Duration, event func()) {
	s.now = max(s.now, now)
	event()
	s.advance()
}

// advance performs everything that is due at the current time. The order matters: a followed member that is abandoned here is
// replaced in the same step.
func (s *Selector) advance() {
	if s.followed != nil && s.now >= s.silenceDeadline() {
		s.abandonFollowed(s.silenceReason())
	}
	s.closeTimedOutDials()
	if s.followed == nil {
		s.followEstablished()
	}
	if s.isSearching() {
		s.dialDueCandidates()
	} else {
		s.closeOthers()
	}
	if s.needsConfirm() && s.now >= s.confirmAt {
		s.confirming = true
		s.emit(Action{Kind: Confirm, ID: s.followed.id})
	}
}

// NextTick returns the time at which Tick is due unless another event comes first.
func (s *Selector) NextTick() time.Duration {
	next := noDeadline
	if s.followed != nil {
		next = s.silenceDeadline()
		if s.needsConfirm() {
			next = min(next, s.confirmAt)
		}
		if !s.followed.hasLeader && !s.isSearching() {
			next = min(next, s.leaderLostAt+LeaderlessTimeout)
		}
	}
	for _, c := range s.candidates {
		switch {
		case c.id != 0 && !c.established:
			next = min(next, c.dialedAt+DialTimeout)
		case c.id == 0 && s.isSearching():
			next = min(next, c.retryAt)
		}
	}
	return next
}

// needsConfirm reports whether the followed member's table is not confirmed yet and no Confirm is pending.
func (s *Selector) needsConfirm() bool { return s.followed != nil && !s.confirming && !s.confirmed }

// silenceDeadline returns the time at which the followed member is abandoned if it sends nothing until then.
func (s *Selector) silenceDeadline() time.Duration {
	at := s.lastMessageAt + SilenceTimeout
	if s.requestsWaiting {
		at = min(at, max(s.lastMessageAt+WaitingSilenceTimeout, s.waitingSince+WaitingThreshold))
	}
	return at
}

// silenceReason returns the reason to abandon a followed member whose silence deadline has passed.
func (s *Selector) silenceReason() CloseReason {
	if s.now < s.lastMessageAt+SilenceTimeout {
		return SilentWhileRequestsWait
	}
	return SilentMember
}

// isSearching reports whether members are dialed: none is followed, or the followed one has not reported a leader yet, or it has
// been without one for LeaderlessTimeout.
func (s *Selector) isSearching() bool {
	return s.followed == nil || !s.followed.hasLeader && s.now >= s.leaderLostAt+LeaderlessTimeout
}

// followEstablished follows a member that has already sent its first message, if any, and prefers one that has a leader.
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

// follow makes a candidate the followed member. Until the candidate reports a leader, LeaderlessTimeout counts as expired, so that
// the other members are still dialed.
func (s *Selector) follow(c *candidate) {
	s.followed = c
	s.lastMessageAt = s.now
	s.leaderLostAt = s.now - LeaderlessTimeout
	s.confirming = false
	s.confirmed = false
	s.confirmAt = s.now
	s.emit(Action{Kind: Follow, ID: c.id})
	if c.hasLeader {
		s.setReachable(true)
	}
}

// abandonFollowed closes the followed connection. Its address is dialed again after AbandonedMemberBackoff, later than the others.
func (s *Selector) abandonFollowed(reason CloseReason) {
	c := s.followed
	s.closeCandidate(c, reason)
	c.retryAt = s.now + AbandonedMemberBackoff
	s.clearFollowed()
}

// clearFollowed resets the state of the followed member after its connection was closed by either side.
func (s *Selector) clearFollowed() {
	s.followed = nil
	s.confirming = false
	s.confirmed = false
	s.setReachable(false)
}

// setReachable records whether the followed member has a leader. When this changes from true to false, the grace period begins.
func (s *Selector) setReachable(hasLeader bool) {
	switch {
	case hasLeader:
		s.reachable = true
	case s.reachable:
		s.reachable = false
		s.leaderLostAt = s.now
		s.graceDeadline = s.now + ReachableGrace
	}
}
