package membership

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Lease says how long a word holds. It must be the same at all members: one that has another is not heard.
type Lease struct {
	Duration time.Duration // how long a member may act on what others granted it, from when it asked
	Nodes    int           // how many members start the fleet, at least
}

// The other times follow from the lease. Each is longer than it, for what one member takes back must have run out at
// the other first; the margins are for clocks that run unevenly.
func (l Lease) failureTimeout() time.Duration { return l.Duration * 13 / 10 } // before a member is held to be out
func (l Lease) rejoinDelay() time.Duration    { return l.Duration * 17 / 10 } // before one that was out is granted anything
func (l Lease) admissionDelay() time.Duration { return l.Duration * 6 / 10 }  // before one that was let in takes a part

// MaxLoan is how long a part may be lent for at the most. Who counts no others than it did lends of a part that is too
// large for at most a lease after another is heard again: seat and back are longer than the loans that it gives.
func (l Lease) MaxLoan() time.Duration { return l.Duration / 2 }

// HeartbeatInterval is how often beats go out.
func (l Lease) HeartbeatInterval() time.Duration { return l.Duration / 6 }

// Roster is who must be taken to be able to act, and the part that this node may take of what all share.
//
// A member acts only on grants of a majority of the roll that are younger than the lease. One that has not been heard
// for longer is held to be out by each that misses it; whoever holds it out grants it nothing; and once a majority says
// that it does, it counts no more where that is known. So the divisor falls only in a part that has the majority, and
// only after what was missed can't act any more. Names stay on the roll until they leave, are taken off by hand, or
// come back: a crash and a cut link look the same. docs/design/membership.md has the argument whole.
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
	sentAt       [64]time.Duration // when the beats of a round went out, by seq
	hash         uint64
	recentHashes [64]uint64 // that the roll had, the newest at hashAt
	latestHash   int
	leaving      bool
	admittedAt   time.Duration // when this node was let in by others; zero: it founded the fleet with them, or came back
	// The same in all beats of a round.
	allSettled bool
	allOut     []uint64
	duplicates map[string]uint64
}

// peer is a name on the roll, as one member sees it.
type peer struct {
	Entry
	id         uint64
	run        uint64 // of the process that is listened to; 0: none yet
	seq        uint64 // of its latest beat
	heardAt    time.Duration
	out        bool          // not heard for too long
	grantAfter time.Duration // nothing is granted before
	grantedAt  time.Duration // when the latest beat of ours went out that it echoed; valid if was
	hasGrant   bool
	rosterHash uint64 // its roll's hash in its latest beat
	settled    bool   // as it said there
	claims     map[uint64]bool
	claimedAt  time.Duration // when ours went out that came back with them
	hasClaim   bool
}

// NewRoster returns the roll of a node that has just started.
func NewRoster(now time.Duration, name string, run uint64, l Lease) *Roster {
	l.Nodes = max(1, l.Nodes)
	r := &Roster{lease: l, self: name, run: run, started: now, last: now, members: map[string]*peer{}, namesByID: map[uint64]string{}, voters: map[string]bool{},
		duplicates: map[string]uint64{}}
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

// Merge takes over what another knows of the roll.
func (r *Roster) Merge(now time.Duration, l []Entry) {
	r.advance(now)
	changed := false
	for _, e := range l {
		s := r.members[e.Name]
		if s == nil {
			id := NameID(e.Name)
			if other, is := r.namesByID[id]; len(r.members) >= MaxMembers || is && other != e.Name || !IsValidName(e.Name) || e.Epoch == 0 || e.Epoch > MaxEpoch {
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
			// Others took us off the roll, or an earlier process of this name left. We come as a new one.
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

// rehash notes what the roll holds now. The hash covers the lease, too: members that keep different times can't
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

// Entries are the roll, for others to merge.
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

// Remove takes a name off the roll by hand: whoever calls says that it can't act. It says whether there was one.
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

// StartRound begins a round of beats: each goes to one of the names, by Beat.
func (r *Roster) StartRound(now time.Duration) (to []string) {
	r.advance(now)
	r.seq++
	r.sentAt[r.seq%uint64(len(r.sentAt))] = r.last
	r.allSettled, r.allOut = r.votersSettled(), nil
	for _, s := range r.sortedMembers() {
		if s.Name == r.self || s.Gone {
			continue
		}
		to = append(to, s.Name)
		if s.out && len(r.allOut) < MaxOut {
			r.allOut = append(r.allOut, s.id)
		}
	}
	return to
}

// Heartbeat is this round's for one member. What a beat claims was so when the round began: who was heard since is claimed
// to be out for a round longer, and granted nothing before that is long over.
func (r *Roster) Heartbeat(to string) Heartbeat {
	me := r.members[r.self]
	b := Heartbeat{From: r.self, Run: r.run, To: NameID(to), Seq: r.seq, Epoch: me.Epoch, Leaving: r.leaving, Settled: r.allSettled, RosterHash: r.hash, Out: r.allOut}
	if s := r.members[to]; s != nil && s.run != 0 && !s.out && !s.Gone && r.last >= s.grantAfter && !r.leaving {
		b.Echo, b.EchoRun = s.seq, s.run
	}
	return b
}

// Receive takes a beat. stranger says that the sender's roll is not known here, so that each should tell the other its;
// sent is when the beat of ours went out that this one echoes, zero if it grants nothing.
func (r *Roster) Receive(now time.Duration, b Heartbeat) (stranger bool, sent time.Duration) {
	r.advance(now)
	if b.To != NameID(r.self) || b.From == r.self {
		if b.From == r.self && b.Run != r.run && b.To == NameID(r.self) {
			r.duplicates[r.self] = b.Run
		}
		return false, 0
	}
	if b.Epoch > MaxEpoch {
		return false, 0
	}
	r.Merge(now, []Entry{{Name: b.From, Epoch: b.Epoch, Gone: b.Leaving}})
	s := r.members[b.From]
	if s == nil || s.Gone || s.Epoch != b.Epoch {
		return s != nil && !b.Leaving, 0 // it does not know that it is off the roll, or that it came back
	}
	if s.run != b.Run {
		// Another process of that name. As long as the one before may still act on what it was granted, it does not
		// count; if that one goes on, neither ever does.
		if s.run != 0 && r.last-s.heardAt < r.lease.Duration {
			r.duplicates[b.From] = b.Run
			return false, 0
		}
		s.run, s.seq, s.hasGrant, s.hasClaim, s.claims = b.Run, 0, false, false, nil
	}
	if b.Seq <= s.seq {
		return false, 0 // late, or played again
	}
	s.seq, s.heardAt, s.rosterHash, s.settled = b.Seq, r.last, b.RosterHash, b.Settled
	if s.out {
		s.out, s.grantAfter = false, r.last+r.lease.rejoinDelay()
	}
	if b.RosterHash == 0 || !slices.Contains(r.recentHashes[:], b.RosterHash) {
		return true, 0
	}
	if age := r.seq - b.Echo; b.EchoRun == r.run && b.Echo > 0 && b.Echo <= r.seq && age < uint64(len(r.sentAt)) {
		at := r.sentAt[b.Echo%uint64(len(r.sentAt))]
		if !s.hasGrant || at > s.grantedAt {
			s.grantedAt, s.hasGrant = at, true
		}
		s.claimedAt, s.hasClaim, s.claims = at, true, nil
		sent = at
		for _, id := range b.Out {
			if s.claims == nil {
				s.claims = map[uint64]bool{}
			}
			s.claims[id] = true
		}
	}
	return b.RosterHash != r.hash, sent
}

// Share is the part of rations that this node may take.
type Share struct {
	Divisor int           // of what all share; with no Standing it tells what it would be
	Members []string      // whom it counts, sorted
	Until   time.Duration // when this is over unless more is heard
	Granted int           // members that grant this node something now, with itself
	Wanted  int           // how many would have to
	Seated  bool
	Reason  string // without standing: the reason
}

// IsValid says that this node may take its part at that time.
func (s Share) IsValid(now time.Duration) bool { return now < s.Until }

// Counts says that a name is among those that the divisor counts.
func (s Share) Counts(name string) bool {
	_, is := slices.BinarySearch(s.Members, name)
	return is
}

// DivisorAt is what a ration of all is divided by for this node at that time; +Inf: it may take nothing.
func (s Share) DivisorAt(now time.Duration) float64 {
	if !s.IsValid(now) {
		return math.Inf(1)
	}
	return float64(max(1, s.Divisor))
}

// missingFounders is how many members of the start are not among those that stand for all by a word; those who left are met.
func (r *Roster) missingFounders(met int) int {
	for _, s := range r.members {
		if s.Gone {
			met++
		}
	}
	return max(0, r.lease.Nodes-met)
}

// majorityEnd is when the majority of a set is lost at which each word ends at that time, zero being none; zero if there is
// no majority now.
func majorityEnd(now time.Duration, base int, ends []time.Duration) time.Duration {
	need := base/2 + 1
	if len(ends) < need {
		return 0
	}
	slices.SortFunc(ends, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	if ends[need-1] <= now {
		return 0
	}
	return ends[need-1]
}

const forever = time.Duration(math.MaxInt64)

// electorates are the sets of names whose majorities must all agree: first those known to be seated, then those that were
// when a majority was last known to agree on that. Before there is any, all that are met found the fleet.
func (r *Roster) electorates() (l [][]*peer, founding bool) {
	var all, seated, voters []*peer
	for _, s := range r.members {
		if s.Gone {
			continue
		}
		all = append(all, s)
		if s.Seated {
			seated = append(seated, s)
		}
		if r.voters[s.Name] {
			voters = append(voters, s)
		}
	}
	if len(seated) == 0 {
		return [][]*peer{all}, true
	}
	if len(voters) == 0 {
		return [][]*peer{seated}, false
	}
	return [][]*peer{seated, voters}, false
}

// majorityUntil is until when every council has a majority whose words last, word giving the end of one's; zero if not now.
func (r *Roster) majorityUntil(councils [][]*peer, word func(*peer) time.Duration) time.Duration {
	end := forever
	missing := r.missingFounders(len(councils[0])) // councils[0] is the largest; who is in it is not missing in the others
	for _, c := range councils {
		var ends []time.Duration
		for _, s := range c {
			if at := word(s); at > 0 {
				ends = append(ends, at)
			}
		}
		end = min(end, majorityEnd(r.last, len(c)+missing, ends))
	}
	return end
}

// grantedUntil is until when a member's grant holds; its own word holds for itself.
func (r *Roster) grantedUntil(s *peer) time.Duration {
	switch {
	case s.Name == r.self:
		return forever
	case s.hasGrant:
		return s.grantedAt + r.lease.Duration
	}
	return 0
}

// excludedUntil is until when a member counts no more, by the word of majorities that this node shares; zero: it counts.
func (r *Roster) excludedUntil(councils [][]*peer, x *peer) time.Duration {
	if x.Name == r.self || !x.out {
		return 0
	}
	return r.majorityUntil(councils, func(s *peer) time.Duration {
		switch {
		case s.Name == r.self:
			return forever
		case s.hasClaim && s.claims[x.id]:
			return s.claimedAt + r.lease.Duration
		}
		return 0
	})
}

// Share is what this node may take now.
func (r *Roster) Share(now time.Duration) Share {
	r.advance(now)
	me := r.members[r.self]
	councils, founding := r.electorates()
	if r.leaving {
		return Share{Reason: "this node leaves"}
	}
	if !me.Seated && !founding {
		// Who comes anew is let in by the majority without itself, and with.
		councils = [][]*peer{append(slices.Clone(councils[0]), me), councils[0]}
	}
	sh := Share{Until: r.majorityUntil(councils, r.grantedUntil), Seated: me.Seated}
	admitted, unheard := true, ""
	for _, s := range r.sortedMembers() {
		if s.Gone {
			continue
		}
		end := r.grantedUntil(s)
		if end > r.last {
			sh.Granted++
		}
		gone := r.excludedUntil(councils, s)
		if gone > 0 {
			sh.Until = min(sh.Until, gone)
			continue
		}
		sh.Members = append(sh.Members, s.Name)
		if unheard == "" && (end <= r.last || !r.hasSameRoster(s)) {
			admitted, unheard = false, s.Name
		}
	}
	if founding && r.last-r.started < r.lease.Duration && (len(councils[0]) < r.lease.Nodes || r.lease.Nodes == 1) {
		sh.Until = 0 // whoever is there already has not had the time to answer
	}
	sh.Wanted = (len(councils[0])+r.missingFounders(len(councils[0])))/2 + 1
	sh.Divisor = len(sh.Members)
	if r.last-r.started < r.lease.failureTimeout() { // those who have not come yet may act as far as this node can know
		sh.Divisor += r.missingFounders(len(sh.Members))
	}
	switch {
	case me.Seated:
		r.settleVoters(councils)
		if sh.Until == 0 {
			sh.Reason = "no majority grants it anything"
		} else if r.admittedAt > 0 && r.last-r.admittedAt < r.lease.admissionDelay() {
			sh.Until, sh.Reason = 0, "it has just been let in"
		}
	case sh.Until == 0 && founding:
		sh.Reason = "it has met too few, or for too short a time, to found a fleet"
	case sh.Until == 0:
		sh.Reason = "no majority grants it anything"
	case !admitted:
		sh.Until, sh.Reason = 0, "it is new, and "+unheard+" has not let it in"
	default:
		r.admitSelf(founding)
		if sh.Seated = true; !founding { // its seat counts once the others are known to have heard of it
			sh.Until, sh.Reason, r.admittedAt = 0, "it has just been let in", r.last
		}
	}
	return sh
}

// admitSelf has this node take part in majorities from here on; at the founding, with all who let it in. Those seated before
// go on to be a council of their own until they are known to have heard of it.
func (r *Roster) admitSelf(founding bool) {
	clear(r.voters)
	for _, s := range r.members {
		s.Seated = s.Seated || founding && !s.Gone && r.grantedUntil(s) > r.last
		if s.Seated && !s.Gone {
			r.voters[s.Name] = true
		}
	}
	r.members[r.self].Seated = true
	r.rehash()
}

// hasSameRoster says that a member was heard to hold the same roll.
func (r *Roster) hasSameRoster(s *peer) bool { return s.Name == r.self || s.rosterHash == r.hash }

// votersSettled says that all who are known to be seated are voters.
func (r *Roster) votersSettled() bool {
	for _, s := range r.members {
		if s.Seated && !s.Gone && !r.voters[s.Name] {
			return false
		}
	}
	return r.members[r.self].Seated
}

// settleVoters goes over to those seated now once majorities before and after are known to have the same roll: from
// this node's own hearing, or by the word of a member that has the same and knows.
func (r *Roster) settleVoters(councils [][]*peer) {
	known := r.majorityUntil(councils, func(s *peer) time.Duration {
		if !r.hasSameRoster(s) {
			return 0
		}
		return r.grantedUntil(s)
	}) > 0
	for _, s := range r.members {
		known = known || s.Name != r.self && s.settled && r.hasSameRoster(s) && r.grantedUntil(s) > r.last
	}
	if !known {
		return
	}
	clear(r.voters)
	for _, s := range r.members {
		if s.Seated && !s.Gone {
			r.voters[s.Name] = true
		}
	}
}

// Duplicates are names of which more than one process was heard, with the run of the one that does not count. A
// process finds its own name there if it is one of them.
func (r *Roster) Duplicates() map[string]uint64 { return r.duplicates }

// Hash names what the roll holds: names, who is seated or gone, and the lease.
func (r *Roster) Hash() uint64 { return r.hash }

// RosterMember is what the roll tells of a name, for operators.
type RosterMember struct {
	Entry
	Heard time.Duration // since its last beat
	Out   bool          // this node has not heard it for too long
	Same  bool          // its roll is the same as this node's
}

// Members are all names on the roll.
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
