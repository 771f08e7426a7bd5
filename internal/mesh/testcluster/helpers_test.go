package testcluster

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testfleet"
)

// testTimeout bounds the wait for an expected condition.
const testTimeout = 20 * time.Second

// programsDir is the folder of the programs that all tests start.
var programsDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mesh")
	if err == nil {
		err = BuildPrograms(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programsDir = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// maxParallelClusters is how many clusters run at once. Each has about six processes, which wait in real time most of the time, but must
// get their turn within a heartbeat.
const maxParallelClusters = 4

// clusterSlots has a token for each running test with a cluster.
var clusterSlots = make(chan struct{}, maxParallelClusters)

// runParallel runs a test of one cluster beside those of other clusters, which share nothing with it. It is called before any other work.
func runParallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots }) // after the cluster is closed
}

// linkPrograms returns a new folder with links to the programs of another one.
func linkPrograms(t *testing.T, from string) (dir string) {
	t.Helper()
	dir = t.TempDir()
	for _, name := range ProgramNames {
		assert.NilError(t, os.Symlink(filepath.Join(from, name), filepath.Join(dir, name)))
	}
	return dir
}

// closeAfter closes a cluster at the end of the test, and prints its processes' logs if the test has failed.
func closeAfter(t *testing.T, m *Cluster) {
	t.Helper()
	if m == nil {
		return
	}
	t.Cleanup(m.Close)
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		for _, x := range m.machines() {
			if x.Process != nil {
				t.Logf("%s:\n%s", x.Name, x.Process.Tail())
			}
		}
	})
}

// startCluster starts a mesh of three members, with a sidecar and a server for each of some services, and applies three routes.
func startCluster(t *testing.T, services ...string) *Cluster {
	t.Helper()
	return startPrograms(t, programsDir, services...)
}

// startPrograms is like startCluster, with the programs of a folder.
func startPrograms(t *testing.T, from string, services ...string) *Cluster {
	t.Helper()
	m, err := New(linkPrograms(t, from), 3, services...)
	closeAfter(t, m)
	assert.NilError(t, err)
	m.applyInitialRoutes(t, RouteItem("move", "idempotent", "/move/", "stock", 1))
	return m
}

// applyInitialRoutes applies the first configuration, which has an idempotent route and a keyed one in addition to the given ones, and
// waits until the sidecars are ready.
func (m *Cluster) applyInitialRoutes(t *testing.T, more ...map[string]any) {
	t.Helper()
	routes := []map[string]any{RouteItem("read", "idempotent", "/read/", "stock", 1), RouteItem("send", "keyed", "/send/", "orders", 1)}
	m.applyRoutes(t, 1, append(routes, more...)...)
	assert.Assert(t, m.AwaitReady(testTimeout), "the sidecars are not ready")
}

// applyRoutes sends routes to the members in turn until one acknowledges them, and returns that member.
func (m *Cluster) applyRoutes(t *testing.T, version int, routes ...map[string]any) *Machine {
	t.Helper()
	return m.awaitAcknowledged(t, m.Members, ModifyCall(version, []string{"stock", "orders"}, routes...))
}

// awaitAcknowledged sends a call to members in turn until one acknowledges it, and returns that member.
func (m *Cluster) awaitAcknowledged(t *testing.T, members []*Machine, call []byte) (by *Machine) {
	t.Helper()
	var status int
	var text string
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		for _, x := range members {
			if x.Process == nil {
				continue
			}
			if status, text = x.Modify(call); status == http.StatusOK {
				by = x
				return true
			}
		}
		return false
	}), "%d %s", status, text)
	return by
}

// awaitConfigHas waits until a member returns the configuration, and checks that it contains a text.
func (x *Machine) awaitConfigHas(t *testing.T, text string) {
	t.Helper()
	var shown string
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		var status int
		status, shown = x.Fetch()
		return status == http.StatusOK
	}), shown)
	assert.Assert(t, strings.Contains(shown, text), shown)
}

// awaitServed waits until a sidecar serves a request, and returns the response.
func (x *Machine) awaitServed(t *testing.T, method, path, key string) (response Response) {
	t.Helper()
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		response = x.Send(method, path, key, []byte("body"))
		return response.Status == http.StatusOK
	}), "%v", response)
	return response
}

// assertNoViolations checks that servers and callers recorded no violation of the protocol.
func (m *Cluster) assertNoViolations(t *testing.T) {
	t.Helper()
	assert.Assert(t, len(m.Recorder.Violations()) == 0, "%v", m.Recorder.Violations())
}
