package vault

import (
	"encoding/hex"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hollyspur/internal/exchange/core"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
)

// Kinds of messages and entries keep their numbers on the wire and on disk.
func TestKindsOfEarlierBuild(t *testing.T) {
	messages := []core.MessageKind{core.Append, core.Appended, core.Ask, core.Asked, core.Elect, core.Elected, core.Install, core.Join, core.NotMember,
		core.Yield, core.Leave, core.MayLeave, core.Chunk, core.Chunked}
	for number, kind := range messages {
		encoded := WireMessage(core.Message{Kind: kind})
		assert.Equal(t, int(encoded.Kind), number)
		decoded, err := MessageOf(&wire.VoteT{Kind: byte(number)})
		assert.NilError(t, err)
		assert.Equal(t, decoded.Kind, kind)
	}
	for number, kind := range []core.Kind{core.Blank, core.Change, core.View} {
		assert.Equal(t, int(WireEntry(core.Entry{Kind: kind}).Kind), number)
	}
}

// A message of the core with all of its fields set has the bytes that earlier builds sent, and is read back whole.
func TestRaftMessageOfEarlierBuild(t *testing.T) {
	members := []core.Member{{ID: 11, Addr: "10.0.0.1:7380"}, {ID: 22, Addr: "10.0.0.2:7380"}}
	outgoing := []core.Member{{ID: 33, Addr: "10.0.0.3:7380"}}
	message := core.Message{Kind: core.Install, From: 11, To: 22, Term: 5, Index: 100, LogTerm: 4, Commit: 99,
		Entries: []core.Entry{
			{Index: 101, Term: 5, Kind: core.Change, Stamp: 2 * time.Second, Data: []byte("change")},
			{Index: 102, Term: 5, Kind: core.View, Stamp: 3 * time.Second, Members: members, Outgoing: outgoing, Version: 1}},
		Reject: true, Hint: 98, Seq: 77,
		Snapshot: &core.Snapshot{Index: 100, Term: 4, Stamp: time.Second, View: 90, Members: members, Data: []byte("state"), Outgoing: outgoing, Version: 1},
		Addr:     "10.0.0.1:7380", Members: members, View: 90, Version: 1, Offset: 32_768, Total: 65_536, Sum: 0xdeadbeef, Leaving: true}
	recorded, err := os.ReadFile("testdata/raft-message.bin")
	assert.NilError(t, err)
	assert.Equal(t, hex.EncodeToString(trunk.Encode(WireMessage(message))), hex.EncodeToString(recorded))
	decoded, err := trunk.Decode(recorded[4:])
	assert.NilError(t, err)
	got, err := MessageOf(decoded.Value.(*wire.VoteT))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, message)
}
