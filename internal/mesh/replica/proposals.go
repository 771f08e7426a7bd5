package replica

import "time"

// proposal is an entry that this replica has proposed, and whose index is not applied yet.
type proposal struct {
	term uint64 // in which the entry was proposed
	done func(ProposalResult)
}

// ProposalResult is the result of a proposal. The zero value means that it is not known whether the proposal was committed.
type ProposalResult struct {
	// Known is false if another leader's entry was applied or written at the proposal's index. The caller must then neither acknowledge nor
	// reject the change, which may still be committed at another index.
	Known   bool
	Outcome Outcome // the outcome of applying the change; only meaningful if Known
}

// Propose proposes an entry with the given data, and calls done when an entry is applied at the index of the proposal. It returns false,
// and never calls done, if this replica does not lead or has too many proposals in flight.
func (r *Replica) Propose(now time.Duration, data []byte, done func(ProposalResult)) bool {
	r.advanceTime(now)
	if len(r.proposals) > maxProposals {
		return false
	}
	index, term, ok := r.raft.Propose(r.now, data)
	if !ok {
		return false
	}
	if truncated, found := r.proposals[index]; found {
		// Proposed when this replica led an earlier term; its entry has since been truncated from the log.
		truncated.done(ProposalResult{})
	}
	r.proposals[index] = proposal{term, done}
	r.lastProposed = index
	return true
}

// completeProposal completes the proposal, if any, at the index of an applied entry, which acknowledges the proposed change. The applied
// entry is the proposed one only if their terms are equal: index and term together identify an entry (Raft paper, section 5.3: Log
// Matching Property).
func (r *Replica) completeProposal(index, term uint64, outcome Outcome) {
	p, found := r.proposals[index]
	if !found {
		return
	}
	delete(r.proposals, index)
	p.done(ProposalResult{Known: p.term == term, Outcome: outcome})
}
