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

// TestMain is also the worker: runs start this program again.
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

func testRun(t *testing.T, ctx context.Context, more string, progress func(string)) Results {
	t.Helper()
	x, err := ParseExperiment("test", []byte(testExperiment+more))
	assert.NilError(t, err)
	program, err := os.Executable()
	assert.NilError(t, err)
	r, err := Run(ctx, x, program, func(text string) { t.Log(text); progress(text) })
	assert.NilError(t, err)
	assert.Assert(t, testfleet.Await(5*time.Second, func() bool { return len(children()) == 0 }), "left: %v", children())
	return r
}

// children are the processes that this one has, but for zombies.
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

func TestARunMeasuresEachRole(t *testing.T) {
	r := testRun(t, t.Context(), "", func(string) {})
	assert.Equal(t, r.Stopped, "")
	assert.Equal(t, len(r.Measurements), 1)
	m := r.Measurements[0]
	assert.Equal(t, len(m.Phases), 5)
	for _, p := range m.Phases {
		assert.Assert(t, p.Events > 0, p.Name)
		assert.Equal(t, len(p.Roles), 3, p.Name)
	}
	changes, claims, restarts := m.phase(PhaseChanges), m.phase(PhaseClaims), m.phase(PhaseRestarts)
	assert.Equal(t, changes.Events, 6.0)
	assert.Assert(t, changes.Roles[RoleSidecar].Heard["items"] > 0)
	assert.Assert(t, changes.Delays[DelayInForce].Count > 0, "changes come to force at full sidecars and announcers")
	assert.Assert(t, claims.Delays[DelayGranted].Count > 0)
	assert.Assert(t, claims.Roles[RoleSidecar].Said["ask"] > 0)
	assert.Assert(t, claims.Roles[RoleLeader].Keys > 0)
	assert.Assert(t, restarts.Roles[RoleSidecar].Heard["records"] > 0)
	assert.Assert(t, m.CrashS > 0.9, "three heartbeats of 0.3 s are to be missed: %v", m.CrashS)
	assert.Assert(t, m.Heap > 0 && m.StartAllS > 0 && m.StartOneS > 0)
}

func TestAnInterruptedRunEndsAllAndKeepsWhatItMeasured(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := testRun(t, ctx, "seeds = [1, 2]\nphases = [\"idle\"]\n", func(text string) {
		if strings.Contains(text, "seed 2: started") {
			cancel()
		}
	})
	assert.Assert(t, strings.Contains(r.Stopped, context.Canceled.Error()), r.Stopped)
	assert.Equal(t, len(r.Measurements), 2)
	assert.Equal(t, len(r.Measurements[0].Phases), 1)
	assert.Assert(t, r.Measurements[1].Failed != "")
}

// While the crash of a server is measured that server is closed already.
func TestAnInterruptDuringACrashEndsAll(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := testRun(t, ctx, "phases = [\"idle\"]\nheartbeat_s = 1.0\n", func(text string) {
		if strings.Contains(text, "idle: ") {
			time.AfterFunc(time.Second, cancel) // three heartbeats are to be missed first
		}
	})
	assert.Assert(t, strings.Contains(r.Stopped, context.Canceled.Error()), r.Stopped)
	assert.Equal(t, len(r.Measurements[0].Phases), 1)
}

func TestARunStopsAtItsBoundOnMemory(t *testing.T) {
	x, err := ParseExperiment("test", []byte(testExperiment))
	assert.NilError(t, err)
	program, err := os.Executable()
	assert.NilError(t, err)
	x.MemoryGiB = 0.01 // less than the smallest mesh holds, and than a file may ask for
	x.PhaseS = 10
	r, err := Run(t.Context(), x, program, func(text string) { t.Log(text) })
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(r.Stopped, "memory_gib"), r.Stopped)
	assert.Assert(t, testfleet.Await(5*time.Second, func() bool { return len(children()) == 0 }), "left: %v", children())
}

// Real sidecars and hollow ones are told the same of a change. A comparison counts where one member led throughout.
func TestHollowSidecarsAreToldWhatRealOnesAre(t *testing.T) {
	const tries = 3
	for n := range tries {
		r := testRun(t, t.Context(), "compare = 3\nphases = [\"idle\"]\n", func(string) {})
		assert.Equal(t, r.Stopped, "")
		c := r.Comparison
		assert.Assert(t, c != nil)
		hollow, h := itemsOfChange(c.Hollow)
		alone, a := itemsOfChange(c.Alone)
		real, is := itemsOfChange(c.Real)
		if h && a && is {
			near(t, hollow, real, 0.02)
			near(t, alone, real, 0.02)
			return
		}
		t.Logf("the leader changed in try %d", n+1)
	}
	t.Fatal("no comparison under one leader")
}

// itemsOfChange is what all members say of items for one change; false: the leader changed, or a change was not acknowledged.
func itemsOfChange(m Measurement) (bytes float64, ok bool) {
	p := m.phase(PhaseChanges)
	for _, role := range []string{RoleLeader, RoleFollower, RoleFollower} { // two followers, as a mean
		bytes += p.Roles[role].Said["items"] * p.Seconds / p.Events
	}
	return bytes, !p.LeaderChanged && p.Refused == 0
}
