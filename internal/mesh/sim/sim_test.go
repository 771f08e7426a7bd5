package sim

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/history"
	"cranegrade/internal/testkit"
)

// Without a fault no promise is broken, and changes and requests do succeed.
func TestRunWithoutFaults(t *testing.T) {
	began := time.Now()
	r := Run(Options{Seed: 1})
	t.Logf("%d events in %v of %v", r.Events, time.Since(began), r.Simulated)
	assert.Equal(t, len(r.Violations), 0, "%v", r.Violations)
	assert.Assert(t, len(r.History.Runs) > 25, "%d runs", len(r.History.Runs))
	assert.Assert(t, len(r.History.Changes) > 20, "%d changes", len(r.History.Changes))
}

// The same seed and plan give the same run, byte for byte.
func TestRunsAreDeterministic(t *testing.T) {
	t.Parallel()
	testkit.ForSeeds(0, 4, func(seed uint64) {
		var first, second bytes.Buffer
		o := Options{Seed: seed, Plan: Generate(seed), CompactAt: 30, Trace: &first}
		if seed == 3 {
			o.Disk = StorageDisk
		}
		a := Run(o)
		o.Trace = &second
		b := Run(o)
		assert.Check(t, a.TraceHash == b.TraceHash, "seed %d", seed)
		assert.Check(t, bytes.Equal(first.Bytes(), second.Bytes()), "seed %d", seed)
		assert.Check(t, reflect.DeepEqual(a.History, b.History), "seed %d", seed)
	})
}

// seedsOf returns how many seeds a test runs with, and the first of them.
func seedsOf(t *testing.T, usual uint64) (from, count uint64) {
	count = usual
	if text := os.Getenv("MESH_SIM_SEEDS"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
		count = n
	}
	if text := os.Getenv("MESH_SIM_FROM"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
		from = n
	}
	return from, count
}

// swarmOptions returns the options of one seed of the swarm.
func swarmOptions(seed uint64) Options {
	o := Options{Seed: seed, Plan: Generate(seed)}
	if seed%4 != 0 {
		o.CompactAt = 20 + int(seed%5)*30
	}
	if seed%6 == 5 {
		o.Replicas = 5
	}
	return o
}

// No random schedule breaks a promise. MESH_SIM_SEEDS and MESH_SIM_FROM choose how many, and which.
func TestSwarm(t *testing.T) {
	t.Parallel()
	from, count := seedsOf(t, 36)
	began := time.Now()
	var mu sync.Mutex
	failed := 0
	var met coverage
	testkit.ForSeeds(from, count, func(seed uint64) {
		r := Run(swarmOptions(seed))
		mu.Lock()
		defer mu.Unlock()
		met.add(r.History)
		if len(r.Undecided) > 0 {
			t.Errorf("seed %d: undecided %v", seed, r.Undecided)
		}
		if r.Failed() {
			failed++
			t.Errorf("seed %d:\n%s%s", seed, r.Plan, violationText(r))
		}
	})
	t.Logf("%d of %d schedules failed, in %v; %+v", failed, count, time.Since(began), met)
	met.assertAll(t)
}

// coverage counts what happened in the schedules: a swarm in which nothing happens shows nothing.
type coverage struct {
	Acknowledged, Refused, LostAnswers, Leaders, JointChanges, Grants, Denials, Tables int
}

func (c *coverage) add(h *history.History) {
	for _, x := range h.Changes {
		switch x.Outcome {
		case history.Acknowledged:
			c.Acknowledged++
		case history.Refused:
			c.Refused++
		default:
			c.LostAnswers++
		}
	}
	for _, x := range h.Claims {
		switch x.Outcome {
		case history.Acknowledged:
			c.Grants++
		case history.Refused:
			c.Denials++
		case history.Unknown:
		}
	}
	for _, x := range h.Members {
		if len(x.Outgoing) > 0 {
			c.JointChanges++
		}
	}
	c.Leaders += len(h.Leaders)
	c.Tables += len(h.InitialTables)
}

func (c *coverage) assertAll(t *testing.T) {
	t.Helper()
	for _, n := range []int{c.Acknowledged, c.Refused, c.LostAnswers, c.Leaders, c.JointChanges, c.Grants, c.Denials, c.Tables} {
		assert.Assert(t, n > 0, "%+v", *c)
	}
}

func violationText(r Result) (text string) {
	for i, v := range r.Violations {
		if i == 8 {
			return text + fmt.Sprintf("and %d more\n", len(r.Violations)-i)
		}
		text += v.String() + "\n"
	}
	return text
}
