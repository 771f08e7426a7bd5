package testcluster

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testfleet"
)

// Requests of all kinds are served through every sidecar. A key runs once, and its repetitions through any sidecar get the first answer. An
// invalid change is rejected completely, and a valid one becomes active everywhere.
func TestServesAllRouteKinds(t *testing.T) {
	runParallel(t)
	m := startCluster(t, "stock", "stock", "orders", "orders")
	for _, x := range m.Sidecars {
		got := x.awaitServed(t, "GET", "/read/a%20b?c=d&bytes=300000", "")
		assert.Assert(t, strings.HasPrefix(got.Body, "GET /read/a%20b?c=d&bytes=300000 i-side-"), got.Body[:60])
		assert.Assert(t, len(got.Body) > 300_000)
		assert.Equal(t, x.Send("GET", "/none/", "", nil).Status, 404)
		assert.Equal(t, x.Send("POST", "/send/x", "", nil).Status, 400, "a keyed request without its key")
	}
	first := m.Sidecars[0].awaitServed(t, "POST", "/send/x", "k1")
	for _, x := range m.Sidecars {
		again := x.awaitServed(t, "POST", "/send/x", "k1")
		assert.Equal(t, again.Body, first.Body)
		assert.Equal(t, again.Seal, first.Seal)
	}
	status, text := m.Members[1].Modify(ModifyCall(2, nil, RouteItem("read", "idempotent", "/read/", "orders", 2),
		RouteItem("bad", "idempotent", "/bad/", "nobody", 2)))
	assert.Assert(t, status == 400 && strings.Contains(text, `route bad`) && strings.Contains(text, `nobody`), text)
	m.applyRoutes(t, 3, RouteItem("move", "idempotent", "/move/", "orders", 3))
	for _, x := range m.Sidecars {
		x.awaitServedBy(t, "/move/", "i-side-3", "i-side-4")
		assert.Equal(t, x.Send("GET", "/bad/", "", nil).Status, 404)
	}
	m.assertNoViolations(t)
}

// awaitServedBy waits until a request is answered by one of some instances, which are given by prefixes of their names.
func (x *Machine) awaitServedBy(t *testing.T, path string, instances ...string) {
	t.Helper()
	var got Response
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		got = x.Send("GET", path, "", nil)
		for _, instance := range instances {
			if strings.Contains(got.Body, instance) {
				return true
			}
		}
		return false
	}), "%v", got)
}

// The same key is sent to all sidecars at once, and its server breaks some connections: it runs at most once, and all get one answer.
func TestConcurrentKeyRunsOnce(t *testing.T) {
	runParallel(t)
	m := startCluster(t, "orders", "orders", "orders", "stock")
	m.Sidecars[1].App.SetBroken(true)
	for n := range 30 {
		bodies := m.sendEverywhereTwice(fmt.Sprint("key", n))
		assert.Assert(t, len(bodies) <= 1, "%v", bodies)
	}
	m.assertNoViolations(t)
}

// sendEverywhereTwice sends a key twice through each sidecar, all at once, and returns the distinct bodies of successful answers.
func (m *Cluster) sendEverywhereTwice(key string) map[string]bool {
	var all sync.WaitGroup
	var mu sync.Mutex // guards bodies
	bodies := map[string]bool{}
	for _, x := range m.Sidecars {
		for range 2 {
			all.Go(func() {
				if got := x.Send("POST", "/send/x", key, []byte("once")); got.Status == 200 {
					mu.Lock()
					defer mu.Unlock()
					bodies[got.Body] = true
				}
			})
		}
	}
	all.Wait()
	return bodies
}

// Under traffic a server drains, one crashes and is restarted, and a sidecar is killed and restarted: no request runs twice, and none goes
// to a draining server.
func TestInstancesDrainCrashAndRestart(t *testing.T) {
	runParallel(t)
	m := startCluster(t, "stock", "stock", "stock", "orders")
	stop := m.startReads()
	draining, crashing, killed, caller := m.Sidecars[0], m.Sidecars[1], m.Sidecars[2], m.Sidecars[3]
	assert.Assert(t, draining.App.Drain())
	for _, x := range m.Sidecars { // what was in flight has come; nothing new does
		for range 20 {
			got := x.Send("GET", "/read/after", "", nil)
			assert.Assert(t, got.Status != 200 || !strings.Contains(got.Body, draining.App.Instance+" "))
		}
	}
	crashing.App.Crash()
	got := caller.awaitServed(t, "GET", "/read/", "")
	assert.Assert(t, strings.Contains(got.Body, "i-side-3-1"))
	// A new instance at the same address is another server; its sidecar learns of it by the heartbeat.
	assert.NilError(t, crashing.StartApp())
	caller.awaitServedBy(t, "/read/", "i-side-2-2")
	killed.Kill()
	caller.awaitServed(t, "GET", "/read/", "")
	assert.NilError(t, killed.Start())
	caller.awaitServedBy(t, "/read/", "i-side-3-1")
	stop()
	m.assertNoViolations(t)
}

// startReads sends reads through all sidecars, one after the other at each, until it is stopped.
func (m *Cluster) startReads() (stop func()) {
	return m.startSending(func(i, n int) { m.Sidecars[i].Send("GET", fmt.Sprint("/read/", n), "", nil) })
}

// startSending calls send again and again, on a goroutine for each sidecar, until it is stopped. i is the index of the sidecar, and n counts its
// calls from 0.
func (m *Cluster) startSending(send func(i, n int)) (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for i := range m.Sidecars {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
					send(i, n)
				}
			}
		})
	}
	return func() { close(done); all.Wait() }
}
