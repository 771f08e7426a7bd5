package replica

import (
	"net/http"
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/operations"
	"cranegrade/internal/mesh/transport/codec"
)

// pendingUpdates records which items are named by a leader's proposals that are not applied yet.
type pendingUpdates struct {
	term   uint64
	latest map[config.Key]uint64 // index of the latest proposed entry that names an item
}

// latestFor returns the index of the latest entry of a term that names an item of an update, or 0 if all are applied.
func (p *pendingUpdates) latestFor(term uint64, update config.Update) (index uint64) {
	if p.term != term {
		return 0 // a proposal of another term is either applied already or will never be
	}
	for _, item := range update.Items {
		index = max(index, p.latest[item.Key])
	}
	return index
}

// add records a proposed entry.
func (p *pendingUpdates) add(term, index uint64, update config.Update) {
	if p.term != term || p.latest == nil {
		p.term, p.latest = term, map[config.Key]uint64{}
	}
	for _, item := range update.Items {
		p.latest[item.Key] = index
	}
}

// remove removes an entry that was applied or lost.
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

// Modify commits an operator's update, which it proposes here or forwards to the leader. done is called once.
func (r *Replica) Modify(now time.Duration, body []byte, done func(Reply)) {
	update, err := config.ParseUpdate(body)
	if err != nil {
		done(ErrorReply(err))
		return
	}
	r.ModifyParsed(now, update, body, done)
}

// ModifyParsed is Modify with an update that was already parsed from its body, since parsing a large one on the replica's goroutine
// would delay heartbeats.
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

// HandleModify handles an update that another replica forwarded and that was already parsed.
func (r *Replica) HandleModify(now time.Duration, update config.Update, reply func(Reply)) {
	r.advanceTime(now)
	r.admitUpdate(update, reply)
}

// admitUpdate commits an operator's update, at the leader. Whether the update is admitted depends on everything that may have been
// committed before it, so it waits while an entry that names one of its items is not applied.
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

// blockingIndex returns the index of the latest entry that has to be applied before an update can be admitted: the last one that an earlier
// leader may have committed, or the latest that names one of the update's items.
func (r *Replica) blockingIndex(update config.Update) (index uint64) {
	if !r.raft.IsCaughtUpLeader() {
		return r.raft.LastIndex()
	}
	return r.pendingUpdates.latestFor(r.raft.Term(), update)
}

// confirmDuplicate acknowledges an update that was accepted before, once an empty entry after it is committed: a majority of the
// present members then has the update on disk. A linearizable read would not be enough, because a majority may follow this leader
// although another disk that held the update has just been lost.
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

// proposeUpdate proposes an admitted update.
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
