package replica

import (
	"hash/fnv"
	"slices"

	"cranegrade/internal/mesh/raft"
)

// Bootstrap says what a replica on an empty disk begins as.
type Bootstrap struct {
	Address    string
	Seeds      []string
	FirstStart bool    // of the whole deployment: the seeds are its founders
	Damaged    bool    // there was a disk, and it can't be read
	NewID      raft.ID // never used before, and even: founders' are odd
}

// InitialState is what the replica writes to its empty disk first. A founder knows all the others' ids before it has met them; anyone
// else is a new id that has to be taken in.
func (b Bootstrap) InitialState() raft.StoredState {
	if !b.FirstStart || b.Damaged || !slices.Contains(b.Seeds, b.Address) {
		return raft.StoredState{Self: b.NewID}
	}
	var members []raft.Member
	for _, a := range b.Seeds {
		members = append(members, raft.Member{ID: founderID(a), Addr: a})
	}
	return raft.StoredState{Self: founderID(b.Address), Snapshot: raft.BootstrapSnapshot(members)}
}

// founderID is the id of a replica that the first seeds name.
func founderID(address string) raft.ID {
	h := fnv.New64a()
	h.Write([]byte("founder " + address))
	return raft.ID(h.Sum64() | 1)
}
