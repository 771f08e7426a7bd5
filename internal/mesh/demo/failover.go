package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"cranegrade/internal/mesh/testcluster"
	"cranegrade/internal/mesh/topology"
)

// Steps of the failover demo: the pause before each, and the intervals of its calls.
const (
	pauseBeforeKill    = time.Second
	pauseBeforeDrain   = 700 * time.Millisecond
	pauseBeforeCrash   = time.Second
	pauseAfterCrash    = 1300 * time.Millisecond
	failoverInterval   = 4 * time.Millisecond  // of lookups, and of orders
	failoverRepeated   = 5                     // every nth order is repeated
	repetitionInterval = 20 * time.Millisecond // of repeated orders
)

// Failover runs four seconds of traffic while a control-plane member is killed, one server drains and another crashes, and prints the
// outcomes of the requests. It then keeps the mesh up until the context stay ends, so that operators can try commands on it. The error
// says that the demo could not run, or that a guarantee of the mesh was violated.
func Failover(stay context.Context, out io.Writer, timeout time.Duration) error {
	c, err := startCluster(out, []string{"orders", "orders", "stock", "stock"},
		testcluster.RouteItem("lookup", "idempotent", "/lookup/", "stock", 1),
		testcluster.RouteItem("order", "keyed", "/order/", "orders", 1))
	if err != nil {
		return err
	}
	defer c.closeAndRemove()
	//nolint:contextcheck // stay only says how long the mesh is kept up afterwards; the demo itself is bounded by timeout
	if err := c.printTopology(timeout); err != nil {
		return err
	}
	fmt.Fprintln(out, "\nfour seconds of traffic; a control-plane member is killed, one server drains, one crashes")
	c.startCalls("lookup", failoverInterval, func(n int) (testcluster.Response, bool) {
		return c.sidecar(n).Send("GET", fmt.Sprint("/lookup/", n), "", nil), true
	})
	c.startOrders(failoverInterval, failoverRepeated)
	time.Sleep(pauseBeforeKill)
	c.Members[0].Kill()
	time.Sleep(pauseBeforeDrain)
	c.Sidecars[2].App.Drain()
	time.Sleep(pauseBeforeCrash)
	c.Sidecars[1].App.Crash()
	time.Sleep(pauseAfterCrash)
	c.stopCalls()
	c.printOutcomes(out, "")
	fmt.Fprintln(out, "503 has not run, 409 is in flight, 502 and 504 may have run")
	if err := c.checkRecords(); err != nil {
		return err
	}
	fmt.Fprintln(out, "by the servers' own record no order ran twice, and every answer belongs to its request")
	if stay.Err() == nil {
		fmt.Fprintf(out, "operators call %s; callers %s with Host: %s; end it with Ctrl-C\n",
			c.Members[1].Addr("ControlPlane"), c.Sidecars[0].Addr("Outbound"), testcluster.Host)
		<-stay.Done()
	}
	return nil
}

// printTopology collects the topology of the mesh and prints it.
func (c *cluster) printTopology(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	t, err := topology.Collect(ctx, c.Members[0].Process.Addr)
	if err != nil {
		return err
	}
	t.WriteText(c.out)
	return nil
}

// startOrders starts keyed requests at a fixed interval, and repeats every nth of them through another sidecar.
func (c *cluster) startOrders(interval time.Duration, repeated int) {
	c.startCalls("order", interval, func(n int) (testcluster.Response, bool) {
		return c.sidecar(n).Send("POST", "/order/new", fmt.Sprint("k-", n), []byte("one")), true
	})
	c.startCalls("order, again elsewhere", repetitionInterval, func(n int) (testcluster.Response, bool) {
		return c.sidecar(n+1).Send("POST", "/order/new", fmt.Sprint("k-", repeated*n), []byte("one")), true
	})
}
