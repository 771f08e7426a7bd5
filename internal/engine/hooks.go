package engine

import (
	"time"

	"cranegrade/balancer"
)

// Hooks take the place of the engine where a sender is used without one. Any of them may be nil.
type Hooks struct {
	Finished        func() bool // the call is finished
	ResponseStarted func(Reply) // see Attempt.ResponseStarted
	End             func(balancer.Ending, Reply)
}

// NewAttempt returns an attempt that belongs to no engine.
func NewAttempt(ep *Endpoint, payload any, timeout time.Duration, h Hooks) *Attempt {
	return &Attempt{Endpoint: ep, Payload: payload, Timeout: timeout, host: h}
}

func (h Hooks) mayWrite(*Attempt) (balancer.Ending, bool) {
	return balancer.NeverSent, h.Finished == nil || !h.Finished()
}

func (h Hooks) responseStarted(_ *Attempt, r Reply) {
	if h.ResponseStarted != nil {
		h.ResponseStarted(r)
	}
}

func (h Hooks) end(_ *Attempt, ending balancer.Ending, r Reply) {
	if h.End != nil {
		h.End(ending, r)
	}
}
