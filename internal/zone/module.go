package zone

import (
	"sync/atomic"
	"time"

	"cranegrade/balancer"
)

// DecisionModule selects servers for the requests of a pool. It has the same methods as engine.Module.
type DecisionModule interface {
	Handle(now time.Duration, event balancer.Event) []balancer.Action
}

// Module wraps the decision module of a pool. It sets the permitted localities of each request, enforces the budgets, and
// accounts for the traffic between zones. It belongs to the goroutine of the pool's engine; only Localities may be called from
// any goroutine.
type Module struct {
	next              DecisionModule
	pool              string
	home              string
	selector          *Selector
	accounting        *Accounting
	localities        map[string]Locality // by server ID; includes some removed servers, which may still have calls in flight
	listed            map[string]bool     // IDs of the servers in the endpoint list
	openRequests      map[string]*openRequest
	maxAttempts       int64
	publishedStatus   atomic.Pointer[[]LocalityStatus]
	statusPublishedAt time.Duration
}

// openRequest is a request without a final response, or with attempts still in flight.
type openRequest struct {
	class        string
	customer     string
	from         string // zone of the client
	size         int64  // of the request body, in bytes
	attempts     []attempt
	inFlight     int
	answered     bool
	reservations map[string]trackedReservation // by destination zone
}

// trackedReservation is a budget reservation and the traffic charged to it so far.
type trackedReservation struct {
	reservation Reservation
	bytes       int64 // of bodies sent and received
	used        bool  // whether an attempt was written to the zone
}

// attempt is one attempt of an open request.
type attempt struct {
	server   string
	locality Locality
	sentAt   time.Duration
	ended    bool
}

// NewModule wraps the decision module of a pool. All modules of a process share one Accounting. Equal seeds and
// events give equal decisions.
func NewModule(next DecisionModule, pool string, config Config, accounting *Accounting, seed uint64) *Module {
	m := &Module{
		next:         next,
		pool:         pool,
		home:         config.Home,
		selector:     NewSelector(config, seed),
		accounting:   accounting,
		maxAttempts:  int64(max(1, config.MaxAttempts)),
		localities:   map[string]Locality{},
		listed:       map[string]bool{},
		openRequests: map[string]*openRequest{},
	}
	m.publishedStatus.Store(&[]LocalityStatus{})
	return m
}

// statusInterval is the interval at which the result of Localities is refreshed.
const statusInterval = time.Second

// Localities returns the most recently published state of the pool's localities. It may be called from any goroutine.
func (m *Module) Localities() []LocalityStatus { return *m.publishedStatus.Load() }

// Estimates returns the estimates of the wrapped decision module, for a tracer that wraps this Module.
func (m *Module) Estimates(servers int) balancer.Estimates {
	if estimator, ok := m.next.(interface {
		Estimates(int) balancer.Estimates
	}); ok {
		return estimator.Estimates(servers)
	}
	return balancer.Estimates{}
}

// Handle passes an event to the decision module and returns the resulting actions. To a request it first adds the
// permitted localities.
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

// removedServersKept bounds m.localities: it may exceed twice the number of listed servers by this many entries.
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

// forgetRemovedServers drops the localities of removed servers when there are too many. Attempts in flight store their own
// locality and don't need them.
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

// chooseLocalities returns the localities that a request may go to, and reserves budget for those in other zones.
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
				r.reservations = make(map[string]trackedReservation, 2)
			}
			r.reservations[to] = trackedReservation{reservation: reservation}
		}
		return ok
	})
	m.openRequests[request.ID] = r
	return localities
}

// attemptStarted records an attempt of an open request.
func (m *Module) attemptStarted(now time.Duration, send balancer.Send) {
	request := m.openRequests[send.ID]
	if request == nil {
		return
	}
	locality := m.localities[send.Server]
	request.attempts = append(request.attempts, attempt{server: send.Server, locality: locality, sentAt: now})
	request.inFlight++
	m.selector.AttemptStarted(now, locality)
}

// attemptEnded records the outcome of an attempt. It ignores unknown attempts and repeated outcomes.
func (m *Module) attemptEnded(now time.Duration, outcome balancer.Outcome) {
	request := m.openRequests[outcome.ID]
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

// accountFor adds an attempt to the account and to its reservation. The request must have been written completely.
func (m *Module) accountFor(now time.Duration, request *openRequest, attempt *attempt, outcome balancer.Outcome) {
	zone := attempt.locality.Zone
	if outcome.Server != attempt.server {
		// An external proxy sent the request to another server than the one chosen. Its zone is unknown if it is not listed.
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

// requestAnswered records that a request has its final response, or that its client has disconnected.
func (m *Module) requestAnswered(now time.Duration, id string) {
	if request := m.openRequests[id]; request != nil {
		request.answered = true
		m.closeIfDone(now, id, request)
	}
}

// closeIfDone settles the reservations of a request and removes it, once it is answered and has no attempt in flight.
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
	delete(m.openRequests, id)
}
