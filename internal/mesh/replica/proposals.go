package replica

import "time"

// proposal is an entry that this replica has proposed and that is not applied yet.
type proposal struct {
	term uint64
	done func(ProposalResult)
}

// ProposalResult is how a proposal ended. The zero value is that of a proposal whose fate is not known.
type ProposalResult struct {
	// Known is false if another leader's entry was applied at the proposal's index. The proposed change may be committed all the same,
	// at another index, so the caller may neither acknowledge nor reject it.
	Known   bool
	Outcome Outcome // of applying the change; only meaningful if Known
}

// Propose proposes a change, and calls done once an entry is applied at the index of the proposal. It returns false, and does not call
// done, if this replica does not lead or has too many proposals in flight.
func (r *Replica) Propose(now time.Duration, data []byte, done func(ProposalResult)) bool {
	r.advanceTime(now)
	if len(r.proposals) > maxProposals {
		return false
	}
	index, term, ok := r.raft.Propose(r.now, data)
	if !ok {
		return false
	}
	if overtaken, found := r.proposals[index]; found {
		// It is of a term in which this replica led before, and its entry was truncated here.
		overtaken.done(ProposalResult{})
	}
	r.proposals[index] = proposal{term, done}
	r.lastProposed = index
	return true
}

// completeProposal answers the proposal at the index of an entry that was applied. The entry is the one that was proposed only if its
// term is the same: index and term together identify an entry (Raft paper, section 5.3: Log Matching Property). This is where a change
// becomes acknowledged.
func (r *Replica) completeProposal(index, term uint64, outcome Outcome) {
	p, found := r.proposals[index]
	if !found {
		return
	}
	delete(r.proposals, index)
	p.done(ProposalResult{Known: p.term == term, Outcome: outcome})
}
