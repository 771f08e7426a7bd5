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
	// policyRetryWindow is the time that policies' retry ratios are counted over.
	policyRetryWindow = 10 * time.Second
	// maxPolicyBudgets bounds the routes whose retries are counted for their policies. Beyond it all counts begin anew.
	maxPolicyBudgets = 4096
	// sendingShare is the part of the sidecars that are assumed to send to a service at a time: each takes its share of
	// the limits as if only these did.
	sendingShare = 0.5
)

// service is the pool of one service, with its retry budgets.
type service struct {
	name   string
	pool   *pool.Pool
	source *directorySource
	// Guarded by servicePools.mu; as the decision module has them.
	classes  map[string]balancer.Class
	position fleetPosition

	mu            sync.Mutex // guards below
	retryBudget   *retrybudget.Budget
	policyBudgets map[string]*retrybudget.Budget // by route, of those whose policy limits retries
}

// updateClasses passes the classes of new or changed routes to the decision module. The engine runs until the process
// ends, so the goroutine ends as soon as the engine has taken them.
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

// refresh applies a change of the directory: the limits of the retry budget, this sidecar's position, and the list of
// servers.
func (s *service) refresh(limits retrybudget.Limits, position fleetPosition) {
	s.mu.Lock()
	s.retryBudget.SetLimits(limits)
	s.mu.Unlock()
	if s.position != position {
		s.position = position
		go s.pool.Engine().Notify(balancer.Fleet{
			Balancers:   position.sidecars,
			Index:       position.index,
			Divisor:     max(1, float64(position.sidecars)*sendingShare),
			Whole:       true,
			ServerCalls: position.serverCapacity,
		})
	}
	select {
	case s.source.changed <- struct{}{}:
	default: // a change that the source has not seen yet covers this one
	}
}

// admitAttempt counts an attempt that is about to be sent; attempts of a request are counted from 0. It returns false
// if the retry budget of the service or of the policy does not allow it. A first attempt is always allowed.
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

// policyBudget returns the retry budget of a request's policy, or nil if the policy bounds no retries. The caller holds
// mu.
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
