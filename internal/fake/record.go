// Package fake plays what stands outside the program: servers, the registry and callers, on
// loopback, from the protocol's page. Each writes down what it saw with the times of one clock; what
// the program says of itself is not asked. Package audit judges these records.
package fake

import (
	"sync"
	"time"
)

// Effect says what a request's class promises, as in the protocol.
type Effect int

// Effects.
const (
	Unsafe Effect = iota
	Keyed
	Safe
)

// Scope is which servers drop the repeats of a key.
type Scope int

// Scopes, from the narrowest.
const (
	ScopeCell Scope = iota
	ScopeZone
	ScopeAll
)

// Class is a class of requests as callers and servers know it.
type Class struct {
	Name     string
	Effect   Effect
	Scope    Scope         // for Keyed
	Window   time.Duration // for Keyed
	Deadline time.Duration
}

// Arrival is a request that reached a server whole.
type Arrival struct {
	ID, Key, Class string
	Host, Path     string        // that the caller named
	Server         string        // its id
	Boot           int           // which life of the server, from 0
	Zone           string        // of the server
	Cell           int           // of the server
	First          time.Duration // when its first byte came
	Last           time.Duration // when its last byte came
	Ran            bool          // its effect happened
	Repeat         bool          // its key was known, so it had no effect
	Unprocessed    bool          // it was turned away, and the answer says so and was written whole
	Bytes          int64         // of its body
	Answered       int64         // bytes of the answer's body, once that was written whole; -1: it was not
}

// Exchange is a request as its caller saw it.
type Exchange struct {
	ID, Key, Class string
	Stream         string // which of the callers' streams it belongs to
	Sent           time.Duration
	Deadline       time.Duration // by which the answer must be there
	Answered       time.Duration // when the last byte of the answer came
	Status         int           // 0: no whole answer came
	RetryAfter     bool
	Foreign        bool   // a 200 whose body no server made for it
	Surplus        bool   // bytes followed the answer that belong to no request
	Err            error  // of one without a whole answer
	Connected      bool   // a connection took it; else it was never accepted
	Crossed        bool   // it was sent once more, for its connection had been closed meanwhile
	Via            string // the process that was asked, where there are several
}

// Outage is a time in which a process was dead or stopped, by the rig's own hand.
type Outage struct {
	Via      string
	From, To time.Duration // To 0: it lasts
	Death    bool          // it lost all that it had; else it went on with that
}

// Told is news of a server as the registry wrote it to the node.
type Told struct {
	List   string // the registry's name: the host whose requests its servers are for; "": all
	Server string
	Gone   bool // draining or removed; else serving
	Boot   int
	At     time.Duration
}

// Start is a server's start or restart.
type Start struct {
	Server   string
	Boot     int
	At       time.Duration
	Cold     Cold
	Capacity float64 // requests a second that it serves once warm
}

// Fall is a cold server that was pushed over.
type Fall struct {
	Server string
	Boot   int
	At     time.Duration
}

// Records are what the stand-ins of a run saw. They may be added to from many goroutines.
type Records struct {
	start time.Time

	mu        sync.Mutex // guards the slices
	Classes   map[string]Class
	arrivals  []*Arrival
	exchanges []*Exchange
	told      []Told
	starts    []Start
	falls     []Fall
	outages   []Outage
}

// Out notes that a process is dead or stopped from now on, and Back that it is not any more.
func (r *Records) Out(via string, death bool) {
	at := r.Now()
	r.update(func() { r.outages = append(r.outages, Outage{Via: via, From: at, Death: death}) })
}

// Back ends the outages of a process.
func (r *Records) Back(via string) {
	at := r.Now()
	r.update(func() {
		for i := range r.outages {
			if o := &r.outages[i]; o.Via == via && o.To == 0 {
				o.To = at
			}
		}
	})
}

// NewRecords returns empty records whose clock starts now.
func NewRecords(classes ...Class) *Records {
	r := &Records{start: time.Now(), Classes: map[string]Class{}}
	for _, c := range classes {
		r.Classes[c.Name] = c
	}
	return r
}

// Now is the time of the records' clock.
func (r *Records) Now() time.Duration { return time.Since(r.start) }

// update adds to or changes records under the lock.
func (r *Records) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *Records) arrive(a *Arrival) { r.update(func() { r.arrivals = append(r.arrivals, a) }) }

func (r *Records) exchange(x *Exchange) { r.update(func() { r.exchanges = append(r.exchanges, x) }) }

// Exchange notes a request that has ended, as its client saw it.
func (r *Records) Exchange(x Exchange) { r.exchange(&x) }

// Tell notes news that is being written to the node now.
func (r *Records) Tell(news ...Told) {
	at := r.Now()
	r.update(func() {
		for _, t := range news {
			t.At = at
			r.told = append(r.told, t)
		}
	})
}

// Recent are the latest arrivals, at most n.
func (r *Records) Recent(n int) (l []Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals[max(0, len(r.arrivals)-n):] {
		l = append(l, *a)
	}
	return l
}

// View is a copy of the records as they stand.
type View struct {
	Classes   map[string]Class
	Arrivals  []Arrival
	Exchanges []Exchange
	Told      []Told
	Starts    []Start
	Falls     []Fall
	Outages   []Outage
}

// View copies the records, for an audit.
func (r *Records) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := View{
		Classes: r.Classes, Told: append([]Told(nil), r.told...),
		Starts: append([]Start(nil), r.starts...), Falls: append([]Fall(nil), r.falls...), Outages: append([]Outage(nil), r.outages...),
	}
	for _, a := range r.arrivals {
		v.Arrivals = append(v.Arrivals, *a)
	}
	for _, x := range r.exchanges {
		v.Exchanges = append(v.Exchanges, *x)
	}
	return v
}
