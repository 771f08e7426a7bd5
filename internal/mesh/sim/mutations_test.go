package sim

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/history"
)

// maxSchedules is in how many schedules a mutation has to be found: ten times as many as any needed.
const maxSchedules = 200

// Each mutation is found by a checker of the promise that it breaks.
func TestMutationsAreFound(t *testing.T) {
	for _, c := range []struct {
		name      string
		mutations Mutations
		plan      func(seed uint64) Plan
		by        []string
	}{
		{
			"answer before sync",
			Mutations{AnswerBeforeSync: true},
			Generate,
			[]string{history.CheckDurability, history.CheckLinearizable, history.CheckStaleRead},
		},
		{"vote not synced", Mutations{VoteNotSynced: true}, Generate, []string{history.CheckSingleLeader}},
		{"fetch without a quorum", Mutations{UnconfirmedFetch: true}, Generate, []string{history.CheckStaleRead}},
		{"table while out of touch", Mutations{UnconfirmedTable: true}, Generate, []string{history.CheckStaleRead}},
		{"keys forgotten at a start", Mutations{KeysForgotten: true}, Generate, []string{history.CheckAtMostOnce}},
		{
			"identity kept after a wipe",
			Mutations{IdentityAfterWipe: true},
			losses,
			[]string{history.CheckDurability, history.CheckStaleRead, history.CheckLinearizable, checkConvergence},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(maxSchedules) {
				o := swarmOptions(seed)
				o.Mutations, o.Plan = c.mutations, c.plan(seed)
				r := Run(o)
				if slices.ContainsFunc(r.Violations, func(v history.Violation) bool { return slices.Contains(c.by, v.Checker) }) {
					t.Logf("found in schedule %d: %v", seed+1, r.Violations[0])
					return
				}
			}
			assert.Assert(t, false, "not found in %d schedules", maxSchedules)
		})
	}
}

// losses is a plan in which disks are lost and followers are away.
func losses(seed uint64) (p Plan) {
	random := rand.New(rand.NewPCG(seed, 0x10e5))
	for at := 3 * time.Second; at < 15*time.Second; at += time.Second + time.Duration(random.Int64N(int64(2*time.Second))) {
		p = append(p, Fault{At: at, Kind: FaultKill, Target: RoleFollower, Duration: time.Duration(500+random.IntN(1500)) * time.Millisecond},
			Fault{
				At: at + time.Duration(random.IntN(1000))*time.Millisecond, Kind: FaultWipe, Target: targets[random.IntN(len(targets))],
				Duration: 20 * time.Millisecond,
			})
	}
	return p
}
