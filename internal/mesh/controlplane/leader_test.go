package controlplane

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/replica"
)

const testAddress = "10.0.0.1:7000"

// soloEnvironment is the environment of a replica without peers or sidecars. Its writes always succeed.
type soloEnvironment struct{}

func (soloEnvironment) Send(string, raft.Message)                             {}
func (soloEnvironment) Connect(string)                                        {}
func (soloEnvironment) CallReplica(string, byte, []byte, func(replica.Reply)) {}
func (soloEnvironment) Save(raft.Ready, uint64) bool                          { return true }
func (soloEnvironment) Compact(raft.Snapshot, uint64)                         {}
func (soloEnvironment) BroadcastToSidecars(any)                               {}
func (soloEnvironment) BroadcastToReplicas(any)                               {}

// soloLeader is the leader of a control plane with one member, and its clock.
type soloLeader struct {
	*replica.Replica
	clock *clock
}

// newSoloLeader returns a leader whose clock the test sets. The clock also advances in real time.
func newSoloLeader(t *testing.T) soloLeader {
	t.Helper()
	self := raft.Member{ID: 7, Addr: testAddress}
	config := replica.Config{
		Address: self.Addr, Log: zerolog.Nop(),
		Stored: raft.StoredState{Self: self.ID, Snapshot: raft.BootstrapSnapshot([]raft.Member{self})},
	}
	r, err := replica.New(config, soloEnvironment{}, 0)
	assert.NilError(t, err)
	now := time.Duration(0)
	for ; !r.IsReadyLeader(); now += replica.TickInterval {
		assert.Assert(t, now < time.Minute, "the replica does not lead")
		r.Tick(now)
		r.ProcessReady()
	}
	return soloLeader{r, &clock{started: time.Now().Add(-now)}}
}

// modify commits a configuration change.
func (l soloLeader) modify(t *testing.T, body string) {
	t.Helper()
	var got replica.Reply
	l.Modify(l.clock.now(), []byte(body), func(reply replica.Reply) { got = reply })
	l.ProcessReady()
	assert.Equal(t, got.Status, 200, string(got.Body))
}
