package replica

import "slices"

// forwardedCall is a call that was forwarded to the leader and was not answered yet.
type forwardedCall struct {
	done func(Reply)
}

// forwardToLeader forwards a call to the leader at address. done is called once: with the leader's reply, or with Unavailable if the reply
// times out or the leader changes. In the latter two cases the call may still have taken effect.
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

// failForwardedCalls fails the calls that were forwarded to a former leader, without waiting for CallTimeout: the former leader may hang,
// and the callers can retry with the new leader at once.
func (r *Replica) failForwardedCalls() {
	calls := r.forwardedCalls
	r.forwardedCalls = nil
	for _, call := range calls {
		call.done(Unavailable(TextLeaderChanged))
	}
}
