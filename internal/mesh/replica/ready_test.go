package replica

import (
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/raft"
)

// fullDiskEnvironment is an Environment whose saves fail while the disk is full.
type fullDiskEnvironment struct {
	recordingEnvironment
	full  bool
	saved []raft.Ready
}

func (e *fullDiskEnvironment) Save(ready raft.Ready, _ uint64) bool {
	if !e.full {
		e.saved = append(e.saved, ready)
	}
	return !e.full
}

// TestUnsavedReadyIsSavedAgain checks that a failed save is retried, and that no message that depends on it is sent before it succeeds.
func TestUnsavedReadyIsSavedAgain(t *testing.T) {
	env := &fullDiskEnvironment{full: true}
	r := newReplicaA(t, env)
	receiveAppend(r, 0, "b", 2, 1, 1, 0, raft.Entry{Index: 2, Term: 2})
	for range 3 {
		assert.Assert(t, !r.ProcessReady())
		assert.Equal(t, len(env.sent), 0)
	}
	env.full = false
	assert.Assert(t, r.ProcessReady())
	assert.Equal(t, len(env.saved), 1)
	assert.Equal(t, len(env.saved[0].Entries), 1)
	assert.Equal(t, env.saved[0].HardState.Term, uint64(2))
	assert.Assert(t, len(env.sent) == 1 && env.sent[0].Kind == raft.AppendResponse && env.sent[0].Index == 2, "%v", env.sent)
}
