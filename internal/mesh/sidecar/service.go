package sidecar

import (
	"math"
	"sync"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/mesh/retrybudget"
	"cranegrade/internal/mesh/routing"
	"cranegrade/internal/pool"
)

const (
	// policyRetryWindow is the time window over which the retry ratio of a policy is measured.
	policyRetryWindow = 10 * time.Second
	// maxPolicyBudgets bounds the number of routes with a retry budget of their policy. When it is exceeded, all of these
	// budgets are reset.
	maxPolicyBudgets = 4096
	// sendingSidecarShare is the assumed fraction of sidecars that send to a service at the same time. Each sidecar
	// computes its part of a service's limits as if only that fraction sent.
	sendingSidecarShare = 0.5
)

// service is the pool of one service, with its retry budgets.
type service struct {
	name   string
	pool   *pool.Pool
	source *directorySource
	// Guarded by servicePools.mu; the values last passed to the decision module.
	classes  map[string]balancer.Class
	position fleetPosition

	mu            sync.Mutex // guards below
	retryBudget   *retrybudget.Budget
	policyBudgets map[string]*retrybudget.Budget // by route name; only routes whose policy limits retries
}

// updateClasses passes the classes of new or changed routes to the decision module. The goroutine ends as soon as the
// engine has received them, since the engine runs until the process ends. The caller holds servicePools.mu.
func (s *service) updateClasses(routes []*routing.Route) {
	var changed []balancer.Class
	for _, class := range moduleClasses(s.name, routes) {
		if s.classes[class.Name] != class {
			s.classes[class.Name] = class
			changed = append(changed, class)
		}
	}
	if len(changed) > 0 {
		go s.pool.Engine().Notify(balancer.Classes{Classes: changed})
	}
}

// refresh applies a change of the directory to the limits of the retry budget, this sidecar's position among all
// sidecars, and the list of servers. The caller holds servicePools.mu.
func (s *service) refresh(limits retrybudget.Limits, position fleetPosition) {
	s.mu.Lock()
	s.retryBudget.SetLimits(limits)
	s.mu.Unlock()
	if s.position != position {
		s.position = position
		go s.pool.Engine().Notify(balancer.Fleet{
			Balancers:   position.sidecars,
			Index:       position.index,
			Divisor:     max(1, float64(position.sidecars)*sendingSidecarShare),
			Whole:       true,
			ServerCalls: position.serverCapacity,
		})
	}
	select {
	case s.source.changed <- struct{}{}:
	default: // the pending notification covers this change
	}
}

// admitAttempt records an attempt that is about to be sent; attempts of a request are numbered from 0. It returns false
// if the retry budget of the service or of the policy does not allow the attempt. Attempt 0 is always allowed.
func (s *service) admitAttempt(now time.Duration, attempt int, routed *routedRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	policyBudget := s.policyBudget(routed)
	if attempt == 0 {
		s.retryBudget.RecordRequest(now)
		if policyBudget != nil {
			policyBudget.RecordRequest(now)
		}
		return true
	}
	return (policyBudget == nil || policyBudget.AllowRetry(now)) && s.retryBudget.AllowRetry(now)
}

// policyBudget returns the retry budget of a request's policy, or nil if no policy applies or the policy does not limit
// the retry ratio. The caller holds mu.
func (s *service) policyBudget(routed *routedRequest) *retrybudget.Budget {
	if routed.policy == nil || math.IsInf(routed.policy.RetryRatio, 1) {
		return nil
	}
	limits := retrybudget.Limits{Window: policyRetryWindow, Ratio: routed.policy.RetryRatio}
	budget := s.policyBudgets[routed.route.Name]
	if budget == nil {
		if s.policyBudgets == nil || len(s.policyBudgets) > maxPolicyBudgets {
			s.policyBudgets = map[string]*retrybudget.Budget{}
		}
		budget = retrybudget.New(limits)
		s.policyBudgets[routed.route.Name] = budget
	}
	budget.SetLimits(limits)
	return budget
}
