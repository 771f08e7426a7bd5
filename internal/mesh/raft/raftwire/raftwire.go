// Package raftwire converts Raft messages, entries and snapshots to FlatBuffers tables and back. The tables are sent between control-plane
// members and stored on their disks, so fields may be added but the existing layout must never change; a test compares it with recorded
// bytes in testdata. The functions have no side effects and may be called from any goroutine. Results share byte slices with the
// arguments, so neither may be modified afterwards. The schema is transport/wire.fbs.
package raftwire

import (
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// MembersToWire encodes members.
func MembersToWire(members []raft.Member) (tables []*wire.MemberT) {
	for _, m := range members {
		tables = append(tables, &wire.MemberT{Id: uint64(m.ID), Addr: m.Addr})
	}
	return tables
}

// MembersFromWire decodes members.
func MembersFromWire(tables []*wire.MemberT) (members []raft.Member) {
	for _, t := range tables {
		members = append(members, raft.Member{ID: raft.ID(t.Id), Addr: t.Addr})
	}
	return members
}

// EntryToWire encodes an entry. The members of a configuration entry are encoded as its data.
func EntryToWire(e raft.Entry) *wire.EntryT {
	t := &wire.EntryT{
		Index:     e.Index,
		Term:      e.Term,
		Kind:      byte(e.Kind),
		LogTimeNs: int64(e.LogTime),
		Data:      e.Data,
	}
	if e.Kind == raft.EntryConfiguration {
		t.Data = codec.EncodeTable(&wire.MembersT{
			List:        MembersToWire(e.Members),
			Index:       e.Index,
			Outgoing:    MembersToWire(e.Outgoing),
			RaftVersion: e.ProtocolVersion,
		})
	}
	return t
}

// EntryFromWire decodes an entry. The error wraps codec.ErrMalformedFrame.
func EntryFromWire(t *wire.EntryT) (raft.Entry, error) {
	e := raft.Entry{
		Index:   t.Index,
		Term:    t.Term,
		Kind:    raft.EntryKind(t.Kind),
		LogTime: time.Duration(t.LogTimeNs),
		Data:    t.Data,
	}
	if e.Kind != raft.EntryConfiguration {
		return e, nil
	}
	members, err := codec.DecodeTable(t.Data, func(p []byte) *wire.MembersT { return wire.GetRootAsMembers(p, 0).UnPack() })
	if err != nil {
		return e, errors.Annotatef(err, "decode the members of entry %d", t.Index)
	}
	e.Data = nil
	e.Members = MembersFromWire(members.List)
	e.Outgoing = MembersFromWire(members.Outgoing)
	e.ProtocolVersion = members.RaftVersion
	return e, nil
}

// SnapshotToWire encodes a snapshot.
func SnapshotToWire(s *raft.Snapshot) *wire.SnapshotT {
	return &wire.SnapshotT{
		Index:              s.Index,
		Term:               s.Term,
		LogTimeNs:          int64(s.LogTime),
		ConfigurationIndex: s.ConfigurationIndex,
		Members:            MembersToWire(s.Members),
		Outgoing:           MembersToWire(s.Outgoing),
		RaftVersion:        s.ProtocolVersion,
		Data:               s.Data,
	}
}

// SnapshotFromWire decodes a snapshot.
func SnapshotFromWire(t *wire.SnapshotT) raft.Snapshot {
	return raft.Snapshot{
		Index:              t.Index,
		Term:               t.Term,
		LogTime:            time.Duration(t.LogTimeNs),
		ConfigurationIndex: t.ConfigurationIndex,
		Members:            MembersFromWire(t.Members),
		Outgoing:           MembersFromWire(t.Outgoing),
		ProtocolVersion:    t.RaftVersion,
		Data:               t.Data,
	}
}

// MessageToWire encodes a message between members.
func MessageToWire(m raft.Message) *wire.RaftMessageT {
	t := &wire.RaftMessageT{
		Kind:               byte(m.Kind),
		From:               uint64(m.From),
		To:                 uint64(m.To),
		Term:               m.Term,
		Index:              m.Index,
		LogTerm:            m.LogTerm,
		Commit:             m.Commit,
		Reject:             m.Reject,
		Hint:               m.Hint,
		HeartbeatRound:     m.HeartbeatRound,
		Addr:               m.Addr,
		Members:            MembersToWire(m.Members),
		ConfigurationIndex: m.ConfigurationIndex,
		RaftVersion:        m.ProtocolVersion,
		Offset:             m.Offset,
		TotalBytes:         m.TotalBytes,
		Checksum:           m.Checksum,
		Leaving:            m.Leaving,
	}
	for _, e := range m.Entries {
		t.Entries = append(t.Entries, EntryToWire(e))
	}
	if m.Snapshot != nil {
		t.Snapshot = SnapshotToWire(m.Snapshot)
	}
	return t
}

// MessageFromWire decodes a message between members. The error wraps codec.ErrMalformedFrame.
func MessageFromWire(t *wire.RaftMessageT) (raft.Message, error) {
	m := raft.Message{
		Kind:               raft.MessageKind(t.Kind),
		From:               raft.ID(t.From),
		To:                 raft.ID(t.To),
		Term:               t.Term,
		Index:              t.Index,
		LogTerm:            t.LogTerm,
		Commit:             t.Commit,
		Reject:             t.Reject,
		Hint:               t.Hint,
		HeartbeatRound:     t.HeartbeatRound,
		Addr:               t.Addr,
		Members:            MembersFromWire(t.Members),
		ConfigurationIndex: t.ConfigurationIndex,
		ProtocolVersion:    t.RaftVersion,
		Offset:             t.Offset,
		TotalBytes:         t.TotalBytes,
		Checksum:           t.Checksum,
		Leaving:            t.Leaving,
	}
	for _, entry := range t.Entries {
		e, err := EntryFromWire(entry)
		if err != nil {
			return m, err
		}
		m.Entries = append(m.Entries, e)
	}
	if t.Snapshot != nil {
		s := SnapshotFromWire(t.Snapshot)
		m.Snapshot = &s
	}
	return m, nil
}
