package replica

import (
	"hash/fnv"
	"slices"

	"cranegrade/internal/mesh/raft"
)

// Bootstrap decides what a replica on an empty disk begins as.
type Bootstrap struct {
	Address    string
	Seeds      []string
	FirstStart bool    // of the whole deployment: the seeds are its founders
	Damaged    bool    // there was a disk, and it can't be read
	NewID      raft.ID // never used before, and even: founders' ids are odd
}

// InitialState returns what the replica writes to its empty disk first. A founder knows all the others' ids before it has met them.
// Anyone else has a new id, and has to be taken in as a member.
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

// founderID returns the id of a founder, which all founders derive alike from its address.
func founderID(address string) raft.ID {
	h := fnv.New64a()
	h.Write([]byte("founder " + address))
	return raft.ID(h.Sum64() | 1)
}
