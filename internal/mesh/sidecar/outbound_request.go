package sidecar

import (
	"sync/atomic"

	"cranegrade/balancer"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/routing"
)

// routedRequest is a caller's request with its route, its policy and the state of its attempts. It is the FrontData
// of the request's message.
type routedRequest struct {
	route         *routing.Route
	service       *service
	attemptID     string
	key           string // "": it is not a keyed request
	token         string // of a keyed request
	policy        *policy.Decision
	ruleTrace     string        // value of headerRuleTrace in the response; "": the caller did not ask for it
	attempts      atomic.Int32  // that were sent
	keyNotGranted atomic.Bool   // the control plane could not grant its key: no more attempts
	lastEnding    atomic.Uint32 // of the last attempt, a balancer.Ending
}

// maxAttempts returns how many servers the request may be sent to.
func (r *routedRequest) maxAttempts() int {
	if r.policy != nil {
		return r.policy.MaxAttempts
	}
	return r.route.MaxAttempts
}

// mayRetry reports whether the policy allows a retry after how the last attempt ended.
func (r *routedRequest) mayRetry() bool {
	return r.policy == nil || r.policy.MayRetry(retryConditionNames[balancer.Ending(r.lastEnding.Load())])
}

// allowsAttempt reports whether attempt nth, counted from 0, may be made.
func (r *routedRequest) allowsAttempt(nth int) bool {
	return nth < r.maxAttempts() && !r.keyNotGranted.Load() && (nth == 0 || r.mayRetry())
}
