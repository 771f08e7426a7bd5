package replica

import (
	"net/http"
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/operations"
	"cranegrade/internal/mesh/transport/codec"
)

// pendingUpdates is which items the proposals of a leader name that are not applied yet.
type pendingUpdates struct {
	term   uint64
	latest map[config.Key]uint64 // index of the entry proposed last that names an item
}

// latestFor returns the index of the latest entry of a term that names an item of an update; 0: all are applied.
func (p *pendingUpdates) latestFor(term uint64, update config.Update) (index uint64) {
	if p.term != term {
		return 0 // what was proposed in another term is applied, or will never be
	}
	for _, item := range update.Items {
		index = max(index, p.latest[item.Key])
	}
	return index
}

// add notes an entry that was proposed.
func (p *pendingUpdates) add(term, index uint64, update config.Update) {
	if p.term != term || p.latest == nil {
		p.term, p.latest = term, map[config.Key]uint64{}
	}
	for _, item := range update.Items {
		p.latest[item.Key] = index
	}
}

// remove forgets an entry.
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

// Modify has an operator's update committed, here or at the leader.
func (r *Replica) Modify(now time.Duration, body []byte, done func(Reply)) {
	update, err := config.ParseUpdate(body)
	if err != nil {
		done(ErrorReply(err))
		return
	}
	r.ModifyParsed(now, update, body, done)
}

// ModifyParsed is Modify of an update that was parsed from its body already, since parsing a large one takes longer than heartbeats may
// wait.
func (r *Replica) ModifyParsed(now time.Duration, update config.Update, body []byte, done func(Reply)) {
	r.advanceTime(now)
	if r.raft.IsLeader() {
		r.admitUpdate(update, done)
		return
	}
	leader := r.remoteLeaderAddress()
	if leader == "" {
		done(Unavailable("no leader is known"))
		return
	}
	r.forwardToLeader(leader, codec.CallModify, body, done)
}

// HandleModify answers another replica's forwarded update, which was parsed already.
func (r *Replica) HandleModify(now time.Duration, update config.Update, reply func(Reply)) {
	r.advanceTime(now)
	r.admitUpdate(update, reply)
}

// admitUpdate has an operator's update committed, at the leader. Whether it is admitted depends on all that may have been committed
// before, so it waits while an entry that names one of its items is not applied.
func (r *Replica) admitUpdate(update config.Update, done func(Reply)) {
	if !r.raft.IsLeader() {
		done(Unavailable("not the leader"))
		return
	}
	if index := r.blockingIndex(update); index > r.raft.AppliedIndex() {
		if len(r.waiters) > maxProposals {
			done(Unavailable("too much is under way"))
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

// blockingIndex returns the latest entry that has to be applied before an update can be judged: any that an earlier leader may have
// committed, or the latest that names one of its items.
func (r *Replica) blockingIndex(update config.Update) (index uint64) {
	if !r.raft.IsCaughtUpLeader() {
		return r.raft.LastIndex()
	}
	return r.pendingUpdates.latestFor(r.raft.Term(), update)
}

// confirmDuplicate acknowledges an update that was accepted before, once an empty entry behind it is committed: a majority of the
// present members then has the update on disk. A linearizable read would not do, for a majority may follow this leader while the other
// disk that held the update has just been lost.
func (r *Replica) confirmDuplicate(done func(Reply)) {
	ok := r.Propose(r.now, nil, func(result ProposalResult) {
		if !result.Known {
			done(Unavailable("it was taken before; another leader took over before that was confirmed"))
			return
		}
		done(Reply{Status: http.StatusOK})
	})
	if !ok {
		done(Unavailable("not the leader any more"))
	}
}

// proposeUpdate proposes an update that is admitted.
func (r *Replica) proposeUpdate(update config.Update, done func(Reply)) {
	term, index := r.raft.Term(), uint64(0)
	ok := r.Propose(r.now, EncodeChange(ChangeItems, config.UpdateToWire(update)), func(result ProposalResult) {
		r.pendingUpdates.remove(term, index, update)
		switch {
		case !result.Known:
			done(Unavailable("another leader took over; it may still be taken"))
		case result.Outcome.Err != nil:
			done(ErrorReply(result.Outcome.Err))
		default:
			done(Reply{Status: http.StatusOK})
		}
	})
	if !ok {
		done(Unavailable("not the leader any more"))
		return
	}
	index = r.lastProposed
	r.pendingUpdates.add(term, index, update)
}
