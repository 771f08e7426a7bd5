package replica

import "slices"

// forwardedCall is a call that was forwarded to the leader and has no reply yet.
type forwardedCall struct {
	done func(Reply)
}

// forwardToLeader forwards a call to the leader. done is called once: with the leader's reply, or with Unavailable if there is none in time
// or the leader changes. In the latter cases the call may have taken effect all the same.
func (r *Replica) forwardToLeader(address string, kind byte, body []byte, done func(Reply)) {
	call := &forwardedCall{done}
	r.forwardedCalls = append(r.forwardedCalls, call)
	r.env.CallReplica(address, kind, body, func(reply Reply) {
		if i := slices.Index(r.forwardedCalls, call); i >= 0 {
			r.forwardedCalls = slices.Delete(r.forwardedCalls, i, i+1)
			call.done(reply)
		}
	})
}

// failForwardedCalls fails the calls that were forwarded to a former leader. That one may hang, and the callers can retry with the next
// leader long before CallTimeout.
func (r *Replica) failForwardedCalls() {
	calls := r.forwardedCalls
	r.forwardedCalls = nil
	for _, call := range calls {
		call.done(Unavailable(TextLeaderChanged))
	}
}
