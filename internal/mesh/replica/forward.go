package replica

import "slices"

// forward is a call that was passed on to the leader and has no answer yet.
type forward struct {
	done func(Reply)
}

// askLeader passes a call on to the replica that leads. done is called once: with its answer, or with Unavailable where there is
// none in time, or as soon as another leads. The call may have been carried out all the same.
func (r *Replica) askLeader(address string, kind byte, body []byte, done func(Reply)) {
	f := &forward{done}
	r.forwards = append(r.forwards, f)
	r.env.AskReplica(address, kind, body, func(reply Reply) {
		if i := slices.Index(r.forwards, f); i >= 0 {
			r.forwards = slices.Delete(r.forwards, i, i+1)
			f.done(reply)
		}
	})
}

// endForwards answers what was passed on to a leader that is none any more: it may stand still, and whoever asked can ask the
// next one long before AnswerWithin is over.
func (r *Replica) endForwards() {
	forwards := r.forwards
	r.forwards = nil
	for _, f := range forwards {
		f.done(Unavailable("another leader took over; it may still be taken"))
	}
}
