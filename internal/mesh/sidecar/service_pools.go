package sidecar

import (
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/mesh/retrybudget"
	"cranegrade/internal/mesh/routing"
	"cranegrade/internal/pool"
)

const (
	moduleTick          = 20 * time.Millisecond
	maxModuleRetryAfter = 500 * time.Millisecond
	maxModuleAttempts   = 8
	warmupPeriod        = 3 * time.Second // of a server that starts, unless its heartbeats report a longer one
	warmupStartWeight   = 0.5
	moduleWholeWeight   = 0.5
	moduleClassWeight   = 0.1
	// retryBudgetShare is the part of the configured ratio and minimum that sidecars use. The rest is for the calls that servers make again
	// when a request is retried, and for sidecars that have restarted and forgotten what they used.
	retryBudgetShare = 0.5
	// minSidecars is the smallest number of sidecars that the minimum of retries is divided by.
	minSidecars = 8
	// callsPerSlot is how many calls per slot of a server all sidecars together send before they hold any back. It is more than one because
	// sidecars do not all send the same load, and because a call that waits briefly at the server is served sooner than a rejected one.
	callsPerSlot = 2
)

// servicePools holds the services that routes send to, each with its own engine and decision module. A service that no route names any more
// stays, since requests that began with an older routing table may still use it.
type servicePools struct {
	env         *environment
	directory   *directoryView
	maintenance *maintenanceView
	upstreams   *upstreams
	budgets     *resourceBudgets
	byName      atomic.Pointer[map[string]*service] // a snapshot, replaced as a whole

	mu sync.Mutex // guards changes of byName, and the fields of services that say so
}

func newServicePools(env *environment, b *resourceBudgets, d *directoryView, m *maintenanceView, u *upstreams) *servicePools {
	p := &servicePools{
		env:         env,
		budgets:     b,
		directory:   d,
		maintenance: m,
		upstreams:   u,
	}
	p.byName.Store(&map[string]*service{})
	return p
}

// get returns the service of a name; nil: no route sends to it.
func (p *servicePools) get(name string) *service { return (*p.byName.Load())[name] }

// applyRouting opens a pool for each new service of a routing table, and updates the classes of the others. The caller holds the
// configuration's lock.
func (p *servicePools) applyRouting(table *routing.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := *p.byName.Load()
	next := make(map[string]*service, len(current))
	for name, s := range current {
		next[name] = s
	}
	for name, routes := range table.RoutesByService() {
		sort.Slice(routes, func(i, j int) bool { return routes[i].Name < routes[j].Name })
		if s := next[name]; s != nil {
			s.updateClasses(routes)
		} else {
			next[name] = p.openService(name, routes)
		}
	}
	p.byName.Store(&next)
}

func (p *servicePools) openService(name string, routes []*routing.Route) *service {
	s := &service{name: name, classes: map[string]balancer.Class{}}
	s.source = &directorySource{
		env:         p.env,
		directory:   p.directory,
		maintenance: p.maintenance,
		service:     name,
		changed:     make(chan struct{}, 1),
	}
	set := balancer.Settings{
		Balancers:     max(1, p.directory.table.Load().Len()),
		MaxAttempts:   maxModuleAttempts,
		Tick:          moduleTick,
		MaxRetryAfter: maxModuleRetryAfter,
		MayCancel:     true,
		WholeWeight:   moduleWholeWeight,
		ClassWeight:   moduleClassWeight,
		ColdFrom:      warmupStartWeight,
		WarmAfter:     warmupPeriod,
	}
	for _, class := range moduleClasses(name, routes) {
		s.classes[class.Name] = class
		set.Classes = append(set.Classes, class)
	}
	s.retryBudget = retrybudget.New(p.retryLimits())
	b := p.budgets
	var err error
	s.pool, err = pool.New(pool.Config{
		Name:     name,
		Settings: set,
		Seed:     rand.Uint64(),
		Clock:    p.env.clock,
		Sender:   p.upstreams,
		Source:   s.source,
		Pushed:   true,
		Shares: pool.Shares{
			Calls:           b.calls,
			PendingCalls:    b.held,
			Connections:     b.servers,
			RequestBodies:   b.bodies,
			ResponseBuffers: b.longAnswers,
		},
	})
	if err != nil { // the items were checked, so this is a fault of the program
		p.env.log.Error().Err(err).Str("service", name).Msg("pool can't be made")
		panic(err)
	}
	s.pool.Run()
	return s
}

// retryLimits returns this sidecar's part of the retry budget.
func (p *servicePools) retryLimits() retrybudget.Limits {
	b := p.env.settings.Load().Bounds
	sidecars := max(minSidecars, p.directory.table.Load().Len())
	return retrybudget.Limits{
		Window:     b.RetryWindowS.Duration(),
		Ratio:      b.RetryBudgetRatio * retryBudgetShare,
		MinRetries: math.Floor(b.RetrySlack * retryBudgetShare / float64(sidecars)),
	}
}

// refreshServices updates all services after a change of the directory or of the machines in maintenance.
func (p *servicePools) refreshServices() {
	limits := p.retryLimits()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range *p.byName.Load() {
		s.refresh(limits, p.positionFor(s.name))
	}
}

// fleetPosition is this sidecar's position among the sidecars that send to a service.
type fleetPosition struct {
	sidecars, index int
	serverCapacity  float64 // calls that a server takes at once
}

func (p *servicePools) positionFor(service string) fleetPosition {
	position := fleetPosition{}
	addr, slots, servers := p.env.addr(), 0, 0
	all := p.directory.table.Load().All()
	for i, r := range all {
		if r.Addr == addr {
			position.index = i
		}
		if r.Service == service && r.ServerID != "" {
			slots, servers = slots+int(r.Slots), servers+1
		}
	}
	position.sidecars = max(1, len(all))
	if servers > 0 {
		position.serverCapacity = callsPerSlot * float64(slots) / float64(servers)
	}
	return position
}
