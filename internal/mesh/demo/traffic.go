package demo

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"cranegrade/internal/mesh/testcluster"
)

// phases is the number of phases of the traffic, which are reported separately: before an event, and after it.
const phases = 2

// traffic makes calls of several kinds, open loop: each kind starts calls at a fixed interval, whether or not earlier ones have ended.
type traffic struct {
	stop       chan struct{}
	generators sync.WaitGroup
	calls      sync.WaitGroup

	mu    sync.Mutex // guards below
	kinds map[string]*callOutcomes
	order []string // kinds in the order in which they were started
	phase int
}

// callOutcomes has the outcomes of the calls of one kind, by phase.
type callOutcomes struct {
	byStatus   [phases]map[int]int
	latencies  [phases][]time.Duration // of responses with status 200
	incomplete int                     // truncated responses with status 200
}

// call makes the nth call of a kind. It returns the response, and whether that was complete.
type call func(n int) (response testcluster.Response, complete bool)

func newTraffic() *traffic {
	return &traffic{kinds: map[string]*callOutcomes{}, stop: make(chan struct{})}
}

// startCalls starts calls of a kind at a fixed interval until stopCalls.
func (t *traffic) startCalls(kind string, interval time.Duration, call call) {
	t.mu.Lock()
	t.kinds[kind] = &callOutcomes{byStatus: [phases]map[int]int{{}, {}}}
	t.order = append(t.order, kind)
	t.mu.Unlock()
	t.generators.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-t.stop:
				return
			case <-tick.C:
			}
			t.calls.Go(func() { t.measure(kind, n, call) })
		}
	})
}

// measure makes one call and records its outcome in the phase in which it began.
func (t *traffic) measure(kind string, n int, call call) {
	t.mu.Lock()
	phase := t.phase
	t.mu.Unlock()
	began := time.Now()
	response, complete := call(n)
	latency := time.Since(began)
	t.mu.Lock()
	defer t.mu.Unlock()
	outcomes := t.kinds[kind]
	outcomes.byStatus[phase][response.Status]++
	if response.Status != http.StatusOK {
		return
	}
	outcomes.latencies[phase] = append(outcomes.latencies[phase], latency)
	if !complete {
		outcomes.incomplete++
	}
}

// startSecondPhase begins the second phase, to which calls that start from now on belong.
func (t *traffic) startSecondPhase() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.phase = 1
}

// stopCalls ends the traffic and waits for what is in flight.
func (t *traffic) stopCalls() {
	close(t.stop)
	t.generators.Wait()
	t.calls.Wait()
}

// printOutcomes prints the outcomes of each kind of calls. secondPhase is the name of the second phase, if there was one. It reports
// whether any calls were lost, failed or were truncated.
func (t *traffic) printOutcomes(out io.Writer, secondPhase string) (faulty bool) {
	fmt.Fprintf(out, "\n%-26s %-36s", "", "answers by status, p99")
	if secondPhase != "" {
		fmt.Fprintf(out, " %-36s %s", secondPhase, "p99, times that before")
	}
	fmt.Fprintln(out)
	for _, kind := range t.order {
		outcomes := t.kinds[kind]
		before, after := p99(outcomes.latencies[0]), p99(outcomes.latencies[1])
		fmt.Fprintf(out, "%-26s %-36s", kind, fmt.Sprint(outcomes.byStatus[0], " ", before))
		if secondPhase != "" {
			fmt.Fprintf(out, " %-36s %.2f", fmt.Sprint(outcomes.byStatus[1], " ", after), float64(after)/float64(max(1, before)))
		}
		fmt.Fprintln(out)
		if outcomes.incomplete > 0 {
			fmt.Fprintf(out, "%-26s %d answers were not complete\n", "", outcomes.incomplete)
		}
		faulty = faulty || outcomes.isFaulty()
	}
	return faulty
}

// noResponse is the status of a call without a response.
const noResponse = 0

// faultyStatuses are the statuses of calls that failed in a way that they may have run, or that had no response.
var faultyStatuses = []int{
	noResponse,
	http.StatusInternalServerError,
	http.StatusBadGateway,
	http.StatusGatewayTimeout,
}

// isFaulty reports whether any calls were truncated, had no response, or failed in a way that they may have run.
func (o *callOutcomes) isFaulty() bool {
	if o.incomplete > 0 {
		return true
	}
	for _, byStatus := range o.byStatus {
		for _, status := range faultyStatuses {
			if byStatus[status] > 0 {
				return true
			}
		}
	}
	return false
}

// p99 returns the 99th percentile, or 0 for an empty list. It sorts the list in place.
func p99(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)*99/100].Round(100 * time.Microsecond)
}
