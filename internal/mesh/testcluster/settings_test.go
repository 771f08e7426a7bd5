package testcluster

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testfleet"
)

// Settings that change while a program runs are reloaded, with and without SIGHUP: sidecars that start with unreachable seeds become
// ready once the file has others, without a restart.
func TestSettingsReload(t *testing.T) {
	runParallel(t)
	m := startCluster(t, "stock", "orders")
	for n, hup := range []bool{true, false} {
		x := m.Sidecars[n]
		right := m.seeds
		x.Kill()
		assert.NilError(t, x.SetSeeds(m.subnet+".250:9"))
		assert.NilError(t, x.Start())
		var got Response
		assert.Assert(t, testfleet.Await(testTimeout, func() bool { got = x.Send("GET", "/read/", "", nil); return got.Status == 503 }), "%v", got)
		id := x.Process.Cmd.Process.Pid
		assert.NilError(t, x.SetSeeds(right...))
		if hup {
			assert.NilError(t, x.SignalReload())
		}
		x.awaitServed(t, "GET", "/read/", "")
		assert.Assert(t, !x.Process.Crashed() && x.Process.Cmd.Process.Pid == id)
	}
	m.assertNoViolations(t)
}

// After the first start the seeds may change, be fewer, or be down. Members find each other by the addresses on their disks if no seed
// answers, and none of them bootstraps a second control plane; a sidecar finds them by the one seed that is reachable.
func TestSeedsAreReplaced(t *testing.T) {
	runParallel(t)
	m := startCluster(t, "stock", "orders")
	nobody := func(n int) string { return fmt.Sprintf("%s.%d:9", m.subnet, 240+n) }
	for _, x := range m.Members {
		x.Kill()
	}
	for _, x := range m.Members {
		assert.NilError(t, x.SetSeeds(nobody(1), nobody(2), nobody(3)))
		assert.NilError(t, x.Start())
	}
	m.applyRoutes(t, 2, RouteItem("one", "idempotent", "/one/", "stock", 2))
	for _, x := range m.Members {
		x.awaitConfigHas(t, `"/one/"`)
	}
	for n, x := range m.Sidecars {
		x.Kill()
		assert.NilError(t, x.SetSeeds(nobody(1), m.Members[1+n].Addr("ControlPlane"), nobody(2)))
		assert.NilError(t, x.Start())
		x.awaitServed(t, "GET", "/one/", "")
	}
	// A member that lost its disk has only the new seeds, one of which is reachable.
	lost := m.Members[0]
	lost.Kill()
	assert.NilError(t, lost.WipeDisk())
	assert.NilError(t, lost.SetSeeds(nobody(1), m.Members[2].Addr("ControlPlane")))
	assert.NilError(t, lost.Start())
	lost.awaitConfigHas(t, `"/one/"`)
	m.applyRoutes(t, 3, RouteItem("two", "idempotent", "/two/", "stock", 3))
	lost.awaitConfigHas(t, `"/two/"`)
	m.assertNoViolations(t)
}
