package replica

import "slices"

// forwardedCall is a call that was passed on to the leader and has no answer yet.
type forwardedCall struct {
	done func(Reply)
}

// forwardToLeader passes a call on to the replica that leads. done is called once: with its answer, or with Unavailable where there is
// none in time, or as soon as another leads. The call may have been carried out all the same.
func (r *Replica) forwardToLeader(address string, kind byte, body []byte, done func(Reply)) {
	f := &forwardedCall{done}
	r.forwardedCalls = append(r.forwardedCalls, f)
	r.env.CallReplica(address, kind, body, func(reply Reply) {
		if i := slices.Index(r.forwardedCalls, f); i >= 0 {
			r.forwardedCalls = slices.Delete(r.forwardedCalls, i, i+1)
			f.done(reply)
		}
	})
}

// failForwardedCalls answers what was passed on to a leader that is none any more: it may stand still, and whoever asked can ask the
// next one long before AnswerWithin is over.
func (r *Replica) failForwardedCalls() {
	forwards := r.forwardedCalls
	r.forwardedCalls = nil
	for _, f := range forwards {
		f.done(Unavailable("another leader took over; it may still be taken"))
	}
}
