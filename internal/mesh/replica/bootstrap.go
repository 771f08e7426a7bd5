package replica

import (
	"hash/fnv"
	"slices"

	"cranegrade/internal/mesh/raft"
)

// Bootstrap decides the first state of a replica with an empty disk.
type Bootstrap struct {
	Address string   // of this replica
	Seeds   []string // addresses of replicas; at the first start of the whole deployment they are its first members
	// FirstStart says that the whole deployment starts for the first time.
	FirstStart bool
	// Damaged says that there was a store, but it was corrupted. The replica may then have voted and acknowledged before, so it must not
	// come back under its former ID.
	Damaged bool
	// NewID is an ID that was never used before. It is even, since the IDs of a bootstrap are odd.
	NewID raft.ID
}

// InitialState returns the state to write to the empty disk. At the first start of the deployment each seed derives the same first members
// from the addresses, without asking the others. Any other replica has a new ID, and has to join as a member: an ID stands for what was
// once saved under it, so it must not be used again after the disk is lost.
func (b Bootstrap) InitialState() raft.StoredState {
	if !b.FirstStart || b.Damaged || !slices.Contains(b.Seeds, b.Address) {
		return raft.StoredState{Self: b.NewID}
	}
	var members []raft.Member
	for _, seed := range b.Seeds {
		members = append(members, raft.Member{ID: founderID(seed), Addr: seed})
	}
	return raft.StoredState{Self: founderID(b.Address), Snapshot: raft.BootstrapSnapshot(members)}
}

// founderID returns the ID of a member of the bootstrap, which every one of them derives from the address in the same way. It is odd.
func founderID(address string) raft.ID {
	h := fnv.New64a()
	h.Write([]byte("founder " + address))
	return raft.ID(h.Sum64() | 1)
}
