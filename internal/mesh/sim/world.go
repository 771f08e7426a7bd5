// Package sim runs a complete control plane in simulated time, in the manner of FoundationDB's simulation: the real role logic of the
// replicas, their consensus, state and wire formats (package replica and what it imports), with operators and sidecars, over
// a simulated clock, network, disks and processes. It owns the faults of a run, and the observer that records its history.
//
// A run depends on its Options alone: the same seed and plan of faults give the same run, byte for byte. The package must therefore
// never read a real clock, start a goroutine, or range over a map where the order matters; and a change of the order in which random
// numbers are drawn changes all runs. A World belongs to one goroutine; several worlds may run side by side.
//
// Files: world.go runs the events, process.go is what all simulated processes have in common, network.go and link.go carry messages,
// disk.go and storage_disk.go are the disks, replica_host.go, operator.go and sidecar.go the processes, plan.go, generate.go, shrink.go and
// faults.go the faults, observer.go what is recorded.
package sim

import (
	"cmp"
	"container/heap"
	"fmt"
	"hash"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"cranegrade/internal/mesh/history"
)

// Durations of the phases of a run.
const (
	clientsBeginAt  = 1500 * time.Millisecond // the replicas have usually elected a leader by then
	recoveryTimeout = 8 * time.Second         // from the end of all faults until the control plane has to be stable
	stablePeriod    = 8 * time.Second         // without faults, at the end of a run
	maxBootDelay    = 20 * time.Millisecond   // of the start of a replica
	maxClientDelay  = 100 * time.Millisecond  // of the start of an operator or sidecar, after clientsBeginAt
	searchBound     = time.Minute             // of real time; far more than the search for linearizations needs
)

// Numbers of processes of a run whose Options do not say otherwise.
const (
	defaultReplicas  = 3
	defaultOperators = 2
	defaultSidecars  = 3
)

// randomStream is the PCG stream of a run. Generate draws plans from another one, so that both may use the same seed.
const randomStream = 0x51a

// Options determine a run.
type Options struct {
	Seed      uint64
	Replicas  int // 0 stands for 3
	Operators int // 0 stands for 2
	Sidecars  int // 0 stands for 3
	Plan      Plan
	Horizon   time.Duration // end of all faults; at least the plan's end
	CompactAt int           // entries after a replica's snapshot at which it takes another; 0 stands for the default of package replica
	Disk      DiskKind
	Mutations Mutations
	Trace     io.Writer // gets every event as a line of text; may be nil
}

// Mutations are errors that are put into the run on purpose, to show that the checkers find them. They are for tests.
type Mutations struct {
	AnswerBeforeSync  bool // a replica goes on before its disk has synced
	VoteNotSynced     bool // the same, for term and vote alone
	UnconfirmedFetch  bool // an operator's read is served from the local state
	UnconfirmedTable  bool // a sidecar gets the local table, whatever the replica is in contact with
	KeysForgotten     bool // a replica that starts forgets all leases
	IdentityAfterWipe bool // a replica whose disk was wiped keeps its member id
}

// Result is the outcome of a run.
type Result struct {
	History    *history.History
	Violations []history.Violation
	Undecided  []history.Item
	TraceHash  uint64 // over all events
	Events     int
	Simulated  time.Duration
	Plan       Plan // of the run's faults
}

// Failed reports whether a promise was broken.
func (r Result) Failed() bool { return len(r.Violations) > 0 }

// World is the state of one run.
type World struct {
	options   Options
	random    *rand.Rand
	now       time.Duration
	events    eventQueue
	sequence  uint64
	processed int
	digest    hash.Hash64
	network   network
	history   history.History

	processes []*process // all that were ever started, in that order
	replicas  []*replicaHost
	operators []*operator
	sidecars  []*sidecar

	observer observer
	versions map[string]int64 // latest version of each item that an operator used
	nextID   uint64           // of requests and changes
}

// event is something that happens at one time.
type event struct {
	at       time.Duration
	sequence uint64 // order of scheduling, for events of one time
	run      func()
}

// eventQueue is a heap of events. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// at schedules an event for a time, or for now if that has passed.
func (w *World) at(t time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.events, event{max(t, w.now), w.sequence, run})
}

// after schedules an event.
func (w *World) after(d time.Duration, run func()) { w.at(w.now+d, run) }

// between draws a duration from a half-open interval.
func (w *World) between(shortest, longest time.Duration) time.Duration {
	if longest <= shortest {
		return shortest
	}
	return shortest + time.Duration(w.random.Int64N(int64(longest-shortest)))
}

// chance draws whether something of a probability happens.
func (w *World) chance(p float64) bool { return w.random.Float64() < p }

// id returns a number that was not used before, for a request or a change.
func (w *World) id() uint64 {
	w.nextID++
	return w.nextID
}

// trace adds an event to the digest of the run, and writes it to Options.Trace.
func (w *World) trace(kind, subject, object string, detail []byte) {
	var stamp [8]byte
	for i := range stamp {
		stamp[i] = byte(w.now >> (8 * i))
	}
	w.digest.Write(stamp[:])
	_, _ = io.WriteString(w.digest, kind)
	_, _ = io.WriteString(w.digest, subject)
	_, _ = io.WriteString(w.digest, object)
	w.digest.Write(detail)
	if w.options.Trace != nil {
		h := fnv.New32a()
		h.Write(detail)
		_, _ = fmt.Fprintf(w.options.Trace, "%v %s %s %s %d %08x\n", w.now, kind, subject, object, len(detail), h.Sum32())
	}
}

// Run executes a run and checks its history.
func Run(o Options) Result {
	w := newWorld(o)
	w.boot()
	plan, horizon := o.Plan, max(o.Horizon, o.Plan.end(), clientsBeginAt)
	for _, f := range plan {
		w.at(f.At, func() { w.applyFault(f) })
	}
	w.at(horizon, w.endFaults)
	end := horizon + recoveryTimeout + stablePeriod
	w.at(end-stablePeriod/2, w.stopClients)
	w.runUntil(end)
	w.observer.recordStablePeriod(horizon+recoveryTimeout, end)
	return w.result()
}

// newWorld returns a world without processes.
func newWorld(o Options) *World {
	o.Replicas = cmp.Or(o.Replicas, defaultReplicas)
	o.Operators = cmp.Or(o.Operators, defaultOperators)
	o.Sidecars = cmp.Or(o.Sidecars, defaultSidecars)
	w := &World{
		options:  o,
		random:   rand.New(rand.NewPCG(o.Seed, randomStream)),
		digest:   fnv.New64a(),
		versions: map[string]int64{},
	}
	w.network.world = w
	w.observer.world = w
	return w
}

// runUntil handles all events up to a time.
func (w *World) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		w.processed++
		e.run()
	}
	w.now = end
}

// boot schedules the start of all processes.
func (w *World) boot() {
	var seeds []string
	for n := range w.options.Replicas {
		seeds = append(seeds, replicaAddress(n))
	}
	for range w.options.Replicas {
		h := w.newReplica(seeds, true)
		w.after(w.between(0, maxBootDelay), h.start)
	}
	for n := range w.options.Operators {
		o := newOperator(w, fmt.Sprintf("operator%d", n+1))
		w.operators = append(w.operators, o)
		w.at(clientsBeginAt+w.between(0, maxClientDelay), o.begin)
	}
	for n := range w.options.Sidecars {
		s := newSidecar(w, fmt.Sprintf("sidecar%d", n+1))
		w.sidecars = append(w.sidecars, s)
		w.at(clientsBeginAt+w.between(0, maxClientDelay), s.begin)
	}
}

// stopClients has operators and sidecars begin nothing more.
func (w *World) stopClients() {
	for _, o := range w.operators {
		o.stopped = true
	}
	for _, s := range w.sidecars {
		s.stopped = true
	}
}

// replicaAddresses returns the addresses of all replicas that were not removed.
func (w *World) replicaAddresses() (l []string) {
	for _, h := range w.replicas {
		if !h.removed {
			l = append(l, h.address)
		}
	}
	return l
}

// result checks the history. The search for linearizations gets far more real time than it needs, so that the result does not depend
// on the machine.
func (w *World) result() Result {
	report := history.Check(&w.history, history.Bounds{
		IsolatedRead:    isolatedReadBound,
		CatchUp:         catchUpBound,
		Acknowledgement: acknowledgeBound,
		Search:          searchBound,
	})
	return Result{
		History:    &w.history,
		Violations: slices.Concat(report.Violations, w.observer.atEnd()),
		Undecided:  report.Undecided,
		TraceHash:  w.digest.Sum64(),
		Events:     w.processed,
		Simulated:  w.now,
		Plan:       w.options.Plan,
	}
}
