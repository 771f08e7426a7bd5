package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/controlplane"
	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/testcluster"
	"cranegrade/internal/rig"
)

type maintenanceDemo struct {
	Length time.Duration `long:"length" default:"4s" description:"of the maintenance itself"`
}

// Execute plays a drain in approved hours on live traffic, and one outside them, and audits every request.
func (o *maintenanceDemo) Execute([]string) error {
	m, err := startDemo([]string{"orders", "orders", "orders", "stock", "stock", "stock"}, testcluster.RouteItem("lookup", "idempotent", "/lookup/", "stock", 1),
		testcluster.RouteItem("export", "download", "/export/", "stock", 1), testcluster.RouteItem("order", "keyed", "/order/", "orders", 1))
	if err != nil {
		return err
	}
	defer m.closeAndRemove()
	r := m.Members[0]
	now := time.Now()
	if err := m.modify(testcluster.ContractCall("vintage", 1, now.Add(24*time.Hour), now.Add(26*time.Hour), nil)); err != nil {
		return err
	}
	out := m.Sidecars[0]
	fmt.Printf("\na contract approves two hours tomorrow; may %s come out now?\n", out.Name)
	var t controlplane.MaintenanceResponse
	if !rig.Await(startTimeout, func() bool {
		t, _, _ = r.CallMaintenance(controlplane.MaintenanceRequest{Machine: out.Name, LengthSeconds: 60})
		return t.TimeAgreed && t.Verdict != nil
	}) {
		return errors.New("no time of day is agreed on")
	}
	for _, reason := range t.Verdict.Reasons {
		fmt.Println("  no: " + reason.String())
	}
	if t.Verdict.Approved {
		return errors.New("it was approved outside the contract's hours")
	}
	if err := m.modify(testcluster.ContractCall("vintage", 2, now.Add(-time.Hour), now.Add(3*time.Hour), nil)); err != nil {
		return err
	}

	fmt.Println("\nthe contract approves the present hours; traffic of all kinds begins")
	const export = 200_000
	m.startCalls("lookup", 5*time.Millisecond, func(n int) (testcluster.Response, bool) {
		return m.sidecar(n).Send("GET", fmt.Sprint("/lookup/", n), "", nil), true
	})
	m.startCalls("export", 40*time.Millisecond, func(n int) (testcluster.Response, bool) {
		told := m.sidecar(n).Send("GET", fmt.Sprintf("/export/%d?bytes=%d", n, export), "", nil)
		return told, len(told.Body) > export
	})
	m.startCalls("order", 10*time.Millisecond, func(n int) (testcluster.Response, bool) {
		return m.sidecar(n).Send("POST", "/order/new", fmt.Sprint("k-", n), []byte("one")), true
	})
	m.startCalls("order, again elsewhere", 20*time.Millisecond, func(n int) (testcluster.Response, bool) {
		return m.sidecar(n+1).Send("POST", "/order/new", fmt.Sprint("k-", 2*n), []byte("one")), true
	})
	time.Sleep(o.Length)
	m.startSecondPhase()
	if _, status, text := r.CallMaintenance(controlplane.MaintenanceRequest{Order: &maintenance.Order{ID: "rack-7", Machines: []string{out.Name}, Duration: o.Length, PlacedBy: "ana", Reason: "a disk"}}); status != 200 {
		return errors.Errorf("the order was not taken: %d %s", status, text)
	}
	var mu sync.Mutex // guards ran
	ran := -1
	go func() { // what runs at its server while the machine is out
		for {
			t, _, _ := r.CallMaintenance(controlplane.MaintenanceRequest{})
			if b := (maintenance.OrderTable{Orders: t.Orders}); len(b.Orders) > 0 && b.Orders[0].Step == maintenance.StepInMaintenance {
				mu.Lock()
				ran = m.Recorder.RunsBy(out.App.Instance)
				mu.Unlock()
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	before := m.Recorder.RunsBy(out.App.Instance)
	err = watchOrder(r.Addr("ControlPlane"), "rack-7")
	m.stopCalls()
	if err != nil {
		return err
	}
	fault := m.printOutcomes("from the drain on")
	mu.Lock()
	defer mu.Unlock()
	fmt.Printf("\n%s ran %d requests before it was drained, %d when it was out, %d in all\n", out.App.Instance, before, ran, m.Recorder.RunsBy(out.App.Instance))
	if err := m.checkRecords(); err != nil {
		return err
	}
	if fault {
		return errors.New("some requests were lost, failed or cut short (0: no answer)")
	}
	fmt.Println("every request is accounted for: 200 served, 503 refused at once and never run, 409 the key was at work; no order ran twice, downloads are whole")
	return nil
}
