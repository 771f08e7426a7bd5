package testcluster

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/history"
	"cranegrade/internal/testfleet"
)

// faultDuration is the duration of a link fault.
const faultDuration = 300 * time.Millisecond

// linkFaultCallers is the number of callers. Every second one sends keyed requests, the others non-idempotent ones.
const linkFaultCallers = 6

// linkFaultTest sends calls through one sidecar, near, to servers beside the others, far.
type linkFaultTest struct {
	*Cluster
	near *Machine
	far  []*Machine

	mu           sync.Mutex // guards below
	once         []Response // of calls that may run once
	served, lost int
}

// Keyed and non-idempotent requests are in flight between real processes while the links between sidecars are reset, blocked and cut in
// one direction, and while a server's sidecar is frozen and continued. Each request runs at most once, whoever retries it, and none that
// has run is answered as not run.
func TestFaultyLinksRunRequestsAtMostOnce(t *testing.T) {
	runParallel(t)
	m, relay := startRelayedCluster(t, 3, 1, "stock", "orders", "orders")
	m.applyRoutes(t, 2, RouteItem("send", "keyed", "/send/", "orders", 2), RouteItem("once", "non_idempotent", "/once/", "orders", 2))
	f := &linkFaultTest{Cluster: m, near: m.Sidecars[0], far: m.Sidecars[1:]}
	f.near.awaitServed(t, "POST", "/send/x", "warm")
	f.awaitOnceServed(t)
	var stop atomic.Bool
	var callers sync.WaitGroup
	for n := range linkFaultCallers {
		callers.Go(func() {
			for round := 0; !stop.Load(); round++ {
				f.call(n, round)
			}
		})
	}
	for _, x := range f.far {
		f.injectFaults(t, relay, x)
	}
	stop.Store(true)
	callers.Wait()
	f.checkRunsOnce(t)
	m.assertNoViolations(t)
	t.Logf("%d calls served, %d not", f.served, f.lost)
	assert.Assert(t, f.served > 0)
}

func (f *linkFaultTest) awaitOnceServed(t *testing.T) {
	t.Helper()
	assert.Assert(t, testfleet.Await(testTimeout, func() bool { return f.near.Send("POST", "/once/x", "", nil).Status == 200 }))
}

// call makes one call of the nth caller. A keyed one is repeated through another sidecar, whatever its outcome.
func (f *linkFaultTest) call(n, round int) {
	var response Response
	mayRunOnce := n%2 == 0
	if mayRunOnce {
		response = f.near.Send("POST", "/once/x", "", []byte("body"))
	} else {
		key := fmt.Sprintf("k-%d-%d", n, round)
		response = f.near.Send("POST", "/send/x", key, []byte("body"))
		f.far[round%len(f.far)].Send("POST", "/send/x", key, []byte("body"))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if mayRunOnce {
		f.once = append(f.once, response)
	}
	if response.Status == 200 {
		f.served++
	} else {
		f.lost++
	}
}

// injectFaults injects each fault on the link to a sidecar, while requests run at its server, and heals it again.
func (f *linkFaultTest) injectFaults(t *testing.T, relay *testfleet.Relay, x *Machine) {
	t.Helper()
	path := f.near.PathTo(x)
	process := x.Process.Cmd.Process
	for _, inject := range []func() error{
		func() error { relay.Reset(path); return nil },
		func() error { relay.Blackhole(path); return nil },
		func() error { relay.Set(testfleet.Link{Cut: true}, path); return nil },
		func() error { relay.Set(testfleet.Link{Cut: true}, path.Reverse()); return nil },
		func() error { return process.Signal(syscall.SIGSTOP) },
	} {
		testfleet.Await(time.Second, func() bool { return x.App.inFlight.Load() > 0 })
		assert.NilError(t, inject())
		time.Sleep(faultDuration)
		relay.Heal()
		assert.NilError(t, process.Signal(syscall.SIGCONT))
		f.awaitOnceServed(t)
	}
}

// checkRunsOnce checks that no non-idempotent request ran twice, and that none that ran was answered with 503.
func (f *linkFaultTest) checkRunsOnce(t *testing.T) {
	t.Helper()
	var seen history.History
	for n, response := range f.once {
		runs := f.Recorder.Runs(response.Attempt)
		if response.Status == 503 && len(runs) > 0 {
			t.Errorf("%s has run at %v and is answered 503", response.Attempt, runs)
		}
		for _, server := range runs {
			seen.Runs = append(seen.Runs, history.Run{
				At: time.Duration(n), Server: server, Key: response.Attempt, Window: time.Hour,
				Request: response.Attempt,
			})
		}
	}
	for _, violation := range history.AtMostOnce(&seen) {
		t.Error(violation)
	}
}
