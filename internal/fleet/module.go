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

// Module stands between an engine and its decision module. Before each event it notifies that module of what has changed in the fleet: this
// node's position, the divisor of quotas, the servers that it draws from, and what other members report of servers. So a
// process that was suspended applies the end of its share before it decides anything else. From the events that pass it learns
// the outcomes of requests, for the other members.
//
// There are two times. Events carry the engine's; the fleet's is BootTime, which goes on while the process is suspended.
//
// Like the decision module it belongs to one goroutine.
type Module struct {
	decider Decider
	pool    *Pool
	clock   func() time.Duration // BootTime
	sized   bool                 // the list has sizes of servers, which decide their order
	demands map[string]*tenantDemand

	// The list of servers, and how it is assigned to the members.
	listed            map[string]balancer.Server
	startedAt         map[string]time.Duration // of those that are ready, as of the latest assignment
	listChanged       bool                     // since the latest assignment
	order             []string                 // members of the latest assignment
	pendingAssignment chan assignment          // one that is being computed; nil if there is none
	maxInlinePairs    int                      // see the constant
	drawnBy           map[string][]uint64      // see assignment
	peers             []string                 // see assignment
	transition        *subset.Transition
	detector          *outlier.Detector

	// What the decision module was notified of last.
	divisor    float64
	position   position
	subset     []string
	quotas     *QuotaShares
	exclusions []balancer.Exclusion

	checkedAt  time.Duration // when update was called last
	sentAt     time.Duration // when a digest was last due
	urgent     bool          // a request has failed since
	measuredAt time.Duration // when demand was last measured
}

// position is the part of membership.Position that the decision module is notified of.
type position struct{ agreed, index int }

// How often a module does what is due.
const (
	checkInterval  = 20 * time.Millisecond  // between two looks at the fleet if no event asks for one before
	digestInterval = 250 * time.Millisecond // between digests while no request fails
	moveInterval   = 200 * time.Millisecond // between the steps from one subset to another
)

// NewModule returns a module for a pool. name is this member's, and clock is BootTime, or simulated.
func NewModule(decider Decider, pool *Pool, name string, settings balancer.Settings, clock func() time.Duration) *Module {
	demands := tenantDemands(settings)
	pool.setTenants(slices.Collect(maps.Keys(demands)))
	detector := outlier.NewDetector(pool.id, membership.NameID(name))
	detector.TrustUnbounded = mutations.trustUnbounded
	return &Module{
		decider:        decider,
		pool:           pool,
		clock:          clock,
		demands:        demands,
		detector:       detector,
		sized:          settings.Sizes == balancer.SizesNominal || settings.Sizes == balancer.SizesRough,
		listed:         map[string]balancer.Server{},
		startedAt:      map[string]time.Duration{},
		maxInlinePairs: maxInlinePairs,
		transition:     subset.NewTransition(moveInterval),
		quotas:         &QuotaShares{},
		checkedAt:      math.MinInt64,
	}
}

// Handle passes on to the decision module what has changed in the fleet, and then the event. It returns the actions of both.
func (m *Module) Handle(now time.Duration, event balancer.Event) (actions []balancer.Action) {
	bootTime := m.clock()
	m.observe(bootTime, event)
	role, divisor := m.pool.Role(bootTime)
	quotas := m.pool.quotaShares(bootTime)
	if divisor != m.divisor || quotas != m.quotas || m.listChanged || bootTime >= m.checkedAt+checkInterval {
		m.checkedAt = bootTime
		actions = m.update(now, bootTime, role, divisor, quotas)
	}
	return append(actions, m.decider.Handle(now, event)...)
}

// observe notes what the fleet has to know of an event.
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
			m.urgent = true
			m.detector.RecordFailure(bootTime, e.Server)
		case balancer.Success:
			m.detector.RecordSuccess(bootTime, e.Server)
		default: // other endings say nothing about the server's health
		}
	}
}

// updateServers applies a list of servers or a change of it.
func (m *Module) updateServers(list balancer.ServerList) {
	if list.Full {
		clear(m.listed)
	}
	for _, s := range list.Servers {
		if s.State == balancer.Gone {
			delete(m.listed, s.ID)
		} else {
			m.listed[s.ID] = s
		}
	}
	m.listChanged = m.listChanged || list.Full || len(list.Servers) > 0
}

// update passes on to the decision module what has changed in the fleet, and to the fleet what this node observed.
func (m *Module) update(now, bootTime time.Duration, role *Role, divisor float64, quotas *QuotaShares) (actions []balancer.Action) {
	if m.listChanged || !slices.Equal(m.order, role.Order) {
		m.assignSubsets(role)
	}
	m.adoptPending()
	// Each result is copied before the next call: the decision module may use its buffer again.
	actions = append(actions, m.updateRole(now, m.transition.Step(bootTime), role, divisor, quotas)...)
	m.reportDemand(bootTime)
	actions = append(actions, m.updateExclusions(now, bootTime)...)
	m.sendDigest(bootTime)
	return actions
}

// updateRole notifies the decision module of its position, subset, divisor and quotas, if any has changed.
func (m *Module) updateRole(now time.Duration, subset []string, role *Role, divisor float64, quotas *QuotaShares) []balancer.Action {
	current := position{agreed: role.Established, index: role.Index}
	if divisor == m.divisor && current == m.position && quotas == m.quotas && slices.Equal(subset, m.subset) {
		return nil
	}
	m.divisor = divisor
	m.position = current
	m.subset = subset
	m.quotas = quotas
	byTenant := quotas.ByTenant
	if math.IsInf(divisor, 1) {
		byTenant = nil // the share has expired, and with it what was borrowed
	}
	return m.decider.Handle(now, balancer.Fleet{
		Balancers: role.Established,
		Index:     role.Index,
		Divisor:   divisor,
		Subset:    subset,
		Quotas:    byTenant,
	})
}

// sendDigest sends the other members what this one observed of servers, if that is due: soon after a request has failed.
func (m *Module) sendDigest(bootTime time.Duration) {
	isDue := bootTime >= m.sentAt+digestInterval || m.urgent && bootTime >= m.sentAt+checkInterval
	if !isDue || len(m.order) < 2 {
		return
	}
	m.sentAt = bootTime
	m.urgent = false
	digest, ok := m.detector.Digest(bootTime)
	if mutations.digest != nil {
		digest, ok = mutations.digest(m), true
	}
	if ok {
		m.pool.send(digest, m.peers)
	}
}

// learner is a decision module whose estimates another one can go on with.
type learner interface {
	Knowledge() *balancer.Knowledge
	Learn(*balancer.Knowledge)
}

// Knowledge returns what the decision module has learned. It returns nil if that module does not tell.
func (m *Module) Knowledge() *balancer.Knowledge {
	if l, ok := m.decider.(learner); ok {
		return l.Knowledge()
	}
	return nil
}

// Learn has the decision module go on with what another one has learned, if it can.
func (m *Module) Learn(knowledge *balancer.Knowledge) {
	if l, ok := m.decider.(learner); ok {
		l.Learn(knowledge)
	}
}
