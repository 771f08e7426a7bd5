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
	For   time.Duration // how long a member may act on what others granted it, from when it asked
	Nodes int           // how many members start the fleet, at least
}

// The other times follow from the lease. Each is longer than it, for what one member takes back must have run out at
// the other first; the margins are for clocks that run unevenly.
func (l Lease) silence() time.Duration { return l.For * 13 / 10 } // before a member is held to be out
func (l Lease) back() time.Duration    { return l.For * 17 / 10 } // before one that was out is granted anything
func (l Lease) seat() time.Duration    { return l.For * 6 / 10 }  // before one that was let in takes a part

// Loan is how long a part may be lent for at the most. Who counts no others than it did lends of a part that is too
// large for at most a lease after another is heard again: seat and back are longer than the loans that it gives.
func (l Lease) Loan() time.Duration { return l.For / 2 }

// BeatEvery is how often beats go out.
func (l Lease) BeatEvery() time.Duration { return l.For / 6 }

// Roll is who must be taken to be able to act, and the part that this node may take of what all share.
//
// A member acts only on grants of a majority of the roll that are younger than the lease. One that has not been heard
// for longer is held to be out by each that misses it; whoever holds it out grants it nothing; and once a majority says
// that it does, it counts no more where that is known. So the divisor falls only in a part that has the majority, and
// only after what was missed can't act any more. Names stay on the roll until they leave, are taken off by hand, or
// come back: a crash and a cut link look the same. docs/design/membership.md has the argument whole.
type Roll struct {
	lease   Lease
	me      string
	run     uint64
	started time.Duration
	last    time.Duration // when it was last told the time
	seats   map[string]*seat
	ids     map[uint64]string
	voters  map[string]bool // those seated as of when a majority was known to agree; see settleVoters
	seq     uint64
	sent    [64]time.Duration // when the beats of a round went out, by seq
	hash    uint64
	hashes  [64]uint64 // that the roll had, the newest at hashAt
	hashAt  int
	leaving bool
	seated  time.Duration // when this node was let in by others; zero: it founded the fleet with them, or came back
	// The same in all beats of a round.
	allSettled bool
	allOut     []uint64
	twins      map[string]uint64
}

// seat is a name on the roll, as one member sees it.
type seat struct {
	Entry
	id       uint64
	run      uint64 // of the process that is listened to; 0: none yet
	seq      uint64 // of its latest beat
	heard    time.Duration
	out      bool          // not heard for too long
	back     time.Duration // nothing is granted before
	granted  time.Duration // when the latest beat of ours went out that it echoed; valid if was
	was      bool
	agreed   uint64 // its roll's hash in its latest beat
	settled  bool   // as it said there
	claims   map[uint64]bool
	claimed  time.Duration // when ours went out that came back with them
	hasClaim bool
}

// NewRoll returns the roll of a node that has just started.
func NewRoll(now time.Duration, name string, run uint64, l Lease) *Roll {
	l.Nodes = max(1, l.Nodes)
	r := &Roll{lease: l, me: name, run: run, started: now, last: now, seats: map[string]*seat{}, ids: map[uint64]string{}, voters: map[string]bool{},
		twins: map[string]uint64{}}
	r.Merge(now, []Entry{{Name: name, Epoch: 1}})
	return r
}

// at is told the time first by every call. A time that passed without any call was not spent listening: the process was
// stopped, or so slow that it might as well have been, and others' silence in it tells nothing about them.
func (r *Roll) at(now time.Duration) {
	if gap := now - r.last; gap > 2*r.lease.BeatEvery() {
		for _, s := range r.seats {
			s.heard += gap
			s.back += gap
		}
	}
	r.last = max(r.last, now)
	for _, s := range r.seats {
		if s.Name != r.me && !s.out && r.last-s.heard >= r.lease.silence() {
			s.out = true
		}
	}
}

// Merge takes over what another knows of the roll.
func (r *Roll) Merge(now time.Duration, l []Entry) {
	r.at(now)
	changed := false
	for _, e := range l {
		s := r.seats[e.Name]
		if s == nil {
			id := NameID(e.Name)
			if other, is := r.ids[id]; len(r.seats) >= MaxMembers || is && other != e.Name || !GoodName(e.Name) || e.Epoch == 0 || e.Epoch > MaxEpoch {
				continue
			}
			s = &seat{Entry: e, id: id, heard: r.last}
			r.seats[e.Name], r.ids[id] = s, e.Name
			changed = true
		} else if m := s.Entry.merge(e); m != s.Entry && e.Epoch <= MaxEpoch {
			if s.Gone && !m.Gone { // back under a new epoch: as one that was never met
				*s = seat{Entry: m, id: s.id, heard: r.last, back: r.last + r.lease.back()}
			}
			s.Entry, changed = m, true
		}
		if s.Name == r.me && s.Gone && !r.leaving {
			// Others took us off the roll, or an earlier process of this name left. We come as a new one.
			s.Entry = Entry{Name: r.me, Epoch: s.Epoch + 1}
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
func (r *Roll) rehash() {
	h := fnv.New64a()
	put := func(n uint64) {
		var b [8]byte
		for i := range b {
			b[i] = byte(n >> (8 * i))
		}
		h.Write(b[:])
	}
	put(uint64(r.lease.For))
	put(uint64(r.lease.Nodes))
	for _, s := range r.sorted() {
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
	r.hashAt = (r.hashAt + 1) % len(r.hashes)
	r.hashes[r.hashAt] = r.hash
}

func (r *Roll) sorted() []*seat {
	l := make([]*seat, 0, len(r.seats))
	for _, s := range r.seats {
		l = append(l, s)
	}
	slices.SortFunc(l, func(a, b *seat) int { return cmp.Compare(a.Name, b.Name) })
	return l
}

// Entries are the roll, for others to merge.
func (r *Roll) Entries() (l []Entry) {
	for _, s := range r.sorted() {
		l = append(l, s.Entry)
	}
	return l
}

// Join is told that a member is seen to live.
func (r *Roll) Join(now time.Duration, name string) {
	if r.seats[name] == nil {
		r.Merge(now, []Entry{{Name: name, Epoch: 1}})
	}
}

// Forget takes a name off the roll by hand: whoever calls says that it can't act. It says whether there was one.
func (r *Roll) Forget(now time.Duration, name string) bool {
	s := r.seats[name]
	if s == nil || s.Gone || name == r.me {
		return false
	}
	e := s.Entry
	e.Gone = true
	r.Merge(now, []Entry{e})
	return true
}

// Leave has this node act no more and say so. The parts of the others grow as they hear it.
func (r *Roll) Leave(now time.Duration) {
	r.leaving = true
	e := r.seats[r.me].Entry
	e.Gone = true
	r.Merge(now, []Entry{e})
}

// Round begins a round of beats: each goes to one of the names, by Beat.
func (r *Roll) Round(now time.Duration) (to []string) {
	r.at(now)
	r.seq++
	r.sent[r.seq%uint64(len(r.sent))] = r.last
	r.allSettled, r.allOut = r.settled(), nil
	for _, s := range r.sorted() {
		if s.Name == r.me || s.Gone {
			continue
		}
		to = append(to, s.Name)
		if s.out && len(r.allOut) < MaxOut {
			r.allOut = append(r.allOut, s.id)
		}
	}
	return to
}

// Beat is this round's for one member. What a beat claims was so when the round began: who was heard since is claimed
// to be out for a round longer, and granted nothing before that is long over.
func (r *Roll) Beat(to string) Beat {
	me := r.seats[r.me]
	b := Beat{From: r.me, Run: r.run, To: NameID(to), Seq: r.seq, Epoch: me.Epoch, Leaving: r.leaving, Settled: r.allSettled, Roll: r.hash, Out: r.allOut}
	if s := r.seats[to]; s != nil && s.run != 0 && !s.out && !s.Gone && r.last >= s.back && !r.leaving {
		b.Echo, b.EchoRun = s.seq, s.run
	}
	return b
}

// Heard takes a beat. stranger says that the sender's roll is not known here, so that each should tell the other its;
// sent is when the beat of ours went out that this one echoes, zero if it grants nothing.
func (r *Roll) Heard(now time.Duration, b Beat) (stranger bool, sent time.Duration) {
	r.at(now)
	if b.To != NameID(r.me) || b.From == r.me {
		if b.From == r.me && b.Run != r.run && b.To == NameID(r.me) {
			r.twins[r.me] = b.Run
		}
		return false, 0
	}
	if b.Epoch > MaxEpoch {
		return false, 0
	}
	r.Merge(now, []Entry{{Name: b.From, Epoch: b.Epoch, Gone: b.Leaving}})
	s := r.seats[b.From]
	if s == nil || s.Gone || s.Epoch != b.Epoch {
		return s != nil && !b.Leaving, 0 // it does not know that it is off the roll, or that it came back
	}
	if s.run != b.Run {
		// Another process of that name. As long as the one before may still act on what it was granted, it does not
		// count; if that one goes on, neither ever does.
		if s.run != 0 && r.last-s.heard < r.lease.For {
			r.twins[b.From] = b.Run
			return false, 0
		}
		s.run, s.seq, s.was, s.hasClaim, s.claims = b.Run, 0, false, false, nil
	}
	if b.Seq <= s.seq {
		return false, 0 // late, or played again
	}
	s.seq, s.heard, s.agreed, s.settled = b.Seq, r.last, b.Roll, b.Settled
	if s.out {
		s.out, s.back = false, r.last+r.lease.back()
	}
	if b.Roll == 0 || !slices.Contains(r.hashes[:], b.Roll) {
		return true, 0
	}
	if age := r.seq - b.Echo; b.EchoRun == r.run && b.Echo > 0 && b.Echo <= r.seq && age < uint64(len(r.sent)) {
		at := r.sent[b.Echo%uint64(len(r.sent))]
		if !s.was || at > s.granted {
			s.granted, s.was = at, true
		}
		s.claimed, s.hasClaim, s.claims = at, true, nil
		sent = at
		for _, id := range b.Out {
			if s.claims == nil {
				s.claims = map[uint64]bool{}
			}
			s.claims[id] = true
		}
	}
	return b.Roll != r.hash, sent
}

// Share is the part of rations that this node may take.
type Share struct {
	Divisor int           // of what all share; with no Standing it tells what it would be
	Count   []string      // whom it counts, sorted
	Until   time.Duration // when this is over unless more is heard
	Granted int           // members that grant this node something now, with itself
	Wanted  int           // how many would have to
	Seated  bool
	Why     string // without standing: the reason
}

// Standing says that this node may take its part at that time.
func (s Share) Standing(now time.Duration) bool { return now < s.Until }

// Counts says that a name is among those that the divisor counts.
func (s Share) Counts(name string) bool {
	_, is := slices.BinarySearch(s.Count, name)
	return is
}

// Part is what a ration of all is divided by for this node at that time; +Inf: it may take nothing.
func (s Share) Part(now time.Duration) float64 {
	if !s.Standing(now) {
		return math.Inf(1)
	}
	return float64(max(1, s.Divisor))
}

// missing is how many members of the start are not among those that stand for all by a word; those who left are met.
func (r *Roll) missing(met int) int {
	for _, s := range r.seats {
		if s.Gone {
			met++
		}
	}
	return max(0, r.lease.Nodes-met)
}

// until is when the majority of a set is lost at which each word ends at that time, zero being none; zero if there is
// no majority now.
func until(now time.Duration, base int, ends []time.Duration) time.Duration {
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

const always = time.Duration(math.MaxInt64)

// councils are the sets of names whose majorities must all agree: first those known to be seated, then those that were
// when a majority was last known to agree on that. Before there is any, all that are met found the fleet.
func (r *Roll) councils() (l [][]*seat, founding bool) {
	var all, seated, voters []*seat
	for _, s := range r.seats {
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
		return [][]*seat{all}, true
	}
	if len(voters) == 0 {
		return [][]*seat{seated}, false
	}
	return [][]*seat{seated, voters}, false
}

// agree is until when every council has a majority whose words last, word giving the end of one's; zero if not now.
func (r *Roll) agree(councils [][]*seat, word func(*seat) time.Duration) time.Duration {
	end := always
	missing := r.missing(len(councils[0])) // councils[0] is the largest; who is in it is not missing in the others
	for _, c := range councils {
		var ends []time.Duration
		for _, s := range c {
			if at := word(s); at > 0 {
				ends = append(ends, at)
			}
		}
		end = min(end, until(r.last, len(c)+missing, ends))
	}
	return end
}

// grant is until when a member's grant holds; its own word holds for itself.
func (r *Roll) grant(s *seat) time.Duration {
	switch {
	case s.Name == r.me:
		return always
	case s.was:
		return s.granted + r.lease.For
	}
	return 0
}

// dropped is until when a member counts no more, by the word of majorities that this node shares; zero: it counts.
func (r *Roll) dropped(councils [][]*seat, x *seat) time.Duration {
	if x.Name == r.me || !x.out {
		return 0
	}
	return r.agree(councils, func(s *seat) time.Duration {
		switch {
		case s.Name == r.me:
			return always
		case s.hasClaim && s.claims[x.id]:
			return s.claimed + r.lease.For
		}
		return 0
	})
}

// Share is what this node may take now.
func (r *Roll) Share(now time.Duration) Share {
	r.at(now)
	me := r.seats[r.me]
	councils, founding := r.councils()
	if r.leaving {
		return Share{Why: "this node leaves"}
	}
	if !me.Seated && !founding {
		// Who comes anew is let in by the majority without itself, and with.
		councils = [][]*seat{append(slices.Clone(councils[0]), me), councils[0]}
	}
	sh := Share{Until: r.agree(councils, r.grant), Seated: me.Seated}
	admitted, unheard := true, ""
	for _, s := range r.sorted() {
		if s.Gone {
			continue
		}
		end := r.grant(s)
		if end > r.last {
			sh.Granted++
		}
		gone := r.dropped(councils, s)
		if gone > 0 {
			sh.Until = min(sh.Until, gone)
			continue
		}
		sh.Count = append(sh.Count, s.Name)
		if unheard == "" && (end <= r.last || !r.same(s)) {
			admitted, unheard = false, s.Name
		}
	}
	if founding && r.last-r.started < r.lease.For && (len(councils[0]) < r.lease.Nodes || r.lease.Nodes == 1) {
		sh.Until = 0 // whoever is there already has not had the time to answer
	}
	sh.Wanted = (len(councils[0])+r.missing(len(councils[0])))/2 + 1
	sh.Divisor = len(sh.Count)
	if r.last-r.started < r.lease.silence() { // those who have not come yet may act as far as this node can know
		sh.Divisor += r.missing(len(sh.Count))
	}
	switch {
	case me.Seated:
		r.settleVoters(councils)
		if sh.Until == 0 {
			sh.Why = "no majority grants it anything"
		} else if r.seated > 0 && r.last-r.seated < r.lease.seat() {
			sh.Until, sh.Why = 0, "it has just been let in"
		}
	case sh.Until == 0 && founding:
		sh.Why = "it has met too few, or for too short a time, to found a fleet"
	case sh.Until == 0:
		sh.Why = "no majority grants it anything"
	case !admitted:
		sh.Until, sh.Why = 0, "it is new, and "+unheard+" has not let it in"
	default:
		r.seat(founding)
		if sh.Seated = true; !founding { // its seat counts once the others are known to have heard of it
			sh.Until, sh.Why, r.seated = 0, "it has just been let in", r.last
		}
	}
	return sh
}

// seat has this node take part in majorities from here on; at the founding, with all who let it in. Those seated before
// go on to be a council of their own until they are known to have heard of it.
func (r *Roll) seat(founding bool) {
	clear(r.voters)
	for _, s := range r.seats {
		s.Seated = s.Seated || founding && !s.Gone && r.grant(s) > r.last
		if s.Seated && !s.Gone {
			r.voters[s.Name] = true
		}
	}
	r.seats[r.me].Seated = true
	r.rehash()
}

// same says that a member was heard to hold the same roll.
func (r *Roll) same(s *seat) bool { return s.Name == r.me || s.agreed == r.hash }

// settled says that all who are known to be seated are voters.
func (r *Roll) settled() bool {
	for _, s := range r.seats {
		if s.Seated && !s.Gone && !r.voters[s.Name] {
			return false
		}
	}
	return r.seats[r.me].Seated
}

// settleVoters goes over to those seated now once majorities before and after are known to have the same roll: from
// this node's own hearing, or by the word of a member that has the same and knows.
func (r *Roll) settleVoters(councils [][]*seat) {
	known := r.agree(councils, func(s *seat) time.Duration {
		if !r.same(s) {
			return 0
		}
		return r.grant(s)
	}) > 0
	for _, s := range r.seats {
		known = known || s.Name != r.me && s.settled && r.same(s) && r.grant(s) > r.last
	}
	if !known {
		return
	}
	clear(r.voters)
	for _, s := range r.seats {
		if s.Seated && !s.Gone {
			r.voters[s.Name] = true
		}
	}
}

// Twins are names of which more than one process was heard, with the run of the one that does not count. A
// process finds its own name there if it is one of them.
func (r *Roll) Twins() map[string]uint64 { return r.twins }

// Hash names what the roll holds: names, who is seated or gone, and the lease.
func (r *Roll) Hash() uint64 { return r.hash }

// Seat is what the roll tells of a name, for operators.
type Seat struct {
	Entry
	Heard time.Duration // since its last beat
	Out   bool          // this node has not heard it for too long
	Same  bool          // its roll is the same as this node's
}

// Seats are all names on the roll.
func (r *Roll) Seats(now time.Duration) (l []Seat) {
	r.at(now)
	for _, s := range r.sorted() {
		x := Seat{Entry: s.Entry, Heard: r.last - s.heard, Out: s.out, Same: r.same(s)}
		if s.Name == r.me {
			x.Heard = 0
		}
		l = append(l, x)
	}
	return l
}
