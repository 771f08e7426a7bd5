package fleet

import (
	"maps"
	"math"
	"slices"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/fleet/membership"
	"cranegrade/internal/fleet/outlier"
	"cranegrade/internal/fleet/subset"
)

// Decider is a decision module; engine.Module has the same method.
type Decider interface {
	Handle(now time.Duration, event balancer.Event) []balancer.Action
}

// Module wraps a decision module and handles the engine's events in its place. Before it passes on an event it notifies the decision module
// of changes in the fleet: this node's position, the divisor of quotas, its subset of the servers, and other members' reports of failing
// servers. A process that was suspended therefore applies the expiry of its share before it makes any other decision. The Module also
// collects the outcomes of requests from the events, to report them to the other members.
//
// Two clocks are in use: events carry the engine's time; the fleet uses BootTime, which advances while the process is suspended.
//
// Like the decision module, a Module must be used by one goroutine only.
type Module struct {
	decider  Decider
	pool     *Pool
	clock    func() time.Duration     // BootTime
	useSizes bool                     // servers are ordered by their sizes, as in the decision module
	demands  map[string]*tenantDemand // by tenant

	// The list of servers, and its assignment to the members.
	listedServers     map[string]balancer.Server
	startTimes        map[string]time.Duration // of the servers that were ready at the latest assignment
	listChanged       bool                     // since the latest assignment
	members           []string                 // that the latest assignment was made for
	pendingAssignment chan assignment          // receives one that another goroutine computes; nil if there is none
	maxInlinePairs    int                      // the constant, except in tests
	membersByServer   map[string][]uint64      // see assignment
	peers             []string                 // see assignment
	transition        *subset.Transition
	detector          *outlier.Detector

	// The state of which the decision module was last notified.
	divisor    float64
	position   position
	subset     []string
	quotas     *QuotaShares
	exclusions []balancer.Exclusion

	updatedAt         time.Duration // time of the last update
	digestCheckedAt   time.Duration // when a digest was last due, even if there was nothing to send
	failedSinceDigest bool          // a request has failed since digestCheckedAt
	demandMeasuredAt  time.Duration // time of the last measurement of demand
}

// position is the part of membership.Position that the decision module is notified of.
type position struct{ established, index int }

// Intervals of a module's periodic work.
const (
	checkInterval  = 20 * time.Millisecond  // between two updates, if no change in the fleet causes one earlier
	digestInterval = 250 * time.Millisecond // between two digests while no request fails
	moveInterval   = 200 * time.Millisecond // between two steps of a transition to another subset
)

// NewModule returns a module for a pool. name is this member's name; clock is BootTime or a simulated clock.
func NewModule(decider Decider, pool *Pool, name string, settings balancer.Settings, clock func() time.Duration) *Module {
	demands := tenantDemands(settings)
	pool.setTenants(slices.Collect(maps.Keys(demands)))
	detector := outlier.NewDetector(pool.id, membership.NameID(name))
	detector.TrustUnbounded = mutationHooks.trustUnbounded
	return &Module{
		decider:        decider,
		pool:           pool,
		clock:          clock,
		demands:        demands,
		detector:       detector,
		useSizes:       settings.Sizes == balancer.SizesNominal || settings.Sizes == balancer.SizesRough,
		listedServers:  map[string]balancer.Server{},
		startTimes:     map[string]time.Duration{},
		maxInlinePairs: maxInlinePairs,
		transition:     subset.NewTransition(moveInterval),
		quotas:         &QuotaShares{},
		updatedAt:      math.MinInt64,
	}
}

// Handle notifies the decision module of changes in the fleet, then passes on the event. It returns the actions of both.
func (m *Module) Handle(now time.Duration, event balancer.Event) (actions []balancer.Action) {
	bootTime := m.clock()
	m.observe(bootTime, event)
	role, divisor := m.pool.Role(bootTime)
	quotas := m.pool.quotaShares(bootTime)
	if divisor != m.divisor || quotas != m.quotas || m.listChanged || bootTime >= m.updatedAt+checkInterval {
		m.updatedAt = bootTime
		actions = m.update(now, bootTime, role, divisor, quotas)
	}
	return append(actions, m.decider.Handle(now, event)...)
}

// observe records what the fleet needs from an event: servers, demand, and outcomes of requests.
func (m *Module) observe(bootTime time.Duration, event balancer.Event) {
	switch e := event.(type) {
	case balancer.ServerList:
		m.updateServers(e)
	case balancer.Request:
		if d := m.demands[e.Tenant]; d != nil && !e.ClientRetry {
			d.requests++
		}
	case balancer.Outcome:
		switch e.Ending {
		case balancer.Failure, balancer.TimedOut, balancer.Unreachable, balancer.Broken:
			m.failedSinceDigest = true
			m.detector.RecordFailure(bootTime, e.Server)
		case balancer.Success:
			m.detector.RecordSuccess(bootTime, e.Server)
		default: // other endings say nothing about the server's health
		}
	}
}

// updateServers applies a full list of servers, or changes to the current one.
func (m *Module) updateServers(list balancer.ServerList) {
	if list.Full {
		clear(m.listedServers)
	}
	for _, s := range list.Servers {
		if s.State == balancer.Gone {
			delete(m.listedServers, s.ID)
		} else {
			m.listedServers[s.ID] = s
		}
	}
	m.listChanged = m.listChanged || list.Full || len(list.Servers) > 0
}

// update notifies the decision module of changes in the fleet, and sends this node's demand and observations to the fleet.
func (m *Module) update(now, bootTime time.Duration, role *Role, divisor float64, quotas *QuotaShares) (actions []balancer.Action) {
	if m.listChanged || !slices.Equal(m.members, role.Order) {
		m.assignSubsets(role)
	}
	m.adoptPending()
	// append copies each result before the next call, because the decision module may reuse its buffer.
	actions = append(actions, m.updateRole(now, m.transition.Step(bootTime), role, divisor, quotas)...)
	m.reportDemand(bootTime)
	actions = append(actions, m.updateExclusions(now, bootTime)...)
	m.sendDigest(bootTime)
	return actions
}

// updateRole notifies the decision module of its position, subset, divisor and quotas, if any has changed.
func (m *Module) updateRole(now time.Duration, subset []string, role *Role, divisor float64, quotas *QuotaShares) []balancer.Action {
	current := position{established: role.Established, index: role.Index}
	if divisor == m.divisor && current == m.position && quotas == m.quotas && slices.Equal(subset, m.subset) {
		return nil
	}
	m.divisor = divisor
	m.position = current
	m.subset = subset
	m.quotas = quotas
	byTenant := quotas.ByTenant
	if math.IsInf(divisor, 1) {
		byTenant = nil // borrowed quota expires with the share
	}
	return m.decider.Handle(now, balancer.Fleet{
		Balancers: role.Established,
		Index:     role.Index,
		Divisor:   divisor,
		Subset:    subset,
		Quotas:    byTenant,
	})
}

// sendDigest sends a digest of this member's observations of servers to the others: each digestInterval, and soon after a failed request.
func (m *Module) sendDigest(bootTime time.Duration) {
	isDue := bootTime >= m.digestCheckedAt+digestInterval || m.failedSinceDigest && bootTime >= m.digestCheckedAt+checkInterval
	if !isDue || len(m.members) < 2 {
		return
	}
	m.digestCheckedAt = bootTime
	m.failedSinceDigest = false
	digest, ok := m.detector.Digest(bootTime)
	if mutationHooks.replaceDigest != nil {
		digest, ok = mutationHooks.replaceDigest(m), true
	}
	if ok {
		m.pool.send(digest, m.peers)
	}
}

// learner is a decision module whose estimates can be handed over to its successor.
type learner interface {
	Knowledge() *balancer.Knowledge
	Learn(*balancer.Knowledge)
}

// Knowledge returns the decision module's learned estimates, or nil if that module does not export them.
func (m *Module) Knowledge() *balancer.Knowledge {
	if l, ok := m.decider.(learner); ok {
		return l.Knowledge()
	}
	return nil
}

// Learn loads another decision module's estimates into this one's, if it supports that.
func (m *Module) Learn(knowledge *balancer.Knowledge) {
	if l, ok := m.decider.(learner); ok {
		l.Learn(knowledge)
	}
}
