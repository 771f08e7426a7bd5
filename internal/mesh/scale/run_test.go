package scale

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testfleet"
)

// TestMain makes the test program a worker where a run starts it as one.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "worker" {
		if err := ServeWorker(os.Args[2], os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const testExperiment = `
name = "test"
sizes = [4]
full = [2]
services = 2
routes = 2
phase_s = 0.6
settle_s = 0
changes_per_s = 10
claims_per_s = 20
restarts_per_s = 5
keep_bound = true
`

// run runs the test experiment with further lines, and shows that no process is left.
func run(t *testing.T, ctx context.Context, more string, progress func(string)) Results {
	t.Helper()
	experiment, err := ParseExperiment("test", []byte(testExperiment+more))
	assert.NilError(t, err)
	program, err := os.Executable()
	assert.NilError(t, err)
	r, err := Run(ctx, experiment, program, func(text string) { t.Log(text); progress(text) })
	assert.NilError(t, err)
	assert.Assert(t, testfleet.Await(5*time.Second, func() bool { return len(children()) == 0 }), "left: %v", children())
	return r
}

// children returns the processes that this one has started and that have not ended.
func children() (l []string) {
	tasks, _ := filepath.Glob("/proc/self/task/*/children")
	for _, task := range tasks {
		text, _ := os.ReadFile(task)
		for _, pid := range strings.Fields(string(text)) {
			stat, _ := os.ReadFile("/proc/" + pid + "/stat")
			if _, state, ok := strings.Cut(string(stat), ") "); ok && !strings.HasPrefix(state, "Z") {
				l = append(l, pid)
			}
		}
	}
	return l
}

// TestRunMeasuresEachRole shows that a small run gives figures of each phase and role.
func TestRunMeasuresEachRole(t *testing.T) {
	r := run(t, t.Context(), "", func(string) {})
	assert.Equal(t, r.Stopped, "")
	assert.Equal(t, len(r.Measurements), 1)
	m := r.Measurements[0]
	assert.Equal(t, len(m.Phases), 5)
	for _, p := range m.Phases {
		assert.Assert(t, p.Events > 0, p.Name)
		assert.Equal(t, len(p.Roles), 3, p.Name)
	}
	changes, leases, restarts := m.phase(PhaseChanges), m.phase(PhaseLeases), m.phase(PhaseRestarts)
	assert.Equal(t, changes.Events, 6.0)
	assert.Assert(t, changes.Roles[RoleSidecar].Received[trafficItems] > 0)
	assert.Assert(t, changes.Delays[DelayInForce].Count > 0, "changes come to force at full sidecars and announcers")
	assert.Assert(t, leases.Delays[DelayGranted].Count > 0)
	assert.Assert(t, leases.Roles[RoleSidecar].Sent[trafficCall] > 0)
	assert.Assert(t, leases.Roles[RoleLeader].Keys > 0)
	assert.Assert(t, restarts.Roles[RoleSidecar].Received[trafficRecords] > 0)
	assert.Assert(t, m.CrashS > 0.9, "three heartbeats of 0.3 s are to be missed: %v", m.CrashS)
	assert.Assert(t, m.Heap > 0 && m.StartAllS > 0 && m.StartOneS > 0)
}

// TestInterruptedRunKeepsItsMeasurements shows that an interrupt ends all processes, and that what was measured before is in the results.
func TestInterruptedRunKeepsItsMeasurements(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := run(t, ctx, "seeds = [1, 2]\nphases = [\"idle\"]\n", func(text string) {
		if strings.Contains(text, "seed 2: started") {
			cancel()
		}
	})
	assert.Assert(t, strings.Contains(r.Stopped, context.Canceled.Error()), r.Stopped)
	assert.Equal(t, len(r.Measurements), 2)
	assert.Equal(t, len(r.Measurements[0].Phases), 1)
	assert.Assert(t, r.Measurements[1].Failed != "")
}

// TestInterruptDuringACrash shows that a run also ends in order while the crash of a server is measured, which is closed already then.
func TestInterruptDuringACrash(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := run(t, ctx, "phases = [\"idle\"]\nheartbeat_s = 1.0\n", func(text string) {
		if strings.Contains(text, "idle: ") {
			time.AfterFunc(time.Second, cancel) // three heartbeats are to be missed first
		}
	})
	assert.Assert(t, strings.Contains(r.Stopped, context.Canceled.Error()), r.Stopped)
	assert.Equal(t, len(r.Measurements[0].Phases), 1)
}

// TestRunStopsAtItsMemoryLimit shows that a run whose processes use more than memory_gib stops and says why.
func TestRunStopsAtItsMemoryLimit(t *testing.T) {
	experiment, err := ParseExperiment("test", []byte(testExperiment))
	assert.NilError(t, err)
	program, err := os.Executable()
	assert.NilError(t, err)
	experiment.MemoryGiB = 0.01 // less than the smallest mesh holds, and than a file may ask for
	experiment.PhaseS = 10
	r, err := Run(t.Context(), experiment, program, func(text string) { t.Log(text) })
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(r.Stopped, "memory_gib"), r.Stopped)
	assert.Assert(t, testfleet.Await(5*time.Second, func() bool { return len(children()) == 0 }), "left: %v", children())
}

// TestHollowSidecarsAreSentWhatRealOnesAre shows that the control plane sends real sidecars and hollow ones the same for a change. A
// comparison counts if one member led throughout.
func TestHollowSidecarsAreSentWhatRealOnesAre(t *testing.T) {
	const attempts = 3
	for n := range attempts {
		r := run(t, t.Context(), "compare = 3\nphases = [\"idle\"]\n", func(string) {})
		assert.Equal(t, r.Stopped, "")
		c := r.Comparison
		assert.Assert(t, c != nil)
		hollow, hollowOK := itemsOfChange(c.Hollow)
		separate, separateOK := itemsOfChange(c.Separate)
		real, realOK := itemsOfChange(c.Real)
		if hollowOK && separateOK && realOK {
			assertNear(t, hollow, real, 0.02)
			assertNear(t, separate, real, 0.02)
			return
		}
		t.Logf("the leader changed in attempt %d", n+1)
	}
	t.Fatal("no comparison under one leader")
}

// itemsOfChange returns how many bytes of items all members send for one change; ok is false if the leader changed, or a change was not
// acknowledged.
func itemsOfChange(m Measurement) (bytes float64, ok bool) {
	p := m.phase(PhaseChanges)
	for _, role := range []string{RoleLeader, RoleFollower, RoleFollower} { // two followers, as a mean
		bytes += p.Roles[role].Sent[trafficItems] * p.Seconds / p.Events
	}
	return bytes, !p.LeaderChanged && p.Rejected == 0
}
