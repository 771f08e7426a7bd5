package raft

import "time"

// EntryKind says what an entry holds. Its values are stored and sent.
type EntryKind uint8

// Kinds of entries.
const (
	EntryNoOp          EntryKind = iota // the first entry of a leader's term (Raft paper, section 8)
	EntryCommand                        // Data for the replicated state, which this package does not read
	EntryConfiguration                  // Members, Outgoing and ProtocolVersion: the membership from this entry on
)

// String is the kind's name.
func (k EntryKind) String() string {
	switch k {
	case EntryNoOp:
		return "no-op"
	case EntryCommand:
		return "command"
	case EntryConfiguration:
		return "configuration"
	}
	return "unknown entry kind"
}

// Entry is one entry of the log.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	// LogTime is the log's own time when the leader appended the entry. It goes on while there is a leader, and never faster than
	// real time.
	LogTime         time.Duration
	Data            []byte
	Members         []Member // of an EntryConfiguration
	Outgoing        []Member // of an EntryConfiguration: the voters before, while the change is joint
	ProtocolVersion uint32   // of an EntryConfiguration: what all Members speak
}

// configuration is what an EntryConfiguration holds.
func (e Entry) configuration() Configuration {
	return Configuration{Index: e.Index, Members: e.Members, Outgoing: e.Outgoing, ProtocolVersion: e.ProtocolVersion}
}

// Snapshot replaces the log up to and including Index (Raft paper, section 7).
type Snapshot struct {
	Index, Term        uint64
	LogTime            time.Duration // of the entry at Index
	ConfigurationIndex uint64        // of the entry that Members, Outgoing and ProtocolVersion are from
	Members            []Member
	Data               []byte   // the replicated state
	Outgoing           []Member // as in Entry
	ProtocolVersion    uint32   // as in Entry
}

// configuration is the one that holds as of the snapshot.
func (s Snapshot) configuration() Configuration {
	return Configuration{Index: s.ConfigurationIndex, Members: s.Members, Outgoing: s.Outgoing, ProtocolVersion: s.ProtocolVersion}
}

// position is the place of one entry. Two logs that have an entry of the same position are equal up to it (Raft paper, section 5.3:
// Log Matching).
type position struct{ index, term uint64 }
