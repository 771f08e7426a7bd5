package engine

import (
	"context"
	"fmt"
	"testing"

	"cranegrade/balancer"
	"cranegrade/internal/testkit"
)

// alternatingSender is a sender that ends attempts at once, as successes at servers with an even id and as unreachable at the
// others. It keeps no state.
type alternatingSender struct{}

func (alternatingSender) Start(_ context.Context, a *Attempt) {
	go a.End([]balancer.Ending{balancer.Success, balancer.Unreachable}[int(a.Endpoint.ID[len(a.Endpoint.ID)-1])%2], nil)
}
func (alternatingSender) Drop(*Endpoint) {}
func (alternatingSender) Sweep()         {}

// An engine and its module keep no state for servers that are gone, however many there were.
func TestServerChurnLeavesNoState(t *testing.T) {
	e := startEngine(t, Config{Sender: alternatingSender{}})
	var first []string
	for i := range 60 {
		first = append(first, fmt.Sprintf("s%06d", i))
	}
	e.Start(serverList(first...))
	var held []int
	for i := range 7200 { // two servers a second, for an hour
		gone, come := fmt.Sprintf("s%06d", i), fmt.Sprintf("s%06d", i+60)
		n := serverList(gone, come)
		n.Full, n.Servers[0].State, n.Servers[1].StartedAt = false, balancer.Gone, e.Now()
		e.Apply(n)
		if i%4 == 0 {
			c, r := newCall(e, fmt.Sprint("c-", i), "read", limit)
			e.Submit(c)
			testkit.Wait(t, r.ended)
		}
		if i%1800 == 1799 {
			testkit.Eventually(t, "attempts are still in flight", func() bool { waitIdle(t, e); return e.OpenCalls() == 0 })
			e.Do(func() {
				held = append(held, testkit.ReachableElements(e.endpoints)+testkit.ReachableElements(e.idByAddr)+testkit.ReachableElements(e.calls)+
					testkit.ReachableElements(e.callerIDs)+testkit.ReachableElements(e.cfg.Module))
			})
			waitIdle(t, e)
		}
	}
	t.Log("held:", held)
	if held[3] > held[0]*5/4 {
		t.Errorf("held after each quarter: %v", held)
	}
}
