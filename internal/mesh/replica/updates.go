package replica

import (
	"net/http"
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/operations"
	"cranegrade/internal/mesh/transport/codec"
)

// pendingUpdates records, at a leader, which items its unapplied proposals change.
type pendingUpdates struct {
	term   uint64
	latest map[config.Key]uint64 // index of the latest proposed entry that changes the item
}

// latestFor returns the index of the latest unapplied entry that was proposed in a term and changes an item of an update, or 0 if there is
// none.
func (p *pendingUpdates) latestFor(term uint64, update config.Update) (index uint64) {
	if p.term != term {
		return 0 // a proposal of an earlier term is either applied already or never will be
	}
	for _, item := range update.Items {
		index = max(index, p.latest[item.Key])
	}
	return index
}

// add records an entry that was proposed for an update.
func (p *pendingUpdates) add(term, index uint64, update config.Update) {
	if p.term != term || p.latest == nil {
		p.term, p.latest = term, map[config.Key]uint64{}
	}
	for _, item := range update.Items {
		p.latest[item.Key] = index
	}
}

// remove removes the entry of an update after its proposal has completed, whether it was applied or lost.
func (p *pendingUpdates) remove(term, index uint64, update config.Update) {
	if p.term != term {
		return
	}
	for _, item := range update.Items {
		if p.latest[item.Key] == index {
			delete(p.latest, item.Key)
		}
	}
}

// Modify commits an operator's update: it proposes the update if this replica leads, and otherwise forwards it to the leader. done is
// called once.
func (r *Replica) Modify(now time.Duration, body []byte, done func(Reply)) {
	update, err := config.ParseUpdate(body)
	if err != nil {
		done(ErrorReply(err))
		return
	}
	r.ModifyParsed(now, update, body, done)
}

// ModifyParsed is like Modify, for an update that the caller has parsed from body on another goroutine. Parsing a large update on the
// replica's goroutine would delay heartbeats.
func (r *Replica) ModifyParsed(now time.Duration, update config.Update, body []byte, done func(Reply)) {
	r.advanceTime(now)
	if r.raft.IsLeader() {
		r.admitUpdate(update, done)
		return
	}
	leader := r.remoteLeaderAddress()
	if leader == "" {
		done(Unavailable(TextNoLeaderKnown))
		return
	}
	r.forwardToLeader(leader, codec.CallModify, body, done)
}

// HandleModify handles an update that another replica forwarded and that the caller has parsed.
func (r *Replica) HandleModify(now time.Duration, update config.Update, reply func(Reply)) {
	r.advanceTime(now)
	r.admitUpdate(update, reply)
}

// admitUpdate validates an operator's update against the state and proposes it, if this replica leads. The result of the validation depends
// on all entries that may be committed before the update, so the update waits until those that change one of its items are applied.
func (r *Replica) admitUpdate(update config.Update, done func(Reply)) {
	if !r.raft.IsLeader() {
		done(Unavailable("not the leader"))
		return
	}
	if index := r.blockingIndex(update); index > r.raft.AppliedIndex() {
		if len(r.waiters) > maxProposals {
			done(Unavailable("too many updates are in flight"))
			return
		}
		r.waiters = append(r.waiters, waiter{index, func() { r.admitUpdate(update, done) }})
		return
	}
	classification, err := r.state.Items.Admit(update)
	switch {
	case err != nil:
		done(ErrorReply(err))
	case classification == operations.Duplicate:
		r.confirmDuplicate(done)
	default:
		r.proposeUpdate(update, done)
	}
}

// blockingIndex returns the index of the entry that must be applied before an update can be admitted. Until this leader has applied all
// entries of earlier leaders, that is the last entry of the log, and afterwards the latest entry that changes one of the update's items.
func (r *Replica) blockingIndex(update config.Update) (index uint64) {
	if !r.raft.IsCaughtUpLeader() {
		return r.raft.LastIndex()
	}
	return r.pendingUpdates.latestFor(r.raft.Term(), update)
}

// confirmDuplicate acknowledges an update that was accepted before. It first commits an empty entry after the update, which shows that a
// majority of the present members has the update on disk. A linearizable read would not be sufficient: it shows that a majority follows
// this leader, but a member that had the update on disk may just have lost that disk.
func (r *Replica) confirmDuplicate(done func(Reply)) {
	ok := r.Propose(r.now, nil, func(result ProposalResult) {
		if !result.Known {
			done(Unavailable("it was accepted before; another leader took over before that was confirmed"))
			return
		}
		done(Reply{Status: http.StatusOK})
	})
	if !ok {
		done(Unavailable(TextLeadershipLost))
	}
}

// proposeUpdate proposes an admitted update, and calls done with the result.
func (r *Replica) proposeUpdate(update config.Update, done func(Reply)) {
	term, index := r.raft.Term(), uint64(0)
	ok := r.Propose(r.now, EncodeChange(ChangeItems, config.UpdateToWire(update)), func(result ProposalResult) {
		r.pendingUpdates.remove(term, index, update)
		switch {
		case !result.Known:
			done(Unavailable(TextLeaderChanged))
		case result.Outcome.Err != nil:
			done(ErrorReply(result.Outcome.Err))
		default:
			done(Reply{Status: http.StatusOK})
		}
	})
	if !ok {
		done(Unavailable(TextLeadershipLost))
		return
	}
	index = r.lastProposed
	r.pendingUpdates.add(term, index, update)
}
