package sidecar

import (
	"sync/atomic"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/routing"
)

// routedRequest is a caller's request with its route, its policy and the state of its attempts. It is the FrontData
// of the request's message. Its attempts are made one after the other; the fields that they change are atomic, because
// the front reads them when it answers the call.
type routedRequest struct {
	route     *routing.Route
	service   *service
	attemptID string
	key       string           // idempotency key; empty unless the route is keyed
	token     string           // of the call with that key; empty unless the route is keyed
	policy    *policy.Decision // effective policy, or nil if no policy applies
	ruleTrace string           // value of headerRuleTrace in the response; empty if the caller did not ask for it

	attempts      atomic.Int32  // how many were sent
	keyNotGranted atomic.Bool   // the control plane could not grant the key, so that no more attempts are made
	lastEnding    atomic.Uint32 // of the last attempt, a balancer.Ending
}

// timeout returns the time for a request: that of the route or of the policy, but no more than the caller's budget.
func (r *routedRequest) timeout(budget time.Duration) time.Duration {
	timeout := r.route.Timeout
	if r.policy != nil {
		timeout = r.policy.Timeout
	}
	return min(timeout, budget)
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
	lastEnding := balancer.Ending(r.lastEnding.Load())
	return r.policy == nil || r.policy.MayRetry(retryConditionNames[lastEnding])
}

// allowsAttempt reports whether an attempt may be made. Attempts are counted from 0.
func (r *routedRequest) allowsAttempt(attempt int) bool {
	return attempt < r.maxAttempts() && !r.keyNotGranted.Load() && (attempt == 0 || r.mayRetry())
}
