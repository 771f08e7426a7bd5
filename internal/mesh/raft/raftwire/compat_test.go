package raftwire

import (
	"encoding/hex"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// The kinds of messages and entries must keep their numbers, which are sent and stored.
func TestKindNumbersUnchanged(t *testing.T) {
	messages := []raft.MessageKind{
		raft.AppendEntries, raft.AppendResponse, raft.PreVote, raft.PreVoteResponse, raft.RequestVote,
		raft.VoteResponse, raft.InstallSnapshot, raft.JoinRequest, raft.NotMember, raft.TimeoutNow, raft.LeaveRequest, raft.LeaveGranted,
		raft.SnapshotChunk, raft.SnapshotChunkResponse,
	}
	for number, kind := range messages {
		encoded := MessageToWire(raft.Message{Kind: kind})
		assert.Equal(t, int(encoded.Kind), number)
		decoded, err := MessageFromWire(&wire.RaftMessageT{Kind: byte(number)})
		assert.NilError(t, err)
		assert.Equal(t, decoded.Kind, kind)
	}
	for number, kind := range []raft.EntryKind{raft.EntryNoOp, raft.EntryCommand, raft.EntryConfiguration} {
		assert.Equal(t, int(EntryToWire(raft.Entry{Kind: kind}).Kind), number)
	}
}

// A Raft message with all of its fields set must be encoded to the recorded bytes of earlier builds, and decoded without loss.
func TestMessageMatchesRecordedBytes(t *testing.T) {
	members := []raft.Member{{ID: 11, Addr: "10.0.0.1:7380"}, {ID: 22, Addr: "10.0.0.2:7380"}}
	outgoing := []raft.Member{{ID: 33, Addr: "10.0.0.3:7380"}}
	message := raft.Message{
		Kind: raft.InstallSnapshot, From: 11, To: 22, Term: 5, Index: 100, LogTerm: 4, Commit: 99, Reject: true, Hint: 98, HeartbeatRound: 77,
		Entries: []raft.Entry{
			{Index: 101, Term: 5, Kind: raft.EntryCommand, LogTime: 2 * time.Second, Data: []byte("change")},
			{
				Index: 102, Term: 5, Kind: raft.EntryConfiguration, LogTime: 3 * time.Second, Members: members, Outgoing: outgoing,
				ProtocolVersion: 1,
			},
		},
		Snapshot: &raft.Snapshot{
			Index: 100, Term: 4, LogTime: time.Second, ConfigurationIndex: 90, Members: members, Outgoing: outgoing,
			ProtocolVersion: 1, Data: []byte("state"),
		},
		Addr: "10.0.0.1:7380", Members: members, ConfigurationIndex: 90, ProtocolVersion: 1, Offset: 32_768, TotalBytes: 65_536,
		Checksum: 0xdeadbeef, Leaving: true,
	}
	recorded, err := os.ReadFile("testdata/raft-message.bin")
	assert.NilError(t, err)
	assert.Equal(t, hex.EncodeToString(codec.Encode(MessageToWire(message))), hex.EncodeToString(recorded))
	decoded, err := codec.Decode(recorded[4:])
	assert.NilError(t, err)
	got, err := MessageFromWire(decoded.Value.(*wire.RaftMessageT))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, message)
}
