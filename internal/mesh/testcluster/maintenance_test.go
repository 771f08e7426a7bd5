package testcluster

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/testfleet"
)

// faultedMaintenance is the maintenance of one machine under traffic, during which the leader is lost at several steps.
type faultedMaintenance struct {
	*Cluster
	now     time.Time
	machine *Machine
	order   maintenance.Order
	keptKey string   // a key that the machine's server answered before
	kept    Response // that answer
	ran     int      // requests that its server had run when it was in maintenance
}

// A machine is taken out under traffic and put back, while the leader is killed at one step and frozen at another. Each step is made once,
// no request runs there during the maintenance, none is lost and none runs twice.
func TestMaintenanceUnderLeaderFaults(t *testing.T) {
	runParallel(t)
	m := startCluster(t, "stock", "stock", "orders", "orders")
	f := &faultedMaintenance{Cluster: m, now: time.Now(), machine: m.Sidecars[2]}
	f.order = maintenance.Order{ID: "o1", Machines: []string{f.machine.Name}, Duration: time.Hour, PlacedBy: "ana"}
	f.testApproval(t)
	stop := m.startTraffic()
	m.placeOrder(t, f.order, http.StatusOK)
	assert.Equal(t, m.maintenanceStatus(t).Orders[1].Step, maintenance.StepWaiting)
	f.keepKey(t)
	f.breakCalls()
	f.drainAndKillLeader(t)
	f.testInMaintenance(t)
	frozen := m.maintenanceLeader(t)
	frozen.Process.Pause()
	m.changeOrder(t, maintenance.OrderChange{OrderID: "o1", MaintenanceDone: true, Text: "done, says ana"}, http.StatusOK)
	done := m.awaitStep(t, "o1", maintenance.StepDone)
	frozen.Process.Resume()
	stop()
	f.checkRecord(t, done)
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		m.Sidecars[3].Send("POST", "/send/x", fmt.Sprint("back", time.Now().UnixNano()), []byte("one"))
		return m.Recorder.RunsBy(f.machine.App.Instance) > f.ran
	}), "it is sent to again")
	m.assertNoViolations(t)
}

// testApproval: an order is rejected without a contract, outside its hours, or by somebody whom it does not name. Such a person may ask,
// and then somebody else whom the contract names has to approve.
func (f *faultedMaintenance) testApproval(t *testing.T) {
	t.Helper()
	plan := f.planMaintenance(t, f.machine.Name, 60)
	assertNotApproved(t, plan, plan.Verdict.Reasons[0].Text, "no contract covers it")
	f.applyContract(t, 1, f.now.Add(24*time.Hour), f.now.Add(26*time.Hour)) // tomorrow
	plan = f.planMaintenance(t, f.machine.Name, 60)
	assertNotApproved(t, plan, plan.Verdict.Reasons[0].String(), "contract hours: outside its hours, until ")
	byEve := f.order
	byEve.PlacedBy = "eve"
	f.placeOrder(t, byEve, http.StatusForbidden)
	byEve.ID, byEve.NeedsApproval = "asked", true
	f.placeOrder(t, byEve, http.StatusOK)
	f.awaitWaitingFor(t, "asked", "one of [ana] has to approve it")
	f.changeOrder(t, maintenance.OrderChange{OrderID: "asked", ApprovedBy: "eve", Text: "approved by eve"}, http.StatusForbidden)
	f.changeOrder(t, maintenance.OrderChange{OrderID: "asked", ApprovedBy: "ana", Text: "approved by ana"}, http.StatusOK)
	f.awaitWaitingFor(t, "asked", "outside its hours")
	f.abortOrder(t, "asked")
}

// keepKey sends a keyed request that the machine's server answers.
func (f *faultedMaintenance) keepKey(t *testing.T) {
	t.Helper()
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		f.keptKey = fmt.Sprint("kept", time.Now().UnixNano())
		f.kept = f.Sidecars[3].Send("POST", "/send/x", f.keptKey, []byte("one"))
		return strings.Contains(f.kept.Body, f.machine.App.Instance+" ")
	}))
}

// breakCalls makes the machine's server close the connections of keyed requests, which are then retried.
func (f *faultedMaintenance) breakCalls() {
	f.machine.App.SetBroken(true)
	defer f.machine.App.SetBroken(false)
	var calls sync.WaitGroup
	for n := range 4 {
		calls.Go(func() {
			f.Sidecars[0].Send("POST", "/send/x", fmt.Sprint("broke", n), []byte("one"))
			f.Sidecars[1].Send("POST", "/send/x", fmt.Sprint("broke", n), []byte("one"))
		})
	}
	calls.Wait()
}

// drainAndKillLeader approves the present hours while calls are in flight at the machine's server, and kills the leader when the machine
// is being drained.
func (f *faultedMaintenance) drainAndKillLeader(t *testing.T) {
	t.Helper()
	f.machine.App.SetServiceTime(500 * time.Millisecond)
	calls := f.startKeyedCalls()
	before := f.Recorder.RunsBy(f.machine.App.Instance)
	// A server that failed calls and is slower than another one correctly gets few requests for a while.
	assert.Assert(t, testfleet.Await(3*testTimeout, func() bool {
		return f.Recorder.RunsBy(f.machine.App.Instance) >= before+4
	}), "its server gets no calls")
	f.approvePresentHours(t, 2, f.now)
	f.awaitStep(t, "o1", maintenance.StepDraining, maintenance.StepMovingCallers, maintenance.StepInMaintenance)
	close(calls.stop)
	killed := f.maintenanceLeader(t)
	killed.Kill()
	f.awaitStep(t, "o1", maintenance.StepInMaintenance)
	calls.all.Wait()
	assert.Assert(t, calls.byStatus[200]+calls.byStatus[503] == calls.sent,
		"what was in flight is answered, or has not run: %v of %d", calls.byStatus, calls.sent)
	assert.NilError(t, killed.Start())
}

// keyedCalls are keyed requests that are started one after the other, open loop, until stop is closed.
type keyedCalls struct {
	stop chan struct{}
	all  sync.WaitGroup
	sent int // to be read once all have ended

	mu       sync.Mutex // guards byStatus
	byStatus map[int]int
}

func (f *faultedMaintenance) startKeyedCalls() *keyedCalls {
	calls := &keyedCalls{stop: make(chan struct{}), byStatus: map[int]int{}}
	calls.all.Go(func() {
		for ; ; calls.sent++ {
			select {
			case <-calls.stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			n := calls.sent
			calls.all.Go(func() {
				got := f.Sidecars[n%4].Send("POST", "/send/x", fmt.Sprint("flight", n), []byte("one"))
				calls.mu.Lock()
				defer calls.mu.Unlock()
				calls.byStatus[got.Status]++
			})
		}
	})
	return calls
}

// testInMaintenance: no request runs at the machine's server, and its sidecar is not ready, even if it is restarted, as happens during
// maintenance. Its successor has the response that it had stored for a key.
func (f *faultedMaintenance) testInMaintenance(t *testing.T) {
	t.Helper()
	f.ran = f.Recorder.RunsBy(f.machine.App.Instance)
	for range 20 {
		f.Sidecars[3].Send("POST", "/send/x", fmt.Sprint("out", time.Now().UnixNano()), []byte("one"))
		f.Sidecars[0].Send("GET", "/read/out", "", nil)
	}
	assert.Equal(t, f.Recorder.RunsBy(f.machine.App.Instance), f.ran)
	f.machine.Kill()
	again := f.Sidecars[1].awaitServed(t, "POST", "/send/x", f.keptKey)
	assert.Assert(t, again.Body == f.kept.Body && again.Seal == f.kept.Seal, "%v, first %v", again, f.kept)
	assert.NilError(t, f.machine.Start())
	_, err := f.machine.Process.AwaitLogged("items confirmed")
	assert.NilError(t, err)
	response, err := http.Get("http://" + f.machine.Addr("Readiness") + "/v1/readiness")
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
}

// checkRecord checks that each step was made once, and that the record has the name of the machine, the requests that were in flight, and
// their outcomes.
func (f *faultedMaintenance) checkRecord(t *testing.T, order maintenance.Order) {
	t.Helper()
	var steps []string
	for _, e := range order.Events {
		steps = append(steps, string(e.Step))
		assert.Equal(t, e.Machine, f.machine.Name)
		if e.Step == maintenance.StepMovingCallers {
			assert.Assert(t, strings.Contains(e.Text, "in flight none; ended since: ") && strings.Contains(e.Text, "keyed answered"), e.Text)
		}
	}
	assert.DeepEqual(t, slices.Compact(steps), []string{"waiting", "draining", "leading", "out", "returning", "done"})
}

// rolledBackMaintenance has orders that each end for another reason.
type rolledBackMaintenance struct {
	*Cluster
	now time.Time
}

// Two operators order two machines out that must not be out together: one order waits for the other. The end of a window, a server lost
// elsewhere and an operator's abort each roll a drain back, with the reason in the record. An override proceeds and is recorded.
func TestMaintenanceIsRolledBack(t *testing.T) {
	runParallel(t)
	r := &rolledBackMaintenance{startCluster(t, "stock", "stock", "stock", "orders"), time.Now()}
	r.approvePresentHours(t, 1, r.now)
	r.testOneAfterTheOther(t)
	r.testFrozenPastItsHours(t)
	r.testOrdersBeginTogether(t)
	r.testServerLostElsewhere(t)
	r.testOverride(t)
	r.assertNoViolations(t)
}

// place places an order. override is the reason to override the contracts; "": it does not.
func (r *rolledBackMaintenance) place(t *testing.T, id string, x *Machine, override string) {
	t.Helper()
	r.placeOrder(t, maintenance.Order{
		ID: id, Machines: []string{x.Name}, Duration: time.Hour, PlacedBy: "ana",
		Override: override != "", Reason: override,
	}, http.StatusOK)
}

// testOneAfterTheOther: the second machine of a service waits for the first one, and is put back when the hours end.
func (r *rolledBackMaintenance) testOneAfterTheOther(t *testing.T) {
	t.Helper()
	r.place(t, "a", r.Sidecars[0], "")
	r.awaitStep(t, "a", maintenance.StepInMaintenance)
	r.place(t, "b", r.Sidecars[1], "")
	r.awaitWaitingFor(t, "b", "1 machines of stock are out, and 1 may be")
	r.abortOrder(t, "a")
	r.awaitStep(t, "b", maintenance.StepInMaintenance)
	r.endApprovedHours(t, 2, r.now)
	assertRecorded(t, r.awaitStep(t, "b", maintenance.StepAborted), "turned back: contract hours: outside its hours")
	r.approvePresentHours(t, 3, r.now)
}

// testFrozenPastItsHours: a download that began just before the drain completes; the sidecar is then frozen until the hours are over, and
// the machine returns to service.
func (r *rolledBackMaintenance) testFrozenPastItsHours(t *testing.T) {
	t.Helper()
	const downloadBytes = 3_000_000
	x := r.Sidecars[0]
	x.App.SetServiceTime(300 * time.Millisecond)
	var downloads sync.WaitGroup
	for n := range 6 {
		downloads.Go(func() {
			got := r.Sidecars[3].Send("GET", fmt.Sprintf("/read/%d?bytes=%d", n, downloadBytes), "", nil)
			if got.Status == 200 && len(got.Body) < downloadBytes {
				t.Errorf("a download of %d bytes", len(got.Body))
			}
		})
	}
	r.place(t, "gone", x, "")
	r.awaitStep(t, "gone", maintenance.StepInMaintenance)
	downloads.Wait()
	x.App.SetServiceTime(defaultServiceTime)
	x.Process.Pause()
	r.endApprovedHours(t, 4, r.now)
	r.awaitStep(t, "gone", maintenance.StepReturning)
	x.Process.Resume()
	r.awaitStep(t, "gone", maintenance.StepAborted)
}

// testOrdersBeginTogether: of two orders whose hours begin at the same time one goes first, and none is rolled back.
func (r *rolledBackMaintenance) testOrdersBeginTogether(t *testing.T) {
	t.Helper()
	r.place(t, "p", r.Sidecars[0], "")
	r.place(t, "q", r.Sidecars[1], "")
	r.approvePresentHours(t, 5, r.now)
	r.awaitStep(t, "p", maintenance.StepInMaintenance)
	q, _ := maintenance.OrderTable{Orders: r.maintenanceStatus(t).Orders}.Find("q")
	assert.Assert(t, q.Step == maintenance.StepWaiting && len(q.Events) == 1, "%v", q)
	r.abortOrder(t, "q")
	r.abortOrder(t, "p")
}

// testServerLostElsewhere: of three servers one is being taken out and one is lost, but the contract allows only one to be missing.
func (r *rolledBackMaintenance) testServerLostElsewhere(t *testing.T) {
	t.Helper()
	r.place(t, "c", r.Sidecars[0], "")
	r.awaitStep(t, "c", maintenance.StepInMaintenance)
	r.Sidecars[1].App.Crash()
	assertRecorded(t, r.awaitStep(t, "c", maintenance.StepAborted), "turned back: contract hours: 1 machines of stock are out")
}

// testOverride: the only server of a service can be taken out only by an override.
func (r *rolledBackMaintenance) testOverride(t *testing.T) {
	t.Helper()
	r.place(t, "d", r.Sidecars[3], "")
	r.awaitWaitingFor(t, "d", "no server of orders would stay")
	r.place(t, "e", r.Sidecars[3], "smoke in the rack")
	r.awaitStep(t, "e", maintenance.StepInMaintenance)
	r.changeOrder(t, maintenance.OrderChange{OrderID: "e", MaintenanceDone: true, Text: "done"}, http.StatusOK)
	done := r.awaitStep(t, "e", maintenance.StepDone)
	assert.Assert(t, done.Override, "%v", done)
	assertRecorded(t, done, "OVERRIDDEN (smoke in the rack)")
	r.abortOrder(t, "d")
}
