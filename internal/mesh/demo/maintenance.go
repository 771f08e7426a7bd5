package demo

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/apiclient"
	"cranegrade/internal/mesh/controlplane"
	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/testcluster"
	"cranegrade/internal/testfleet"
)

const (
	maintenanceOrder = "rack-7" // ID of the order
	downloadBytes    = 200_000  // of each download; a shorter one was truncated
	// Intervals of the calls of each kind, and of which orders every nth is repeated.
	lookupInterval           = 5 * time.Millisecond
	exportInterval           = 40 * time.Millisecond
	orderInterval            = 10 * time.Millisecond
	maintenanceRepeatedOrder = 2
	// orderTimeout bounds a call to a control-plane member.
	orderTimeout = 3 * time.Second
)

// Maintenance runs the maintenance of a machine under traffic: first an attempt outside the hours that a contract approves, which is
// rejected, then one within them. It prints the outcomes of the requests. length is how long the machine is in maintenance. The error
// says that the demo could not run, or that a request was lost or ran twice.
func Maintenance(out io.Writer, length time.Duration) error {
	c, err := startCluster(out, []string{"orders", "orders", "orders", "stock", "stock", "stock"},
		testcluster.RouteItem("lookup", "idempotent", "/lookup/", "stock", 1),
		testcluster.RouteItem("export", "download", "/export/", "stock", 1),
		testcluster.RouteItem("order", "keyed", "/order/", "orders", 1))
	if err != nil {
		return err
	}
	defer c.closeAndRemove()
	machine := c.Sidecars[0]
	now := time.Now()
	if err := c.showRefusal(machine, now); err != nil {
		return err
	}
	if err := c.modify(testcluster.ContractCall("vintage", 2, now.Add(-time.Hour), now.Add(3*time.Hour), nil)); err != nil {
		return err
	}
	fmt.Fprintln(out, "\nthe contract approves the present hours; traffic of all kinds begins")
	c.startMaintenanceTraffic()
	time.Sleep(length)
	c.startSecondPhase()
	before, during, err := c.maintain(machine, length)
	c.stopCalls()
	if err != nil {
		return err
	}
	faulty := c.printOutcomes(out, "from the drain on")
	fmt.Fprintf(out, "\n%s ran %d requests before it was drained, %d when it was in maintenance, %d in all\n",
		machine.App.Instance, before, during, c.Recorder.RunsBy(machine.App.Instance))
	if err := c.checkRecords(); err != nil {
		return err
	}
	if faulty {
		return errors.New("some requests were lost, failed or cut short (0: no answer)")
	}
	fmt.Fprintln(out, "every request is accounted for: 200 served, 503 rejected at once and never run, 409 the key was in flight; "+
		"no order ran twice, downloads are complete")
	return nil
}

// showRefusal applies a contract that approves two hours tomorrow, and prints why a machine may not be taken out now.
func (c *cluster) showRefusal(machine *testcluster.Machine, now time.Time) error {
	if err := c.modify(testcluster.ContractCall("vintage", 1, now.Add(24*time.Hour), now.Add(26*time.Hour), nil)); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "\na contract approves two hours tomorrow; may %s come out now?\n", machine.Name)
	var response controlplane.MaintenanceResponse
	if !testfleet.Await(startTimeout, func() bool {
		response, _, _ = c.Members[0].CallMaintenance(controlplane.MaintenanceRequest{Machine: machine.Name, LengthSeconds: 60})
		return response.TimeAgreed && response.Verdict != nil
	}) {
		return errors.New("no time of day is agreed on")
	}
	for _, reason := range response.Verdict.Reasons {
		fmt.Fprintln(c.out, "  no: "+reason.String())
	}
	if response.Verdict.Approved {
		return errors.New("it was approved outside the contract's hours")
	}
	return nil
}

// startMaintenanceTraffic starts calls of all kinds.
func (c *cluster) startMaintenanceTraffic() {
	c.startCalls("lookup", lookupInterval, func(n int) (testcluster.Response, bool) {
		return c.sidecar(n).Send("GET", fmt.Sprint("/lookup/", n), "", nil), true
	})
	c.startCalls("export", exportInterval, func(n int) (testcluster.Response, bool) {
		response := c.sidecar(n).Send("GET", fmt.Sprintf("/export/%d?bytes=%d", n, downloadBytes), "", nil)
		return response, len(response.Body) > downloadBytes
	})
	c.startOrders(orderInterval, maintenanceRepeatedOrder)
}

// maintain orders the machine out and follows the order to its end. It returns how many requests the machine's server
// had run before it was drained, and when the machine was in maintenance, or -1 if that step was not seen.
func (c *cluster) maintain(machine *testcluster.Machine, length time.Duration) (before, during int, err error) {
	member := c.Members[0]
	order := &maintenance.Order{
		ID:       maintenanceOrder,
		Machines: []string{machine.Name},
		Duration: length,
		PlacedBy: "ana",
		Reason:   "a disk",
	}
	if _, status, text := member.CallMaintenance(controlplane.MaintenanceRequest{Order: order}); status != http.StatusOK {
		return 0, 0, errors.Errorf("the order was not accepted: %d %s", status, text)
	}
	before = c.Recorder.RunsBy(machine.App.Instance)
	during = -1
	api := apiclient.Client{Addr: member.Addr("ControlPlane"), Timeout: orderTimeout}
	step, err := api.FollowOrder(maintenanceOrder, func(p apiclient.OrderProgress) {
		if during < 0 && p.Order.Step == maintenance.StepInMaintenance {
			during = c.Recorder.RunsBy(machine.App.Instance)
		}
		p.WriteText(c.out)
	})
	if err == nil && step == maintenance.StepAborted {
		err = errors.New("the order was aborted")
	}
	return before, during, err
}
