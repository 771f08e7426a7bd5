package replica

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/raft"
)

// soloEnvironment is the environment of a replica that is the only member: everything succeeds, and nothing is kept.
type soloEnvironment struct{}

func (soloEnvironment) Send(string, raft.Message)                     {}
func (soloEnvironment) Connect(string)                                {}
func (soloEnvironment) CallReplica(string, byte, []byte, func(Reply)) {}
func (soloEnvironment) Save(raft.Ready, uint64) bool                  { return true }
func (soloEnvironment) Compact(raft.Snapshot, uint64)                 {}
func (soloEnvironment) BroadcastToSidecars(any)                       {}
func (soloEnvironment) BroadcastToReplicas(any)                       {}

// newSoloLeader returns a replica that leads by itself, and the time.
func newSoloLeader(t *testing.T) (*Replica, time.Duration) {
	t.Helper()
	self := raft.Member{ID: 7, Addr: "10.0.0.1:7000"}
	stored := raft.StoredState{Self: self.ID, Snapshot: raft.BootstrapSnapshot([]raft.Member{self})}
	r, err := New(Config{Address: self.Addr, Stored: stored, Log: zerolog.Nop()}, soloEnvironment{}, 0)
	assert.NilError(t, err)
	return r, awaitReadyLeader(t, r)
}

// awaitReadyLeader lets time pass from 0 until a replica leads and may admit updates, and returns the time.
func awaitReadyLeader(t *testing.T, r *Replica) (now time.Duration) {
	t.Helper()
	for ; !r.IsReadyLeader(); now += TickInterval {
		assert.Assert(t, now < time.Minute, "it does not lead")
		r.Tick(now)
		r.ProcessReady()
	}
	return now
}

// recordingEnvironment is an Environment that records what was asked of it.
type recordingEnvironment struct {
	soloEnvironment
	calledAddresses []string
	callbacks       []func(Reply) // of the calls
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

// newReplicaA returns the replica a of the bootstrap members a, b and c.
func newReplicaA(t *testing.T, env Environment) *Replica {
	t.Helper()
	seeds := []string{"a", "b", "c"}
	stored := Bootstrap{Address: "a", Seeds: seeds, FirstStart: true}.InitialState()
	r, err := New(Config{Address: "a", Stored: stored, Seeds: seeds, FaultsTolerated: 1, Log: zerolog.Nop()}, env, 0)
	assert.NilError(t, err)
	return r
}

// newRecordedReplicaA returns the replica a and what it asks of its environment.
func newRecordedReplicaA(t *testing.T) (*Replica, *recordingEnvironment) {
	t.Helper()
	env := &recordingEnvironment{}
	return newReplicaA(t, env), env
}

// receiveAppend has a replica receive entries behind the one of an index and a term from the leader at an address.
func receiveAppend(r *Replica, now time.Duration, leader string, term, index, logTerm, commit uint64, entries ...raft.Entry) {
	r.Step(now, raft.Message{
		Kind: raft.AppendEntries, From: bootstrapID(leader), To: r.self.ID, Term: term, Index: index, LogTerm: logTerm,
		Entries: entries, Commit: commit,
	})
}

// receiveHeartbeat has a replica hear that another leads a term.
func receiveHeartbeat(r *Replica, now time.Duration, leader string, term uint64) {
	receiveAppend(r, now, leader, term, 1, 1, 1)
	r.ProcessReady()
}
