package sim

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hollyspur/internal/mesh/history"
)

// mostSchedules is in how many schedules a planted error has to be found: ten times as many as were needed at most.
const mostSchedules = 200

// Each planted error is found by a checker of the promise that it breaks.
func TestPlantedErrors(t *testing.T) {
	for _, c := range []struct {
		name    string
		planted Planted
		plan    func(seed uint64) Plan
		by      []string
	}{
		{"answer before sync", Planted{AnswerBeforeSync: true}, Generate, []string{history.CheckDurable, history.CheckLinearizable, history.CheckStale}},
		{"vote not synced", Planted{VoteNotSynced: true}, Generate, []string{history.CheckOneLeader}},
		{"fetch without a quorum", Planted{UnconfirmedFetch: true}, Generate, []string{history.CheckStale}},
		{"table while out of touch", Planted{UnconfirmedTable: true}, Generate, []string{history.CheckStale}},
		{"keys forgotten at a start", Planted{KeysForgotten: true}, Generate, []string{history.CheckOneRun}},
		{"identity kept after a wipe", Planted{IdentityAfterWipe: true}, losses, []string{history.CheckDurable, history.CheckStale, history.CheckLinearizable, checkConvergence}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(mostSchedules) {
				o := swarmOptions(seed)
				o.Planted, o.Plan = c.planted, c.plan(seed)
				r := Run(o)
				if slices.ContainsFunc(r.Violations, func(v history.Violation) bool { return slices.Contains(c.by, v.Checker) }) {
					t.Logf("found in schedule %d: %v", seed+1, r.Violations[0])
					return
				}
			}
			assert.Assert(t, false, "not found in %d schedules", mostSchedules)
		})
	}
}

// losses is a plan of disks that are lost and of followers that were away.
func losses(seed uint64) (p Plan) {
	random := rand.New(rand.NewPCG(seed, 0x10e5))
	for at := 3 * time.Second; at < 15*time.Second; at += time.Second + time.Duration(random.Int64N(int64(2*time.Second))) {
		p = append(p, Fault{At: at, Kind: KillIt, Target: RoleFollower, For: time.Duration(500+random.IntN(1500)) * time.Millisecond},
			Fault{At: at + time.Duration(random.IntN(1000))*time.Millisecond, Kind: WipeIt, Target: targets[random.IntN(len(targets))], For: 20 * time.Millisecond})
	}
	return p
}
