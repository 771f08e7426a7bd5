package sidecar

import (
	"sync/atomic"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/routing"
)

// routedRequest is a caller's request with its route, its policy and the state of its attempts. It is the FrontData
// of the request's message. Attempts are made one after the other; the fields that they change are atomic because the
// front reads them when it writes the response.
type routedRequest struct {
	route     *routing.Route
	service   *service
	attemptID string
	key       string           // idempotency key; empty unless the route is keyed
	token     string           // identifies this call in leases of the key; empty unless the route is keyed
	policy    *policy.Decision // effective policy, or nil if no policy applies
	ruleTrace string           // value of headerRuleTrace in the response; empty if the caller did not ask for it

	attempts      atomic.Int32  // number of attempts that were sent
	keyNotGranted atomic.Bool   // the control plane did not grant the key, so no more attempts are made
	lastEnding    atomic.Uint32 // how the last attempt ended: a balancer.Ending
}

// timeout returns the timeout of the request: that of the policy, or of the route without one, but no more than the
// caller's time budget.
func (r *routedRequest) timeout(budget time.Duration) time.Duration {
	timeout := r.route.Timeout
	if r.policy != nil {
		timeout = r.policy.Timeout
	}
	return min(timeout, budget)
}

// maxAttempts returns the maximum number of attempts of the request, the first included.
func (r *routedRequest) maxAttempts() int {
	if r.policy != nil {
		return r.policy.MaxAttempts
	}
	return r.route.MaxAttempts
}

// mayRetry reports whether the policy allows a retry after the way in which the last attempt ended.
func (r *routedRequest) mayRetry() bool {
	lastEnding := balancer.Ending(r.lastEnding.Load())
	return r.policy == nil || r.policy.MayRetry(retryConditionNames[lastEnding])
}

// allowsAttempt reports whether the attempt with this number may be made. Attempts are numbered from 0.
func (r *routedRequest) allowsAttempt(attempt int) bool {
	return attempt < r.maxAttempts() && !r.keyNotGranted.Load() && (attempt == 0 || r.mayRetry())
}
