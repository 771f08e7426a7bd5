package membership

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

// rememberedRounds is the number of rounds of heartbeats, and of hashes of the roster, that a Roster keeps. An older echo or hash counts as
// unknown. Rounds are a sixth of a lease apart, so a grant that echoes an older round would have expired.
const rememberedRounds = 64

// Roster determines which members may still be using their shares, and which share of all quotas this node may use.
//
// To act means to use a share. A member acts only while it has unexpired grants of a majority of the roster. A member that has received no
// heartbeat from another one for longer than a lease considers it failed and gives it no grant. Members that know that a majority reports a
// member as failed exclude it from the divisor. So the divisor decreases only on the side of a partition that has the majority, and only
// after the excluded member can't act any more. A failed member stays on the roster until it leaves, is removed by an operator, or comes
// back, because a crash can't be distinguished from a broken link. docs/design/membership.md has the complete safety argument.
//
// Majorities are those of the voters. While the set of voters changes, majorities of both the new voters and the committed voters are
// required. The committed voters are the latest set of voters on which a majority is known to have agreed.
//
// A Roster is not safe for concurrent use: package fleet calls it under its lock.
type Roster struct {
	lease           Lease
	self            string
	incarnation     uint64
	startedAt       time.Duration
	now             time.Duration // of the latest call; never decreases
	members         map[string]*peer
	namesByID       map[uint64]string // by NameID
	committedVoters map[string]bool   // see commitVoters
	leaving         bool
	admittedAt      time.Duration     // when the other members admitted this node; 0 if it is a founder, or was a voter already
	duplicates      map[string]uint64 // by name, the incarnation of another process with that name that was rejected

	hash         uint64 // see Hash
	recentHashes [rememberedRounds]uint64
	latestHash   int // index in recentHashes

	// The current round of heartbeats.
	seq                  uint64
	sentAt               [rememberedRounds]time.Duration // when a round was sent, by seq modulo rememberedRounds
	roundVotersCommitted bool                            // Heartbeat.VotersCommitted
	roundFailed          []uint64                        // Heartbeat.Failed
}

// peer is this node's state of a member on the roster.
type peer struct {
	Entry
	id              uint64 // NameID
	incarnation     uint64 // of the process whose heartbeats are accepted; 0 before the first heartbeat
	seq             uint64 // of its latest heartbeat
	lastHeartbeatAt time.Duration
	failed          bool          // no heartbeat for Lease.failureTimeout
	noGrantBefore   time.Duration // see Lease.rejoinDelay

	// From its latest heartbeat.
	rosterHash      uint64
	votersCommitted bool

	// Valid if hasGrant: when this node sent the latest heartbeat that the peer has echoed.
	grantedAt time.Duration
	hasGrant  bool

	// Valid if hasReport: the members that the peer reports as failed, and when this node sent the heartbeat that the report echoes.
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

// advance sets the time, and marks members as failed. Each exported method with a time argument calls it first. A long gap since the
// previous call means that this process was suspended or starved. It has processed no heartbeats during the gap, so the gap must not count
// towards the failure timeouts of other members.
func (r *Roster) advance(now time.Duration) {
	if gap := now - r.now; gap > 2*r.lease.HeartbeatInterval() {
		for _, p := range r.members {
			p.lastHeartbeatAt += gap
			p.noGrantBefore += gap
		}
	}
	r.now = max(r.now, now)
	for _, p := range r.members {
		if p.Name != r.self && !p.failed && r.now-p.lastHeartbeatAt >= r.lease.failureTimeout() {
			p.failed = true
		}
	}
}

// Merge merges the entries of another member's roster into this one.
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
		r.handleRemoval(p)
	}
	if changed {
		r.updateHash()
	}
}

// addPeer adds an entry whose name is not on the roster. It returns nil if the entry is invalid, its NameID collides with another member's,
// or the roster is full.
func (r *Roster) addPeer(e Entry) *peer {
	id := NameID(e.Name)
	other, idTaken := r.namesByID[id]
	if len(r.members) >= MaxMembers || idTaken && other != e.Name || !e.isValid() {
		return nil
	}
	p := &peer{Entry: e, id: id, lastHeartbeatAt: r.now}
	r.members[e.Name], r.namesByID[id] = p, e.Name
	return p
}

// updatePeer merges an entry into that of a member on the roster, and reports whether that changed it.
func (r *Roster) updatePeer(p *peer, e Entry) bool {
	merged := p.merge(e)
	if merged == p.Entry || e.Epoch > MaxEpoch {
		return false
	}
	if p.Removed && !merged.Removed { // it rejoined in a new epoch: its previous state is void
		*p = peer{Entry: merged, id: p.id, lastHeartbeatAt: r.now, noGrantBefore: r.now + r.lease.rejoinDelay()}
	}
	p.Entry = merged
	return true
}

// handleRemoval drops a removed member from the committed voters. If this node is the removed member it rejoins in a new epoch.
func (r *Roster) handleRemoval(p *peer) {
	if p.Name == r.self && p.Removed && !r.leaving {
		// Other members have removed this node, or an earlier process with its name has left. It rejoins as a new member.
		p.Entry = Entry{Name: r.self, Epoch: p.Epoch + 1}
		r.committedVoters = map[string]bool{}
	}
	if p.Removed {
		delete(r.committedVoters, p.Name)
	}
}

// updateHash recomputes the hash of the roster. It includes the lease: members with different leases can't rely on each other's grants.
func (r *Roster) updateHash() {
	h := fnv.New64a()
	writeUint64 := func(n uint64) { h.Write(binary.LittleEndian.AppendUint64(nil, n)) }
	writeUint64(uint64(r.lease.Duration))
	writeUint64(uint64(r.lease.Nodes))
	for _, p := range r.sortedMembers() {
		writeUint64(p.id)
		writeUint64(uint64(p.Epoch)<<2 | uint64(p.flags()))
	}
	r.hash = h.Sum64()
	r.latestHash = (r.latestHash + 1) % len(r.recentHashes)
	r.recentHashes[r.latestHash] = r.hash
}

// sortedMembers returns all members on the roster, sorted by name.
func (r *Roster) sortedMembers() []*peer {
	peers := make([]*peer, 0, len(r.members))
	for _, p := range r.members {
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}

// Entries returns the entries of the roster, sorted by name, for other members to merge.
func (r *Roster) Entries() (entries []Entry) {
	for _, p := range r.sortedMembers() {
		entries = append(entries, p.Entry)
	}
	return entries
}

// Join adds a member that the gossip reports, unless it is on the roster already.
func (r *Roster) Join(now time.Duration, name string) {
	if r.members[name] == nil {
		r.Merge(now, []Entry{{Name: name, Epoch: 1}})
	}
}

// Remove removes a member other than this node, and reports whether there was such a member. The caller must ensure that the member can't
// act any more.
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

// Leave makes this node stop acting and announce in its heartbeats that it leaves. The other members' shares grow as they receive these.
func (r *Roster) Leave(now time.Duration) {
	r.leaving = true
	e := r.members[r.self].Entry
	e.Removed = true
	r.Merge(now, []Entry{e})
}

// Duplicates returns the names with which more than one process has sent heartbeats, each with the incarnation of the process that was
// rejected. It includes this node's own name if another process uses it. The caller must not modify the map.
func (r *Roster) Duplicates() map[string]uint64 { return r.duplicates }

// Hash returns a hash of the roster's names, epochs, voters, removals and lease. Members with the same hash have the same roster.
func (r *Roster) Hash() uint64 { return r.hash }

// RosterMember is the state of a member on the roster, shown to operators.
type RosterMember struct {
	Entry
	SinceHeard time.Duration // since its latest heartbeat
	Failed     bool          // no heartbeat for Lease.failureTimeout
	SameRoster bool          // its roster is the same as this node's
}

// Members returns all members on the roster, sorted by name.
func (r *Roster) Members(now time.Duration) (members []RosterMember) {
	r.advance(now)
	for _, p := range r.sortedMembers() {
		m := RosterMember{Entry: p.Entry, SinceHeard: r.now - p.lastHeartbeatAt, Failed: p.failed, SameRoster: r.hasSameRoster(p)}
		if p.Name == r.self {
			m.SinceHeard = 0
		}
		members = append(members, m)
	}
	return members
}
