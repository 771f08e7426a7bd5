package engine

import (
	"time"

	"cranegrade/balancer"
)

// Hooks are the callbacks of an attempt that belongs to no engine, for the use of a sender without an engine. Any of them
// may be nil.
type Hooks struct {
	Finished        func() bool                  // reports whether the call is finished; see Attempt.MayWrite
	ResponseStarted func(Reply)                  // see Attempt.ResponseStarted
	End             func(balancer.Ending, Reply) // see Attempt.End; called at most once
}

// NewAttempt returns an attempt that belongs to no engine and reports to hooks.
func NewAttempt(ep *Endpoint, payload any, timeout time.Duration, hooks Hooks) *Attempt {
	return &Attempt{Endpoint: ep, Payload: payload, Timeout: timeout, owner: hooks}
}

// mayWrite implements attemptOwner.
func (h Hooks) mayWrite(*Attempt) (balancer.Ending, bool) {
	return balancer.NeverSent, h.Finished == nil || !h.Finished()
}

// responseStarted implements attemptOwner.
func (h Hooks) responseStarted(_ *Attempt, r Reply) {
	if h.ResponseStarted != nil {
		h.ResponseStarted(r)
	}
}

// end implements attemptOwner.
func (h Hooks) end(_ *Attempt, ending balancer.Ending, r Reply) {
	if h.End != nil {
		h.End(ending, r)
	}
}
