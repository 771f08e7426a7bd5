package raft

import "time"

// EntryKind is the kind of an entry. Its values are stored and sent, so they must not change.
type EntryKind uint8

// Kinds of entries.
const (
	EntryNoOp          EntryKind = iota // the first entry of a leader's term (Raft paper, section 8)
	EntryCommand                        // Data is a command for the replicated state machine, not interpreted by this package
	EntryConfiguration                  // Members, Outgoing and ProtocolVersion define the membership from this entry on
)

// String returns the kind's name.
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
	Index uint64 // position in the log; the first entry has index 1
	Term  uint64 // of the leader that appended it
	Kind  EntryKind
	// LogTime is the logical time of the log when the leader appended the entry. It advances while there is a leader, and never faster than
	// real time. The state machine must use no other clock, so that an entry has the same effect on all members.
	LogTime         time.Duration
	Data            []byte   // of an EntryCommand
	Members         []Member // of an EntryConfiguration
	Outgoing        []Member // of a joint EntryConfiguration: the voters before the change
	ProtocolVersion uint32   // of an EntryConfiguration: the version that all Members speak
}

// configuration returns the configuration that an EntryConfiguration defines.
func (e Entry) configuration() Configuration {
	return Configuration{Index: e.Index, Members: e.Members, Outgoing: e.Outgoing, ProtocolVersion: e.ProtocolVersion}
}

// Snapshot replaces the log up to and including Index (Raft paper, section 7).
type Snapshot struct {
	Index              uint64        // of the last entry that the snapshot replaces
	Term               uint64        // of the entry at Index
	LogTime            time.Duration // of the entry at Index
	ConfigurationIndex uint64        // of the entry that defines Members, Outgoing and ProtocolVersion
	Members            []Member
	Data               []byte   // the encoded state machine
	Outgoing           []Member // as in Entry
	ProtocolVersion    uint32   // as in Entry
}

// configuration returns the configuration at the end of the snapshot.
func (s Snapshot) configuration() Configuration {
	return Configuration{Index: s.ConfigurationIndex, Members: s.Members, Outgoing: s.Outgoing, ProtocolVersion: s.ProtocolVersion}
}

// position identifies one entry. Two logs that contain the same entry at a position are equal up to it (Raft paper, section 5.3: Log
// Matching Property).
type position struct {
	index uint64
	term  uint64
}
