package replica

import (
	"encoding/binary"
	"net/http"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/idempotency"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// Unavailable is the answer of a replica that can't tell: the caller has to ask again, here or elsewhere.
func Unavailable(text string) Reply {
	return Reply{Status: http.StatusServiceUnavailable, Body: []byte(text)}
}

// ErrorReply words why a modification was not taken.
func ErrorReply(err error) Reply {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, config.ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, config.ErrForbidden):
		status = http.StatusForbidden
	case errors.Is(err, config.ErrInvalid):
		status = http.StatusBadRequest
	}
	return Reply{Status: status, Body: []byte(err.Error())}
}

// Propose has a change agreed on; done is called once an entry at its index is applied. known false: it may or may not be agreed
// on. The result is false where this replica does not lead or has too much under way; done is not called then.
func (r *Replica) Propose(now time.Duration, data []byte, done func(o Outcome, known bool)) bool {
	r.advanceTime(now)
	if len(r.proposals) > maxProposals {
		return false
	}
	index, term, ok := r.raft.Propose(r.now, data)
	if !ok {
		return false
	}
	if p, is := r.proposals[index]; is { // of a term in which this one led before
		p.done(Outcome{}, false)
	}
	r.proposals[index] = proposal{term, done}
	r.lastProposed = index
	return true
}

// ReadIndex finds out up to which entry must be applied, so that nothing acknowledged is missing.
func (r *Replica) ReadIndex(now time.Duration, done func(index uint64, ok bool)) {
	r.advanceTime(now)
	if r.raft.IsLeader() {
		r.lastReadID++
		if !r.raft.ReadIndex(r.now, r.lastReadID) {
			done(0, false)
			return
		}
		r.pendingReads[r.lastReadID] = done
		return
	}
	leader := r.remoteLeaderAddress()
	if leader == "" {
		done(0, false)
		return
	}
	r.forwardToLeader(leader, codec.CallReadIndex, nil, func(reply Reply) {
		if reply.Status != http.StatusOK || len(reply.Body) != indexSize {
			done(0, false)
			return
		}
		done(binary.BigEndian.Uint64(reply.Body), true)
	})
}

// indexSize is the length of an entry's index in the answer to trunk.AskRead, in bytes.
const indexSize = 8

// LinearizableRead calls done once the state holds all that was acknowledged when it was called.
func (r *Replica) LinearizableRead(now time.Duration, done func(ok bool)) {
	r.ReadIndex(now, func(index uint64, ok bool) {
		if !ok {
			done(false)
			return
		}
		r.waiters = append(r.waiters, waiter{index, func() { done(true) }})
		if index <= r.raft.AppliedIndex() {
			r.resumeWaiters()
		}
	})
}

// Modify has an operator's call agreed on, here or at the leader.
func (r *Replica) Modify(now time.Duration, body []byte, done func(Reply)) {
	c, err := config.ParseUpdate(body)
	if err != nil {
		done(ErrorReply(err))
		return
	}
	r.ModifyParsed(now, c, body, done)
}

// ModifyParsed is Modify of a call that was read from its body already: a large one takes longer than heartbeats may wait.
func (r *Replica) ModifyParsed(now time.Duration, c config.Update, body []byte, done func(Reply)) {
	r.advanceTime(now)
	if r.raft.IsLeader() {
		r.admitCall(c, done)
		return
	}
	leader := r.remoteLeaderAddress()
	if leader == "" {
		done(Unavailable("no leader is known"))
		return
	}
	r.forwardToLeader(leader, codec.CallModify, body, done)
}

// Fetch reads the configuration, no older than anything acknowledged before the call; ok false: that can't be confirmed.
func (r *Replica) Fetch(now time.Duration, done func(set config.Document, ok bool)) {
	r.LinearizableRead(now, func(ok bool) {
		if !ok {
			done(config.Document{}, false)
			return
		}
		done(r.state.Items.Document(), true)
	})
}

// HandleCall answers a call of a sidecar or of another replica.
func (r *Replica) HandleCall(now time.Duration, kind byte, body []byte, sidecar bool, reply func(Reply)) {
	r.advanceTime(now)
	switch kind {
	case codec.CallModify:
		c, err := config.ParseUpdate(body)
		if err != nil {
			reply(ErrorReply(err))
			return
		}
		r.HandleModify(now, c, reply)
	case codec.CallReadIndex:
		r.handleReadIndex(reply)
	case codec.CallItems:
		r.replyAfterRead(reply, func() Reply {
			// The machines that are out come before the sidecar counts as ready.
			return Reply{Status: http.StatusOK, Body: codec.EncodeTable(r.itemsMessage()), Push: r.state.Maintenance.MachinesMessage()}
		})
	case codec.CallActivePolicy:
		r.replyAfterRead(reply, func() Reply {
			return Reply{Status: http.StatusOK, Body: codec.EncodeTable(r.state.Policy.ActiveMessage())}
		})
	case codec.CallLeaseKeys:
		r.handleLeaseRequests(body, sidecar, reply)
	default:
		reply(Reply{Status: http.StatusNotFound})
	}
}

// HandleModify answers another replica's call that an operator's call be agreed on, which was read already.
func (r *Replica) HandleModify(now time.Duration, c config.Update, reply func(Reply)) {
	r.advanceTime(now)
	r.admitCall(c, reply)
}

func (r *Replica) handleReadIndex(reply func(Reply)) {
	if !r.raft.IsLeader() {
		reply(Unavailable(""))
		return
	}
	r.ReadIndex(r.now, func(index uint64, ok bool) {
		if !ok {
			reply(Unavailable(""))
			return
		}
		reply(Reply{Status: http.StatusOK, Body: binary.BigEndian.AppendUint64(nil, index)})
	})
}

func (r *Replica) replyAfterRead(reply func(Reply), read func() Reply) {
	r.LinearizableRead(r.now, func(ok bool) {
		if !ok {
			reply(Unavailable(""))
			return
		}
		reply(read())
	})
}

// handleLeaseRequests has claims on idempotency keys agreed on, at the leader; a sidecar's are forwarded there.
func (r *Replica) handleLeaseRequests(body []byte, forward bool, reply func(Reply)) {
	if !r.raft.IsLeader() {
		leader := r.remoteLeaderAddress()
		if !forward || leader == "" {
			reply(Unavailable(""))
			return
		}
		r.forwardToLeader(leader, codec.CallLeaseKeys, body, reply)
		return
	}
	if _, err := codec.DecodeTable(body, func(p []byte) *wire.KeyLeaseRequestsT { return wire.GetRootAsKeyLeaseRequests(p, 0).UnPack() }); err != nil {
		reply(Reply{Status: http.StatusBadRequest})
		return
	}
	ok := r.Propose(r.now, append([]byte{ChangeKeyLeases}, body...), func(o Outcome, known bool) {
		if !known || o.Err != nil {
			reply(Unavailable(""))
			return
		}
		reply(Reply{Status: http.StatusOK, Body: codec.EncodeTable(encodeLeaseResults(o.LeaseResults))})
	})
	if !ok {
		reply(Unavailable(""))
	}
}

func encodeLeaseResults(l []idempotency.LeaseResult) *wire.KeyLeaseResultsT {
	t := &wire.KeyLeaseResultsT{}
	for _, g := range l {
		t.List = append(t.List, &wire.KeyLeaseResultT{Granted: g.Granted, Holder: g.Current.Holder, Token: g.Current.Token})
	}
	return t
}
