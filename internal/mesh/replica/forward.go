package replica

import "slices"

// forwardedCall is a call that was forwarded to the leader and has no answer yet.
type forwardedCall struct {
	done func(Reply)
}

// forwardToLeader forwards a call to the replica that leads. done is called once: with its answer, or with Unavailable where there is
// none in time, or as soon as another leads. The call may have been carried out all the same.
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

// failForwardedCalls answers what was forwarded to a leader that is none any more: that may hang, and the caller can ask the next one
// long before CallTimeout is over.
func (r *Replica) failForwardedCalls() {
	calls := r.forwardedCalls
	r.forwardedCalls = nil
	for _, call := range calls {
		call.done(Unavailable("another leader took over; it may still be taken"))
	}
}
