package replica

import (
	"net/http"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/operations"
)

// pendingModifications is which items the proposals of a leader name that are not applied yet.
type pendingModifications struct {
	term   uint64
	latest map[config.Key]uint64 // the entry proposed last that names an item
}

// latestFor is the latest entry of a term that names an item of a call; 0: all are applied.
func (m *pendingModifications) latestFor(term uint64, c config.Update) (index uint64) {
	if m.term != term {
		return 0 // what was proposed in another term is applied, or will never be
	}
	for _, i := range c.Items {
		index = max(index, m.latest[i.Key])
	}
	return index
}

// add notes an entry that was proposed.
func (m *pendingModifications) add(term, index uint64, c config.Update) {
	if m.term != term || m.latest == nil {
		m.term, m.latest = term, map[config.Key]uint64{}
	}
	for _, i := range c.Items {
		m.latest[i.Key] = index
	}
}

// remove forgets an entry.
func (m *pendingModifications) remove(term, index uint64, c config.Update) {
	if m.term != term {
		return
	}
	for _, i := range c.Items {
		if m.latest[i.Key] == index {
			delete(m.latest, i.Key)
		}
	}
}

// admitCall has an operator's call agreed on, at the leader. Whether it may be is judged by all that may have been agreed on before, so
// it waits while an entry that names one of its items is not applied.
func (r *Replica) admitCall(c config.Update, done func(Reply)) {
	if !r.raft.IsLeader() {
		done(Unavailable("not the leader"))
		return
	}
	if index := r.blockingIndex(c); index > r.raft.AppliedIndex() {
		if len(r.waiters) > maxProposals {
			done(Unavailable("too much is under way"))
			return
		}
		r.waiters = append(r.waiters, waiter{index, func() { r.admitCall(c, done) }})
		return
	}
	verdict, err := r.state.Items.Admit(c)
	switch {
	case err != nil:
		done(ErrorReply(err))
	case verdict == operations.Duplicate:
		r.confirmDuplicate(done)
	default:
		r.proposeCall(c, done)
	}
}

// blockingIndex is the latest entry that has to be applied before a call can be judged: any that a leader before may have had
// agreed on, or the latest that names one of its items.
func (r *Replica) blockingIndex(c config.Update) (index uint64) {
	if !r.raft.IsCaughtUpLeader() {
		return r.raft.LastIndex()
	}
	return r.pendingModifications.latestFor(r.raft.Term(), c)
}

// confirmDuplicate answers a call that was taken before, once an empty entry behind it is agreed on: a majority of the members that
// are there now then has the call on disk. A confirmed read would not do, for a majority may follow this leader while the other
// disk that held the call has just been lost.
func (r *Replica) confirmDuplicate(done func(Reply)) {
	ok := r.Propose(r.now, nil, func(_ Outcome, known bool) {
		if !known {
			done(Unavailable("it was taken before; another leader took over before that was confirmed"))
			return
		}
		done(Reply{Status: http.StatusOK})
	})
	if !ok {
		done(Unavailable("not the leader any more"))
	}
}

func (r *Replica) proposeCall(c config.Update, done func(Reply)) {
	term, index := r.raft.Term(), uint64(0)
	ok := r.Propose(r.now, EncodeChange(ChangeItems, config.UpdateToWire(c)), func(o Outcome, known bool) {
		r.pendingModifications.remove(term, index, c)
		switch {
		case !known:
			done(Unavailable("another leader took over; it may still be taken"))
		case o.Err != nil:
			done(ErrorReply(o.Err))
		default:
			done(Reply{Status: http.StatusOK})
		}
	})
	if !ok {
		done(Unavailable("not the leader any more"))
		return
	}
	index = r.lastProposed
	r.pendingModifications.add(term, index, c)
}
