package replica

import "time"

// proposal is an entry that this replica has proposed and that is not applied yet.
type proposal struct {
	term uint64
	done func(outcome Outcome, known bool)
}

// Propose has a change committed; done is called once an entry at its index is applied. known is false if another leader's entry came
// to stand there: the change may or may not be committed. Propose returns false, and done is not called, if this replica does not lead
// or has too many proposals under way.
func (r *Replica) Propose(now time.Duration, data []byte, done func(outcome Outcome, known bool)) bool {
	r.advanceTime(now)
	if len(r.proposals) > maxProposals {
		return false
	}
	index, term, ok := r.raft.Propose(r.now, data)
	if !ok {
		return false
	}
	if overtaken, found := r.proposals[index]; found { // of a term in which this replica led before
		overtaken.done(Outcome{}, false)
	}
	r.proposals[index] = proposal{term, done}
	r.lastProposed = index
	return true
}

// completeProposal answers the proposal at the index of an entry that was applied.
func (r *Replica) completeProposal(index, term uint64, outcome Outcome) {
	p, found := r.proposals[index]
	if !found {
		return
	}
	delete(r.proposals, index)
	p.done(outcome, p.term == term)
}
