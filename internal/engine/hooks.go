package engine

import (
	"time"

	"cranegrade/balancer"
)

// Hooks take the place of the engine where a sender is used without one. Any of them may be nil.
type Hooks struct {
	Finished func() bool // the call is finished
	Began    func(Reply)
	End      func(balancer.Ending, Reply)
}

// NewAttempt returns an attempt that belongs to no engine.
func NewAttempt(ep *Endpoint, payload any, timeout time.Duration, h Hooks) *Attempt {
	return &Attempt{Endpoint: ep, Payload: payload, Timeout: timeout, host: h}
}

func (h Hooks) begin(*Attempt) (balancer.Ending, bool) {
	return balancer.NeverSent, h.Finished == nil || !h.Finished()
}

func (h Hooks) began(_ *Attempt, r Reply) {
	if h.Began != nil {
		h.Began(r)
	}
}

func (h Hooks) end(_ *Attempt, ending balancer.Ending, r Reply) {
	if h.End != nil {
		h.End(ending, r)
	}
}
