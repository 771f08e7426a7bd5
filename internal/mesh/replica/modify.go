package replica

import (
	"net/http"

	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/mesh/operations"
)

// modifying is which items the proposals of a leader name that are not applied yet.
type modifying struct {
	term   uint64
	latest map[patch.Name]uint64 // the entry proposed last that names an item
}

// underWay is the latest entry of a term that names an item of a call; 0: all are applied.
func (m *modifying) underWay(term uint64, c patch.Call) (index uint64) {
	if m.term != term {
		return 0 // what was proposed in another term is applied, or will never be
	}
	for _, i := range c.Items {
		index = max(index, m.latest[i.Name])
	}
	return index
}

// propose notes an entry that was proposed.
func (m *modifying) propose(term, index uint64, c patch.Call) {
	if m.term != term || m.latest == nil {
		m.term, m.latest = term, map[patch.Name]uint64{}
	}
	for _, i := range c.Items {
		m.latest[i.Name] = index
	}
}

// applied forgets an entry.
func (m *modifying) applied(term, index uint64, c patch.Call) {
	if m.term != term {
		return
	}
	for _, i := range c.Items {
		if m.latest[i.Name] == index {
			delete(m.latest, i.Name)
		}
	}
}

// admit has an operator's call agreed on, at the leader. Whether it may be is judged by all that may have been agreed on before, so
// it waits while an entry that names one of its items is not applied.
func (r *Replica) admit(c patch.Call, done func(Reply)) {
	if !r.core.Leads() {
		done(Unavailable("not the leader"))
		return
	}
	if index := r.undecided(c); index > r.core.Applied() {
		if len(r.waiting) > maxProposals {
			done(Unavailable("too much is under way"))
			return
		}
		r.waiting = append(r.waiting, waiter{index, func() { r.admit(c, done) }})
		return
	}
	verdict, err := r.state.Items.Admit(c)
	switch {
	case err != nil:
		done(StatusOf(err))
	case verdict == operations.Repeated:
		r.acknowledgeAgain(done)
	default:
		r.proposeCall(c, done)
	}
}

// undecided is the latest entry that has to be applied before a call can be judged: any that a leader before may have had
// agreed on, or the latest that names one of its items.
func (r *Replica) undecided(c patch.Call) (index uint64) {
	if !r.core.Current() {
		return r.core.LastIndex()
	}
	return r.modifying.underWay(r.core.Term(), c)
}

// acknowledgeAgain answers a call that was taken before, once an empty entry behind it is agreed on: a majority of the members that
// are there now then has the call on disk. A confirmed read would not do, for a majority may follow this leader while the other
// disk that held the call has just been lost.
func (r *Replica) acknowledgeAgain(done func(Reply)) {
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

func (r *Replica) proposeCall(c patch.Call, done func(Reply)) {
	term, index := r.core.Term(), uint64(0)
	ok := r.Propose(r.now, Change(ChangeItems, patch.WireCall(c)), func(o Outcome, known bool) {
		r.modifying.applied(term, index, c)
		switch {
		case !known:
			done(Unavailable("another leader took over; it may still be taken"))
		case o.Err != nil:
			done(StatusOf(o.Err))
		default:
			done(Reply{Status: http.StatusOK})
		}
	})
	if !ok {
		done(Unavailable("not the leader any more"))
		return
	}
	index = r.proposed
	r.modifying.propose(term, index, c)
}
