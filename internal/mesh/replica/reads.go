package replica

import (
	"encoding/binary"
	"net/http"
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/codec"
)

// indexSize is the length of an entry's index in the answer to codec.CallReadIndex, in bytes.
const indexSize = 8

// readQueue is the reads that the leader has not confirmed yet.
type readQueue struct {
	lastID uint64
	done   map[uint64]func(index uint64, ok bool) // by id
}

func newReadQueue() readQueue {
	return readQueue{done: map[uint64]func(uint64, bool){}}
}

// complete answers a read; one that is unknown is ignored.
func (q *readQueue) complete(read raft.ReadState) {
	done := q.done[read.RequestID]
	if done == nil {
		return
	}
	delete(q.done, read.RequestID)
	done(read.Index, read.Index > 0)
}

// waiter is what is to be done once an entry is applied.
type waiter struct {
	index  uint64
	resume func()
}

// ReadIndex finds out up to which entry must be applied so that nothing that was acknowledged is missing. ok is false if that can't be
// confirmed.
func (r *Replica) ReadIndex(now time.Duration, done func(index uint64, ok bool)) {
	r.advanceTime(now)
	if r.raft.IsLeader() {
		r.readIndexAsLeader(done)
		return
	}
	leader := r.remoteLeaderAddress()
	if leader == "" {
		done(0, false)
		return
	}
	r.forwardToLeader(leader, codec.CallReadIndex, nil, func(reply Reply) {
		if reply.Status != http.StatusOK || len(reply.Body) != indexSize {
			done(0, false)
			return
		}
		done(binary.BigEndian.Uint64(reply.Body), true)
	})
}

func (r *Replica) readIndexAsLeader(done func(index uint64, ok bool)) {
	r.reads.lastID++
	if !r.raft.ReadIndex(r.now, r.reads.lastID) {
		done(0, false)
		return
	}
	r.reads.done[r.reads.lastID] = done
}

// LinearizableRead calls done once the state holds all that was acknowledged before the call; ok is false if that can't be confirmed.
func (r *Replica) LinearizableRead(now time.Duration, done func(ok bool)) {
	r.ReadIndex(now, func(index uint64, ok bool) {
		if !ok {
			done(false)
			return
		}
		r.waiters = append(r.waiters, waiter{index, func() { done(true) }})
		if index <= r.raft.AppliedIndex() {
			r.resumeWaiters()
		}
	})
}

// Fetch reads the configuration, no older than anything acknowledged before the call; ok is false if that can't be confirmed.
func (r *Replica) Fetch(now time.Duration, done func(document config.Document, ok bool)) {
	r.LinearizableRead(now, func(ok bool) {
		if !ok {
			done(config.Document{}, false)
			return
		}
		done(r.state.Items.Document(), true)
	})
}

// resumeWaiters resumes those whose entry is applied by now, in the order in which they came.
func (r *Replica) resumeWaiters() {
	applied := r.raft.AppliedIndex()
	var due, rest []waiter
	for _, w := range r.waiters {
		if w.index <= applied {
			due = append(due, w)
		} else {
			rest = append(rest, w)
		}
	}
	r.waiters = rest
	for _, w := range due {
		w.resume()
	}
}
