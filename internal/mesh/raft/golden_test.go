package raft

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testkit/goldenrecord"
)

// goldenRecord summarizes one run: the number of Readys, and a hash of all of them in order.
type goldenRecord struct {
	Run    string `json:"run"`
	Readys int    `json:"readys"`
	SHA256 string `json:"sha256"` // the first 16 hexadecimal digits
}

// recorder hashes Readys by their numbers and bytes only, so that renaming an identifier does not change the hash.
type recorder struct {
	hash   hash.Hash
	buffer []byte
	readys int
}

func newRecorder() *recorder { return &recorder{hash: sha256.New()} }

// record returns the record of a finished run.
func (r *recorder) record(run string) goldenRecord {
	return goldenRecord{Run: run, Readys: r.readys, SHA256: hex.EncodeToString(r.hash.Sum(nil))[:16]}
}

func (r *recorder) numbers(values ...uint64) {
	for _, value := range values {
		r.buffer = binary.AppendUvarint(r.buffer, value)
	}
}

func (r *recorder) flags(values ...bool) {
	for _, value := range values {
		if value {
			r.numbers(1)
		} else {
			r.numbers(0)
		}
	}
}

func (r *recorder) bytes(data []byte) {
	r.numbers(uint64(len(data)))
	r.buffer = append(r.buffer, data...)
}

func (r *recorder) duration(d time.Duration) { r.buffer = binary.AppendVarint(r.buffer, int64(d)) }

func (r *recorder) members(members []Member) {
	r.numbers(uint64(len(members)))
	for _, member := range members {
		r.numbers(uint64(member.ID))
		r.bytes([]byte(member.Addr))
	}
}

func (r *recorder) entries(entries []Entry) {
	r.numbers(uint64(len(entries)))
	for _, entry := range entries {
		r.numbers(entry.Index, entry.Term, uint64(entry.Kind), uint64(entry.ProtocolVersion))
		r.duration(entry.LogTime)
		r.bytes(entry.Data)
		r.members(entry.Members)
		r.members(entry.Outgoing)
	}
}

func (r *recorder) snapshot(snapshot *Snapshot) {
	r.flags(snapshot != nil)
	if snapshot == nil {
		return
	}
	r.numbers(snapshot.Index, snapshot.Term, snapshot.ConfigurationIndex, uint64(snapshot.ProtocolVersion))
	r.duration(snapshot.LogTime)
	r.bytes(snapshot.Data)
	r.members(snapshot.Members)
	r.members(snapshot.Outgoing)
}

func (r *recorder) messages(messages []Message) {
	r.numbers(uint64(len(messages)))
	for _, message := range messages {
		r.numbers(uint64(message.Kind), uint64(message.From), uint64(message.To), message.Term, message.Index, message.LogTerm,
			message.Commit, message.Hint, message.HeartbeatRound, message.ConfigurationIndex, uint64(message.ProtocolVersion),
			message.Offset, message.TotalBytes, uint64(message.Checksum))
		r.flags(message.Reject, message.Leaving)
		r.bytes([]byte(message.Addr))
		r.entries(message.Entries)
		r.snapshot(message.Snapshot)
		r.members(message.Members)
	}
}

// ready hashes a Ready of one member.
func (r *recorder) ready(id ID, ready Ready) {
	r.readys++
	r.numbers(uint64(id))
	r.messages(ready.MessagesBeforeSave)
	r.messages(ready.MessagesAfterSave)
	r.flags(ready.HardState != nil, ready.MustSync())
	if ready.HardState != nil {
		r.numbers(ready.HardState.Term, uint64(ready.HardState.Vote))
	}
	r.entries(ready.Entries)
	r.snapshot(ready.Snapshot)
	r.entries(ready.CommittedEntries)
	r.numbers(uint64(len(ready.ReadStates)))
	for _, read := range ready.ReadStates {
		r.numbers(read.RequestID, read.Index)
	}
	r.flush()
}

// state hashes the results of a member's accessors.
func (r *recorder) state(id ID, member *Raft, now time.Duration) {
	members, index := member.Members()
	r.numbers(uint64(id), member.Term(), uint64(member.Leader()), member.AppliedIndex(), member.LastIndex(), index,
		uint64(member.EntriesSinceSnapshot()), member.OldestRetainedIndex())
	r.members(members)
	r.flags(member.IsLeader(), member.HasQuorumContact(now), member.IsNonMember(), member.MayLeave(), member.IsCaughtUpLeader())
	for _, voter := range members {
		r.bytes([]byte(member.Addr(voter.ID)))
		r.flags(member.IsRecentlyActive(voter.ID))
	}
	r.flush()
}

func (r *recorder) flush() {
	r.hash.Write(r.buffer)
	r.buffer = r.buffer[:0]
}

// goldenSchedule runs a random schedule. Between its events members transfer leadership, broadcast the commit index, and are told that the
// leader's process has ended, whether or not that is true.
func goldenSchedule(t *testing.T, seed uint64) goldenRecord {
	recorder := newRecorder()
	schedule := newRandomSchedule(seed, 3, 2)
	schedule.observe = func(member *testMember, ready Ready) { recorder.ready(member.self.ID, ready) }
	random := rand.New(rand.NewPCG(seed, 0x601d))
	for event := range 1500 {
		assert.NilError(t, schedule.event(), "seed %d", seed)
		i := random.IntN(len(schedule.nodes))
		member := schedule.nodes[i]
		if schedule.frozen[i] {
			continue
		}
		switch random.IntN(100) {
		case 0:
			member.raft.TransferLeadership(schedule.now)
		case 1:
			member.raft.BroadcastCommit(schedule.now)
		case 2:
			wait, isLeader := member.raft.ReportLeaderExited(schedule.now, member.raft.Leader())
			recorder.duration(wait)
			recorder.flags(isLeader)
		case 3:
			recorder.duration(member.raft.LogTime(schedule.now))
		}
		assert.NilError(t, schedule.processReady(i, noCrash, modelFaults{}), "seed %d", seed)
		if event%50 == 0 {
			recorder.state(member.self.ID, member.raft, schedule.now)
		}
	}
	return recorder.record(fmt.Sprint("schedule ", seed))
}

// goldenMixedVersions runs members of both protocol versions on links that lose messages: a lagging member is sent a snapshot, then loses
// its disk, and another member leaves. The bits of mask select the members of protocol version 0.
func goldenMixedVersions(t *testing.T, mask int) goldenRecord {
	recorder := newRecorder()
	sim := newSimulation(t, uint64(900+mask), "a", "b", "c")
	sim.observe = func(member *testMember, ready Ready) { recorder.ready(member.self.ID, ready) }
	sim.startLegacy(mask)
	sim.loss = 0.05
	laggingAddr := sim.isolateFollower(30, 5, 10<<10)
	delete(sim.isolated, laggingAddr)
	sim.run(4 * time.Second)
	sim.write("after the snapshot")
	sim.startEmpty(laggingAddr, 50)
	sim.run(4 * time.Second)
	sim.write("after the loss of a disk")
	sim.leave(sim.follower(), time.Second)
	sim.run(2 * time.Second)
	for _, addr := range sim.addrs() {
		recorder.state(sim.members[addr].self.ID, sim.members[addr].raft, sim.now)
	}
	return recorder.record(fmt.Sprintf("versions %03b", mask))
}

// The same events must give the same Readys, byte for byte, as when testdata/golden.json was written. After an intended change of
// behaviour run go test -run TestGolden -update.
func TestGolden(t *testing.T) {
	var records []goldenRecord
	for seed := range uint64(40) {
		records = append(records, goldenSchedule(t, seed))
	}
	for mask := range 8 {
		records = append(records, goldenMixedVersions(t, mask))
	}
	goldenrecord.AssertFile(t, records, "\t")
}
