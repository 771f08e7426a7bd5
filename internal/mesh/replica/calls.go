package replica

import (
	"encoding/binary"
	"net/http"
	"time"

	"github.com/juju/errors"

	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/exchange/ticket"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
)

// Unavailable is the answer of a replica that can't tell: the caller has to ask again, here or elsewhere.
func Unavailable(text string) Reply {
	return Reply{Status: http.StatusServiceUnavailable, Body: []byte(text)}
}

// StatusOf words why a modification was not taken.
func StatusOf(err error) Reply {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, patch.ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, patch.ErrForbidden):
		status = http.StatusForbidden
	case errors.Is(err, patch.ErrInvalid):
		status = http.StatusBadRequest
	}
	return Reply{Status: status, Body: []byte(err.Error())}
}

// Propose has a change agreed on; done is called once an entry at its index is applied. known false: it may or may not be agreed
// on. The result is false where this replica does not lead or has too much under way; done is not called then.
func (r *Replica) Propose(now time.Duration, data []byte, done func(o Outcome, known bool)) bool {
	r.at(now)
	if len(r.proposals) > maxProposals {
		return false
	}
	index, term, ok := r.core.Propose(r.now, data)
	if !ok {
		return false
	}
	if p, is := r.proposals[index]; is { // of a term in which this one led before
		p.done(Outcome{}, false)
	}
	r.proposals[index] = proposal{term, done}
	r.proposed = index
	return true
}

// Confirm finds out up to which entry must be applied, so that nothing acknowledged is missing.
func (r *Replica) Confirm(now time.Duration, done func(index uint64, ok bool)) {
	r.at(now)
	if r.core.Leads() {
		r.nextRead++
		if !r.core.Ask(r.now, r.nextRead) {
			done(0, false)
			return
		}
		r.reads[r.nextRead] = done
		return
	}
	leader := r.leaderAddress()
	if leader == "" {
		done(0, false)
		return
	}
	r.askLeader(leader, trunk.AskRead, nil, func(reply Reply) {
		if reply.Status != http.StatusOK || len(reply.Body) != indexSize {
			done(0, false)
			return
		}
		done(binary.BigEndian.Uint64(reply.Body), true)
	})
}

// indexSize is the length of an entry's index in the answer to trunk.AskRead, in bytes.
const indexSize = 8

// Confirmed calls done once the state holds all that was acknowledged when it was called.
func (r *Replica) Confirmed(now time.Duration, done func(ok bool)) {
	r.Confirm(now, func(index uint64, ok bool) {
		if !ok {
			done(false)
			return
		}
		r.waiting = append(r.waiting, waiter{index, func() { done(true) }})
		if index <= r.core.Applied() {
			r.wake()
		}
	})
}

// Modify has an operator's call agreed on, here or at the leader.
func (r *Replica) Modify(now time.Duration, body []byte, done func(Reply)) {
	c, err := patch.ReadCall(body)
	if err != nil {
		done(StatusOf(err))
		return
	}
	r.ModifyRead(now, c, body, done)
}

// ModifyRead is Modify of a call that was read from its body already: a large one takes longer than heartbeats may wait.
func (r *Replica) ModifyRead(now time.Duration, c patch.Call, body []byte, done func(Reply)) {
	r.at(now)
	if r.core.Leads() {
		r.admit(c, done)
		return
	}
	leader := r.leaderAddress()
	if leader == "" {
		done(Unavailable("no leader is known"))
		return
	}
	r.askLeader(leader, trunk.AskModify, body, done)
}

// Fetch reads the configuration, no older than anything acknowledged before the call; ok false: that can't be confirmed.
func (r *Replica) Fetch(now time.Duration, done func(set patch.Set, ok bool)) {
	r.Confirmed(now, func(ok bool) {
		if !ok {
			done(patch.Set{}, false)
			return
		}
		done(r.state.Items.Layout(), true)
	})
}

// Answer answers a call of a sidecar or of another replica.
func (r *Replica) Answer(now time.Duration, kind byte, body []byte, sidecar bool, reply func(Reply)) {
	r.at(now)
	switch kind {
	case trunk.AskModify:
		c, err := patch.ReadCall(body)
		if err != nil {
			reply(StatusOf(err))
			return
		}
		r.AnswerModify(now, c, reply)
	case trunk.AskRead:
		r.answerRead(reply)
	case trunk.AskTable:
		r.answerConfirmed(reply, func() Reply {
			// The machines that are out come before the sidecar counts as ready.
			return Reply{Status: http.StatusOK, Body: trunk.Bytes(r.table()), Push: r.state.Maintenance.Outs()}
		})
	case trunk.AskBound:
		r.answerConfirmed(reply, func() Reply {
			return Reply{Status: http.StatusOK, Body: trunk.Bytes(r.state.Rules.Bound())}
		})
	case trunk.AskClaims:
		r.claim(body, sidecar, reply)
	default:
		reply(Reply{Status: http.StatusNotFound})
	}
}

// AnswerModify answers another replica's call that an operator's call be agreed on, which was read already.
func (r *Replica) AnswerModify(now time.Duration, c patch.Call, reply func(Reply)) {
	r.at(now)
	r.admit(c, reply)
}

func (r *Replica) answerRead(reply func(Reply)) {
	if !r.core.Leads() {
		reply(Unavailable(""))
		return
	}
	r.Confirm(r.now, func(index uint64, ok bool) {
		if !ok {
			reply(Unavailable(""))
			return
		}
		reply(Reply{Status: http.StatusOK, Body: binary.BigEndian.AppendUint64(nil, index)})
	})
}

func (r *Replica) answerConfirmed(reply func(Reply), read func() Reply) {
	r.Confirmed(r.now, func(ok bool) {
		if !ok {
			reply(Unavailable(""))
			return
		}
		reply(read())
	})
}

// claim has claims on idempotency keys agreed on, at the leader; a sidecar's are forwarded there.
func (r *Replica) claim(body []byte, forward bool, reply func(Reply)) {
	if !r.core.Leads() {
		leader := r.leaderAddress()
		if !forward || leader == "" {
			reply(Unavailable(""))
			return
		}
		r.askLeader(leader, trunk.AskClaims, body, reply)
		return
	}
	if _, err := trunk.Parse(body, func(p []byte) *wire.ClaimsT { return wire.GetRootAsClaims(p, 0).UnPack() }); err != nil {
		reply(Reply{Status: http.StatusBadRequest})
		return
	}
	ok := r.Propose(r.now, append([]byte{ChangeClaims}, body...), func(o Outcome, known bool) {
		if !known || o.Err != nil {
			reply(Unavailable(""))
			return
		}
		reply(Reply{Status: http.StatusOK, Body: trunk.Bytes(wireGrants(o.Grants))})
	})
	if !ok {
		reply(Unavailable(""))
	}
}

func wireGrants(l []ticket.Grant) *wire.GrantsT {
	t := &wire.GrantsT{}
	for _, g := range l {
		t.List = append(t.List, &wire.GrantT{Granted: g.Granted, Holder: g.Held.Holder, Ticket: g.Held.Ticket})
	}
	return t
}
