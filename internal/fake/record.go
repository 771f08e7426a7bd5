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
	Incarnation    int           // which life of the server, from 0
	Zone           string        // of the server
	Cell           int           // of the server
	FirstByteAt    time.Duration // when its first byte came
	LastByteAt     time.Duration // when its last byte came
	Ran            bool          // its effect happened
	Duplicate      bool          // its key was known, so it had no effect
	Unprocessed    bool          // it was turned away, and the answer says so and was written whole
	RequestBytes   int64         // of its body
	ResponseBytes  int64         // bytes of the answer's body, once that was written whole; -1: it was not
}

// Exchange is a request as its caller saw it.
type Exchange struct {
	ID, Key, Class string
	Stream         string // which of the callers' streams it belongs to
	SentAt         time.Duration
	Deadline       time.Duration // by which the answer must be there
	AnsweredAt     time.Duration // when the last byte of the answer came
	Status         int           // 0: no whole answer came
	RetryAfter     bool
	ForeignBody    bool   // a 200 whose body no server made for it
	SurplusBytes   bool   // bytes followed the answer that belong to no request
	Err            error  // of one without a whole answer
	Connected      bool   // a connection took it; else it was never accepted
	Resent         bool   // it was sent once more, for its connection had been closed meanwhile
	Process        string // the process that was asked, where there are several
}

// Outage is a time in which a process was dead or stopped, by the rig's own hand.
type Outage struct {
	Process  string
	From, To time.Duration // To 0: it lasts
	Crashed  bool          // it lost all that it had; else it went on with that
}

// Told is news of a server as the registry wrote it to the node.
type ListUpdate struct {
	List        string // the registry's name: the host whose requests its servers are for; "": all
	Server      string
	Withdrawn   bool // draining or removed; else serving
	Incarnation int
	At          time.Duration
}

// Start is a server's start or restart.
type ServerStart struct {
	Server      string
	Incarnation int
	At          time.Duration
	SlowStart   SlowStart
	Capacity    float64 // requests a second that it serves once warm
}

// Fall is a cold server that was pushed over.
type WarmupCrash struct {
	Server      string
	Incarnation int
	At          time.Duration
}

// Records are what the stand-ins of a run saw. They may be added to from many goroutines.
type Recorder struct {
	start time.Time

	mu            sync.Mutex // guards the slices
	Classes       map[string]Class
	arrivals      []*Arrival
	exchanges     []*Exchange
	updates       []ListUpdate
	starts        []ServerStart
	warmupCrashes []WarmupCrash
	outages       []Outage
}

// Out notes that a process is dead or stopped from now on, and Back that it is not any more.
func (r *Recorder) ProcessDown(via string, death bool) {
	at := r.Now()
	r.update(func() { r.outages = append(r.outages, Outage{Process: via, From: at, Crashed: death}) })
}

// Back ends the outages of a process.
func (r *Recorder) ProcessUp(via string) {
	at := r.Now()
	r.update(func() {
		for i := range r.outages {
			if o := &r.outages[i]; o.Process == via && o.To == 0 {
				o.To = at
			}
		}
	})
}

// NewRecords returns empty records whose clock starts now.
func NewRecorder(classes ...Class) *Recorder {
	r := &Recorder{start: time.Now(), Classes: map[string]Class{}}
	for _, c := range classes {
		r.Classes[c.Name] = c
	}
	return r
}

// Now is the time of the records' clock.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// update adds to or changes records under the lock.
func (r *Recorder) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *Recorder) recordArrival(a *Arrival) { r.update(func() { r.arrivals = append(r.arrivals, a) }) }

func (r *Recorder) recordExchange(x *Exchange) {
	r.update(func() { r.exchanges = append(r.exchanges, x) })
}

// Exchange notes a request that has ended, as its client saw it.
func (r *Recorder) RecordExchange(x Exchange) { r.recordExchange(&x) }

// Tell notes news that is being written to the node now.
func (r *Recorder) RecordUpdates(news ...ListUpdate) {
	at := r.Now()
	r.update(func() {
		for _, t := range news {
			t.At = at
			r.updates = append(r.updates, t)
		}
	})
}

// Recent are the latest arrivals, at most n.
func (r *Recorder) RecentArrivals(n int) (l []Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals[max(0, len(r.arrivals)-n):] {
		l = append(l, *a)
	}
	return l
}

// View is a copy of the records as they stand.
type History struct {
	Classes       map[string]Class
	Arrivals      []Arrival
	Exchanges     []Exchange
	Updates       []ListUpdate
	Starts        []ServerStart
	WarmupCrashes []WarmupCrash
	Outages       []Outage
}

// View copies the records, for an audit.
func (r *Recorder) History() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := History{
		Classes: r.Classes, Updates: append([]ListUpdate(nil), r.updates...),
		Starts: append([]ServerStart(nil), r.starts...), WarmupCrashes: append([]WarmupCrash(nil), r.warmupCrashes...), Outages: append([]Outage(nil), r.outages...),
	}
	for _, a := range r.arrivals {
		v.Arrivals = append(v.Arrivals, *a)
	}
	for _, x := range r.exchanges {
		v.Exchanges = append(v.Exchanges, *x)
	}
	return v
}
