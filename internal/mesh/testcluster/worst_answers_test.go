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
	"cranegrade/internal/rig"
)

// faultDuration is how long a fault of TestWorstAnswers lasts.
const faultDuration = 300 * time.Millisecond

// Calls that are keyed or may run once are at work between real processes while the ways between lines are reset, silenced and
// cut one way, and the line beside the servers stands still and goes on. Each runs once at the most, whoever repeats it, and
// none that has run is told that it has not.
func TestFaultyLinksRunRequestsAtMostOnce(t *testing.T) {
	m, relay := startRelayedCluster(t, 3, 1, "stock", "orders", "orders")
	m.applyRoutes(t, 2, RouteItem("send", "keyed", "/send/", "orders", 2), RouteItem("once", "non_idempotent", "/once/", "orders", 2))
	near, far := m.Sidecars[0], m.Sidecars[1:]
	near.awaitServed(t, "POST", "/send/x", "warm")
	assert.Assert(t, rig.Await(testTimeout, func() bool { return near.Send("POST", "/once/x", "", nil).Status == 200 }))
	const callers = 6
	var over atomic.Bool
	var calls sync.WaitGroup
	var mu sync.Mutex
	var once []Response // what became of calls that may run once
	served, lost := 0, 0
	for n := range callers {
		calls.Go(func() {
			for round := 0; !over.Load(); round++ {
				var told Response
				if n%2 == 0 {
					told = near.Send("POST", "/once/x", "", []byte("body"))
				} else {
					key := fmt.Sprintf("k-%d-%d", n, round)
					told = near.Send("POST", "/send/x", key, []byte("body"))
					far[round%len(far)].Send("POST", "/send/x", key, []byte("body")) // whatever came of it, and by another line
				}
				mu.Lock()
				if n%2 == 0 {
					once = append(once, told)
				}
				if told.Status == 200 {
					served++
				} else {
					lost++
				}
				mu.Unlock()
			}
		})
	}
	for _, x := range far {
		w := near.PathTo(x)
		for _, fault := range []func(){
			func() { relay.Reset(w) },
			func() { relay.Silence(w) },
			func() { relay.Set(rig.Link{Cut: true}, w) },
			func() { relay.Set(rig.Link{Cut: true}, w.Back()) },
			func() { x.Process.Cmd.Process.Signal(syscall.SIGSTOP) },
		} {
			rig.Await(time.Second, func() bool { return x.App.inFlight.Load() > 0 })
			fault()
			time.Sleep(faultDuration)
			relay.Heal()
			x.Process.Cmd.Process.Signal(syscall.SIGCONT)
			assert.Assert(t, rig.Await(testTimeout, func() bool { return near.Send("POST", "/once/x", "", nil).Status == 200 }))
		}
	}
	over.Store(true)
	calls.Wait()
	var seen history.History
	for n, told := range once {
		runs := m.Recorder.Runs(told.Attempt)
		if told.Status == 503 && len(runs) > 0 {
			t.Errorf("%s has run at %v and is told 503", told.Attempt, runs)
		}
		for _, server := range runs {
			seen.Runs = append(seen.Runs, history.Run{At: time.Duration(n), Server: server, Key: told.Attempt, Window: time.Hour, Request: told.Attempt})
		}
	}
	for _, v := range history.AtMostOnce(&seen) {
		t.Error(v)
	}
	m.assertNoViolations(t)
	t.Logf("%d calls served, %d not", served, lost)
	assert.Assert(t, served > 0)
}
