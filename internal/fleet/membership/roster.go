package membership

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

// rememberedRounds is how many rounds of heartbeats and how many hashes of the roster a Roster remembers. An echo, or a hash, that is
// older counts as unknown: rounds are a sixth of a lease apart, so no grant that echoes one would be valid.
const rememberedRounds = 64

// Roster decides which members must be assumed able to act, and which share of all quotas this node may use.
//
// A member acts only on grants of a majority of the roster that are younger than the lease. Each member that has not heard
// from another for longer considers it failed and grants it nothing. Once a majority reports so, the failed member is excluded
// from the divisor wherever that is known. So the divisor falls only on the side of a partition that has the majority, and
// only after the excluded member can't act any more. Names stay on the roster until they leave, are removed by an operator,
// or come back, because a crash and a broken link look the same. docs/design/membership.md has the whole argument.
//
// Majorities are of the voters. While the voters change, a majority is needed both of the new ones and of the committed ones, which are
// the voters as of when a majority was last known to agree on them.
//
// A Roster is not safe for concurrent use: package fleet calls it under its lock.
type Roster struct {
	lease           Lease
	self            string
	incarnation     uint64
	startedAt       time.Duration
	now             time.Duration // of the latest call; never goes back
	members         map[string]*peer
	namesByID       map[uint64]string // by NameID
	committedVoters map[string]bool   // see commitVoters
	leaving         bool
	admittedAt      time.Duration     // when the others admitted this node; 0 if it founded the fleet with them, or came back
	duplicates      map[string]uint64 // incarnations of processes that have the name of another one

	hash         uint64 // see Hash
	recentHashes [rememberedRounds]uint64
	latestHash   int // index in recentHashes

	// The current round of heartbeats.
	seq                  uint64
	sentAt               [rememberedRounds]time.Duration // when a round was sent, by seq modulo rememberedRounds
	roundVotersCommitted bool
	roundFailed          []uint64
}

// peer is a member on the roster, as this node knows it.
type peer struct {
	Entry
	id            uint64 // NameID
	incarnation   uint64 // of the process that heartbeats are accepted from; 0 before the first
	seq           uint64 // of its latest heartbeat
	heardAt       time.Duration
	failed        bool          // not heard from for the failure time-out
	noGrantBefore time.Duration // see Lease.rejoinDelay

	// As its latest heartbeat says.
	rosterHash      uint64
	votersCommitted bool

	// Valid if hasGrant: when this node sent the latest heartbeat that the peer has echoed.
	grantedAt time.Duration
	hasGrant  bool

	// Valid if hasReport: the members that the peer reports as failed, and when this node sent what came back with that report.
	failureReports map[uint64]bool // by NameID
	reportedAt     time.Duration
	hasReport      bool
}

// NewRoster returns the roster of a node that has just started.
func NewRoster(now time.Duration, name string, incarnation uint64, lease Lease) *Roster {
	lease.Nodes = max(1, lease.Nodes)
	r := &Roster{
		lease:           lease,
		self:            name,
		incarnation:     incarnation,
		startedAt:       now,
		now:             now,
		members:         map[string]*peer{},
		namesByID:       map[uint64]string{},
		committedVoters: map[string]bool{},
		duplicates:      map[string]uint64{},
	}
	r.Merge(now, []Entry{{Name: name, Epoch: 1}})
	return r
}

// advance sets the time; each exported method that is given one calls it first. If much time has passed without any call, this process
// was suspended or starved. It was not listening meanwhile, so that the others' silence in that time must not make them fail.
func (r *Roster) advance(now time.Duration) {
	if gap := now - r.now; gap > 2*r.lease.HeartbeatInterval() {
		for _, p := range r.members {
			p.heardAt += gap
			p.noGrantBefore += gap
		}
	}
	r.now = max(r.now, now)
	for _, p := range r.members {
		if p.Name != r.self && !p.failed && r.now-p.heardAt >= r.lease.failureTimeout() {
			p.failed = true
		}
	}
}

// Merge merges entries of another member's roster into this one.
func (r *Roster) Merge(now time.Duration, entries []Entry) {
	r.advance(now)
	changed := false
	for _, e := range entries {
		p := r.members[e.Name]
		if p == nil {
			if p = r.addPeer(e); p == nil {
				continue
			}
			changed = true
		} else if r.updatePeer(p, e) {
			changed = true
		}
		r.reactToRemoval(p)
	}
	if changed {
		r.updateHash()
	}
}

// addPeer adds an entry of a name that is not on the roster. It returns nil if the entry is invalid or there is no room for it.
func (r *Roster) addPeer(e Entry) *peer {
	id := NameID(e.Name)
	other, idTaken := r.namesByID[id]
	if len(r.members) >= MaxMembers || idTaken && other != e.Name || !e.isValid() {
		return nil
	}
	p := &peer{Entry: e, id: id, heardAt: r.now}
	r.members[e.Name], r.namesByID[id] = p, e.Name
	return p
}

// updatePeer merges an entry into that of a name on the roster, and reports whether that changed it.
func (r *Roster) updatePeer(p *peer, e Entry) bool {
	merged := p.merge(e)
	if merged == p.Entry || e.Epoch > MaxEpoch {
		return false
	}
	if p.Removed && !merged.Removed { // back in a new epoch: nothing that is known of it before holds
		*p = peer{Entry: merged, id: p.id, heardAt: r.now, noGrantBefore: r.now + r.lease.rejoinDelay()}
	}
	p.Entry = merged
	return true
}

// reactToRemoval takes a removed member out of the committed voters, and brings this node back if it is the one that was removed.
func (r *Roster) reactToRemoval(p *peer) {
	if p.Name == r.self && p.Removed && !r.leaving {
		// The others have removed this node, or an earlier process of its name has left. It comes back as a new member.
		p.Entry = Entry{Name: r.self, Epoch: p.Epoch + 1}
		r.committedVoters = map[string]bool{}
	}
	if p.Removed {
		delete(r.committedVoters, p.Name)
	}
}

// updateHash recomputes the hash of the roster. It covers the lease, too: members with other times can't rely on each other's grants.
func (r *Roster) updateHash() {
	h := fnv.New64a()
	put := func(n uint64) { h.Write(binary.LittleEndian.AppendUint64(nil, n)) }
	put(uint64(r.lease.Duration))
	put(uint64(r.lease.Nodes))
	for _, p := range r.sortedMembers() {
		put(p.id)
		put(uint64(p.Epoch)<<2 | uint64(p.flags()))
	}
	r.hash = h.Sum64()
	r.latestHash = (r.latestHash + 1) % len(r.recentHashes)
	r.recentHashes[r.latestHash] = r.hash
}

// sortedMembers returns all members on the roster, by name.
func (r *Roster) sortedMembers() []*peer {
	peers := make([]*peer, 0, len(r.members))
	for _, p := range r.members {
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}

// Entries returns the roster, sorted by name, for others to merge.
func (r *Roster) Entries() (entries []Entry) {
	for _, p := range r.sortedMembers() {
		entries = append(entries, p.Entry)
	}
	return entries
}

// Join adds a member that the gossip sees, unless it is on the roster.
func (r *Roster) Join(now time.Duration, name string) {
	if r.members[name] == nil {
		r.Merge(now, []Entry{{Name: name, Epoch: 1}})
	}
}

// Remove removes a member. The caller vouches that it can't act any more. It reports whether there was such a member; this node itself
// can't be removed.
func (r *Roster) Remove(now time.Duration, name string) bool {
	p := r.members[name]
	if p == nil || p.Removed || name == r.self {
		return false
	}
	e := p.Entry
	e.Removed = true
	r.Merge(now, []Entry{e})
	return true
}

// Leave has this node act no more, and say so in its heartbeats from now on. The others' shares grow as they receive that.
func (r *Roster) Leave(now time.Duration) {
	r.leaving = true
	e := r.members[r.self].Entry
	e.Removed = true
	r.Merge(now, []Entry{e})
}

// Duplicates returns the names under which more than one process was heard, each with the incarnation of the one that is not
// accepted. A process finds its own name there if it is one of them. The caller must not change the map.
func (r *Roster) Duplicates() map[string]uint64 { return r.duplicates }

// Hash identifies what the roster holds: names, epochs, voters, removals and the lease. Members with the same hash agree.
func (r *Roster) Hash() uint64 { return r.hash }

// RosterMember is a member on the roster, for operators.
type RosterMember struct {
	Entry
	SinceHeard time.Duration // since its latest heartbeat
	Failed     bool          // this node has not heard from it for the failure time-out
	SameRoster bool          // its roster is the same as this node's
}

// Members returns all members on the roster, by name.
func (r *Roster) Members(now time.Duration) (members []RosterMember) {
	r.advance(now)
	for _, p := range r.sortedMembers() {
		m := RosterMember{Entry: p.Entry, SinceHeard: r.now - p.heardAt, Failed: p.failed, SameRoster: r.hasSameRoster(p)}
		if p.Name == r.self {
			m.SinceHeard = 0
		}
		members = append(members, m)
	}
	return members
}
