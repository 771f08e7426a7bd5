package engine

import (
	"context"
	"fmt"
	"testing"

	"cranegrade/balancer"
	"cranegrade/internal/testkit"
)

// alternatingSender is a stateless Sender whose attempts end immediately: they succeed at servers with an even id, and find
// the others unreachable.
type alternatingSender struct{}

func (alternatingSender) Start(_ context.Context, a *Attempt) {
	go a.End([]balancer.Ending{balancer.Success, balancer.Unreachable}[int(a.Endpoint.ID[len(a.Endpoint.ID)-1])%2], nil)
}
func (alternatingSender) Drop(*Endpoint) {}
func (alternatingSender) Sweep()         {}

// The engine and its module keep no state of removed servers: over 7200 replacements of a server, the number of reachable
// elements must not grow.
func TestServerChurnLeavesNoState(t *testing.T) {
	e := startEngine(t, Config{Sender: alternatingSender{}})
	var first []string
	for i := range 60 {
		first = append(first, fmt.Sprintf("s%06d", i))
	}
	e.Start(serverList(first...))
	var reachable []int   // elements reachable from the state, after each quarter
	for i := range 7200 { // two servers a second, for an hour
		removed, added := fmt.Sprintf("s%06d", i), fmt.Sprintf("s%06d", i+60)
		update := serverList(removed, added)
		update.Full, update.Servers[0].State, update.Servers[1].StartedAt = false, balancer.Gone, e.Now()
		e.Apply(update)
		if i%4 == 0 {
			c, r := newCall(e, fmt.Sprint("c-", i), "read", testTimeout)
			e.Submit(c)
			testkit.Wait(t, r.ended)
		}
		if i%1800 == 1799 {
			testkit.Eventually(t, "attempts are still in flight", func() bool { waitIdle(t, e); return e.OpenCalls() == 0 })
			e.Do(func() {
				reachable = append(reachable, testkit.ReachableElements(e.endpoints)+testkit.ReachableElements(e.idByAddr)+
					testkit.ReachableElements(e.calls)+testkit.ReachableElements(e.callerIDs)+testkit.ReachableElements(e.cfg.Module))
			})
			waitIdle(t, e)
		}
	}
	t.Log("reachable elements:", reachable)
	if reachable[3] > reachable[0]*5/4 {
		t.Errorf("reachable elements after each quarter: %v, want no growth by more than a quarter", reachable)
	}
}
