package zone

import (
	"sync/atomic"
	"time"

	"cranegrade/balancer"
)

// DecisionModule decides over the requests of a pool; engine.Module is the same.
type DecisionModule interface {
	Handle(now time.Duration, event balancer.Event) []balancer.Action
}

// Module wraps the decision module of a pool. It names in each request the localities that it may go to, keeps the budgets, and
// accounts for the traffic between zones. It belongs to the goroutine of the pool's engine; only Localities may be called from
// any goroutine.
type Module struct {
	next              DecisionModule
	pool              string
	home              string
	selector          *Selector
	accounting        *Accounting
	localities        map[string]Locality // of servers, by ID; also of some that were removed while they had calls
	listed            map[string]bool     // servers on the list, by ID
	open              map[string]*openRequest
	maxAttempts       int64
	publishedStatus   atomic.Pointer[[]LocalityStatus]
	statusPublishedAt time.Duration
}

// openRequest is a request that has no final answer yet, or attempts in flight.
type openRequest struct {
	class        string
	customer     string
	from         string // zone of the client
	size         int64  // of its body, in bytes
	attempts     []attempt
	inFlight     int
	answered     bool
	reservations map[string]spentReservation // by the zone that the request may cross to
}

// spentReservation is a reservation and what has been spent on it.
type spentReservation struct {
	reservation Reservation
	bytes       int64
	used        bool
}

// attempt is one attempt of an open request.
type attempt struct {
	server   string
	locality Locality
	sentAt   time.Duration
	ended    bool
}

// NewModule wraps the decision module of a pool. Modules of one process share the accounting. Equal seeds and events give equal
// decisions.
func NewModule(next DecisionModule, pool string, config Config, accounting *Accounting, seed uint64) *Module {
	m := &Module{
		next:        next,
		pool:        pool,
		home:        config.Home,
		selector:    NewSelector(config, seed),
		accounting:  accounting,
		maxAttempts: int64(max(1, config.MaxAttempts)),
		localities:  map[string]Locality{},
		listed:      map[string]bool{},
		open:        map[string]*openRequest{},
	}
	m.publishedStatus.Store(&[]LocalityStatus{})
	return m
}

// statusInterval is how old the result of Localities may be.
const statusInterval = time.Second

// Localities is the state of the pool's localities as of a moment ago. It may be called from any goroutine.
func (m *Module) Localities() []LocalityStatus { return *m.publishedStatus.Load() }

// Estimates returns the estimates of the wrapped decision module, for a trace around this one.
func (m *Module) Estimates(servers int) balancer.Estimates {
	if estimator, ok := m.next.(interface {
		Estimates(int) balancer.Estimates
	}); ok {
		return estimator.Estimates(servers)
	}
	return balancer.Estimates{}
}

// Handle passes an event on to the decision module, a request with the localities that it may go to, and returns its actions.
func (m *Module) Handle(now time.Duration, event balancer.Event) []balancer.Action {
	switch e := event.(type) {
	case balancer.ServerList:
		m.updateServers(now, e)
	case balancer.Request:
		e.Places = m.chooseLocalities(now, e)
		event = e
	case balancer.Outcome:
		m.attemptEnded(now, e)
	case balancer.ClientGone:
		m.requestAnswered(now, e.ID)
	}
	actions := m.next.Handle(now, event)
	for _, action := range actions {
		switch a := action.(type) {
		case balancer.Send:
			m.attemptStarted(now, a)
		case balancer.Reject:
			m.requestAnswered(now, a.ID)
		case balancer.Fail:
			m.requestAnswered(now, a.ID)
		}
	}
	if now >= m.statusPublishedAt+statusInterval {
		m.statusPublishedAt = now
		status := m.selector.Localities()
		m.publishedStatus.Store(&status)
	}
	return actions
}

// removedServersKept is how many more entries than twice the listed servers m.localities may have.
const removedServersKept = 64

// updateServers applies an update of the endpoint list.
func (m *Module) updateServers(now time.Duration, list balancer.ServerList) {
	if list.Full {
		clear(m.listed)
	}
	servers := make([]Server, 0, len(list.Servers))
	for _, server := range list.Servers {
		locality := Locality{Zone: server.Zone, Priority: server.Priority}
		if server.State == balancer.Gone {
			delete(m.listed, server.ID)
		} else {
			m.localities[server.ID] = locality
			m.listed[server.ID] = true
		}
		servers = append(servers, Server{
			ID:             server.ID,
			Locality:       locality,
			Size:           server.Size,
			StartedAt:      server.StartedAt,
			Ready:          server.State == balancer.Ready,
			LocalityWeight: server.Weight,
		})
	}
	m.selector.UpdateServers(now, list.Full, servers)
	m.forgetRemovedServers()
}

// forgetRemovedServers bounds what is kept of servers that were removed. Attempts in flight know their locality themselves.
func (m *Module) forgetRemovedServers() {
	if len(m.localities) <= 2*len(m.listed)+removedServersKept {
		return
	}
	for id := range m.localities {
		if !m.listed[id] {
			delete(m.localities, id)
		}
	}
}

// chooseLocalities decides where a request may go, and reserves the budget that it needs to cross.
func (m *Module) chooseLocalities(now time.Duration, request balancer.Request) []Locality {
	r := &openRequest{class: request.Class, customer: request.Tenant, from: request.From, size: request.Size}
	if !m.selector.KnowsZone(r.from) {
		r.from = m.home
	}
	outage := m.selector.ZoneFailed(r.from)
	localities := m.selector.Choose(now, r.from, r.class, func(to string) bool {
		reservation, ok := m.accounting.reserve(now, Pair{From: r.from, To: to}, r.class, m.maxAttempts*r.size, outage)
		if ok {
			if r.reservations == nil {
				r.reservations = make(map[string]spentReservation, 2)
			}
			r.reservations[to] = spentReservation{reservation: reservation}
		}
		return ok
	})
	m.open[request.ID] = r
	return localities
}

// attemptStarted records an attempt of an open request.
func (m *Module) attemptStarted(now time.Duration, send balancer.Send) {
	request := m.open[send.ID]
	if request == nil {
		return
	}
	locality := m.localities[send.Server]
	request.attempts = append(request.attempts, attempt{server: send.Server, locality: locality, sentAt: now})
	request.inFlight++
	m.selector.AttemptStarted(now, locality)
}

// attemptEnded records the outcome of an attempt. Outcomes of unknown attempts, and second ones, are ignored.
func (m *Module) attemptEnded(now time.Duration, outcome balancer.Outcome) {
	request := m.open[outcome.ID]
	if request == nil || outcome.Attempt < 0 || outcome.Attempt >= len(request.attempts) {
		return
	}
	attempt := &request.attempts[outcome.Attempt]
	if attempt.ended {
		return
	}
	attempt.ended = true
	request.inFlight--
	m.selector.AttemptEnded(now, attempt.locality, request.class, outcome.Ending, now-attempt.sentAt)
	if outcome.Wrote {
		m.accountFor(now, request, attempt, outcome)
	}
	if outcome.Ended {
		request.answered = true
	}
	m.closeIfDone(now, outcome.ID, request)
}

// accountFor accounts for an attempt whose request was written completely.
func (m *Module) accountFor(now time.Duration, request *openRequest, attempt *attempt, outcome balancer.Outcome) {
	zone := attempt.locality.Zone
	if outcome.Server != attempt.server {
		// A proxy that only asked for the decision sent it elsewhere. The zone is unknown if that server is not listed.
		zone = m.localities[outcome.Server].Zone
	}
	key := Key{
		Pair:     Pair{From: request.from, To: zone},
		Pool:     m.pool,
		Class:    request.class,
		Customer: request.customer,
	}
	m.accounting.Add(now, key, Traffic{Requests: 1, Out: outcome.Out, In: outcome.In})
	if spent, reserved := request.reservations[zone]; reserved {
		spent.used = true
		spent.bytes += outcome.Out + outcome.In
		request.reservations[zone] = spent
	}
}

// requestAnswered records that a request has its final answer, or that its client has left.
func (m *Module) requestAnswered(now time.Duration, id string) {
	if request := m.open[id]; request != nil {
		request.answered = true
		m.closeIfDone(now, id, request)
	}
}

// closeIfDone settles the reservations of a request that is answered and has no attempt in flight, and forgets it.
func (m *Module) closeIfDone(now time.Duration, id string, request *openRequest) {
	if !request.answered || request.inFlight > 0 {
		return
	}
	for to, spent := range request.reservations {
		requests := int64(0)
		if spent.used {
			requests = 1
		}
		m.accounting.settle(now, Pair{From: request.from, To: to}, spent.reservation, requests, spent.bytes)
	}
	delete(m.open, id)
}
