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
	// moduleTickInterval is the interval of the decision module's timer events.
	moduleTickInterval = 20 * time.Millisecond
	// maxModuleRetryAfter is the longest Retry-After that the decision module returns with a rejection.
	maxModuleRetryAfter = 500 * time.Millisecond
	// maxModuleAttempts bounds the attempts that the decision module makes for one request. Routes and policies set
	// lower limits, which routedRequest.allowsAttempt enforces.
	maxModuleAttempts = 8
	// warmupPeriod is the duration of a server's slow start, unless its heartbeats report a longer one.
	// warmupStartWeight is the fraction of its full load that the server gets at the beginning.
	warmupPeriod      = 3 * time.Second
	warmupStartWeight = 0.5
	// moduleTotalWeight and moduleClassWeight are the weights, in load shedding, of the total value of served requests
	// and of the class that is served worst.
	moduleTotalWeight = 0.5
	moduleClassWeight = 0.1
	// retryBudgetShare is the fraction of the configured retry ratio and minimum that sidecars use. The rest is reserved
	// for the downstream calls that servers repeat when a request is retried, and for restarted sidecars, which no longer
	// know how much of their budget they had used.
	retryBudgetShare = 0.5
	// minSidecars is a lower bound of the number of sidecars by which the minimum of retries is divided.
	minSidecars = 8
	// callsPerSlot is the number of concurrent calls per server slot that all sidecars together send before they hold
	// further calls in their own queues. It is more than one because the load is unevenly distributed over the sidecars,
	// and because a call that waits briefly at the server is served sooner than a rejected one.
	callsPerSlot = 2
)

// servicePools owns the services that routes send to, each with its own engine and decision module. A service that
// routes no longer name is kept, since requests that began with an older routing table may still use it.
type servicePools struct {
	env         *environment
	directory   *directoryView
	maintenance *maintenanceView
	upstreams   *upstreams
	budgets     *resourceBudgets
	byName      atomic.Pointer[map[string]*service] // a snapshot, replaced as a whole

	mu sync.Mutex // guards changes of byName, and the fields of service that are marked so
}

func newServicePools(
	env *environment, budgets *resourceBudgets, directory *directoryView, maintenance *maintenanceView, upstreams *upstreams,
) *servicePools {
	p := &servicePools{
		env:         env,
		directory:   directory,
		maintenance: maintenance,
		upstreams:   upstreams,
		budgets:     budgets,
	}
	p.byName.Store(&map[string]*service{})
	return p
}

// get returns the service with a name, or nil if no route has ever sent to it.
func (p *servicePools) get(name string) *service { return (*p.byName.Load())[name] }

// applyRouting opens a pool for each new service of a routing table, and updates the classes of existing services. The
// caller holds the configuration's lock.
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
			continue
		}
		opened, err := p.openService(name, routes)
		if err != nil {
			// The items were validated, so this is a bug. Requests for the service are rejected; the others are served.
			p.env.log.Error().Err(err).Str("service", name).Msg("pool can't be made")
			continue
		}
		next[name] = opened
	}
	p.byName.Store(&next)
}

// openService opens the pool of a service and starts its engine. The error is that of the pool's settings. The caller
// holds mu.
func (p *servicePools) openService(name string, routes []*routing.Route) (*service, error) {
	s := &service{
		name:        name,
		classes:     map[string]balancer.Class{},
		retryBudget: retrybudget.New(p.retryLimits()),
	}
	s.source = &directorySource{
		env:         p.env,
		directory:   p.directory,
		maintenance: p.maintenance,
		service:     name,
		changed:     make(chan struct{}, 1),
	}
	settings := p.moduleSettings()
	for _, class := range moduleClasses(name, routes) {
		s.classes[class.Name] = class
		settings.Classes = append(settings.Classes, class)
	}
	var err error
	s.pool, err = pool.New(pool.Config{
		Name:     name,
		Settings: settings,
		Seed:     rand.Uint64(),
		Clock:    p.env.clock,
		Sender:   p.upstreams,
		Source:   s.source,
		Pushed:   true,
		Shares:   p.budgets.poolShares(),
	})
	if err != nil {
		return nil, err
	}
	s.pool.Run()
	return s, nil
}

// moduleSettings returns the settings of a new decision module, without classes.
func (p *servicePools) moduleSettings() balancer.Settings {
	return balancer.Settings{
		Balancers:     max(1, p.directory.table.Load().Len()),
		MaxAttempts:   maxModuleAttempts,
		Tick:          moduleTickInterval,
		MaxRetryAfter: maxModuleRetryAfter,
		MayCancel:     true,
		WholeWeight:   moduleTotalWeight,
		ClassWeight:   moduleClassWeight,
		ColdFrom:      warmupStartWeight,
		WarmAfter:     warmupPeriod,
	}
}

// retryLimits returns this sidecar's share of the retry budget of a service.
func (p *servicePools) retryLimits() retrybudget.Limits {
	bounds := p.env.settings.Load().Bounds
	sidecars := max(minSidecars, p.directory.table.Load().Len())
	return retrybudget.Limits{
		Window:     bounds.RetryWindowS.Duration(),
		Ratio:      bounds.RetryBudgetRatio * retryBudgetShare,
		MinRetries: math.Floor(bounds.RetrySlack * retryBudgetShare / float64(sidecars)),
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

// abandonWaiting answers the requests that are waiting for a server, because the sidecar is about to end.
func (p *servicePools) abandonWaiting() {
	for _, s := range *p.byName.Load() {
		s.pool.Engine().AbandonWaiting()
	}
}

// fleetPosition is this sidecar's position among the sidecars that send to a service.
type fleetPosition struct {
	sidecars       int     // number of sidecars in the directory, at least 1
	index          int     // of this sidecar in the directory, ordered by address
	serverCapacity float64 // mean number of concurrent calls per server from all sidecars together; 0 without servers
}

// positionFor returns this sidecar's position for a service, from the directory.
func (p *servicePools) positionFor(service string) (position fleetPosition) {
	addr := p.env.addr()
	slots, servers := 0, 0
	records := p.directory.table.Load().All()
	for i, record := range records {
		if record.Addr == addr {
			position.index = i
		}
		if record.Service == service && record.ServerID != "" {
			slots += int(record.Slots)
			servers++
		}
	}
	position.sidecars = max(1, len(records))
	if servers > 0 {
		position.serverCapacity = callsPerSlot * float64(slots) / float64(servers)
	}
	return position
}
