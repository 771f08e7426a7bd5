package sidecar

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/retrybudget"
	"cranegrade/internal/mesh/routing"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/pool"
)

// Figures of a pool.
const (
	moduleTick          = 20 * time.Millisecond
	maxModuleRetryAfter = 500 * time.Millisecond
	warmupPeriod        = 3 * time.Second // in which a server that starts gets quick, where its beats tell no longer one
	warmupStartWeight   = 0.5
	maxModuleAttempts   = 8
	// retryBudgetShare is the part of the rule's ratio and slack that lines use up: what servers call anew when a request runs again
	// counts too, and a line that starts again has forgotten what it used.
	retryBudgetShare = 0.5
	// minSidecars is the least number of lines that the slack is divided by.
	minSidecars = 8
	// policyRetryWindow is what namespaces' ratios of further tries are counted over, of as many routes as mostRuled at a time.
	policyRetryWindow = 10 * time.Second
	maxPolicyBudgets  = 4096
)

// resourceBudgets bound what the process holds.
type resourceBudgets struct {
	calls, held, bodies, longAnswers, callers, servers, toServer *pool.Share
}

func newResourceBudgets(set settings.Settings) *resourceBudgets {
	share := func(total int64) *pool.Share {
		b := pool.NewBudget(total)
		s := b.NewShare()
		b.Configure(total, map[*pool.Share]pool.Quota{s: {}})
		return s
	}
	fds := int64(set.Limits.MaxFds)
	if fds == 0 {
		fds = 4096
	}
	fds = max(128, fds-256) // for files, trunks and calls
	memory := int64(set.Limits.MemoryMB) << 20
	if memory == 0 {
		memory = 256 << 20
	}
	return &resourceBudgets{calls: share(4096), held: share(1024), bodies: share(memory / 4), longAnswers: share(memory / 8),
		callers: share(fds * 3 / 4), servers: share(fds / 4), toServer: share(memory / 8)}
}

// servicePools are the services that routes send to, each with an engine and a module of its own. One that no route names any
// more stays, idle: a request that began with an older plan may still be in it.
type servicePools struct {
	sidecar *Sidecar
	budgets *resourceBudgets
	byName  atomic.Pointer[map[string]*service] // a snapshot

	mu sync.Mutex // guards changes
}

// service is one pool with what the line knows of it.
type service struct {
	name     string
	pool     *pool.Pool
	source   *directorySource
	classes  map[string]balancer.Class // told to its module
	position fleetPosition             // the same

	mu            sync.Mutex // guards below
	retryBudget   *retrybudget.Budget
	policyBudgets map[string]*retrybudget.Budget // by route: of those that a namespace's rule bounds besides
}

func newServicePools(l *Sidecar, b *resourceBudgets) *servicePools {
	p := &servicePools{sidecar: l, budgets: b}
	p.byName.Store(&map[string]*service{})
	return p
}

// get is a service's; nil: no route sends to it.
func (p *servicePools) get(name string) *service { return (*p.byName.Load())[name] }

// priorityAndTimeout is a route's among those to a service, and limit its longest time.
func priorityAndTimeout(r *routing.Route, service string) (rank int, limit time.Duration) {
	if m := r.PolicyDecision(service); m != nil {
		return m.Priority, m.Timeout
	}
	return r.Priority, r.Timeout
}

// moduleClasses are what the routes to a service are to its module. Those above the lowest rank are not held back
// for its sake: work that was let in may wait for them, and would be lost.
func moduleClasses(service string, routes []*routing.Route) (l []balancer.Class) {
	lowest := 0
	for _, r := range routes {
		priority, _ := priorityAndTimeout(r, service)
		lowest = max(lowest, priority)
	}
	for _, r := range routes {
		c := moduleClass(service, r)
		priority, _ := priorityAndTimeout(r, service)
		c.First = priority < lowest
		l = append(l, c)
	}
	return l
}

func moduleClass(service string, r *routing.Route) balancer.Class {
	priority, limit := priorityAndTimeout(r, service)
	aim := min(r.LatencyTarget, limit)
	c := balancer.Class{Name: r.Name, Aim: aim, Deadline: limit, LateShare: 1, Worth: 1 / float64(1+priority), Typical: aim / 2}
	if r.Kind.IsIdempotent() {
		c.Effect = balancer.Safe
	}
	return c
}

// applyRouting has each service of a plan have its pool and know its routes. The caller holds the line's lock.
func (p *servicePools) applyRouting(plan *routing.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	had := *p.byName.Load()
	next := make(map[string]*service, len(had))
	for n, s := range had {
		next[n] = s
	}
	for name, routes := range plan.RoutesByService() {
		sort.Slice(routes, func(i, j int) bool { return routes[i].Name < routes[j].Name })
		s := next[name]
		if s == nil {
			s = p.openService(name, routes)
			next[name] = s
			continue
		}
		var news []balancer.Class
		for _, c := range moduleClasses(name, routes) {
			if s.classes[c.Name] != c {
				s.classes[c.Name] = c
				news = append(news, c)
			}
		}
		if len(news) > 0 {
			go s.pool.Engine().Tell(balancer.Classes{Classes: news})
		}
	}
	p.byName.Store(&next)
}

func (p *servicePools) openService(name string, routes []*routing.Route) *service {
	l := p.sidecar
	s := &service{name: name, classes: map[string]balancer.Class{}, source: &directorySource{sidecar: l, service: name, changed: make(chan struct{}, 1)}}
	set := balancer.Settings{Balancers: max(1, l.directory.Load().Len()), MaxAttempts: maxModuleAttempts, Tick: moduleTick, MaxRetryAfter: maxModuleRetryAfter,
		MayCancel: true, WholeWeight: 0.5, ClassWeight: 0.1, ColdFrom: warmupStartWeight, WarmAfter: warmupPeriod}
	for _, c := range moduleClasses(name, routes) {
		s.classes[c.Name] = c
		set.Classes = append(set.Classes, c)
	}
	s.retryBudget = retrybudget.New(p.retryRule())
	b := p.budgets
	var err error
	s.pool, err = pool.New(pool.Config{Name: name, Settings: set, Seed: rand.Uint64(), Clock: l.clock, Sender: l.upstreams, Source: s.source, Pushed: true,
		Shares: pool.Shares{Calls: b.calls, Held: b.held, Connections: b.servers, Bodies: b.bodies, LongAnswers: b.longAnswers, Callers: nil}})
	if err != nil { // the items were checked, so this is a fault of the program
		l.log.Error().Err(err).Str("service", name).Msg("pool")
		panic(err)
	}
	s.pool.Run()
	return s
}

// retryRule is this line's part of the budget of further tries.
func (p *servicePools) retryRule() retrybudget.Limits {
	b := p.sidecar.settings.Load().Bounds
	lines := max(minSidecars, p.sidecar.directory.Load().Len())
	return retrybudget.Limits{Window: b.RetryWindowS.Duration(), Ratio: b.RetryBudgetRatio * retryBudgetShare, MinRetries: math.Floor(b.RetrySlack * retryBudgetShare / float64(lines))}
}

// admitAttempt counts an attempt that is about to go out, the nth of its request from 0; false: the budget allows no more, or the
// rule that holds for it.
func (s *service) admitAttempt(now time.Duration, nth int, o *routedRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ruled *retrybudget.Budget
	if o.policy != nil && !math.IsInf(o.policy.RetryRatio, 1) {
		rule := retrybudget.Limits{Window: policyRetryWindow, Ratio: o.policy.RetryRatio}
		if ruled = s.policyBudgets[o.route.Name]; ruled == nil {
			if s.policyBudgets == nil || len(s.policyBudgets) > maxPolicyBudgets {
				s.policyBudgets = map[string]*retrybudget.Budget{}
			}
			ruled = retrybudget.New(rule)
			s.policyBudgets[o.route.Name] = ruled
		}
		ruled.SetLimits(rule)
	}
	if nth == 0 {
		s.retryBudget.RecordRequest(now)
		if ruled != nil {
			ruled.RecordRequest(now)
		}
		return true
	}
	return (ruled == nil || ruled.AllowRetry(now)) && s.retryBudget.AllowRetry(now)
}

// refreshServices tells the services that the directory has changed.
func (p *servicePools) refreshServices() {
	rule := p.retryRule()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range *p.byName.Load() {
		s.mu.Lock()
		s.retryBudget.SetLimits(rule)
		s.mu.Unlock()
		if fleet := p.positionFor(s.name); s.position != fleet {
			s.position = fleet
			go s.pool.Engine().Tell(balancer.Fleet{Balancers: fleet.sidecars, Index: fleet.index, Divisor: max(1, float64(fleet.sidecars)/2), Whole: true, Takes: fleet.serverCapacity})
		}
		select {
		case s.source.changed <- struct{}{}:
		default:
		}
	}
}

// fleetPosition is this line's among those that send to a service.
type fleetPosition struct {
	sidecars, index int
	serverCapacity  float64 // calls that a server takes at once
}

// callsPerSlot is how many calls for each of its slots a server takes from all lines together before any is held back: lines are
// not asked for alike, and what waits a moment at the server is served sooner than what is sent away.
const callsPerSlot = 2

func (p *servicePools) positionFor(service string) fleetPosition {
	f := fleetPosition{sidecars: 1}
	addr, slots, servers := p.sidecar.Addr(), 0, 0
	all := p.sidecar.directory.Load().All()
	for i, r := range all {
		if r.Addr == addr {
			f.index = i
		}
		if r.Service == service && r.ServerID != "" {
			slots, servers = slots+int(r.Slots), servers+1
		}
	}
	f.sidecars = max(1, len(all))
	if servers > 0 {
		f.serverCapacity = callsPerSlot * float64(slots) / float64(servers)
	}
	return f
}

// directorySource is a service's servers, from the directory. It implements engine.Source.
type directorySource struct {
	sidecar *Sidecar
	service string
	changed chan struct{}
	version atomic.Uint64
}

// String implements engine.Source.
func (s *directorySource) String() string { return "the directory" }

// Follow implements engine.Source: the whole list, and again with each change.
func (s *directorySource) Follow(ctx context.Context, _ string, news func(engine.News)) error {
	var last []engine.Listed
	for first := true; ; first = false {
		l := s.servers()
		if first || !slices.Equal(l, last) {
			last = l
			s.sidecar.log.Info().Str("service", s.service).Int("servers", len(l)).Msg("list")
			news(engine.News{Full: true, Version: strconv.FormatUint(s.version.Add(1), 10), Servers: slices.Clone(l)})
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// servers is the service's servers that can be sent to or are about to leave.
func (s *directorySource) servers() (l []engine.Listed) {
	for _, r := range s.sidecar.directory.Load().All() {
		if r.Service != s.service || r.ServerID == "" || r.State == directory.ServerNone || r.State == directory.ServerDown {
			continue
		}
		x := engine.Listed{Server: balancer.Server{ID: r.ServerID, Zone: r.Zone, State: balancer.Ready}, Addr: r.Addr}
		if r.State == directory.ServerDraining || r.Leaving || s.sidecar.isInMaintenance(r.Addr) {
			x.State = balancer.Draining
		}
		if r.WarmAt > 0 {
			x.Boot = r.WarmAt - warmupPeriod
		}
		l = append(l, x)
	}
	return l
}
