package replica

import (
	"hash/fnv"
	"slices"

	"cranegrade/internal/mesh/raft"
)

// Bootstrap decides the first state of a replica with an empty disk.
type Bootstrap struct {
	Address    string
	Seeds      []string
	FirstStart bool    // of the whole deployment: the seeds are its first members, the founders
	Damaged    bool    // there was a store, but it was corrupted
	NewID      raft.ID // never used before, and even: founders' ids are odd
}

// InitialState returns the state to write to the empty disk. A founder knows the IDs of all others from their addresses. Any other replica has a
// new ID, and has to join as a member.
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

// founderID returns the ID of a founder, which every founder derives from its address in the same way.
func founderID(address string) raft.ID {
	h := fnv.New64a()
	h.Write([]byte("founder " + address))
	return raft.ID(h.Sum64() | 1)
}
