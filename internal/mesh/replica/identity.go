package replica

import (
	"hash/fnv"
	"slices"

	"hollyspur/internal/exchange/core"
	"hollyspur/internal/exchange/vault"
)

// Bootstrap says what a replica on an empty disk begins as.
type Bootstrap struct {
	Address    string
	Seeds      []string
	FirstStart bool    // of the whole deployment: the seeds are its founders
	Damaged    bool    // there was a disk, and it can't be read
	NewID      core.ID // never used before, and even: founders' are odd
}

// InitialState is what the replica writes to its empty disk first. A founder knows all the others' ids before it has met them; anyone
// else is a new id that has to be taken in.
func (b Bootstrap) InitialState() vault.StoredState {
	if !b.FirstStart || b.Damaged || !slices.Contains(b.Seeds, b.Address) {
		return vault.StoredState{Self: b.NewID}
	}
	var members []core.Member
	for _, a := range b.Seeds {
		members = append(members, core.Member{ID: founderID(a), Addr: a})
	}
	return vault.StoredState{Self: founderID(b.Address), Snapshot: core.BootstrapSnapshot(members)}
}

// founderID is the id of a replica that the first seeds name.
func founderID(address string) core.ID {
	h := fnv.New64a()
	h.Write([]byte("founder " + address))
	return core.ID(h.Sum64() | 1)
}
