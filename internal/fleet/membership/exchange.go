package membership

import (
	"slices"
	"time"
)

// StartRound begins a round of heartbeats: each goes to one of the names, by Heartbeat.
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

// Heartbeat is this round's for one member. What a heartbeat claims was so when the round began: who was heard since is claimed
// to be out for a round longer, and granted nothing before that is long over.
func (r *Roster) Heartbeat(to string) Heartbeat {
	me := r.members[r.self]
	b := Heartbeat{
		From: r.self, Run: r.run, To: NameID(to), Seq: r.seq, Epoch: me.Epoch,
		Leaving: r.leaving, Settled: r.allSettled, RosterHash: r.hash, Out: r.allOut,
	}
	if s := r.members[to]; s != nil && s.run != 0 && !s.out && !s.Gone && r.last >= s.grantAfter && !r.leaving {
		b.Echo, b.EchoRun = s.seq, s.run
	}
	return b
}

// Receive takes a heartbeat. stranger says that the sender's roster is not known here, so that each should tell the other its;
// sent is when the heartbeat of ours went out that this one echoes, zero if it grants nothing.
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
		return s != nil && !b.Leaving, 0 // it does not know that it is off the roster, or that it came back
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
