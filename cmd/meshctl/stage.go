package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/testcluster"
	"cranegrade/internal/rig"
)

// demoCluster is a small mesh on loopback with traffic of several kinds, for what is shown to people.
type demoCluster struct {
	*testcluster.Cluster
	dir string

	mu         sync.Mutex // guards below
	kinds      map[string]*callOutcomes
	order      []string // of kinds
	phase      int
	stop       chan struct{}
	all, calls sync.WaitGroup
}

// callOutcomes is what became of one kind of requests, in each phase.
type callOutcomes struct {
	status [2]map[int]int
	took   [2][]time.Duration
	broken int // answers that did not come whole
}

const startTimeout = 20 * time.Second

// startDemo builds the programs and starts three registers and a line for each service named, with the routes.
func startDemo(services []string, routes ...map[string]any) (*demoCluster, error) {
	dir, err := os.MkdirTemp("", "mesh")
	if err != nil {
		return nil, err
	}
	s := &demoCluster{dir: dir, kinds: map[string]*callOutcomes{}, stop: make(chan struct{})}
	fmt.Printf("three registers, %d lines with stand-in servers: %v\n", len(services), services)
	if err = testcluster.BuildPrograms(dir); err == nil {
		s.Cluster, err = testcluster.New(dir, 3, services...)
	}
	if err == nil {
		known := slices.Clone(services)
		slices.Sort(known)
		err = s.modify(testcluster.ModifyCall(1, slices.Compact(known), routes...))
	}
	if err == nil && !s.AwaitReady(startTimeout) {
		err = errors.New("the lines do not get ready")
	}
	if err != nil {
		s.closeAndRemove()
		return nil, err
	}
	return s, nil
}

func (s *demoCluster) closeAndRemove() {
	if s.Cluster != nil {
		s.Close()
	}
	os.RemoveAll(s.dir)
}

// modify has a change acknowledged by whichever register does.
func (s *demoCluster) modify(body []byte) error {
	status, text := 0, ""
	if !rig.Await(startTimeout, func() bool {
		for _, r := range s.Members {
			if r.Process == nil {
				continue
			}
			if status, text = r.Modify(body); status == 200 {
				return true
			}
		}
		return false
	}) {
		return errors.Errorf("not acknowledged: %d %s", status, text)
	}
	return nil
}

// sidecar is one of the lines, in turn.
func (s *demoCluster) sidecar(n int) *testcluster.Machine { return s.Sidecars[n%len(s.Sidecars)] }

// startCalls begins requests of a kind, one every so often whether or not those before are answered, until the end. f gives what
// became of the nth, and whether its answer was whole.
func (s *demoCluster) startCalls(kind string, every time.Duration, f func(n int) (testcluster.Response, bool)) {
	s.kinds[kind] = &callOutcomes{status: [2]map[int]int{{}, {}}}
	s.order = append(s.order, kind)
	s.all.Go(func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-s.stop:
				return
			case <-tick.C:
			}
			s.calls.Go(func() {
				s.mu.Lock()
				at := s.phase
				s.mu.Unlock()
				began := time.Now()
				told, whole := f(n)
				took := time.Since(began)
				s.mu.Lock()
				defer s.mu.Unlock()
				k := s.kinds[kind]
				k.status[at][told.Status]++
				if told.Status == 200 {
					k.took[at] = append(k.took[at], took)
					if !whole {
						k.broken++
					}
				}
			})
		}
	})
}

// startSecondPhase has what begins from now on be of the second phase.
func (s *demoCluster) startSecondPhase() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = 1
}

// stopCalls ends the traffic and waits for what is under way.
func (s *demoCluster) stopCalls() {
	close(s.stop)
	s.all.Wait()
	s.calls.Wait()
}

// printOutcomes tells what became of each kind. fault: some were lost, failed or cut short.
func (s *demoCluster) printOutcomes(second string) (fault bool) {
	fmt.Printf("\n%-26s %-36s", "", "answers by status, p99")
	if second != "" {
		fmt.Printf(" %-36s %s", second, "p99, times that before")
	}
	fmt.Println()
	for _, kind := range s.order {
		k := s.kinds[kind]
		a, b := p99(k.took[0]), p99(k.took[1])
		fmt.Printf("%-26s %-36s", kind, fmt.Sprint(k.status[0], " ", a))
		if second != "" {
			fmt.Printf(" %-36s %.2f", fmt.Sprint(k.status[1], " ", b), float64(b)/float64(max(1, a)))
		}
		fmt.Println()
		if k.broken > 0 {
			fault = true
			fmt.Printf("%-26s %d answers were not whole\n", "", k.broken)
		}
		for _, s := range k.status {
			fault = fault || s[0] > 0 || s[500] > 0 || s[502] > 0 || s[504] > 0
		}
	}
	return fault
}

// checkRecords is what the servers' and callers' own records say of the rules.
func (s *demoCluster) checkRecords() error {
	if l := s.Recorder.Violations(); len(l) > 0 {
		return errors.Errorf("broken: %v", l)
	}
	return nil
}

func p99(l []time.Duration) time.Duration {
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[len(l)*99/100].Round(100 * time.Microsecond)
}
