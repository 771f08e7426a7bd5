package replica

import (
	"encoding/binary"
	"net/http"
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/idempotency"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// Origin is the kind of process that sent a call or sidecar records.
type Origin uint8

// Kinds of processes that send calls or records.
const (
	FromSidecar Origin = iota + 1 // also used for observers
	FromReplica
)

// HandleCall handles a call from a sidecar or from another replica. kind is one of the Call constants of package codec; the reply to an
// unknown kind has status 404. reply is called once, either before HandleCall returns or during a later method call of the replica.
func (r *Replica) HandleCall(now time.Duration, kind byte, body []byte, from Origin, reply func(Reply)) {
	r.advanceTime(now)
	switch kind {
	case codec.CallModify:
		update, err := config.ParseUpdate(body)
		if err != nil {
			reply(ErrorReply(err))
			return
		}
		r.HandleModify(now, update, reply)
	case codec.CallReadIndex:
		r.handleReadIndex(reply)
	case codec.CallItems:
		r.replyAfterRead(reply, func() Reply {
			// Pushed before the reply, because the sidecar must know the machines in maintenance before it becomes ready.
			return Reply{Status: http.StatusOK, Body: codec.EncodeTable(r.itemsMessage()), Push: r.state.Maintenance.MachinesMessage()}
		})
	case codec.CallActivePolicy:
		r.replyAfterRead(reply, func() Reply {
			return Reply{Status: http.StatusOK, Body: codec.EncodeTable(r.state.Policy.ActiveMessage())}
		})
	case codec.CallLeaseKeys:
		r.handleLeaseRequests(body, from, reply)
	default:
		reply(Reply{Status: http.StatusNotFound})
	}
}

// handleReadIndex handles, at the leader, a ReadIndex that another replica forwarded.
func (r *Replica) handleReadIndex(reply func(Reply)) {
	if !r.raft.IsLeader() {
		reply(Unavailable(""))
		return
	}
	r.ReadIndex(r.now, func(read ReadIndexResult) {
		if !read.Confirmed {
			reply(Unavailable(""))
			return
		}
		reply(Reply{Status: http.StatusOK, Body: binary.BigEndian.AppendUint64(nil, read.Index)})
	})
}

// replyAfterRead calls read once the state is current enough for a linearizable read, and replies with its result.
func (r *Replica) replyAfterRead(reply func(Reply), read func() Reply) {
	r.LinearizableRead(r.now, func(confirmed bool) {
		if !confirmed {
			reply(Unavailable(""))
			return
		}
		reply(read())
	})
}

// handleLeaseRequests proposes requests for leases on idempotency keys, if this replica leads. Otherwise it forwards the requests of a
// sidecar to the leader. It does not forward those of another replica, since two replicas that each consider the other the leader would
// forward them to each other forever.
func (r *Replica) handleLeaseRequests(body []byte, from Origin, reply func(Reply)) {
	if !r.raft.IsLeader() {
		leader := r.remoteLeaderAddress()
		if from != FromSidecar || leader == "" {
			reply(Unavailable(""))
			return
		}
		r.forwardToLeader(leader, codec.CallLeaseKeys, body, reply)
		return
	}
	// Validated before the proposal: otherwise an undecodable entry would be committed, and the caller would retry after status 503.
	if _, err := decodeLeaseRequests(body); err != nil {
		reply(Reply{Status: http.StatusBadRequest})
		return
	}
	change := append([]byte{byte(ChangeKeyLeases)}, body...)
	ok := r.Propose(r.now, change, func(result ProposalResult) {
		if !result.Known || result.Outcome.Err != nil {
			reply(Unavailable(""))
			return
		}
		reply(Reply{Status: http.StatusOK, Body: codec.EncodeTable(encodeLeaseResults(result.Outcome.LeaseResults))})
	})
	if !ok {
		reply(Unavailable(""))
	}
}

// decodeLeaseRequests decodes the lease requests in the body of a call or of an entry.
func decodeLeaseRequests(body []byte) ([]idempotency.LeaseRequest, error) {
	table, err := codec.DecodeTable(body, func(p []byte) *wire.KeyLeaseRequestsT { return wire.GetRootAsKeyLeaseRequests(p, 0).UnPack() })
	if err != nil {
		return nil, err
	}
	var requests []idempotency.LeaseRequest
	for _, request := range table.List {
		requests = append(requests, idempotency.LeaseRequest{
			Key:     request.Key,
			Token:   request.Token,
			Attempt: request.Attempt,
			Holder:  request.Holder,
			Release: request.Release,
			Window:  time.Duration(request.WindowUs) * time.Microsecond,
		})
	}
	return requests, nil
}

// encodeLeaseResults encodes the results of the lease requests of a call, in the order of the requests.
func encodeLeaseResults(results []idempotency.LeaseResult) *wire.KeyLeaseResultsT {
	table := &wire.KeyLeaseResultsT{}
	for _, result := range results {
		table.List = append(table.List, &wire.KeyLeaseResultT{
			Granted: result.Granted,
			Holder:  result.Current.Holder,
			Token:   result.Current.Token,
		})
	}
	return table
}
