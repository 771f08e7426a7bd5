package controlplane

import (
	"fmt"
	"io"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/storage"
)

// DiskContents is what a data folder holds, with all of its log applied, committed or not.
type DiskContents struct {
	Format       int           `json:"format"`
	Empty        bool          `json:"empty"`
	Self         raft.ID       `json:"self"`
	Term         uint64        `json:"term"`
	Vote         raft.ID       `json:"vote"`
	Snapshot     uint64        `json:"snapshot"` // the entry that it stands for
	SnapshotTerm uint64        `json:"snapshotTerm"`
	Last         uint64        `json:"last"` // entry
	Members      []raft.Member `json:"members"`
	Keys         int           `json:"keys"`
	Items        []StoredItem  `json:"items"`
}

// StoredItem is one item.
type StoredItem struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Dropped bool   `json:"dropped"`
}

// Inspect reads a data folder without changing it.
func Inspect(dir string) (h DiskContents, err error) {
	s, h, err := readDataFolder(dir)
	if err != nil || h.Empty {
		return h, err
	}
	h.Keys = s.KeyLeases.Len()
	for _, i := range s.Items.Items() {
		h.Items = append(h.Items, StoredItem{i.Kind.String(), i.Key.Name, i.Version, i.Deleted})
	}
	return h, nil
}

// RecoverConfiguration is the configuration that a data folder holds, with all of its log applied, committed or not: for a core of which more
// was lost than it bears. It is a call that brings it back.
func RecoverConfiguration(dir string) (config.ModifyRequest, error) {
	s, h, err := readDataFolder(dir)
	if err != nil {
		return config.ModifyRequest{}, err
	}
	if h.Empty {
		return config.ModifyRequest{}, errors.Errorf("%s holds nothing", dir)
	}
	l := s.Items.Document()
	return config.ModifyRequest{Upsert: &l}, nil
}

func readDataFolder(dir string) (s replica.State, h DiskContents, err error) {
	held, empty, err := storage.OpenReadOnly(dir)
	h.Format, h.Empty = storage.FormatVersion, empty
	if err != nil || empty {
		return s, h, err
	}
	if err := s.Decode(held.Snapshot.Data); err != nil {
		return s, h, err
	}
	h.Members = held.Snapshot.Members
	for _, e := range held.Entries {
		if e.Kind == raft.EntryConfiguration {
			h.Members = e.Members
		}
		if e.Kind == raft.EntryCommand {
			s.Apply(e)
		}
	}
	h.Self, h.Term, h.Vote = held.Self, held.HardState.Term, held.HardState.Vote
	h.Snapshot, h.SnapshotTerm, h.Last = held.Snapshot.Index, held.Snapshot.Term, held.Snapshot.Index+uint64(len(held.Entries))
	return s, h, nil
}

// WriteText tells it.
func (h DiskContents) WriteText(w io.Writer) {
	if h.Empty {
		fmt.Fprintln(w, "empty")
		return
	}
	fmt.Fprintf(w, "format %d\nregister %d\nterm %d, vote %d\nsnapshot of entry %d (term %d), log to entry %d\n", h.Format, h.Self, h.Term, h.Vote, h.Snapshot, h.SnapshotTerm, h.Last)
	for _, m := range h.Members {
		fmt.Fprintf(w, "member %d at %s\n", m.ID, m.Addr)
	}
	fmt.Fprintf(w, "with all of the log applied, committed or not: %d items, %d keys\n", len(h.Items), h.Keys)
	for _, i := range h.Items {
		verb := "stands"
		if i.Dropped {
			verb = "dropped"
		}
		fmt.Fprintf(w, "%s %s version %d, %s\n", i.Kind, i.Name, i.Version, verb)
	}
}
