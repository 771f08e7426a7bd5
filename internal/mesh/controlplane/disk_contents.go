package controlplane

import (
	"fmt"
	"io"
	"strings"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/storage"
)

// ErrEmptyDisk is returned by RecoverConfiguration for an empty data folder.
const ErrEmptyDisk = errors.ConstError("the data folder is empty")

// DiskContents describes the data folder of a stopped member, with its whole log applied: one member alone cannot tell which of its
// entries are committed. The JSON is read by operators' tools.
type DiskContents struct {
	Format       int           `json:"format"`
	Empty        bool          `json:"empty"`
	Self         raft.ID       `json:"self"`
	Term         uint64        `json:"term"`
	Vote         raft.ID       `json:"vote"`
	Snapshot     uint64        `json:"snapshot"` // index of the last entry that the snapshot includes
	SnapshotTerm uint64        `json:"snapshotTerm"`
	Last         uint64        `json:"last"` // index of the log's last entry
	Members      []raft.Member `json:"members"`
	Keys         int           `json:"keys"`
	Items        []StoredItem  `json:"items"`
}

// StoredItem is one item of the configuration.
type StoredItem struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Dropped bool   `json:"dropped"`
}

// Inspect reads a data folder without changing it. The member must not run.
func Inspect(dir string) (DiskContents, error) {
	state, contents, err := readDataFolder(dir)
	if err != nil || contents.Empty {
		return contents, err
	}
	contents.Keys = state.KeyLeases.Len()
	for _, item := range state.Items.Items() {
		contents.Items = append(contents.Items, StoredItem{item.Kind.String(), item.Name, item.Version, item.Deleted})
	}
	return contents, nil
}

// RecoverConfiguration returns the request that restores the configuration in a data folder, with its whole log applied, including
// entries that may not be committed. It is for a control plane that has lost more members than it tolerates. The member must not run.
func RecoverConfiguration(dir string) (config.ModifyRequest, error) {
	state, contents, err := readDataFolder(dir)
	if err != nil {
		return config.ModifyRequest{}, err
	}
	if contents.Empty {
		return config.ModifyRequest{}, errors.Annotate(ErrEmptyDisk, dir)
	}
	document := state.Items.Document()
	return config.ModifyRequest{Upsert: &document}, nil
}

// readDataFolder reads a data folder and applies all of its log.
func readDataFolder(dir string) (state replica.State, contents DiskContents, err error) {
	stored, empty, err := storage.OpenReadOnly(dir)
	contents.Format, contents.Empty = storage.FormatVersion, empty
	if err != nil || empty {
		return state, contents, err
	}
	if err := state.Decode(stored.Snapshot.Data); err != nil {
		return state, contents, errors.Annotatef(err, "snapshot of entry %d in %s", stored.Snapshot.Index, dir)
	}
	contents.Members = stored.Snapshot.Members
	for _, entry := range stored.Entries {
		switch entry.Kind {
		case raft.EntryConfiguration:
			contents.Members = entry.Members
		case raft.EntryCommand:
			state.Apply(entry)
		case raft.EntryNoOp:
		}
	}
	contents.Self, contents.Term, contents.Vote = stored.Self, stored.HardState.Term, stored.HardState.Vote
	contents.Snapshot, contents.SnapshotTerm = stored.Snapshot.Index, stored.Snapshot.Term
	contents.Last = stored.Snapshot.Index + uint64(len(stored.Entries))
	return state, contents, nil
}

// WriteText writes the contents in human-readable form.
func (c DiskContents) WriteText(w io.Writer) {
	_, _ = io.WriteString(w, c.String()) // nothing reads the output if the write fails
}

// String returns the contents in human-readable form, one line for each member, item and so on.
func (c DiskContents) String() string {
	if c.Empty {
		return "empty\n"
	}
	var text strings.Builder
	fmt.Fprintf(&text, "format %d\nmember %d\nterm %d, vote %d\n", c.Format, c.Self, c.Term, c.Vote)
	fmt.Fprintf(&text, "snapshot of entry %d (term %d), log to entry %d\n", c.Snapshot, c.SnapshotTerm, c.Last)
	for _, member := range c.Members {
		fmt.Fprintf(&text, "member %d at %s\n", member.ID, member.Addr)
	}
	fmt.Fprintf(&text, "with all of the log applied, committed or not: %d items, %d keys\n", len(c.Items), c.Keys)
	for _, item := range c.Items {
		verb := "present"
		if item.Dropped {
			verb = "dropped"
		}
		fmt.Fprintf(&text, "%s %s version %d, %s\n", item.Kind, item.Name, item.Version, verb)
	}
	return text.String()
}
