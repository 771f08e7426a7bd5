package controlplane

import (
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/api"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/mesh/transport/wire"
)

const sidecarAddress = "10.0.0.9:7001"

// newTestController returns a controller at a leader that knows one sidecar, with a survey in progress.
func newTestController(t *testing.T) (*maintenanceController, soloLeader) {
	t.Helper()
	leader := newSoloLeader(t)
	record := directory.Record{Addr: sidecarAddress, Node: "sidecar-1", Service: "stock"}
	leader.MergeRecords(leader.clock.now(), []directory.Record{record}, replica.FromSidecar)
	var current atomic.Pointer[settings.Settings]
	defaults := settings.Defaults()
	current.Store(&defaults)
	survey := &surveyor{running: true, clock: leader.clock, replica: leader.Replica, self: testAddress}
	survey.status = map[string]*wire.StatusT{testAddress: {Name: "member-1", ControlPlane: true}}
	controller := &maintenanceController{
		log: zerolog.Nop(), settings: &current, clock: leader.clock, replica: leader.Replica, survey: survey,
		self: testAddress,
	}
	return controller, leader
}

// ask makes a request, lets the replica process it, and returns the response.
func ask(t *testing.T, controller *maintenanceController, leader soloLeader, request MaintenanceRequest) (MaintenanceResponse, error) {
	t.Helper()
	var response MaintenanceResponse
	var err error
	answered := false
	controller.answer(request, func(result apiResult[MaintenanceResponse]) {
		response, err, answered = result.response, result.err, true
	})
	leader.ProcessReady()
	assert.Assert(t, answered, "no answer")
	return response, err
}

func TestMachineNamesAndAddressesAreResolved(t *testing.T) {
	controller, _ := newTestController(t)
	addresses := map[string]string{"sidecar-1": sidecarAddress, "member-1": testAddress, sidecarAddress: sidecarAddress, "nobody": "nobody"}
	for name, address := range addresses {
		assert.Equal(t, controller.addressOf(name), address)
	}
	for address, name := range map[string]string{sidecarAddress: "sidecar-1", testAddress: "member-1", "nobody": "nobody"} {
		assert.Equal(t, controller.nameOf(address), name)
	}
}

func TestOrderIsPlacedOnce(t *testing.T) {
	controller, leader := newTestController(t)
	order := &maintenance.Order{ID: "o1", Machines: []string{"sidecar-1"}, PlacedBy: "ana", Duration: time.Minute}
	for range 2 {
		response, err := ask(t, controller, leader, MaintenanceRequest{Order: order})
		assert.NilError(t, err)
		assert.Equal(t, len(response.Orders), 1)
		assert.DeepEqual(t, response.Orders[0].Machines, []string{sidecarAddress})
		assert.DeepEqual(t, response.Orders[0].MachineNames, []string{"sidecar-1"})
	}
	assert.DeepEqual(t, order.Machines, []string{"sidecar-1"})
	other := &maintenance.Order{ID: "o1", Machines: []string{"member-1"}, PlacedBy: "ana", Duration: time.Minute}
	_, err := ask(t, controller, leader, MaintenanceRequest{Order: other})
	assertStatus(t, err, http.StatusConflict)
}

func TestRequestsAreRejected(t *testing.T) {
	for name, test := range map[string]struct {
		request MaintenanceRequest
		status  int
	}{
		"clocks accepted by nobody": {MaintenanceRequest{TrustClocks: true}, http.StatusBadRequest},
		"change of no order":        {MaintenanceRequest{Change: &maintenance.OrderChange{OrderID: "none", Abort: true}}, http.StatusConflict},
	} {
		t.Run(name, func(t *testing.T) {
			controller, leader := newTestController(t)
			_, err := ask(t, controller, leader, test.request)
			assertStatus(t, err, test.status)
		})
	}
}

func TestPlanIsNotApprovedWithoutAnAgreedTime(t *testing.T) {
	controller, leader := newTestController(t)
	response, err := ask(t, controller, leader, MaintenanceRequest{Machine: "sidecar-1", Machines: []string{"member-1", "sidecar-1"}})
	assert.NilError(t, err)
	assert.Assert(t, !response.TimeAgreed && !response.Verdict.Approved)
	assert.Equal(t, response.Verdict.Reasons[0].Text, maintenance.ErrNoAgreedTime.Error())
	assert.DeepEqual(t, response.Sequence, []string{sidecarAddress, testAddress})
}

func TestOpenOrderWaitsForAnAgreedTime(t *testing.T) {
	controller, leader := newTestController(t)
	order := &maintenance.Order{ID: "o1", Machines: []string{"sidecar-1"}, PlacedBy: "ana"}
	_, err := ask(t, controller, leader, MaintenanceRequest{Order: order})
	assert.NilError(t, err)
	controller.advanceOrders()
	assert.Equal(t, controller.waitingFor["o1"], maintenance.ErrNoAgreedTime.Error())
	assert.Equal(t, controller.pending, 0)
}

func TestMachineIsWarmAfterContinuousReadiness(t *testing.T) {
	controller, leader := newTestController(t)
	assert.Assert(t, !controller.isWarm(sidecarAddress, true))
	leader.clock.started = leader.clock.started.Add(-warmUpTime)
	assert.Assert(t, controller.isWarm(sidecarAddress, true))
	assert.Assert(t, !controller.isWarm(sidecarAddress, false))
	assert.Assert(t, !controller.isWarm(sidecarAddress, true))
}

func TestInitialOrdersArePlacedAfterContractsAndDelays(t *testing.T) {
	file := filepath.Join(t.TempDir(), "initial.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"Contracts": {"Upsert": {}}, "Orders": [
		{"id": "now", "machines": ["sidecar-1"], "by": "ana"}, {"id": "later", "machines": ["member-1"], "by": "ana", "AfterS": 60}]}`), 0o600))
	initial, err := readInitialOrders(file)
	assert.NilError(t, err)
	controller, leader := newTestController(t)
	controller.initial = initial
	place := func() (ids []string) {
		controller.placeInitialOrders(leader.clock.now())
		leader.ProcessReady()
		for _, order := range leader.State().Maintenance.Orders.Orders {
			ids = append(ids, order.ID)
		}
		return ids
	}
	controller.survey.running = false
	assert.Equal(t, len(place()), 0) // there is no configuration
	assert.Equal(t, controller.initialProgress.configuredAt, time.Duration(0))
	leader.modify(t, `{"Upsert":{"UpstreamGroups":[{"Name":"stock","ConfigVersion":1}]}}`)
	assert.Equal(t, len(place()), 0) // contracts are placed first
	assert.DeepEqual(t, place(), []string{"now"})
	assert.DeepEqual(t, place(), []string{"now"})
	leader.clock.started = leader.clock.started.Add(-time.Minute)
	assert.DeepEqual(t, place(), []string{"now", "later"})
}

func TestInitialOrdersErrors(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none.json")
	_, err := readInitialOrders(missing)
	assert.ErrorIs(t, err, os.ErrNotExist)
	file := filepath.Join(t.TempDir(), "initial.json")
	for name, text := range map[string]string{"no JSON": "{", "contracts that can't be read": `{"Contracts": {"Upsert": 1}}`} {
		t.Run(name, func(t *testing.T) {
			assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
			_, err := readInitialOrders(file)
			assert.Assert(t, err != nil)
		})
	}
}

// assertStatus checks that an error is answered with a status.
func assertStatus(t *testing.T, err error, want int) {
	t.Helper()
	var withStatus *api.Error
	assert.Assert(t, errors.As(err, &withStatus), "%v", err)
	assert.Equal(t, withStatus.Status, want)
}
