package fake

import (
	"slices"
	"sync"
	"time"
)

// Recorder collects what the fakes of one run saw. All methods may be called from any goroutine.
type Recorder struct {
	Classes map[string]Class // by name; not changed after NewRecorder
	start   time.Time

	mu            sync.Mutex // guards the fields below, and what arrivals and exchanges point to
	arrivals      []*Arrival
	exchanges     []*Exchange
	updates       []ListUpdate
	starts        []ServerStart
	warmupCrashes []WarmupCrash
	outages       []Outage
}

// NewRecorder returns an empty recorder whose clock starts now.
func NewRecorder(classes ...Class) *Recorder {
	r := &Recorder{start: time.Now(), Classes: map[string]Class{}}
	for _, c := range classes {
		r.Classes[c.Name] = c
	}
	return r
}

// Now is the time since the recorder was created.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// ProcessDown records that a process is killed or stopped from now on; crashed says that it loses its state.
func (r *Recorder) ProcessDown(name string, crashed bool) {
	at := r.Now()
	r.update(func() { r.outages = append(r.outages, Outage{Process: name, From: at, Crashed: crashed}) })
}

// ProcessUp ends all outages of a process that last.
func (r *Recorder) ProcessUp(name string) {
	at := r.Now()
	r.update(func() {
		for i := range r.outages {
			if o := &r.outages[i]; o.Process == name && o.To == 0 {
				o.To = at
			}
		}
	})
}

// RecordExchange records a request that has ended, as its caller saw it.
func (r *Recorder) RecordExchange(x Exchange) { r.recordExchange(&x) }

// RecordUpdates records updates that are being written to the program now. Their times are filled in.
func (r *Recorder) RecordUpdates(updates ...ListUpdate) {
	at := r.Now()
	r.update(func() {
		for _, u := range updates {
			u.At = at
			r.updates = append(r.updates, u)
		}
	})
}

// RecentArrivals returns the latest arrivals, at most n.
func (r *Recorder) RecentArrivals(n int) (recent []Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals[max(0, len(r.arrivals)-n):] {
		recent = append(recent, *a)
	}
	return recent
}

// History copies what has been recorded so far.
func (r *Recorder) History() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := History{
		Classes:       r.Classes,
		Updates:       slices.Clone(r.updates),
		Starts:        slices.Clone(r.starts),
		WarmupCrashes: slices.Clone(r.warmupCrashes),
		Outages:       slices.Clone(r.outages),
	}
	for _, a := range r.arrivals {
		h.Arrivals = append(h.Arrivals, *a)
	}
	for _, x := range r.exchanges {
		h.Exchanges = append(h.Exchanges, *x)
	}
	return h
}

func (r *Recorder) recordArrival(a *Arrival) {
	r.update(func() { r.arrivals = append(r.arrivals, a) })
}

func (r *Recorder) recordExchange(x *Exchange) {
	r.update(func() { r.exchanges = append(r.exchanges, x) })
}

// update runs f, which adds to the records or changes them, under the lock.
func (r *Recorder) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}
