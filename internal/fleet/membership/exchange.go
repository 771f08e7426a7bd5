package membership

import (
	"slices"
	"time"
)

// StartRound begins a round of heartbeats, and returns the names of the members to send one to. Roster.Heartbeat returns the heartbeats.
func (r *Roster) StartRound(now time.Duration) (to []string) {
	r.advance(now)
	r.seq++
	r.sentAt[r.seq%rememberedRounds] = r.now
	r.roundVotersCommitted = r.hasCommittedVoters()
	r.roundFailed = nil
	for _, p := range r.sortedMembers() {
		if p.Name == r.self || p.Removed {
			continue
		}
		to = append(to, p.Name)
		if p.failed && len(r.roundFailed) < MaxFailed {
			r.roundFailed = append(r.roundFailed, p.id)
		}
	}
	return to
}

// Heartbeat returns the current round's heartbeat for one member. It reports the members that had failed when the round began. So a member
// that sends a heartbeat during the round is still reported until the round ends, which is safe: it gets no grant for rejoinDelay.
func (r *Roster) Heartbeat(to string) Heartbeat {
	h := Heartbeat{
		From:            r.self,
		Incarnation:     r.incarnation,
		To:              NameID(to),
		Seq:             r.seq,
		Epoch:           r.members[r.self].Epoch,
		Leaving:         r.leaving,
		VotersCommitted: r.roundVotersCommitted,
		RosterHash:      r.hash,
		Failed:          r.roundFailed,
	}
	if p := r.members[to]; p != nil && r.grantsTo(p) {
		h.Echo = p.seq
		h.EchoIncarnation = p.incarnation
	}
	return h
}

// grantsTo reports whether this node's heartbeats to a member are grants.
func (r *Roster) grantsTo(p *peer) bool {
	return p.incarnation != 0 && !p.failed && !p.Removed && r.now >= p.noGrantBefore && !r.leaving
}

// Receive processes a heartbeat. exchangeRosters reports that the sender's roster differs from this node's, so that this node should send
// its roster to the sender. echoedAt is when this node sent the heartbeat that h echoes, or zero if h is not a grant.
func (r *Roster) Receive(now time.Duration, h Heartbeat) (exchangeRosters bool, echoedAt time.Duration) {
	r.advance(now)
	if h.To != NameID(r.self) {
		return false, 0
	}
	if h.From == r.self {
		if h.Incarnation != r.incarnation {
			r.duplicates[r.self] = h.Incarnation
		}
		return false, 0
	}
	if h.Epoch > MaxEpoch {
		return false, 0
	}
	r.Merge(now, []Entry{{Name: h.From, Epoch: h.Epoch, Removed: h.Leaving}})
	p := r.members[h.From]
	if p == nil || p.Removed || p.Epoch != h.Epoch {
		return p != nil && !h.Leaving, 0 // the sender doesn't know that it was removed, or that it rejoined
	}
	if !r.acceptHeartbeat(p, h) {
		return false, 0
	}
	if h.RosterHash == 0 || !slices.Contains(r.recentHashes[:], h.RosterHash) {
		return true, 0 // no grant: this node must not act if it may know less than the members that grant
	}
	return h.RosterHash != r.hash, r.recordGrant(p, h)
}

// acceptHeartbeat records a heartbeat of a peer. It reports false if the heartbeat must be ignored: it is a duplicate or out of order, or
// it comes from another process with the peer's name.
func (r *Roster) acceptHeartbeat(p *peer, h Heartbeat) bool {
	if p.incarnation != h.Incarnation {
		// The new process is not accepted while the previous one may still act on its grants. It is never accepted if the previous
		// one continues to send heartbeats.
		if p.incarnation != 0 && r.now-p.lastHeartbeatAt < r.lease.Duration {
			r.duplicates[p.Name] = h.Incarnation
			return false
		}
		p.incarnation = h.Incarnation
		p.seq = 0
		p.hasGrant = false
		p.hasReport = false
		p.failureReports = nil
	}
	if h.Seq <= p.seq {
		return false
	}
	p.seq = h.Seq
	p.lastHeartbeatAt = r.now
	p.rosterHash = h.RosterHash
	p.votersCommitted = h.VotersCommitted
	if p.failed {
		p.failed = false
		p.noGrantBefore = r.now + r.lease.rejoinDelay()
	}
	return true
}

// recordGrant records the grant and the failure reports of a heartbeat, and returns when this node sent the heartbeat that it echoes. It
// returns zero and records nothing if the heartbeat echoes none of this process, or one from before the last rememberedRounds rounds.
func (r *Roster) recordGrant(p *peer, h Heartbeat) (echoedAt time.Duration) {
	if h.EchoIncarnation != r.incarnation || h.Echo == 0 || h.Echo > r.seq || r.seq-h.Echo >= rememberedRounds {
		return 0
	}
	echoedAt = r.sentAt[h.Echo%rememberedRounds]
	if !p.hasGrant || echoedAt > p.grantedAt {
		p.grantedAt = echoedAt
		p.hasGrant = true
	}
	p.reportedAt = echoedAt
	p.hasReport = true
	p.failureReports = nil
	if len(h.Failed) > 0 {
		p.failureReports = make(map[uint64]bool, len(h.Failed))
	}
	for _, id := range h.Failed {
		p.failureReports[id] = true
	}
	return echoedAt
}
