package replica

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/raft"
)

// soloEnvironment is the environment of a replica that is the only member: saves succeed, and all effects are discarded.
type soloEnvironment struct{}

func (soloEnvironment) Send(string, raft.Message)                     {}
func (soloEnvironment) Connect(string)                                {}
func (soloEnvironment) CallReplica(string, byte, []byte, func(Reply)) {}
func (soloEnvironment) Save(raft.Ready, uint64) bool                  { return true }
func (soloEnvironment) Compact(raft.Snapshot, uint64)                 {}
func (soloEnvironment) BroadcastToSidecars(any)                       {}
func (soloEnvironment) BroadcastToReplicas(any)                       {}

// newSoloLeader returns a leader that is the only member, and the time.
func newSoloLeader(t *testing.T) (*Replica, time.Duration) {
	t.Helper()
	self := raft.Member{ID: 7, Addr: "10.0.0.1:7000"}
	stored := raft.StoredState{Self: self.ID, Snapshot: raft.BootstrapSnapshot([]raft.Member{self})}
	r, err := New(Config{Address: self.Addr, Stored: stored, Log: zerolog.Nop()}, soloEnvironment{}, 0)
	assert.NilError(t, err)
	return r, awaitReadyLeader(t, r)
}

// awaitReadyLeader advances time from 0 until a replica leads and may admit updates, and returns the time.
func awaitReadyLeader(t *testing.T, r *Replica) (now time.Duration) {
	t.Helper()
	for ; !r.IsReadyLeader(); now += TickInterval {
		assert.Assert(t, now < time.Minute, "the replica is not a ready leader within a minute")
		r.Tick(now)
		r.ProcessReady()
	}
	return now
}

// recordingEnvironment is an Environment that records calls, broadcasts and messages.
type recordingEnvironment struct {
	soloEnvironment
	calledAddresses []string
	callbacks       []func(Reply) // the done functions of the calls
	broadcasts      []any         // to sidecars
	sent            []raft.Message
}

func (e *recordingEnvironment) Send(_ string, m raft.Message) { e.sent = append(e.sent, m) }

func (e *recordingEnvironment) CallReplica(address string, _ byte, _ []byte, done func(Reply)) {
	e.calledAddresses, e.callbacks = append(e.calledAddresses, address), append(e.callbacks, done)
}

func (e *recordingEnvironment) BroadcastToSidecars(message any) {
	e.broadcasts = append(e.broadcasts, message)
}

// newReplicaA returns the replica with address a of the bootstrap members a, b and c.
func newReplicaA(t *testing.T, env Environment) *Replica {
	t.Helper()
	seeds := []string{"a", "b", "c"}
	stored := Bootstrap{Address: "a", Seeds: seeds, FirstStart: true}.InitialState()
	r, err := New(Config{Address: "a", Stored: stored, Seeds: seeds, FaultsTolerated: 1, Log: zerolog.Nop()}, env, 0)
	assert.NilError(t, err)
	return r
}

// newRecordedReplicaA returns the replica a and its recording environment.
func newRecordedReplicaA(t *testing.T) (*Replica, *recordingEnvironment) {
	t.Helper()
	env := &recordingEnvironment{}
	return newReplicaA(t, env), env
}

// receiveAppend steps an AppendEntries message from the leader at an address, with entries that follow the entry of index and logTerm.
func receiveAppend(r *Replica, now time.Duration, leader string, term, index, logTerm, commit uint64, entries ...raft.Entry) {
	r.Step(now, raft.Message{
		Kind: raft.AppendEntries, From: bootstrapID(leader), To: r.self.ID, Term: term, Index: index, LogTerm: logTerm,
		Entries: entries, Commit: commit,
	})
}

// receiveHeartbeat steps an empty AppendEntries message from the leader of a term.
func receiveHeartbeat(r *Replica, now time.Duration, leader string, term uint64) {
	receiveAppend(r, now, leader, term, 1, 1, 1)
	r.ProcessReady()
}
