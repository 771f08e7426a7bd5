package replica

import (
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/raft"
)

// TestBootstrap checks that at the first start of a deployment each seed derives the same initial state independently, whatever the order
// of the seeds in its settings. Other replicas get a new ID and no members: a machine that is not a seed, and one whose disk was lost or is
// damaged.
func TestBootstrap(t *testing.T) {
	const newID raft.ID = 4
	seeds := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	first := Bootstrap{Address: seeds[0], Seeds: seeds, FirstStart: true, NewID: newID}.InitialState()
	assert.Equal(t, len(first.Snapshot.Members), len(seeds))
	assert.Equal(t, first.Self, first.Snapshot.Members[0].ID)
	for n, address := range seeds {
		other := Bootstrap{Address: address, Seeds: []string{seeds[2], seeds[0], seeds[1]}, FirstStart: true, NewID: newID}.InitialState()
		assert.DeepEqual(t, other.Snapshot, first.Snapshot)
		assert.Equal(t, other.Self, first.Snapshot.Members[n].ID)
		assert.Assert(t, other.Self != newID)
	}
	for _, b := range []Bootstrap{
		{Address: "10.0.0.9:7000", Seeds: seeds, FirstStart: true, NewID: newID},
		{Address: seeds[0], Seeds: seeds, NewID: newID},
		{Address: seeds[0], Seeds: seeds, FirstStart: true, Damaged: true, NewID: newID},
	} {
		stored := b.InitialState()
		assert.Equal(t, stored.Self, newID)
		assert.Equal(t, len(stored.Snapshot.Members), 0)
	}
	alone := Bootstrap{Address: seeds[0], Seeds: seeds[:1], FirstStart: true, NewID: newID}.InitialState()
	assert.Equal(t, len(alone.Snapshot.Members), 1)
}
