// Package emulator plays a chain of services in simulated time: open-loop callers, nodes that each host
// a decider, and servers that slow down under load, fall over their queue and go on working for callers
// that have left. It is pure: one seed, one course of events, no clock, goroutine or I/O, so that an
// overload of minutes takes milliseconds and can be drawn by the thousand, and a fleet of eighty nodes
// takes seconds.
//
// A World is built from a Plan and played once. What it shows is the order of things that overload
// depends on: work is shared among the requests that a server runs, a request waits in the queue with
// its time running, a caller that gives up does not stop the work unless the server looks, and a server
// of one tier is the caller of the next. Servers of the first tier may drain, leave and start cold, and
// nodes learn it from a discovery that takes calls one after another. It has no connections: those are the
// drills', on real sockets.
package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cranegrade/balancer"
)

// Decider decides for one node; *balancer.Balancer is one.
type Decider interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
}

// Dist is a distribution of work around a mean of 1.
type Dist struct {
	Kind string  // fixed, exp, lognormal, pareto
	CV   float64 // of lognormal and pareto: deviation over mean; over 1 is a heavy tail
}

// draw returns one value with the mean 1.
func (d Dist) draw(r *rand.Rand) float64 {
	switch d.Kind {
	case "exp":
		return r.ExpFloat64()
	case "lognormal":
		s2 := math.Log(1 + d.CV*d.CV)
		return math.Exp(r.NormFloat64()*math.Sqrt(s2) - s2/2)
	case "pareto":
		// The shape a gives CV^2 = 1/(a(a-2)).
		a := 1 + math.Sqrt(1+1/(d.CV*d.CV))
		return (a - 1) / a * math.Pow(1-r.Float64(), -1/a)
	}
	return 1
}

// Class is a kind of request.
type Class struct {
	balancer.Class
	Share float64         // of the requests
	Work  []time.Duration // mean work at each tier, on a server of speed 1
	Dist  Dist
	// Tenant is who asks. Several entries may be of one class, each for a tenant.
	Tenant string
}

// Key names the class and tenant in World.Classes.
func (c Class) Key() string {
	if c.Tenant == "" {
		return c.Name
	}
	return c.Name + "/" + c.Tenant
}

// Slowdown is how a server gets slower under load.
type Slowdown struct {
	Kind   string        // "": not; proportional, cliff, delayed
	At     float64       // requests held from which it sets in
	Factor float64       // proportional: what each one beyond adds; else how many times slower
	Over   time.Duration // delayed: the mean over this span counts
	Below  float64       // delayed: share of busy time under which it rests
	Rest   time.Duration // delayed: rest that ends it
	Most   time.Duration // delayed: ends by itself; 0: never
}

// Tier is a service: servers, and the nodes that call them. The first tier's nodes are Nodes many; every
// server of a tier but the last hosts a node for its own calls.
type Tier struct {
	Servers  int
	Cores    float64 // 0: 1
	Slots    int     // requests in work at a time
	Queue    int     // and waiting
	Slowdown Slowdown
	Looks    bool // drops a queued request whose caller has left
	Calls    int  // one after the other to the next tier; 0: 1
	Admits   bool // its nodes hold back by themselves, as those of the first tier do
	Cold     Cold
	Settings balancer.Settings
}

// Plan is what is played.
type Plan struct {
	Seed    uint64
	Tiers   []Tier
	Nodes   int // of the first tier; 0: 1
	Classes []Class
	Rate    func(at time.Duration) float64 // requests a second offered
	Most    float64                        // the highest Rate
	Length  time.Duration                  // until the last arrival
	Retries int                            // a caller's, after a refusal, on its advice
	Wire    time.Duration                  // one way between a node and a server
	Decider func(tier, index int, set balancer.Settings) Decider
	At      []Change
	Begin   func(*World) // called before anything else, for deciders that need the world; nil: nothing is
	// Discovery tells the first tier's nodes of its servers; nil: they know of every change at once.
	Discovery *Discovery
}

// Change is something done to the world at a time.
type Change struct {
	At time.Duration
	Do func(*World)
}

// Second is what became of the requests that arrived in one second.
type Second struct {
	Offered, Good, Late, Refused, Failed int
	WorkDone, WorkWasted                 float64 // seconds of work that ended in it, and of that for nobody
}

// Tally is what became of a class's requests.
type Tally struct{ Offered, Good int }

// World is a plan being played.
type World struct {
	plan    Plan
	rng     *rand.Rand
	now     time.Duration
	events  queue
	seq     uint64
	tiers   [][]*Server
	fronts  []*node
	nextID  int
	open    int
	Seconds []Second
	Classes map[string]*Tally
	Slowest time.Duration // longest that a caller waited for an answer, over its deadline; 0: none over
	// Broken is what must never happen: an answer twice, an unsafe request run twice, a drain not kept, a cold
	// server pushed over.
	Broken   []string
	FellOver int // cold servers
	registry registry
	started  int // servers beyond the first
}

// Play plays a plan to its end: until all is answered.
func Play(p Plan) (*World, error) {
	w := &World{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 0xe301)), Classes: map[string]*Tally{}}
	w.Seconds = make([]Second, int(p.Length/time.Second)+1)
	for _, c := range p.Classes {
		w.Classes[c.Key()] = &Tally{}
	}
	if p.Begin != nil {
		p.Begin(w)
	}
	for i, t := range p.Tiers {
		var l []*Server
		for n := range t.Servers {
			l = append(l, newServer(w, i, n, t))
		}
		w.tiers = append(w.tiers, l)
	}
	for i, l := range w.tiers[:len(w.tiers)-1] {
		for n, s := range l {
			nd, err := w.newNode(i+1, n, len(l))
			if err != nil {
				return nil, err
			}
			s.next = nd
		}
	}
	for n := range max(1, p.Nodes) {
		nd, err := w.newNode(0, n, max(1, p.Nodes))
		if err != nil {
			return nil, err
		}
		w.fronts = append(w.fronts, nd)
	}
	if p.Discovery != nil {
		w.beat(0)
	}
	for _, c := range p.At {
		w.at(c.At, func() { c.Do(w) })
	}
	w.arrive()
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	if w.open != 0 {
		w.Broken = append(w.Broken, fmt.Sprintf("%d requests never answered", w.open))
	}
	return w, nil
}

// Now is the simulated time.
func (w *World) Now() time.Duration { return w.now }

// Servers are those of a tier.
func (w *World) Servers(tier int) []*Server { return w.tiers[tier] }

// Front is the decider of a node of the first tier.
func (w *World) Front(n int) Decider { return w.fronts[n].decider }

// Restart has a node of the first tier begin anew, knowing nothing; what it had out is lost to it.
func (w *World) Restart(n int) error {
	old := w.fronts[n]
	fresh, err := w.newNode(0, n, len(w.fronts))
	if err != nil {
		return err
	}
	old.dead = true
	for _, r := range old.sorted() {
		r.answer(verdictFailed, 0)
	}
	w.fronts[n] = fresh
	return nil
}

// Goodput is the share of the requests offered from..to that were answered within their aim.
func (w *World) Goodput(from, to time.Duration) float64 {
	offered, good := 0, 0
	for i := int(from / time.Second); i < int(to/time.Second) && i < len(w.Seconds); i++ {
		offered += w.Seconds[i].Offered
		good += w.Seconds[i].Good
	}
	return float64(good) / math.Max(1, float64(offered))
}

// Wasted is the share of all work that was done for nobody.
func (w *World) Wasted() float64 {
	var done, wasted float64
	for _, s := range w.Seconds {
		done += s.WorkDone
		wasted += s.WorkWasted
	}
	return wasted / math.Max(1e-9, done)
}

// Recovered is how long after a time goodput is back at a share for good: over every span of that length
// from there on. Negative: never.
func (w *World) Recovered(after time.Duration, share float64, span time.Duration) time.Duration {
	last := after
	end := w.plan.Length.Truncate(time.Second)
	for at := after.Truncate(time.Second); at+span <= end; at += time.Second {
		if w.Goodput(at, at+span) < share {
			last = at + time.Second
		}
	}
	if last+span > end {
		return -1
	}
	return last - after
}

func (w *World) at(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{max(t, w.now), w.seq, do})
}

func (w *World) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// After does something when a time has passed; nothing new begins when the last arrival has been.
func (w *World) After(d time.Duration, do func()) { w.after(d, do) }

// Ended says that the last arrival has been.
func (w *World) Ended() bool { return w.now > w.plan.Length }

// arrive draws the next arrival: a Poisson stream of the highest rate, thinned.
func (w *World) arrive() {
	t := w.now + time.Duration(w.rng.ExpFloat64()/w.plan.Most*float64(time.Second))
	if t > w.plan.Length {
		return
	}
	w.at(t, func() {
		if w.rng.Float64()*w.plan.Most < w.plan.Rate(w.now) {
			w.offer()
		}
		w.arrive()
	})
}

// offer sends a caller's request.
func (w *World) offer() {
	x := w.rng.Float64()
	c := &w.plan.Classes[len(w.plan.Classes)-1]
	for i := range w.plan.Classes {
		if x -= w.plan.Classes[i].Share; x < 0 {
			c = &w.plan.Classes[i]
			break
		}
	}
	started := w.now
	sec := &w.Seconds[int(w.now/time.Second)]
	sec.Offered++
	w.Classes[c.Key()].Offered++
	w.open++
	tries := 0
	var try func()
	try = func() {
		n := w.fronts[w.rng.IntN(len(w.fronts))]
		n.take(c, started+c.Deadline, tries > 0, func(v verdict, retry time.Duration) {
			if v == verdictRefused && tries < w.plan.Retries && w.now+retry < started+c.Deadline {
				tries++
				w.after(retry+time.Duration(w.rng.Float64()*float64(c.Aim)/8), try)
				return
			}
			w.open--
			w.Slowest = max(w.Slowest, w.now-started-c.Deadline)
			switch {
			case v == verdictServed && w.now-started <= c.Aim:
				sec.Good++
				w.Classes[c.Key()].Good++
			case v == verdictServed:
				sec.Late++
			case v == verdictRefused:
				sec.Refused++
			default:
				sec.Failed++
			}
		})
	}
	try()
}

// event is something due.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
