package follower

import (
	"slices"
	"time"
)

// never is later than any time.
const never = time.Duration(1<<63 - 1)

func (f *Follower) step(now time.Duration, event func()) {
	f.now = max(f.now, now)
	event()
	f.advance()
}

// advance does what is due.
func (f *Follower) advance() {
	if f.home != nil && f.now >= f.silentAt() {
		f.leave(f.silenceReason())
	}
	for _, c := range f.candidates {
		if c.id != 0 && !c.spoke && f.now >= c.dialed+DialTimeout {
			f.drop(c, "it does not speak")
			c.retryAt = f.now
		}
	}
	if f.home == nil {
		f.adopt()
	}
	if f.seeking() {
		f.dialAll()
	} else {
		f.dropOthers()
	}
	if f.home != nil && !f.confirming && !f.confirmed && f.now >= f.confirmAt {
		f.confirming = true
		f.act(Action{Kind: Confirm, ID: f.home.id})
	}
}

// Next is when Tick is due if nothing else comes.
func (f *Follower) Next() time.Duration {
	next := never
	if f.home != nil {
		next = f.silentAt()
		if !f.confirming && !f.confirmed {
			next = min(next, f.confirmAt)
		}
		if !f.home.inTouch && !f.seeking() {
			next = min(next, f.lostTouch+OutOfTouch)
		}
	}
	for _, c := range f.candidates {
		switch {
		case c.id != 0 && !c.spoke:
			next = min(next, c.dialed+DialTimeout)
		case c.id == 0 && f.seeking():
			next = min(next, c.retryAt)
		}
	}
	return next
}

// silentAt is when the home counts as gone if nothing comes from it.
func (f *Follower) silentAt() time.Duration {
	at := f.heard + SilenceBound
	if f.waiting {
		at = min(at, max(f.heard+WaitingSilence, f.waitingSince+WaitingAfter))
	}
	return at
}

func (f *Follower) silenceReason() string {
	if f.now < f.heard+SilenceBound {
		return "it is silent while requests wait for it"
	}
	return "it is silent"
}

// seeking says that members are dialled: there is no home, or it has not said yet that it has a leader, or has been without
// one for too long.
func (f *Follower) seeking() bool {
	return f.home == nil || !f.home.inTouch && f.now >= f.lostTouch+OutOfTouch
}

// list makes the candidates of members and seeds, and keeps the connections of those that stay. The home stays in any case.
func (f *Follower) list() {
	old := f.candidates
	f.candidates = nil
	for _, addr := range slices.Concat(f.members, f.seeds) {
		if f.byAddr(f.candidates, addr) != nil {
			continue
		}
		c := f.byAddr(old, addr)
		if c == nil {
			c = &candidate{addr: addr, retryAt: f.now}
		}
		f.candidates = append(f.candidates, c)
	}
	for _, c := range old {
		switch {
		case f.byAddr(f.candidates, c.addr) != nil:
		case c == f.home:
			f.candidates = append(f.candidates, c)
		default:
			f.drop(c, "it is no member")
		}
	}
}

func (f *Follower) byAddr(l []*candidate, addr string) *candidate {
	if i := slices.IndexFunc(l, func(c *candidate) bool { return c.addr == addr }); i >= 0 {
		return l[i]
	}
	return nil
}

func (f *Follower) find(id DialID) *candidate {
	if i := slices.IndexFunc(f.candidates, func(c *candidate) bool { return id != 0 && c.id == id }); i >= 0 {
		return f.candidates[i]
	}
	return nil
}

func (f *Follower) dialAll() {
	for _, c := range f.candidates {
		if c.id != 0 || f.now < c.retryAt {
			continue
		}
		f.lastID++
		c.id, c.dialed = f.lastID, f.now
		f.act(Action{Kind: Dial, ID: c.id, Addr: c.addr})
	}
}

// adopt follows a member that has spoken already, one in touch first.
func (f *Follower) adopt() {
	var best *candidate
	for _, c := range f.candidates {
		if c.spoke && (best == nil || c.inTouch && !best.inTouch) {
			best = c
		}
	}
	if best != nil {
		f.follow(best)
	}
}

func (f *Follower) follow(c *candidate) {
	f.home, f.heard, f.lostTouch = c, f.now, f.now-OutOfTouch
	f.confirming, f.confirmed, f.confirmAt = false, false, f.now
	f.act(Action{Kind: Follow, ID: c.id})
	if c.inTouch {
		f.setTouch(true)
	}
}

// leave closes the home's connection; it is dialled again after the others.
func (f *Follower) leave(reason string) {
	c := f.home
	f.drop(c, reason)
	c.retryAt = f.now + LeftRest
	f.unfollow()
}

// unfollow forgets the home, whose connection is closed or about to be.
func (f *Follower) unfollow() {
	f.home = nil
	f.confirming, f.confirmed = false, false
	f.setTouch(false)
}

// setTouch takes whether the home has a leader.
func (f *Follower) setTouch(is bool) {
	switch {
	case is:
		f.reachable = true
	case f.reachable:
		f.reachable, f.lostTouch, f.graceEnds = false, f.now, f.now+Grace
	}
}

func (f *Follower) dropOthers() {
	for _, c := range f.candidates {
		if c != f.home && c.id != 0 {
			f.drop(c, "another member is followed")
		}
	}
}

func (f *Follower) drop(c *candidate, reason string) {
	if c.id != 0 {
		f.act(Action{Kind: Drop, ID: c.id, Reason: reason})
	}
	c.id, c.spoke, c.inTouch = 0, false, false
}

func (f *Follower) act(a Action) { f.actions = append(f.actions, a) }
