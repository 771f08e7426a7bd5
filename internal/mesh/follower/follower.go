// Package follower decides which control-plane member a sidecar follows: whom to dial and when, whose connection to keep, when
// to leave a member for another, when to have it confirm its table, and whether requests that need the control plane may
// wait for it. It is pure: events and the time go in, actions come out; no I/O, clock, goroutine or map order. The shell
// carries the actions out and owns the connections, which are named by the number of their dial.
//
// All known members are dialled side by side and the first that speaks is followed. A member that is followed and has lost
// its leader is kept until another one is found that has one: during an election all members are without, and a change from
// one to the next gains nothing.
package follower

import (
	"slices"
	"time"
)

// Times of a sidecar that follows a member.
const (
	// SilenceBound is the silence after which a followed member counts as gone; members send a heartbeat every 300 ms.
	SilenceBound = 1200 * time.Millisecond
	// WaitingSilence is that bound while requests wait for an answer, and WaitingAfter how long they must have waited.
	WaitingSilence = 450 * time.Millisecond
	WaitingAfter   = 250 * time.Millisecond
	// OutOfTouch is how long a followed member may be without a leader until others are dialled beside it.
	OutOfTouch = 250 * time.Millisecond
	// Grace is how long requests may still be begun that need the control plane, after the followed member was lost or
	// lost its leader: another is likely to be found within it.
	Grace = 400 * time.Millisecond
	// DialTimeout bounds a dial up to the member's first message.
	DialTimeout = 600 * time.Millisecond
	// FirstRest and MostRest bound the pause between dials of one address, which doubles from one to the other.
	FirstRest = 20 * time.Millisecond
	MostRest  = 100 * time.Millisecond
	// LeftRest is the pause for a member that was left, so that others are found first.
	LeftRest = 400 * time.Millisecond
	// ConfirmRest is the pause after a table that was not confirmed.
	ConfirmRest = 150 * time.Millisecond
)

// DialID names a dial and the connection that comes of it.
type DialID uint64

// ActionKind says what the shell is to do.
type ActionKind uint8

// Kinds of actions.
const (
	Dial    ActionKind = iota // open a connection to Addr and report Spoke or Closed
	Follow                    // send this sidecar's record and claims there from now on
	Confirm                   // ask for the whole table; report Confirmed
	Drop                      // close the connection or give up the dial, for Reason
)

// Action is one thing for the shell to do.
type Action struct {
	Kind   ActionKind
	ID     DialID
	Addr   string // of a Dial
	Reason string // of a Drop
}

// candidate is an address that may be dialled, and its connection.
type candidate struct {
	addr    string
	id      DialID // of the dial or connection; 0: none
	dialed  time.Duration
	spoke   bool // the connection is established
	inTouch bool // by its own latest word
	rest    time.Duration
	retryAt time.Duration
}

// Follower is the state of one sidecar. It belongs to one goroutine. The zero value is not ready; use New.
type Follower struct {
	now        time.Duration
	seeds      []string
	members    []string // told last
	view       uint64   // log index that members are of
	candidates []*candidate
	lastID     DialID
	actions    []Action

	home      *candidate // that is followed; nil: none
	heard     time.Duration
	lostTouch time.Duration // when the home was last known in touch, while it is not
	reachable bool          // requests may be begun: the home is in touch
	graceEnds time.Duration

	waiting      bool
	waitingSince time.Duration

	confirming bool
	confirmed  bool // the home's table was
	confirmAt  time.Duration
}

// New returns a follower that begins with the seeds.
func New(now time.Duration, seeds []string) *Follower {
	f := &Follower{now: now, seeds: slices.Clone(seeds)}
	f.list()
	f.advance()
	return f
}

// Take gives the actions since the last call, to be carried out in order.
func (f *Follower) Take() []Action {
	l := f.actions
	f.actions = nil
	return l
}

// Reachable says until when requests that need the control plane may be begun: ok at any time until told otherwise, or up to
// the time until.
func (f *Follower) Reachable() (ok bool, until time.Duration) { return f.reachable, f.graceEnds }

// Home is the connection that is followed; 0: none.
func (f *Follower) Home() DialID {
	if f.home == nil {
		return 0
	}
	return f.home.id
}

// Seeds takes the seeds of settings that changed.
func (f *Follower) Seeds(now time.Duration, seeds []string) {
	f.step(now, func() {
		if !slices.Equal(f.seeds, seeds) {
			f.seeds = slices.Clone(seeds)
			f.list()
		}
	})
}

// Members takes the members as of a log index; an older word and an empty one change nothing.
func (f *Follower) Members(now time.Duration, view uint64, members []string) {
	f.step(now, func() {
		if view < f.view || len(members) == 0 {
			return
		}
		f.view, f.members = view, slices.Clone(members)
		f.list()
	})
}

// Spoke tells that the member at the other end of a dial has sent its first message.
func (f *Follower) Spoke(now time.Duration, id DialID) {
	f.step(now, func() {
		c := f.find(id)
		if c == nil {
			return
		}
		c.spoke, c.rest = true, 0
		if f.home == nil {
			f.follow(c)
		}
	})
}

// Heard tells that anything came from a member at a time, which may lie before now.
func (f *Follower) Heard(now time.Duration, id DialID, at time.Duration) {
	f.step(now, func() {
		if f.home != nil && f.home.id == id {
			f.heard = max(f.heard, at)
		}
	})
}

// Heartbeat tells whether a member says that it has a leader that a majority follows.
func (f *Follower) Heartbeat(now time.Duration, id DialID, inTouch bool) {
	f.step(now, func() {
		c := f.find(id)
		if c == nil || !c.spoke {
			return
		}
		c.inTouch = inTouch
		switch {
		case c == f.home:
			f.heard = f.now
			f.setTouch(inTouch)
		case inTouch && f.home != nil && f.seeking():
			f.leave("another member is in touch")
			f.follow(c)
		}
	})
}

// Confirmed tells what became of a Confirm. some is false where the table is empty, or was not confirmed.
func (f *Follower) Confirmed(now time.Duration, id DialID, some bool) {
	f.step(now, func() {
		if f.home == nil || f.home.id != id || !f.confirming {
			return
		}
		f.confirming = false
		if !some {
			f.confirmAt = f.now + ConfirmRest
			return
		}
		f.confirmed = true
		f.home.inTouch = true // a majority has just confirmed what it said
		f.setTouch(true)
	})
}

// Waiting tells that requests wait for an answer of the home, since then; or that none does.
func (f *Follower) Waiting(now time.Duration, waits bool) {
	f.step(now, func() {
		if waits && !f.waiting {
			f.waitingSince = f.now
		}
		f.waiting = waits
	})
}

// Closed tells that a dial failed or a connection ended.
func (f *Follower) Closed(now time.Duration, id DialID) {
	f.step(now, func() {
		c := f.find(id)
		if c == nil {
			return
		}
		c.id, c.spoke, c.inTouch = 0, false, false
		c.rest = min(max(2*c.rest, FirstRest), MostRest)
		c.retryAt = f.now + c.rest
		if c == f.home {
			f.unfollow()
		}
	})
}

// Tick lets time pass.
func (f *Follower) Tick(now time.Duration) { f.step(now, func() {}) }
