// Package follower decides which control-plane member a sidecar follows: whom to dial and when, whose connection to keep, when
// to leave a member for another, when to have it confirm its table, and whether requests that need the control plane may
// wait for it. It is pure: events and the time go in, actions come out; no I/O, clock, goroutine or map order. The shell
// carries the actions out and owns the connections, which are named by the number of their dial.
//
// All known members are dialled side by side and the first that speaks is followed. A member that is followed and has lost
// its leader is kept until another one is found that has one: during an election all members are without, and a change from
// one to the next gains nothing.
package memberselection

import (
	"slices"
	"time"
)

// Times of a sidecar that follows a member.
const (
	// SilenceTimeout is the silence after which a followed member counts as gone; members send a heartbeat every 300 ms.
	SilenceTimeout = 1200 * time.Millisecond
	// WaitingSilenceTimeout is that bound while requests wait for an answer, and WaitingAfter how long they must have waited.
	WaitingSilenceTimeout = 450 * time.Millisecond
	WaitingThreshold      = 250 * time.Millisecond
	// LeaderlessTimeout is how long a followed member may be without a leader until others are dialled beside it.
	LeaderlessTimeout = 250 * time.Millisecond
	// ReachableGrace is how long requests may still be begun that need the control plane, after the followed member was lost or
	// lost its leader: another is likely to be found within it.
	ReachableGrace = 400 * time.Millisecond
	// DialTimeout bounds a dial up to the member's first message.
	DialTimeout = 600 * time.Millisecond
	// MinDialBackoff and MostRest bound the pause between dials of one address, which doubles from one to the other.
	MinDialBackoff = 20 * time.Millisecond
	MaxDialBackoff = 100 * time.Millisecond
	// LeftMemberBackoff is the pause for a member that was left, so that others are found first.
	LeftMemberBackoff = 400 * time.Millisecond
	// ConfirmBackoff is the pause after a table that was not confirmed.
	ConfirmBackoff = 150 * time.Millisecond
)

// ConnID names a dial and the connection that comes of it.
type ConnID uint64

// ActionKind says what the shell is to do.
type ActionKind uint8

// Kinds of actions.
const (
	Dial    ActionKind = iota // open a connection to Addr and report Spoke or Closed
	Follow                    // send this sidecar's record and claims there from now on
	Confirm                   // ask for the whole table; report Confirmed
	Close                     // close the connection or give up the dial, for Reason
)

// Action is one thing for the shell to do.
type Action struct {
	Kind   ActionKind
	ID     ConnID
	Addr   string // of a Dial
	Reason string // of a Drop
}

// candidate is an address that may be dialled, and its connection.
type candidate struct {
	addr        string
	id          ConnID // of the dial or connection; 0: none
	dialedAt    time.Duration
	established bool // the connection is established
	hasLeader   bool // by its own latest word
	backoff     time.Duration
	retryAt     time.Duration
}

// Selector is the state of one sidecar. It belongs to one goroutine. The zero value is not ready; use New.
type Selector struct {
	now        time.Duration
	seeds      []string
	members    []string // told last
	memberView uint64   // log index that members are of
	candidates []*candidate
	lastID     ConnID
	actions    []Action

	followed     *candidate // that is followed; nil: none
	lastHeard    time.Duration
	leaderLostAt time.Duration // when the home was last known in touch, while it is not
	reachable    bool          // requests may be begun: the home is in touch
	graceEnds    time.Duration

	requestsWaiting bool
	waitingSince    time.Duration

	confirming bool
	confirmed  bool // the home's table was
	confirmAt  time.Duration
}

// New returns a follower that begins with the seeds.
func New(now time.Duration, seeds []string) *Selector {
	f := &Selector{now: now, seeds: slices.Clone(seeds)}
	f.updateCandidates()
	f.advance()
	return f
}

// TakeActions gives the actions since the last call, to be carried out in order.
func (f *Selector) TakeActions() []Action {
	l := f.actions
	f.actions = nil
	return l
}

// Reachable says until when requests that need the control plane may be begun: ok at any time until told otherwise, or up to
// the time until.
func (f *Selector) Reachable() (ok bool, until time.Duration) { return f.reachable, f.graceEnds }

// Followed is the connection that is followed; 0: none.
func (f *Selector) Followed() ConnID {
	if f.followed == nil {
		return 0
	}
	return f.followed.id
}

// SetSeeds takes the seeds of settings that changed.
func (f *Selector) SetSeeds(now time.Duration, seeds []string) {
	f.step(now, func() {
		if !slices.Equal(f.seeds, seeds) {
			f.seeds = slices.Clone(seeds)
			f.updateCandidates()
		}
	})
}

// SetMembers takes the members as of a log index; an older word and an empty one change nothing.
func (f *Selector) SetMembers(now time.Duration, view uint64, members []string) {
	f.step(now, func() {
		if view < f.memberView || len(members) == 0 {
			return
		}
		f.memberView, f.members = view, slices.Clone(members)
		f.updateCandidates()
	})
}

// FirstMessageReceived tells that the member at the other end of a dial has sent its first message.
func (f *Selector) FirstMessageReceived(now time.Duration, id ConnID) {
	f.step(now, func() {
		c := f.candidateByID(id)
		if c == nil {
			return
		}
		c.established, c.backoff = true, 0
		if f.followed == nil {
			f.follow(c)
		}
	})
}

// MessageReceived tells that anything came from a member at a time, which may lie before now.
func (f *Selector) MessageReceived(now time.Duration, id ConnID, at time.Duration) {
	f.step(now, func() {
		if f.followed != nil && f.followed.id == id {
			f.lastHeard = max(f.lastHeard, at)
		}
	})
}

// HeartbeatReceived tells whether a member says that it has a leader that a majority follows.
func (f *Selector) HeartbeatReceived(now time.Duration, id ConnID, inTouch bool) {
	f.step(now, func() {
		c := f.candidateByID(id)
		if c == nil || !c.established {
			return
		}
		c.hasLeader = inTouch
		switch {
		case c == f.followed:
			f.lastHeard = f.now
			f.setReachable(inTouch)
		case inTouch && f.followed != nil && f.isSeeking():
			f.leaveFollowed("another member is in touch")
			f.follow(c)
		}
	})
}

// ConfirmationReceived tells what became of a Confirm. some is false where the table is empty, or was not confirmed.
func (f *Selector) ConfirmationReceived(now time.Duration, id ConnID, confirmed bool) {
	f.step(now, func() {
		if f.followed == nil || f.followed.id != id || !f.confirming {
			return
		}
		f.confirming = false
		if !confirmed {
			f.confirmAt = f.now + ConfirmBackoff
			return
		}
		f.confirmed = true
		f.followed.hasLeader = true // a majority has just confirmed what it said
		f.setReachable(true)
	})
}

// SetRequestsWaiting tells that requests wait for an answer of the home, since then; or that none does.
func (f *Selector) SetRequestsWaiting(now time.Duration, waits bool) {
	f.step(now, func() {
		if waits && !f.requestsWaiting {
			f.waitingSince = f.now
		}
		f.requestsWaiting = waits
	})
}

// ConnectionClosed tells that a dial failed or a connection ended.
func (f *Selector) ConnectionClosed(now time.Duration, id ConnID) {
	f.step(now, func() {
		c := f.candidateByID(id)
		if c == nil {
			return
		}
		c.id, c.established, c.hasLeader = 0, false, false
		c.backoff = min(max(2*c.backoff, MinDialBackoff), MaxDialBackoff)
		c.retryAt = f.now + c.backoff
		if c == f.followed {
			f.clearFollowed()
		}
	})
}

// Tick lets time pass.
func (f *Selector) Tick(now time.Duration) { f.step(now, func() {}) }
