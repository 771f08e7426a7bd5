package memberselection

import (
	"slices"
	"time"
)

// noDeadline is later than any time.
const noDeadline = time.Duration(1<<63 - 1)

func (f *Selector) step(now time.Duration, event func()) {
	f.now = max(f.now, now)
	event()
	f.advance()
}

// advance does what is due.
func (f *Selector) advance() {
	if f.followed != nil && f.now >= f.silenceDeadline() {
		f.leaveFollowed(f.silenceReason())
	}
	for _, c := range f.candidates {
		if c.id != 0 && !c.established && f.now >= c.dialedAt+DialTimeout {
			f.closeCandidate(c, "it does not speak")
			c.retryAt = f.now
		}
	}
	if f.followed == nil {
		f.followEstablished()
	}
	if f.isSeeking() {
		f.dialDue()
	} else {
		f.closeOthers()
	}
	if f.followed != nil && !f.confirming && !f.confirmed && f.now >= f.confirmAt {
		f.confirming = true
		f.emit(Action{Kind: Confirm, ID: f.followed.id})
	}
}

// NextTick is when Tick is due if nothing else comes.
func (f *Selector) NextTick() time.Duration {
	next := noDeadline
	if f.followed != nil {
		next = f.silenceDeadline()
		if !f.confirming && !f.confirmed {
			next = min(next, f.confirmAt)
		}
		if !f.followed.hasLeader && !f.isSeeking() {
			next = min(next, f.leaderLostAt+LeaderlessTimeout)
		}
	}
	for _, c := range f.candidates {
		switch {
		case c.id != 0 && !c.established:
			next = min(next, c.dialedAt+DialTimeout)
		case c.id == 0 && f.isSeeking():
			next = min(next, c.retryAt)
		}
	}
	return next
}

// silenceDeadline is when the home counts as gone if nothing comes from it.
func (f *Selector) silenceDeadline() time.Duration {
	at := f.lastHeard + SilenceTimeout
	if f.requestsWaiting {
		at = min(at, max(f.lastHeard+WaitingSilenceTimeout, f.waitingSince+WaitingThreshold))
	}
	return at
}

func (f *Selector) silenceReason() string {
	if f.now < f.lastHeard+SilenceTimeout {
		return "it is silent while requests wait for it"
	}
	return "it is silent"
}

// isSeeking says that members are dialled: there is no home, or it has not said yet that it has a leader, or has been without
// one for too long.
func (f *Selector) isSeeking() bool {
	return f.followed == nil || !f.followed.hasLeader && f.now >= f.leaderLostAt+LeaderlessTimeout
}

// updateCandidates makes the candidates of members and seeds, and keeps the connections of those that stay. The home stays in any case.
func (f *Selector) updateCandidates() {
	old := f.candidates
	f.candidates = nil
	for _, addr := range slices.Concat(f.members, f.seeds) {
		if f.candidateByAddr(f.candidates, addr) != nil {
			continue
		}
		c := f.candidateByAddr(old, addr)
		if c == nil {
			c = &candidate{addr: addr, retryAt: f.now}
		}
		f.candidates = append(f.candidates, c)
	}
	for _, c := range old {
		switch {
		case f.candidateByAddr(f.candidates, c.addr) != nil:
		case c == f.followed:
			f.candidates = append(f.candidates, c)
		default:
			f.closeCandidate(c, "it is no member")
		}
	}
}

func (f *Selector) candidateByAddr(l []*candidate, addr string) *candidate {
	if i := slices.IndexFunc(l, func(c *candidate) bool { return c.addr == addr }); i >= 0 {
		return l[i]
	}
	return nil
}

func (f *Selector) candidateByID(id ConnID) *candidate {
	if i := slices.IndexFunc(f.candidates, func(c *candidate) bool { return id != 0 && c.id == id }); i >= 0 {
		return f.candidates[i]
	}
	return nil
}

func (f *Selector) dialDue() {
	for _, c := range f.candidates {
		if c.id != 0 || f.now < c.retryAt {
			continue
		}
		f.lastID++
		c.id, c.dialedAt = f.lastID, f.now
		f.emit(Action{Kind: Dial, ID: c.id, Addr: c.addr})
	}
}

// followEstablished follows a member that has spoken already, one in touch first.
func (f *Selector) followEstablished() {
	var best *candidate
	for _, c := range f.candidates {
		if c.established && (best == nil || c.hasLeader && !best.hasLeader) {
			best = c
		}
	}
	if best != nil {
		f.follow(best)
	}
}

func (f *Selector) follow(c *candidate) {
	f.followed, f.lastHeard, f.leaderLostAt = c, f.now, f.now-LeaderlessTimeout
	f.confirming, f.confirmed, f.confirmAt = false, false, f.now
	f.emit(Action{Kind: Follow, ID: c.id})
	if c.hasLeader {
		f.setReachable(true)
	}
}

// leaveFollowed closes the home's connection; it is dialled again after the others.
func (f *Selector) leaveFollowed(reason string) {
	c := f.followed
	f.closeCandidate(c, reason)
	c.retryAt = f.now + LeftMemberBackoff
	f.clearFollowed()
}

// clearFollowed forgets the home, whose connection is closed or about to be.
func (f *Selector) clearFollowed() {
	f.followed = nil
	f.confirming, f.confirmed = false, false
	f.setReachable(false)
}

// setReachable takes whether the home has a leader.
func (f *Selector) setReachable(is bool) {
	switch {
	case is:
		f.reachable = true
	case f.reachable:
		f.reachable, f.leaderLostAt, f.graceEnds = false, f.now, f.now+ReachableGrace
	}
}

func (f *Selector) closeOthers() {
	for _, c := range f.candidates {
		if c != f.followed && c.id != 0 {
			f.closeCandidate(c, "another member is followed")
		}
	}
}

func (f *Selector) closeCandidate(c *candidate, reason string) {
	if c.id != 0 {
		f.emit(Action{Kind: Close, ID: c.id, Reason: reason})
	}
	c.id, c.established, c.hasLeader = 0, false, false
}

func (f *Selector) emit(a Action) { f.actions = append(f.actions, a) }
