package sidecar

import (
	"sync/atomic"

	"cranegrade/balancer"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/routing"
)

// routedRequest is what the sidecar knows of a caller's request beyond its form: its route, its limits and what became of its
// attempts. It is the Note of the request's message.
type routedRequest struct {
	route         *routing.Route
	service       *service
	attemptID     string
	key           string // "": it is not a keyed request
	token         string // of a keyed request
	policy        *policy.Decision
	ruleTrace     string        // what is answered to headerRuleTrace; "": it was not asked for
	attempts      atomic.Int32  // that were sent
	keyNotGranted atomic.Bool   // the control plane could not grant its key: no more attempts
	lastEnding    atomic.Uint32 // of the last attempt, a hollyspur.Ending
}

// maxAttempts is how many servers the request may be sent to.
func (r *routedRequest) maxAttempts() int {
	if r.policy != nil {
		return r.policy.MaxAttempts
	}
	return r.route.MaxAttempts
}

// mayRetry says whether the policy allows a retry after how the last attempt ended.
func (r *routedRequest) mayRetry() bool {
	return r.policy == nil || r.policy.MayRetry(retryConditionNames[balancer.Ending(r.lastEnding.Load())])
}

// allowsAttempt says whether the request may be sent another time, the nth from 0.
func (r *routedRequest) allowsAttempt(nth int) bool {
	return nth < r.maxAttempts() && !r.keyNotGranted.Load() && (nth == 0 || r.mayRetry())
}
