package testcluster

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/controlplane"
	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/rig"
)

// call is a call of the night service at whichever register answers it.
func (m *Cluster) callMaintenance(t *testing.T, c controlplane.MaintenanceRequest, want int) controlplane.MaintenanceResponse {
	t.Helper()
	var told controlplane.MaintenanceResponse
	var text string
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		for _, x := range m.Members {
			if x.Process == nil {
				continue
			}
			var status int
			if told, status, text = x.CallMaintenance(c); status == want {
				return true
			}
		}
		return false
	}), "%s", text)
	return told
}

// awaitStep waits until an order has come to a step, and gives it.
func (m *Cluster) awaitStep(t *testing.T, id string, steps ...maintenance.Step) (o maintenance.Order) {
	t.Helper()
	var told controlplane.MaintenanceResponse
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		told = m.callMaintenance(t, controlplane.MaintenanceRequest{}, http.StatusOK)
		o, _ = maintenance.OrderTable{Orders: told.Orders}.Find(id)
		return slices.Contains(steps, o.Step)
	}), "%v %v", o, told.WaitingFor)
	return o
}

// applyContract has one acknowledged.
func (m *Cluster) applyContract(t *testing.T, version int, from, to time.Time, more map[string]any) {
	t.Helper()
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		for _, x := range m.Members {
			if x.Process == nil {
				continue
			}
			if status, _ := x.Modify(ContractCall("hours", version, from, to, more)); status == 200 {
				return true
			}
		}
		return false
	}))
}

// startTraffic plays reads and sends through all lines until it is stopped; each send is told again at another line.
func (m *Cluster) startTraffic() (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for i, x := range m.Sidecars {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				x.Send("GET", fmt.Sprint("/read/", n), "", nil)
				key := fmt.Sprintf("k-%d-%d", i, n)
				x.Send("POST", "/send/x", key, []byte("one"))
				m.Sidecars[(i+1)%len(m.Sidecars)].Send("POST", "/send/x", key, []byte("one"))
			}
		})
	}
	return func() { close(done); all.Wait() }
}

// A machine comes out under traffic and back, while the register that leads the order is killed, frozen and killed again at
// its steps: each step is made once, nothing runs there while it is out, nothing is lost or doubled.
func TestMaintenanceUnderLeaderFaults(t *testing.T) {
	m := startCluster(t, "stock", "stock", "orders", "orders")
	now := time.Now()
	x := m.Sidecars[2]
	order := maintenance.Order{ID: "o1", Machines: []string{x.Name}, Duration: time.Hour, PlacedBy: "ana"}
	d := m.callMaintenance(t, controlplane.MaintenanceRequest{Machine: x.Name, LengthSeconds: 60}, http.StatusOK)
	assert.Assert(t, !d.Verdict.Approved && strings.Contains(d.Verdict.Reasons[0].Text, "no contract covers it"), "%v", d.Verdict)
	m.applyContract(t, 1, now.Add(24*time.Hour), now.Add(26*time.Hour), nil) // tomorrow
	d = m.callMaintenance(t, controlplane.MaintenanceRequest{Machine: x.Name, LengthSeconds: 60}, http.StatusOK)
	assert.Assert(t, !d.Verdict.Approved && strings.Contains(d.Verdict.Reasons[0].String(), "contract hours: outside its hours, until "), "%v", d.Verdict)
	by := order
	by.PlacedBy = "eve"
	m.callMaintenance(t, controlplane.MaintenanceRequest{Order: &by}, http.StatusForbidden)
	// Whoever may not approve may ask; another whom the contract names then has to say yes.
	by.ID, by.NeedsApproval = "asked", true
	m.callMaintenance(t, controlplane.MaintenanceRequest{Order: &by}, http.StatusOK)
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		return strings.Contains(m.callMaintenance(t, controlplane.MaintenanceRequest{}, http.StatusOK).WaitingFor["asked"], "one of [ana] has to approve it")
	}))
	m.callMaintenance(t, controlplane.MaintenanceRequest{Change: &maintenance.OrderChange{OrderID: "asked", ApprovedBy: "eve", Text: "approved by eve"}}, http.StatusForbidden)
	m.callMaintenance(t, controlplane.MaintenanceRequest{Change: &maintenance.OrderChange{OrderID: "asked", ApprovedBy: "ana", Text: "approved by ana"}}, http.StatusOK)
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		return strings.Contains(m.callMaintenance(t, controlplane.MaintenanceRequest{}, http.StatusOK).WaitingFor["asked"], "outside its hours")
	}))
	m.callMaintenance(t, controlplane.MaintenanceRequest{Change: &maintenance.OrderChange{OrderID: "asked", Abort: true, Text: "aborted by eve"}}, http.StatusOK)
	m.awaitStep(t, "asked", maintenance.StepAborted)
	stop := m.startTraffic()
	m.callMaintenance(t, controlplane.MaintenanceRequest{Order: &order}, http.StatusOK)
	told := m.callMaintenance(t, controlplane.MaintenanceRequest{}, http.StatusOK)
	assert.Equal(t, told.Orders[1].Step, maintenance.StepWaiting)
	// What its server answered before, what is in flight as it is drained, and what it breaks off then.
	kept := ""
	var first Response
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		kept = fmt.Sprint("kept", time.Now().UnixNano())
		first = m.Sidecars[3].Send("POST", "/send/x", kept, []byte("one"))
		return strings.Contains(first.Body, x.App.Instance+" ")
	}))
	x.App.SetBroken(true)
	var broke sync.WaitGroup
	for n := range 4 {
		broke.Go(func() {
			m.Sidecars[0].Send("POST", "/send/x", fmt.Sprint("broke", n), []byte("one"))
			m.Sidecars[1].Send("POST", "/send/x", fmt.Sprint("broke", n), []byte("one"))
		})
	}
	broke.Wait()
	x.App.SetBroken(false)
	x.App.SetServiceTime(500 * time.Millisecond)
	var flight sync.WaitGroup
	var mu sync.Mutex
	ends, sent := map[int]int{}, 0
	enough := make(chan struct{})
	flight.Go(func() { // until it drains: some are in flight at its server at that moment
		for ; ; sent++ {
			select {
			case <-enough:
				return
			case <-time.After(25 * time.Millisecond):
			}
			n := sent
			flight.Go(func() {
				got := m.Sidecars[n%4].Send("POST", "/send/x", fmt.Sprint("flight", n), []byte("one"))
				mu.Lock()
				defer mu.Unlock()
				ends[got.Status]++
			})
		}
	})
	before := m.Recorder.RunsBy(x.App.Instance)
	// One that has broken calls off and is slow beside another gets few for a while, rightly.
	assert.Assert(t, rig.Await(3*testTimeout, func() bool { return m.Recorder.RunsBy(x.App.Instance) >= before+4 }), "its server gets no calls")
	m.applyContract(t, 2, now.Add(-time.Hour), now.Add(3*time.Hour), nil) // and now
	leader := func() *Machine {
		told := m.callMaintenance(t, controlplane.MaintenanceRequest{}, http.StatusOK)
		for _, x := range m.Members {
			if x.Process != nil && x.Process.Addr == told.Leader {
				return x
			}
		}
		return nil
	}
	m.awaitStep(t, "o1", maintenance.StepDraining, maintenance.StepMovingCallers, maintenance.StepInMaintenance)
	close(enough)
	killed := leader()
	killed.Kill()
	m.awaitStep(t, "o1", maintenance.StepInMaintenance)
	flight.Wait()
	assert.Assert(t, ends[200]+ends[503] == sent, "what was in flight is answered, or has not run: %v of %d", ends, sent)
	assert.NilError(t, killed.Start())
	// While it is out: nothing runs there, its line is not ready, and it says so itself.
	ran := m.Recorder.RunsBy(x.App.Instance)
	for range 20 {
		m.Sidecars[3].Send("POST", "/send/x", fmt.Sprint("out", time.Now().UnixNano()), []byte("one"))
		m.Sidecars[0].Send("GET", "/read/out", "", nil)
	}
	assert.Equal(t, m.Recorder.RunsBy(x.App.Instance), ran)
	// The line starts again meanwhile, as it does in a maintenance: it stays out.
	x.Kill()
	again := m.Sidecars[1].awaitServed(t, "POST", "/send/x", kept) // its heir has the first's answer
	assert.Assert(t, again.Body == first.Body && again.Seal == first.Seal, "%v, first %v", again, first)
	assert.NilError(t, x.Start())
	_, err := x.Process.Said("items confirmed")
	assert.NilError(t, err)
	resp, err := http.Get("http://" + x.Addr("Readiness") + "/v1/readiness")
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, 503)
	frozen := leader()
	frozen.Process.Pause()
	m.callMaintenance(t, controlplane.MaintenanceRequest{Change: &maintenance.OrderChange{OrderID: "o1", MaintenanceDone: true, Text: "done, says ana"}}, http.StatusOK)
	o := m.awaitStep(t, "o1", maintenance.StepDone)
	frozen.Process.Resume()
	stop()
	var steps []string
	for _, e := range o.Events {
		steps = append(steps, string(e.Step))
	}
	assert.DeepEqual(t, slices.Compact(steps), []string{"waiting", "draining", "leading", "out", "returning", "done"})
	for _, e := range o.Events { // in which people find the machine by its name, and what was in flight and how that ended
		assert.Equal(t, e.Machine, x.Name)
		if e.Step == maintenance.StepMovingCallers {
			assert.Assert(t, strings.Contains(e.Text, "in flight none; ended since: ") && strings.Contains(e.Text, "keyed answered"), e.Text)
		}
	}
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		m.Sidecars[3].Send("POST", "/send/x", fmt.Sprint("back", time.Now().UnixNano()), []byte("one"))
		return m.Recorder.RunsBy(x.App.Instance) > ran
	}), "it is sent to again")
	m.assertNoViolations(t)
}

// Two operators order two machines that may not both be out: one waits for the other. A window that closes turns a drain
// back, a server lost elsewhere does, an operator aborts; each says why. An override goes on and stays in the record.
func TestMaintenanceIsRolledBack(t *testing.T) {
	m := startCluster(t, "stock", "stock", "stock", "orders")
	now := time.Now()
	m.applyContract(t, 1, now.Add(-time.Hour), now.Add(3*time.Hour), nil)
	place := func(id string, x *Machine, override string) {
		m.callMaintenance(t, controlplane.MaintenanceRequest{Order: &maintenance.Order{ID: id, Machines: []string{x.Name}, Duration: time.Hour, PlacedBy: "ana", Override: override != "", Reason: override}}, http.StatusOK)
	}
	place("a", m.Sidecars[0], "")
	m.awaitStep(t, "a", maintenance.StepInMaintenance)
	place("b", m.Sidecars[1], "")
	var waits string
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		waits = m.callMaintenance(t, controlplane.MaintenanceRequest{}, http.StatusOK).WaitingFor["b"]
		return strings.Contains(waits, "1 machines of stock are out, and 1 may be")
	}), waits)
	m.callMaintenance(t, controlplane.MaintenanceRequest{Change: &maintenance.OrderChange{OrderID: "a", Abort: true, Text: "aborted by ana"}}, http.StatusOK)
	m.awaitStep(t, "a", maintenance.StepAborted)
	m.awaitStep(t, "b", maintenance.StepInMaintenance)
	m.applyContract(t, 2, now.Add(-time.Hour), now.Add(-time.Minute), nil) // its hours end
	o := m.awaitStep(t, "b", maintenance.StepAborted)
	assert.Assert(t, strings.Contains(fmt.Sprint(o.Events), "turned back: contract hours: outside its hours"), "%v", o.Events)
	m.applyContract(t, 3, now.Add(-time.Hour), now.Add(3*time.Hour), nil)
	// A download that was begun a moment before comes whole; the line then stands still until its hours are over, and returns.
	m.Sidecars[0].App.SetServiceTime(300 * time.Millisecond)
	var big sync.WaitGroup
	for n := range 6 {
		big.Go(func() {
			if got := m.Sidecars[3].Send("GET", fmt.Sprintf("/read/%d?bytes=3000000", n), "", nil); got.Status == 200 && len(got.Body) < 3_000_000 {
				t.Errorf("a download of %d bytes", len(got.Body))
			}
		})
	}
	place("gone", m.Sidecars[0], "")
	m.awaitStep(t, "gone", maintenance.StepInMaintenance)
	big.Wait()
	m.Sidecars[0].App.SetServiceTime(5 * time.Millisecond)
	m.Sidecars[0].Process.Pause()
	m.applyContract(t, 4, now.Add(-time.Hour), now.Add(-time.Minute), nil)
	m.awaitStep(t, "gone", maintenance.StepReturning)
	m.Sidecars[0].Process.Resume()
	m.awaitStep(t, "gone", maintenance.StepAborted)
	// Two orders whose hours begin at once, of which one may be out: one goes first, and none is turned back.
	place("p", m.Sidecars[0], "")
	place("q", m.Sidecars[1], "")
	m.applyContract(t, 5, now.Add(-time.Hour), now.Add(3*time.Hour), nil)
	m.awaitStep(t, "p", maintenance.StepInMaintenance)
	told := m.callMaintenance(t, controlplane.MaintenanceRequest{}, http.StatusOK)
	q, _ := maintenance.OrderTable{Orders: told.Orders}.Find("q")
	assert.Assert(t, q.Step == maintenance.StepWaiting && len(q.Events) == 1, "%v", q)
	for _, id := range []string{"q", "p"} {
		m.callMaintenance(t, controlplane.MaintenanceRequest{Change: &maintenance.OrderChange{OrderID: id, Abort: true, Text: "aborted"}}, http.StatusOK)
		m.awaitStep(t, id, maintenance.StepAborted)
	}
	place("c", m.Sidecars[0], "")
	m.awaitStep(t, "c", maintenance.StepInMaintenance)
	m.Sidecars[1].App.Crash() // of the three one is out and one is gone: the contract spares one
	o = m.awaitStep(t, "c", maintenance.StepAborted)
	assert.Assert(t, strings.Contains(fmt.Sprint(o.Events), "turned back: contract hours: 1 machines of stock are out"), "%v", o.Events)
	place("d", m.Sidecars[3], "") // the only one of its service
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		waits = m.callMaintenance(t, controlplane.MaintenanceRequest{}, http.StatusOK).WaitingFor["d"]
		return strings.Contains(waits, "no server of orders would stay")
	}), waits)
	place("e", m.Sidecars[3], "smoke in the rack")
	m.awaitStep(t, "e", maintenance.StepInMaintenance)
	m.callMaintenance(t, controlplane.MaintenanceRequest{Change: &maintenance.OrderChange{OrderID: "e", MaintenanceDone: true, Text: "done"}}, http.StatusOK)
	o = m.awaitStep(t, "e", maintenance.StepDone)
	assert.Assert(t, o.Override && strings.Contains(fmt.Sprint(o.Events), "OVERRIDDEN (smoke in the rack)"), "%v", o.Events)
	m.callMaintenance(t, controlplane.MaintenanceRequest{Change: &maintenance.OrderChange{OrderID: "d", Abort: true, Text: "aborted"}}, http.StatusOK)
	m.assertNoViolations(t)
}

// Registers come out one after the other by one order, the leader last, while the core stays settled and bears a loss besides;
// of three registers none may.
func TestMaintenanceRollsThroughMembers(t *testing.T) {
	m := startCluster(t, "stock", "orders")
	now := time.Now()
	m.applyContract(t, 1, now.Add(-time.Hour), now.Add(3*time.Hour), nil)
	lead := m.callMaintenance(t, controlplane.MaintenanceRequest{Machine: m.Members[0].Name}, http.StatusOK).Leader
	d := m.callMaintenance(t, controlplane.MaintenanceRequest{Machine: lead}, http.StatusOK)
	assert.Assert(t, !d.Verdict.Approved && strings.Contains(fmt.Sprint(d.Verdict.Reasons), "2 of 3 registers would stay, a majority is 2, and so the loss of 1 could not be borne"), "%v", d.Verdict)
	// Two losses of five can be borne, so five are wanted and one of them may be out: more are only taken in where more are
	// to be borne, so the mesh starts anew.
	m.Close()
	dir := t.TempDir()
	for _, p := range []string{"sidecar", "controlplane"} {
		assert.NilError(t, os.Link(programsDir+"/"+p, dir+"/"+p))
	}
	m, err := newCluster(dir, 5, 2, "stock", "orders")
	t.Cleanup(m.Close)
	assert.NilError(t, err)
	m.applyRoutes(t, 1, RouteItem("read", "idempotent", "/read/", "stock", 1), RouteItem("send", "keyed", "/send/", "orders", 1))
	assert.Assert(t, m.AwaitReady(testTimeout))
	m.applyContract(t, 1, now.Add(-time.Hour), now.Add(3*time.Hour), nil)
	assert.Assert(t, rig.Await(testTimeout, func() bool { // the two that no seed names are taken in
		d := m.callMaintenance(t, controlplane.MaintenanceRequest{Machine: m.Members[1].Process.Addr}, http.StatusOK)
		return strings.Contains(fmt.Sprint(d.Verdict.Reasons), "4 of 5 registers would stay")
	}))
	for _, x := range m.Members { // one loss is to be borne while a machine is out
		x.settings["FaultTolerance"] = map[string]any{"Machines": 1}
		_, err := x.writeSettings()
		assert.NilError(t, err)
		assert.NilError(t, x.SignalReload())
	}
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		return m.callMaintenance(t, controlplane.MaintenanceRequest{Machine: m.Members[1].Process.Addr}, http.StatusOK).Verdict.Approved
	}))
	lead = m.callMaintenance(t, controlplane.MaintenanceRequest{}, http.StatusOK).Leader
	order := maintenance.Order{ID: "roll", Duration: 100 * time.Millisecond, PlacedBy: "ana", Machines: []string{lead}}
	for _, x := range m.Members {
		if x.Process.Addr != lead && len(order.Machines) < 3 {
			order.Machines = append(order.Machines, x.Name)
		}
	}
	stop := m.startTraffic()
	m.callMaintenance(t, controlplane.MaintenanceRequest{Order: &order}, http.StatusOK)
	o := m.awaitStep(t, "roll", maintenance.StepDone, maintenance.StepAborted)
	stop()
	assert.Equal(t, o.Step, maintenance.StepDone, "%v", o.Events)
	assert.Equal(t, o.Machines[2], lead, "the leader is the last")
	outs := 0
	for _, e := range o.Events {
		if e.Step == maintenance.StepInMaintenance {
			outs++
		}
	}
	assert.Equal(t, outs, 3)
	m.assertNoViolations(t)
}

// Clocks that are ahead by forty minutes: on one register of three it changes nothing, on two of them neither opens a window
// that is to come nor leaves a machine out past its window's end, and it shows.
func TestMaintenanceWithSkewedClocks(t *testing.T) {
	m := startCluster(t, "stock", "stock", "orders")
	now := time.Now()
	ahead := func(x *Machine) {
		x.Kill()
		x.Args = []string{"--ahead", "40m"}
		assert.NilError(t, x.Start())
	}
	plan := func(want string) controlplane.MaintenanceResponse {
		var told controlplane.MaintenanceResponse
		assert.Assert(t, rig.Await(testTimeout, func() bool {
			told = m.callMaintenance(t, controlplane.MaintenanceRequest{Machine: m.Sidecars[0].Name, LengthSeconds: 1}, http.StatusOK)
			return told.TimeAgreed && told.Verdict != nil && strings.Contains(fmt.Sprint(told.Verdict.Approved, told.Verdict.Reasons), want)
		}), "%v", told)
		return told
	}
	ahead(m.Members[2])
	m.applyContract(t, 1, now.Add(20*time.Minute), now.Add(3*time.Hour), nil)
	told := plan("false [contract hours: outside its hours")
	assert.Assert(t, !told.ClocksDisagree && told.Now.Latest.Sub(told.Now.Earliest) < 5*time.Second, "%v", told.Now)
	m.applyContract(t, 2, now.Add(-time.Hour), now.Add(30*time.Minute), nil)
	plan("true")
	order := maintenance.Order{ID: "o", Machines: []string{m.Sidecars[0].Name}, Duration: 10 * time.Minute, PlacedBy: "ana"}
	m.callMaintenance(t, controlplane.MaintenanceRequest{Order: &order}, http.StatusOK)
	m.awaitStep(t, "o", maintenance.StepInMaintenance)
	ahead(m.Members[1])
	o := m.awaitStep(t, "o", maintenance.StepAborted)
	assert.Assert(t, strings.Contains(fmt.Sprint(o.Events), "turned back: "), "%v", o.Events)
	m.applyContract(t, 3, now.Add(20*time.Minute), now.Add(3*time.Hour), nil)
	told = plan("false [contract hours: the window has not opened for certain")
	assert.Assert(t, told.ClocksDisagree && told.Now.Latest.Sub(told.Now.Earliest) > 30*time.Minute, "%v", told.Now)
	// Until somebody says that the clocks are right now.
	m.Members[1].Kill()
	m.Members[1].Args = nil
	assert.NilError(t, m.Members[1].Start())
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		told := m.callMaintenance(t, controlplane.MaintenanceRequest{TrustClocks: true, By: "ana"}, http.StatusOK)
		return !told.ClocksDisagree && told.TimeAgreed
	}))
	plan("false [contract hours: outside its hours")
	m.assertNoViolations(t)
}
