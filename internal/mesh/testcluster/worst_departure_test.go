package testcluster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/rig"
)

// A register that is to end for good, its successor being there, ends; 50 ms after it was told so another loses its disk.
func TestDiskLossDuringDeparture(t *testing.T) {
	for _, leads := range []bool{true, false} {
		t.Run(fmt.Sprint("the leader leaves: ", leads), func(t *testing.T) {
			r := newDiskLossTest(t)
			leaves := r.cluster.awaitLeader(t)
			stays := r.cluster.membersExcept(leaves)
			if !leads {
				leaves, stays = stays[0], []*Machine{leaves, stays[1]}
			}
			added, err := r.cluster.AddMember(false)
			assert.NilError(t, err)
			assert.Assert(t, rig.Await(testTimeout, func() bool { s := added.statusPastRelay(); return s != nil && s.AppliedIndex > 0 }), "the successor hears nothing")
			r.writeDurable(t, leaves)
			ended := leaves.terminate(t)
			time.Sleep(diskLossDelay) // this is the fault, not a wait
			stays[0].wipeAndRestart(t)
			ended()
			r.assertSurvives(t, stays[0], stays[1], added)
		})
	}
}
