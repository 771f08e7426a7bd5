package replica

import (
	"encoding/binary"
	"net/http"
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/codec"
)

// indexSize is the length of an entry's index in the reply to codec.CallReadIndex, in bytes.
const indexSize = 8

// A linearizable read takes two steps (Ongaro's dissertation, section 6.4): find the commit index of a leader that a quorum has confirmed
// since the read began, then wait until this replica has applied that entry. The first step shows that nothing acknowledged before the
// read is missing, and works at any replica, which asks the leader for it.

// readQueue holds the reads of a leader that are not confirmed yet.
type readQueue struct {
	lastID uint64
	done   map[uint64]func(ReadIndexResult) // by id
}

// newReadQueue returns a queue without reads.
func newReadQueue() readQueue {
	return readQueue{done: map[uint64]func(ReadIndexResult){}}
}

// complete ends a read. An unknown read is ignored.
func (q *readQueue) complete(read raft.ReadState) {
	done := q.done[read.RequestID]
	if done == nil {
		return
	}
	delete(q.done, read.RequestID)
	done(ReadIndexResult{Confirmed: read.Index > 0, Index: read.Index})
}

// waiter is a function to call once an entry is applied.
type waiter struct {
	index  uint64
	resume func()
}

// ReadIndexResult is how a ReadIndex ended. The zero value is that of one that was not confirmed.
type ReadIndexResult struct {
	Confirmed bool   // a quorum has confirmed the leader since the call
	Index     uint64 // the entry up to which the state has to be applied before it is read; only meaningful if Confirmed
}

// FetchResult is how a Fetch ended. The zero value is that of one that was not confirmed.
type FetchResult struct {
	Confirmed bool
	Document  config.Document // only meaningful if Confirmed
}

// ReadIndex finds the index up to which entries must be applied so that nothing that was acknowledged before the call is missing. done
// is called once.
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
		if reply.Status != http.StatusOK || len(reply.Body) != indexSize {
			done(ReadIndexResult{})
			return
		}
		done(ReadIndexResult{Confirmed: true, Index: binary.BigEndian.Uint64(reply.Body)})
	})
}

// readIndexAsLeader is ReadIndex at the leader.
func (r *Replica) readIndexAsLeader(done func(ReadIndexResult)) {
	r.reads.lastID++
	if !r.raft.ReadIndex(r.now, r.reads.lastID) {
		done(ReadIndexResult{})
		return
	}
	r.reads.done[r.reads.lastID] = done
}

// LinearizableRead calls done once the state holds all that was acknowledged before the call, or with confirmed false if the leader can't
// be confirmed by a quorum.
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

// Fetch reads the configuration, which holds all that was acknowledged before the call. done is called once.
func (r *Replica) Fetch(now time.Duration, done func(FetchResult)) {
	r.LinearizableRead(now, func(confirmed bool) {
		if !confirmed {
			done(FetchResult{})
			return
		}
		done(FetchResult{Confirmed: true, Document: r.state.Items.Document()})
	})
}

// resumeWaiters calls the waiters whose entry is applied, in the order in which they were added.
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
