package replica

import (
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// recordingEnvironment is an Environment that keeps what was asked of it.
type recordingEnvironment struct {
	calledAddresses []string // addresses
	callbacks       []func(Reply)
	broadcasts      []any // to sidecars
	sent            []raft.Message
}

func (e *recordingEnvironment) Send(_ string, m raft.Message) { e.sent = append(e.sent, m) }
func (e *recordingEnvironment) Connect(string)                {}
func (e *recordingEnvironment) CallReplica(address string, _ byte, _ []byte, done func(Reply)) {
	e.calledAddresses, e.callbacks = append(e.calledAddresses, address), append(e.callbacks, done)
}
func (e *recordingEnvironment) Save(raft.Ready, uint64) bool  { return true }
func (e *recordingEnvironment) Compact(raft.Snapshot, uint64) {}
func (e *recordingEnvironment) BroadcastToSidecars(message any) {
	e.broadcasts = append(e.broadcasts, message)
}
func (e *recordingEnvironment) BroadcastToReplicas(any) {}

// replicaA is the replica a of a, b and c.
func replicaA(t *testing.T) (*Replica, *recordingEnvironment) {
	e := &recordingEnvironment{}
	seeds := []string{"a", "b", "c"}
	r, err := New(Config{Address: "a", Stored: Bootstrap{Address: "a", Seeds: seeds, FirstStart: true}.InitialState(), Seeds: seeds, FaultsTolerated: 1, Log: zerolog.Nop()}, e, 0)
	assert.NilError(t, err)
	return r, e
}

// receiveHeartbeat has the replica hear that another leads a term.
func receiveHeartbeat(r *Replica, now time.Duration, address string, term uint64) {
	r.Step(now, raft.Message{Kind: raft.AppendEntries, From: founderID(address), To: r.self.ID, Term: term, Index: 1, LogTerm: 1, Commit: 1})
	r.ProcessReady()
}

// A claim that was passed on to a leader which stands still is answered as soon as another leads, once; the sidecars hear at
// once that the replica is in touch again.
func TestForwardedCallsFailWhenTheLeaderChanges(t *testing.T) {
	r, e := replicaA(t)
	receiveHeartbeat(r, 0, "b", 2)
	var replies []Reply
	claim := func(now time.Duration) {
		r.HandleCall(now, codec.CallLeaseKeys, nil, true, func(reply Reply) { replies = append(replies, reply) })
		r.ProcessReady()
	}
	claim(time.Millisecond)
	claim(2 * time.Millisecond)
	e.callbacks[0](Reply{Status: http.StatusOK})
	assert.Equal(t, len(replies), 1)
	for now := time.Duration(0); now < 2*time.Second; now += TickInterval { // b stands still
		r.Tick(now)
		r.ProcessReady()
	}
	assert.Equal(t, r.QuorumContact(), time.Duration(0))
	e.broadcasts = nil
	receiveHeartbeat(r, 2*time.Second, "c", 9)
	assert.Equal(t, len(replies), 2)
	assert.Equal(t, replies[1].Status, http.StatusServiceUnavailable)
	e.callbacks[1](Reply{Status: http.StatusOK}) // too late
	assert.Equal(t, len(replies), 2)
	assert.Equal(t, len(e.broadcasts), 1)
	assert.Assert(t, e.broadcasts[0].(*wire.HeartbeatT).QuorumContact)
	claim(2 * time.Second)
	assert.DeepEqual(t, e.calledAddresses, []string{"b", "b", "c"})
}

// Only the leader's end is a reason to seek another, and Tick is due soon then.
func TestPeerExited(t *testing.T) {
	r, e := replicaA(t)
	receiveHeartbeat(r, 0, "b", 2)
	_, is := r.PeerExited(time.Millisecond, "c")
	assert.Assert(t, !is)
	_, is = r.PeerExited(time.Millisecond, "")
	assert.Assert(t, !is)
	wait, is := r.PeerExited(time.Millisecond, "b")
	assert.Assert(t, is && wait < electionTimeout/2)
	e.sent = nil
	r.Tick(time.Millisecond + wait)
	r.ProcessReady()
	assert.Assert(t, len(e.sent) > 0 && e.sent[0].Kind == raft.PreVote)
}
