package zone

import (
	"sync/atomic"
	"time"

	"cranegrade/balancer"
)

// Decider is a decision module; engine.Module is the same.
type Decider interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
}

// Module stands between an engine and its decision module: it names in each request the places that it may go to,
// keeps the budgets, and accounts for what crosses. It belongs to the engine's goroutine; Views may be read from any.
type Module struct {
	next        Decider
	pool        string
	home        string
	spreader    *Spreader
	book        *Book
	places      map[string]Place // of servers, also of those that have left with calls of ours out
	listed      map[string]bool
	open        map[string]*openRequest
	maxAttempts int64
	views       atomic.Pointer[[]View]
	viewsAt     time.Duration
}

// openRequest is an open request.
type openRequest struct {
	class, customer, from string
	size                  int64
	attempts              []attempt
	inFlight              int
	answered              bool
	reservations          map[string]reservation // reservations, by the zone that it may cross to
}

// reservation is a reservation and what was spent on it.
type reservation struct {
	budget Reservation
	bytes  int64
	used   bool
}

// attempt is an attempt.
type attempt struct {
	server string
	place  Place
	sent   time.Duration
	ended  bool
}

// NewModule returns a module of a pool that asks in.
func NewModule(in Decider, pool string, cfg Config, book *Book, seed uint64) *Module {
	m := &Module{
		next: in, pool: pool, home: cfg.Home, spreader: NewSpreader(cfg, seed), book: book,
		maxAttempts: int64(max(1, cfg.Tries)), places: map[string]Place{}, listed: map[string]bool{}, open: map[string]*openRequest{},
	}
	m.views.Store(&[]View{})
	return m
}

// Views is what is held of each place, as of a moment ago.
func (m *Module) Views() []View { return *m.views.Load() }

// Beliefs are those of the module within, for a trace round this one.
func (m *Module) Beliefs(servers int) balancer.Beliefs {
	if b, is := m.next.(interface {
		Beliefs(int) balancer.Beliefs
	}); is {
		return b.Beliefs(servers)
	}
	return balancer.Beliefs{}
}

// viewInterval is how old Views may be.
const viewInterval = time.Second

// Handle takes an event and passes it on, a request with its places.
func (m *Module) Handle(now time.Duration, e balancer.Event) []balancer.Action {
	switch x := e.(type) {
	case balancer.ServerList:
		m.updateServers(now, x)
	case balancer.Request:
		x.Places = m.choosePlaces(now, x)
		e = x
	case balancer.Outcome:
		m.attemptEnded(now, x)
	case balancer.ClientGone:
		m.requestAnswered(now, x.ID)
	}
	actions := m.next.Handle(now, e)
	for _, a := range actions {
		switch a := a.(type) {
		case balancer.Send:
			m.attemptStarted(now, a)
		case balancer.Reject:
			m.requestAnswered(now, a.ID)
		case balancer.Fail:
			m.requestAnswered(now, a.ID)
		}
	}
	if now >= m.viewsAt+viewInterval {
		m.viewsAt = now
		l := m.spreader.Views()
		m.views.Store(&l)
	}
	return actions
}

func (m *Module) updateServers(now time.Duration, x balancer.ServerList) {
	if x.Full {
		clear(m.listed)
	}
	l := make([]Server, 0, len(x.Servers))
	for _, s := range x.Servers {
		p := Place{Zone: s.Zone, Priority: s.Priority}
		if s.State == balancer.Gone {
			delete(m.listed, s.ID)
		} else {
			m.places[s.ID], m.listed[s.ID] = p, true
		}
		l = append(l, Server{ID: s.ID, Place: p, Size: s.Size, Boot: s.StartedAt, Ready: s.State == balancer.Ready, Weight: s.Weight})
	}
	m.spreader.Servers(now, x.Full, l)
	if len(m.places) > 2*len(m.listed)+64 { // those that left; what is out at them knows its own place
		for id := range m.places {
			if !m.listed[id] {
				delete(m.places, id)
			}
		}
	}
}

// choosePlaces decides where a request may go, and reserves what it may cross for.
func (m *Module) choosePlaces(now time.Duration, x balancer.Request) []Place {
	c := &openRequest{class: x.Class, customer: x.Tenant, from: x.From, size: x.Size}
	if !m.spreader.Knows(c.from) {
		c.from = m.home
	}
	out := m.spreader.Out(c.from)
	l := m.spreader.Choose(now, c.from, c.class, func(to string) bool {
		r, ok := m.book.reserve(now, Pair{c.from, to}, c.class, m.maxAttempts*c.size, out)
		if ok {
			if c.reservations == nil {
				c.reservations = make(map[string]reservation, 2)
			}
			c.reservations[to] = reservation{budget: r}
		}
		return ok
	})
	m.open[x.ID] = c
	return l
}

func (m *Module) attemptStarted(now time.Duration, a balancer.Send) {
	c := m.open[a.ID]
	if c == nil {
		return
	}
	p := m.places[a.Server]
	c.attempts = append(c.attempts, attempt{server: a.Server, place: p, sent: now})
	c.inFlight++
	m.spreader.Began(now, p)
}

func (m *Module) attemptEnded(now time.Duration, x balancer.Outcome) {
	c := m.open[x.ID]
	if c == nil || x.Attempt < 0 || x.Attempt >= len(c.attempts) || c.attempts[x.Attempt].ended {
		return
	}
	a := &c.attempts[x.Attempt]
	a.ended = true
	c.inFlight--
	place := a.place
	if x.Server != a.server { // a proxy sent it elsewhere than told; where is unknown if that is not listed
		place = m.places[x.Server]
	}
	m.spreader.Ended(now, a.place, c.class, x.Ending, now-a.sent)
	if x.Wrote {
		m.book.Add(now, Key{Pair: Pair{c.from, place.Zone}, Pool: m.pool, Class: c.class, Customer: c.customer},
			Traffic{1, x.Out, x.In})
		if h, is := c.reservations[place.Zone]; is {
			h.used = true
			h.bytes += x.Out + x.In
			c.reservations[place.Zone] = h
		}
	}
	if x.Ended {
		c.answered = true
	}
	m.releaseIfDone(now, x.ID, c)
}

// requestAnswered notes that a request has its answer, or that nobody wants one.
func (m *Module) requestAnswered(now time.Duration, id string) {
	if c := m.open[id]; c != nil {
		c.answered = true
		m.releaseIfDone(now, id, c)
	}
}

// releaseIfDone settles what an ended request holds.
func (m *Module) releaseIfDone(now time.Duration, id string, c *openRequest) {
	if !c.answered || c.inFlight > 0 {
		return
	}
	for to, h := range c.reservations {
		requests := int64(0)
		if h.used {
			requests = 1
		}
		m.book.settle(now, Pair{c.from, to}, h.budget, requests, h.bytes)
	}
	delete(m.open, id)
}
