package sim

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// seedsOfPlan is how many seeds a plan without one runs with, every third of them over the real storage.
const seedsOfPlan = 3

// No plan of testdata/plans breaks a promise. The figure that a name begins with is its point in
// docs/design/control.md.
func TestPlans(t *testing.T) {
	files, err := filepath.Glob("testdata/plans/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		o, seeded, err := ParseSchedule(string(text))
		assert.NilError(t, err, file)
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			if seeded {
				assertUnbroken(t, o)
				return
			}
			_, count := seedsOf(t, seedsOfPlan)
			for o.Seed = range count {
				o.Disk = MemoryDisk
				if o.Seed%3 == 2 {
					o.Disk = StorageDisk
				}
				assertUnbroken(t, o)
			}
		})
	}
}

func assertUnbroken(t *testing.T, o Options) {
	t.Helper()
	r := Run(o)
	if len(r.Undecided) > 0 {
		t.Errorf("undecided %v\n%s", r.Undecided, o.Schedule())
	}
	if r.Failed() {
		t.Errorf("%s%s", o.Schedule(), violationText(r))
	}
}

// A schedule is parsed as it was written.
func TestScheduleSurvivesParsing(t *testing.T) {
	for seed := range uint64(50) {
		o := swarmOptions(seed)
		o.Disk = StorageDisk
		read, seeded, err := ParseSchedule(o.Schedule())
		assert.NilError(t, err)
		assert.Assert(t, seeded)
		assert.Equal(t, read.Schedule(), o.Schedule())
	}
	for _, text := range []string{
		"at=1s kind=sneeze", "at=soon kind=kill", "kind", "at=1s kind=kill colour=red", "run colour=red", "at=-1s kind=kill",
	} {
		_, _, err := ParseSchedule(text)
		assert.Assert(t, err != nil, text)
	}
}

// A failing plan is reduced to the faults that it needs.
func TestShrink(t *testing.T) {
	t.Parallel()
	o := swarmOptions(1)
	o.Mutations.KeysForgotten = true
	fails := func(r Result) bool { return r.Failed() }
	for !fails(Run(o)) {
		o = swarmOptions(o.Seed + 1)
		o.Mutations.KeysForgotten = true
	}
	before := len(o.Plan)
	small := Shrink(o, fails)
	t.Logf("from %d faults to:\n%s", before, small.Schedule())
	assert.Assert(t, fails(Run(small)))
	assert.Assert(t, len(small.Plan) < before && len(small.Plan) <= 3, "%d faults of %d", len(small.Plan), before)
}
