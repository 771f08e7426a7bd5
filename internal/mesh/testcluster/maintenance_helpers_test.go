package testcluster

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/controlplane"
	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/testfleet"
)

// callMaintenance sends a call about maintenance to members in turn until one answers with the wanted status.
func (m *Cluster) callMaintenance(t *testing.T, request controlplane.MaintenanceRequest, want int) controlplane.MaintenanceResponse {
	t.Helper()
	var response controlplane.MaintenanceResponse
	var text string
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		for _, x := range m.Members {
			if x.Process == nil {
				continue
			}
			var status int
			if response, status, text = x.CallMaintenance(request); status == want {
				return true
			}
		}
		return false
	}), "%s", text)
	return response
}

// maintenanceStatus returns all orders, and what they wait for.
func (m *Cluster) maintenanceStatus(t *testing.T) controlplane.MaintenanceResponse {
	t.Helper()
	return m.callMaintenance(t, controlplane.MaintenanceRequest{}, http.StatusOK)
}

// planMaintenance asks whether a machine may be taken out for a number of seconds.
func (m *Cluster) planMaintenance(t *testing.T, machine string, seconds float64) controlplane.MaintenanceResponse {
	t.Helper()
	return m.callMaintenance(t, controlplane.MaintenanceRequest{Machine: machine, LengthSeconds: seconds}, http.StatusOK)
}

// assertNotApproved checks that a plan is not approved, and that its reasons contain a text.
func assertNotApproved(t *testing.T, plan controlplane.MaintenanceResponse, reasons, text string) {
	t.Helper()
	assert.Assert(t, !plan.Verdict.Approved && strings.Contains(reasons, text), "%v", plan.Verdict)
}

// placeOrder places an order, which must be answered with a status.
func (m *Cluster) placeOrder(t *testing.T, order maintenance.Order, want int) {
	t.Helper()
	m.callMaintenance(t, controlplane.MaintenanceRequest{Order: &order}, want)
}

// changeOrder changes an order, which must be answered with a status.
func (m *Cluster) changeOrder(t *testing.T, change maintenance.OrderChange, want int) {
	t.Helper()
	m.callMaintenance(t, controlplane.MaintenanceRequest{Change: &change}, want)
}

// abortOrder aborts an order and waits until it is aborted.
func (m *Cluster) abortOrder(t *testing.T, id string) {
	t.Helper()
	m.changeOrder(t, maintenance.OrderChange{OrderID: id, Abort: true, Text: "aborted by ana"}, http.StatusOK)
	m.awaitStep(t, id, maintenance.StepAborted)
}

// awaitStep waits until an order is at one of some steps, and returns the order.
func (m *Cluster) awaitStep(t *testing.T, id string, steps ...maintenance.Step) (order maintenance.Order) {
	t.Helper()
	var status controlplane.MaintenanceResponse
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		status = m.maintenanceStatus(t)
		order, _ = maintenance.OrderTable{Orders: status.Orders}.Find(id)
		return slices.Contains(steps, order.Step)
	}), "%v %v", order, status.WaitingFor)
	return order
}

// awaitWaitingFor waits until an order reports that it waits for something.
func (m *Cluster) awaitWaitingFor(t *testing.T, id, text string) {
	t.Helper()
	var waiting string
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		waiting = m.maintenanceStatus(t).WaitingFor[id]
		return strings.Contains(waiting, text)
	}), waiting)
}

// assertRecorded checks that an order's record contains a text.
func assertRecorded(t *testing.T, order maintenance.Order, text string) {
	t.Helper()
	assert.Assert(t, strings.Contains(fmt.Sprint(order.Events), text), "%v", order.Events)
}

// applyContract applies the contract with an approved period.
func (m *Cluster) applyContract(t *testing.T, version int, from, to time.Time) {
	t.Helper()
	m.awaitAcknowledged(t, m.Members, ContractCall("hours", version, from, to, nil))
}

// approvePresentHours changes the contract to approve the hours around a time.
func (m *Cluster) approvePresentHours(t *testing.T, version int, now time.Time) {
	t.Helper()
	m.applyContract(t, version, now.Add(-time.Hour), now.Add(3*time.Hour))
}

// endApprovedHours changes the contract to approve only hours in the past.
func (m *Cluster) endApprovedHours(t *testing.T, version int, now time.Time) {
	t.Helper()
	m.applyContract(t, version, now.Add(-time.Hour), now.Add(-time.Minute))
}

// maintenanceLeader returns the leader, or nil.
func (m *Cluster) maintenanceLeader(t *testing.T) *Machine {
	t.Helper()
	leader := m.maintenanceStatus(t).Leader
	for _, x := range m.Members {
		if x.Process != nil && x.Process.Addr == leader {
			return x
		}
	}
	return nil
}

// startTraffic sends reads and keyed calls through all sidecars until it is stopped; each key is sent again through another one.
func (m *Cluster) startTraffic() (stop func()) {
	return m.startSending(func(i, n int) {
		sidecar, other := m.Sidecars[i], m.Sidecars[(i+1)%len(m.Sidecars)]
		sidecar.Send("GET", fmt.Sprint("/read/", n), "", nil)
		key := fmt.Sprintf("k-%d-%d", i, n)
		sidecar.Send("POST", "/send/x", key, []byte("one"))
		other.Send("POST", "/send/x", key, []byte("one"))
	})
}
