package replica

import (
	"hash/fnv"
	"slices"

	"cranegrade/internal/mesh/raft"
)

// Bootstrap determines the initial state of a replica with an empty disk.
type Bootstrap struct {
	Address string   // of this replica
	Seeds   []string // addresses of replicas; at the first start of the deployment, those of its initial members
	// FirstStart is set if the whole deployment starts for the first time.
	FirstStart bool
	// Damaged is set if a corrupted store was discarded. The replica may have voted and acknowledged entries before, so it must not reuse
	// its former ID.
	Damaged bool
	// NewID is an ID that was never used before. It must be even, since the IDs of the initial members are odd.
	NewID raft.ID
}

// InitialState returns the state to write to the empty disk. At the first start of the deployment each seed derives the same initial
// members from the addresses, without communicating with the others. Any other replica gets the new ID and has to join the cluster: the
// other members rely on the votes and entries that were saved under an ID, so an ID must not be reused after its disk is lost.
func (b Bootstrap) InitialState() raft.StoredState {
	if !b.FirstStart || b.Damaged || !slices.Contains(b.Seeds, b.Address) {
		return raft.StoredState{Self: b.NewID}
	}
	var members []raft.Member
	for _, seed := range b.Seeds {
		members = append(members, raft.Member{ID: bootstrapID(seed), Addr: seed})
	}
	return raft.StoredState{Self: bootstrapID(b.Address), Snapshot: raft.BootstrapSnapshot(members)}
}

// bootstrapID returns the ID of the initial member at address. It is a hash of the address, so that all initial members derive the same ID,
// and it is odd.
func bootstrapID(address string) raft.ID {
	h := fnv.New64a()
	h.Write([]byte("founder " + address))
	return raft.ID(h.Sum64() | 1)
}
