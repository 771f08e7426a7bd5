package vault

import (
	"time"

	"github.com/juju/errors"

	"hollyspur/internal/exchange/core"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
)

// WireMembers and MembersOf turn members into the trunk's tables and back; so do the others below.
func WireMembers(l []core.Member) (out []*wire.MemberT) {
	for _, m := range l {
		out = append(out, &wire.MemberT{Id: uint64(m.ID), Addr: m.Addr})
	}
	return out
}

// MembersOf reads members.
func MembersOf(l []*wire.MemberT) (out []core.Member) {
	for _, m := range l {
		out = append(out, core.Member{ID: core.ID(m.Id), Addr: m.Addr})
	}
	return out
}

// WireEntry words an entry.
func WireEntry(e core.Entry) *wire.EntryT {
	t := &wire.EntryT{Index: e.Index, Term: e.Term, Kind: byte(e.Kind), Stamp: int64(e.Stamp), Data: e.Data}
	if e.Kind == core.View {
		t.Data = trunk.Bytes(&wire.MembersT{List: WireMembers(e.Members), Index: e.Index, Outgoing: WireMembers(e.Outgoing), Version: e.Version})
	}
	return t
}

// EntryOf reads an entry.
func EntryOf(t *wire.EntryT) (core.Entry, error) {
	e := core.Entry{Index: t.Index, Term: t.Term, Kind: core.Kind(t.Kind), Stamp: time.Duration(t.Stamp), Data: t.Data}
	if e.Kind == core.View {
		m, err := trunk.Parse(t.Data, func(p []byte) *wire.MembersT { return wire.GetRootAsMembers(p, 0).UnPack() })
		if err != nil {
			return e, errors.Annotate(err, "a view")
		}
		e.Members, e.Outgoing, e.Version, e.Data = MembersOf(m.List), MembersOf(m.Outgoing), m.Version, nil
	}
	return e, nil
}

// WireSnapshot words a snapshot.
func WireSnapshot(s *core.Snapshot) *wire.SnapshotT {
	return &wire.SnapshotT{Index: s.Index, Term: s.Term, Stamp: int64(s.Stamp), View: s.View, Members: WireMembers(s.Members), Data: s.Data,
		Outgoing: WireMembers(s.Outgoing), Version: s.Version}
}

// SnapshotOf reads a snapshot.
func SnapshotOf(t *wire.SnapshotT) core.Snapshot {
	return core.Snapshot{Index: t.Index, Term: t.Term, Stamp: time.Duration(t.Stamp), View: t.View, Members: MembersOf(t.Members), Data: t.Data,
		Outgoing: MembersOf(t.Outgoing), Version: t.Version}
}

// WireMessage words a message between registers.
func WireMessage(m core.Message) *wire.VoteT {
	t := &wire.VoteT{Kind: byte(m.Kind), From: uint64(m.From), To: uint64(m.To), Term: m.Term, Index: m.Index, LogTerm: m.LogTerm,
		Commit: m.Commit, Reject: m.Reject, Hint: m.Hint, Seq: m.Seq, Addr: m.Addr, Members: WireMembers(m.Members), View: m.View, Version: m.Version,
		Offset: m.Offset, Total: m.Total, Sum: m.Sum, Leaving: m.Leaving}
	for _, e := range m.Entries {
		t.Entries = append(t.Entries, WireEntry(e))
	}
	if m.Snapshot != nil {
		t.Snapshot = WireSnapshot(m.Snapshot)
	}
	return t
}

// MessageOf reads a message between registers.
func MessageOf(t *wire.VoteT) (core.Message, error) {
	m := core.Message{Kind: core.MessageKind(t.Kind), From: core.ID(t.From), To: core.ID(t.To), Term: t.Term, Index: t.Index, LogTerm: t.LogTerm,
		Commit: t.Commit, Reject: t.Reject, Hint: t.Hint, Seq: t.Seq, Addr: t.Addr, Members: MembersOf(t.Members), View: t.View, Version: t.Version,
		Offset: t.Offset, Total: t.Total, Sum: t.Sum, Leaving: t.Leaving}
	for _, x := range t.Entries {
		e, err := EntryOf(x)
		if err != nil {
			return m, err
		}
		m.Entries = append(m.Entries, e)
	}
	if t.Snapshot != nil {
		s := SnapshotOf(t.Snapshot)
		m.Snapshot = &s
	}
	return m, nil
}
