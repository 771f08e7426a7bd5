package main

import (
	"fmt"
	"os"
	"time"

	"cranegrade/internal/mesh/testcluster"
	"cranegrade/internal/mesh/topology"
)

type failoverDemo struct {
	Stay bool `long:"stay" description:"keep it up until interrupted, to play with"`
}

// Execute plays the tour.
func (o *failoverDemo) Execute([]string) error {
	m, err := startDemo([]string{"orders", "orders", "stock", "stock"}, testcluster.RouteItem("lookup", "idempotent", "/lookup/", "stock", 1), testcluster.RouteItem("order", "keyed", "/order/", "orders", 1))
	if err != nil {
		return err
	}
	defer m.closeAndRemove()
	ctx, cancel := withTimeout()
	defer cancel()
	t, err := topology.Collect(ctx, transportAddr(m.Members[0]))
	if err != nil {
		return err
	}
	t.WriteText(os.Stdout)
	fmt.Println("\nfour seconds of traffic; a register is killed, one server drains, one crashes")
	m.startCalls("lookup", 4*time.Millisecond, func(n int) (testcluster.Response, bool) {
		return m.sidecar(n).Send("GET", fmt.Sprint("/lookup/", n), "", nil), true
	})
	m.startCalls("order", 4*time.Millisecond, func(n int) (testcluster.Response, bool) {
		return m.sidecar(n).Send("POST", "/order/new", fmt.Sprint("k-", n), []byte("one")), true
	})
	m.startCalls("order, again elsewhere", 20*time.Millisecond, func(n int) (testcluster.Response, bool) {
		return m.sidecar(n+1).Send("POST", "/order/new", fmt.Sprint("k-", 5*n), []byte("one")), true
	})
	time.Sleep(time.Second)
	m.Members[0].Kill()
	time.Sleep(700 * time.Millisecond)
	m.Sidecars[2].App.Drain()
	time.Sleep(time.Second)
	m.Sidecars[1].App.Crash()
	time.Sleep(1300 * time.Millisecond)
	m.stopCalls()
	m.printOutcomes("")
	fmt.Println("503 has not run, 409 is at work, 502 and 504 may have run")
	if err := m.checkRecords(); err != nil {
		return err
	}
	fmt.Println("by the servers' own record no order ran twice, and every answer belongs to its request")
	if o.Stay {
		fmt.Printf("operators call %s; callers %s with Host: %s; end it with Ctrl-C\n", m.Members[1].Addr("ControlPlane"), m.Sidecars[0].Addr("Outbound"), testcluster.Host)
		select {}
	}
	return nil
}

func transportAddr(x *testcluster.Machine) string { return x.Process.Addr }
