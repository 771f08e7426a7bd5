package mesh

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hollyspur/internal/rig"
)

// A register that is to end for good, its successor being there, ends; 50 ms after it was told so another loses its disk.
func TestDepartureThenWipe(t *testing.T) {
	for _, leads := range []bool{true, false} {
		t.Run(fmt.Sprint("the leader leaves: ", leads), func(t *testing.T) {
			r := newLossRun(t)
			leaves := r.m.leader(t)
			stays := r.m.but(leaves)
			if !leads {
				leaves, stays = stays[0], []*Machine{leaves, stays[1]}
			}
			added, err := r.m.AddRegister(false)
			assert.NilError(t, err)
			assert.Assert(t, rig.Await(patience, func() bool { s := added.status(); return s != nil && s.Applied > 0 }), "the successor hears nothing")
			r.keep(t, leaves)
			ended := leaves.term(t)
			time.Sleep(wipeAfter) // this is the fault, not a wait
			stays[0].wipe(t)
			ended()
			r.survives(t, stays[0], stays[1], added)
		})
	}
}
