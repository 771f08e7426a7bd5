package replica

import (
	"encoding/binary"
	"net/http"
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/codec"
)

// readIndexReplySize is the size of the body of a reply to codec.CallReadIndex, in bytes: a big-endian uint64.
const readIndexReplySize = 8

// A linearizable read takes two steps (Ongaro's dissertation, section 6.4): get the commit index of a leader that a quorum has confirmed
// since the read began, then wait until this replica has applied the entry at that index. That state contains all changes that were
// acknowledged before the read. A replica that does not lead gets the index from the leader.

// readQueue holds the reads at a leader for which no quorum has confirmed the leader yet.
type readQueue struct {
	lastID uint64
	done   map[uint64]func(ReadIndexResult) // by request ID
}

// newReadQueue returns an empty queue.
func newReadQueue() readQueue {
	return readQueue{done: map[uint64]func(ReadIndexResult){}}
}

// complete completes the read of a ReadState. A ReadState of an unknown read is ignored.
func (q *readQueue) complete(read raft.ReadState) {
	done := q.done[read.RequestID]
	if done == nil {
		return
	}
	delete(q.done, read.RequestID)
	done(ReadIndexResult{Confirmed: read.Index > 0, Index: read.Index})
}

// waiter is a function to call once the entry at index is applied.
type waiter struct {
	index  uint64
	resume func()
}

// ReadIndexResult is the result of ReadIndex. The zero value means that the leader was not confirmed.
type ReadIndexResult struct {
	Confirmed bool   // a quorum has confirmed the leader since the call
	Index     uint64 // index of the entry that must be applied before the state is read; only meaningful if Confirmed
}

// FetchResult is the result of Fetch. The zero value means that the leader was not confirmed.
type FetchResult struct {
	Confirmed bool
	Document  config.Document // only meaningful if Confirmed
}

// ReadIndex determines the index up to which entries must be applied so that the state contains all changes that were acknowledged before
// the call. done is called once.
func (r *Replica) ReadIndex(now time.Duration, done func(ReadIndexResult)) {
	r.advanceTime(now)
	if r.raft.IsLeader() {
		r.readIndexAsLeader(done)
		return
	}
	leader := r.remoteLeaderAddress()
	if leader == "" {
		done(ReadIndexResult{})
		return
	}
	r.forwardToLeader(leader, codec.CallReadIndex, nil, func(reply Reply) {
		if reply.Status != http.StatusOK || len(reply.Body) != readIndexReplySize {
			done(ReadIndexResult{})
			return
		}
		done(ReadIndexResult{Confirmed: true, Index: binary.BigEndian.Uint64(reply.Body)})
	})
}

// readIndexAsLeader implements ReadIndex at the leader.
func (r *Replica) readIndexAsLeader(done func(ReadIndexResult)) {
	r.reads.lastID++
	if !r.raft.ReadIndex(r.now, r.reads.lastID) {
		done(ReadIndexResult{})
		return
	}
	r.reads.done[r.reads.lastID] = done
}

// LinearizableRead calls done with confirmed true once the state contains all changes that were acknowledged before the call, or with
// confirmed false if no leader could be confirmed by a quorum.
func (r *Replica) LinearizableRead(now time.Duration, done func(confirmed bool)) {
	r.ReadIndex(now, func(read ReadIndexResult) {
		if !read.Confirmed {
			done(false)
			return
		}
		r.waiters = append(r.waiters, waiter{read.Index, func() { done(true) }})
		if read.Index <= r.raft.AppliedIndex() {
			r.resumeWaiters()
		}
	})
}

// Fetch reads the configuration, with all changes that were acknowledged before the call. done is called once.
func (r *Replica) Fetch(now time.Duration, done func(FetchResult)) {
	r.LinearizableRead(now, func(confirmed bool) {
		if !confirmed {
			done(FetchResult{})
			return
		}
		done(FetchResult{Confirmed: true, Document: r.state.Items.Document()})
	})
}

// resumeWaiters removes the waiters whose entry is applied and calls them, in the order in which they were added.
func (r *Replica) resumeWaiters() {
	applied := r.raft.AppliedIndex()
	var due, remaining []waiter
	for _, w := range r.waiters {
		if w.index <= applied {
			due = append(due, w)
		} else {
			remaining = append(remaining, w)
		}
	}
	r.waiters = remaining
	for _, w := range due {
		w.resume()
	}
}
