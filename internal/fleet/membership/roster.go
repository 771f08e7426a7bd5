package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Roster decides which members must be assumed able to act, and which share of all rations this node may use.
//
// A member acts only on grants of a majority of the roster that are younger than the lease. Each member that has not heard
// from another for longer considers it failed and grants it nothing. Once a majority says so, the failed member is excluded
// from the divisor wherever that is known. So the divisor falls only on the side of a partition that has the majority, and
// only after the excluded member can't act any more. Names stay on the roster until they leave, are removed by an operator,
// or come back, because a crash and a broken link look the same. docs/design/membership.md has the whole argument.
//
// A Roster is not safe for concurrent use: package fleet calls it under its lock.
type Roster struct {
	lease        Lease
	self         string
	run          uint64
	started      time.Duration
	last         time.Duration // when it was last told the time
	members      map[string]*peer
	namesByID    map[uint64]string
	voters       map[string]bool // those seated as of when a majority was known to agree; see settleVoters
	seq          uint64
	sentAt       [64]time.Duration // when the heartbeats of a round went out, by seq
	hash         uint64
	recentHashes [64]uint64 // that the roster had, the newest at hashAt
	latestHash   int
	leaving      bool
	admittedAt   time.Duration // when this node was let in by others; zero: it founded the fleet with them, or came back
	// The same in all heartbeats of a round.
	allSettled bool
	allOut     []uint64
	duplicates map[string]uint64
}

// peer is a name on the roster, as one member sees it.
type peer struct {
	Entry
	id         uint64
	run        uint64 // of the process that is listened to; 0: none yet
	seq        uint64 // of its latest heartbeat
	heardAt    time.Duration
	out        bool          // not heard for too long
	grantAfter time.Duration // nothing is granted before
	grantedAt  time.Duration // when the latest heartbeat of ours went out that it echoed; valid if hasGrant
	hasGrant   bool
	rosterHash uint64 // its roster's hash in its latest heartbeat
	settled    bool   // as it said there
	claims     map[uint64]bool
	claimedAt  time.Duration // when ours went out that came back with them
	hasClaim   bool
}

// NewRoster returns the roster of a node that has just started.
func NewRoster(now time.Duration, name string, run uint64, l Lease) *Roster {
	l.Nodes = max(1, l.Nodes)
	r := &Roster{
		lease: l, self: name, run: run, started: now, last: now, members: map[string]*peer{},
		namesByID: map[uint64]string{}, voters: map[string]bool{}, duplicates: map[string]uint64{},
	}
	r.Merge(now, []Entry{{Name: name, Epoch: 1}})
	return r
}

// advance is told the time first by every call. A time that passed without any call was not spent listening: the process was
// stopped, or so slow that it might as well have been, and others' silence in it tells nothing about them.
func (r *Roster) advance(now time.Duration) {
	if gap := now - r.last; gap > 2*r.lease.HeartbeatInterval() {
		for _, s := range r.members {
			s.heardAt += gap
			s.grantAfter += gap
		}
	}
	r.last = max(r.last, now)
	for _, s := range r.members {
		if s.Name != r.self && !s.out && r.last-s.heardAt >= r.lease.failureTimeout() {
			s.out = true
		}
	}
}

// Merge takes over what another knows of the roster.
func (r *Roster) Merge(now time.Duration, l []Entry) {
	r.advance(now)
	changed := false
	for _, e := range l {
		s := r.members[e.Name]
		if s == nil {
			id := NameID(e.Name)
			other, is := r.namesByID[id]
			invalid := !IsValidName(e.Name) || e.Epoch == 0 || e.Epoch > MaxEpoch
			if len(r.members) >= MaxMembers || is && other != e.Name || invalid {
				continue
			}
			s = &peer{Entry: e, id: id, heardAt: r.last}
			r.members[e.Name], r.namesByID[id] = s, e.Name
			changed = true
		} else if m := s.Entry.merge(e); m != s.Entry && e.Epoch <= MaxEpoch {
			if s.Gone && !m.Gone { // back under a new epoch: as one that was never met
				*s = peer{Entry: m, id: s.id, heardAt: r.last, grantAfter: r.last + r.lease.rejoinDelay()}
			}
			s.Entry, changed = m, true
		}
		if s.Name == r.self && s.Gone && !r.leaving {
			// Others took us off the roster, or an earlier process of this name left. We come as a new one.
			s.Entry = Entry{Name: r.self, Epoch: s.Epoch + 1}
			r.voters = map[string]bool{}
		}
		if s.Gone {
			delete(r.voters, s.Name)
		}
	}
	if changed {
		r.rehash()
	}
}

// rehash notes what the roster holds now. The hash covers the lease, too: members that keep different times can't
// promise each other anything.
func (r *Roster) rehash() {
	h := fnv.New64a()
	put := func(n uint64) {
		var b [8]byte
		for i := range b {
			b[i] = byte(n >> (8 * i))
		}
		h.Write(b[:])
	}
	put(uint64(r.lease.Duration))
	put(uint64(r.lease.Nodes))
	for _, s := range r.sortedMembers() {
		put(s.id)
		flags := uint64(0)
		if s.Seated {
			flags |= 1
		}
		if s.Gone {
			flags |= 2
		}
		put(uint64(s.Epoch)<<2 | flags)
	}
	r.hash = h.Sum64()
	r.latestHash = (r.latestHash + 1) % len(r.recentHashes)
	r.recentHashes[r.latestHash] = r.hash
}

func (r *Roster) sortedMembers() []*peer {
	l := make([]*peer, 0, len(r.members))
	for _, s := range r.members {
		l = append(l, s)
	}
	slices.SortFunc(l, func(a, b *peer) int { return cmp.Compare(a.Name, b.Name) })
	return l
}

// Entries are the roster, for others to merge.
func (r *Roster) Entries() (l []Entry) {
	for _, s := range r.sortedMembers() {
		l = append(l, s.Entry)
	}
	return l
}

// Join is told that a member is seen to live.
func (r *Roster) Join(now time.Duration, name string) {
	if r.members[name] == nil {
		r.Merge(now, []Entry{{Name: name, Epoch: 1}})
	}
}

// Remove takes a name off the roster by hand: whoever calls says that it can't act. It says whether there was one.
func (r *Roster) Remove(now time.Duration, name string) bool {
	s := r.members[name]
	if s == nil || s.Gone || name == r.self {
		return false
	}
	e := s.Entry
	e.Gone = true
	r.Merge(now, []Entry{e})
	return true
}

// Leave has this node act no more and say so. The parts of the others grow as they hear it.
func (r *Roster) Leave(now time.Duration) {
	r.leaving = true
	e := r.members[r.self].Entry
	e.Gone = true
	r.Merge(now, []Entry{e})
}

// Duplicates are names of which more than one process was heard, with the run of the one that does not count. A
// process finds its own name there if it is one of them.
func (r *Roster) Duplicates() map[string]uint64 { return r.duplicates }

// Hash names what the roster holds: names, who is seated or gone, and the lease.
func (r *Roster) Hash() uint64 { return r.hash }

// RosterMember is what the roster tells of a name, for operators.
type RosterMember struct {
	Entry
	Heard time.Duration // since its last heartbeat
	Out   bool          // this node has not heard it for too long
	Same  bool          // its roster is the same as this node's
}

// Members are all names on the roster.
func (r *Roster) Members(now time.Duration) (l []RosterMember) {
	r.advance(now)
	for _, s := range r.sortedMembers() {
		x := RosterMember{Entry: s.Entry, Heard: r.last - s.heardAt, Out: s.out, Same: r.hasSameRoster(s)}
		if s.Name == r.self {
			x.Heard = 0
		}
		l = append(l, x)
	}
	return l
}
