package core

import (
	"hash/crc32"
	"time"
)

// Snapshots go in chunks: at most chunkWindow of them are under way to a peer, so that a heartbeat never waits behind more than
// 64 KiB (0.26 s on a link of 2 Mbit/s). A transfer goes on with the snapshot that it began with, whatever is compacted
// meanwhile; the log behind that snapshot is kept for it, up to as many bytes as the snapshot has. Where more is written than that while
// it is being sent, it starts again with the latest. A receiver that restarts begins at the first chunk again; one that has a
// new leader goes on where it was if the new leader's snapshot is the same.
const (
	chunkBytes   = 32 << 10
	chunkWindow  = 2
	mostSnapshot = 1 << 30 // bytes; a larger one is not taken
)

// wholeAgain is the multiple of the election's time after which a peer of the first build, which takes a snapshot in one message
// only, is sent it again.
const wholeAgain = 8

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// transfer is a snapshot under way to a peer.
type transfer struct {
	snapshot    Snapshot
	sum         uint32
	acked, sent uint64        // bytes
	begun       bool          // the chunk at sent was sent, if there is none behind it
	moved       time.Duration // it made progress then, or was taken up again
}

func (t *transfer) total() uint64 { return uint64(len(t.snapshot.Data)) }

// rewind has everything from an offset on sent again.
func (t *transfer) rewind(offset uint64, now time.Duration) {
	offset = min(offset, t.total())
	t.acked, t.sent, t.begun, t.moved = offset, offset, false, now
}

// needsSnapshot says that the log does not reach back to what a peer has.
func (c *Core) needsSnapshot(p *progress) bool {
	_, known := c.termAt(p.next - 1)
	return !known
}

// heartbeat tells a peer that needs a snapshot that the leader is there: it says nothing of the log.
func (c *Core) heartbeat(p *progress) {
	p.sent = c.now
	c.before = append(c.before, Message{Kind: Append, From: c.cfg.Self.ID, To: p.ID, Term: c.term, Commit: c.commit, Seq: c.seq})
}

// sendSnapshot sends as much of a snapshot as may be under way.
func (c *Core) sendSnapshot(p *progress) {
	switch {
	case !p.answered: // its answer to a heartbeat will say what it speaks
	case p.version < 1 || c.version() < 1:
		if p.whole == 0 || c.now-p.whole > wholeAgain*c.cfg.Election {
			s := c.snap
			p.whole = max(c.now, 1)
			c.before = append(c.before, Message{Kind: Install, From: c.cfg.Self.ID, To: p.ID, Term: c.term, Commit: c.commit, Seq: c.seq, Snapshot: &s})
		}
	default:
		c.sendChunks(p)
	}
}

func (c *Core) sendChunks(p *progress) {
	if p.transfer == nil || p.transfer.snapshot.Index < c.base.index {
		p.transfer = c.beginTransfer()
	}
	t := p.transfer
	if c.now-t.moved > c.cfg.Election { // something was lost
		t.rewind(t.acked, c.now)
	}
	chunk := uint64(c.chunk())
	for (t.sent < t.total() || !t.begun) && t.sent-t.acked < chunkWindow*chunk {
		s := t.snapshot
		s.Data = s.Data[t.sent:min(t.sent+chunk, t.total())]
		c.before = append(c.before, Message{Kind: Chunk, From: c.cfg.Self.ID, To: p.ID, Term: c.term, Commit: c.commit, Snapshot: &s,
			Offset: t.sent, Total: t.total(), Sum: t.sum})
		t.sent += uint64(len(s.Data))
		t.begun = true
	}
}

func (c *Core) chunk() int {
	if c.cfg.Chunk > 0 {
		return c.cfg.Chunk
	}
	return chunkBytes
}

// beginTransfer takes the snapshot that is being sent to another, if the log still goes on from it, so that two at most are held.
func (c *Core) beginTransfer() *transfer {
	for _, p := range c.peers {
		if t := p.transfer; t != nil && t.snapshot.Index >= c.base.index {
			return &transfer{snapshot: t.snapshot, sum: t.sum, moved: c.now}
		}
	}
	return &transfer{snapshot: c.snap, sum: crc32.Checksum(c.snap.Data, castagnoli), moved: c.now}
}

// transferred is the index of the oldest snapshot that is being sent, and how many bytes it has; 0: none is.
func (c *Core) transferred() (index uint64, bytes int) {
	for _, p := range c.peers {
		if t := p.transfer; t != nil && (index == 0 || t.snapshot.Index < index) {
			index, bytes = t.snapshot.Index, len(t.snapshot.Data)
		}
	}
	return index, bytes
}

// takeChunked takes a peer's word on how much of a snapshot it has.
func (c *Core) takeChunked(m Message) {
	p := c.peers.get(m.From)
	if c.role != leader || p == nil {
		return
	}
	p.hear(c.now, m)
	t := p.transfer
	if t == nil || t.snapshot.Index != m.Index || t.snapshot.Term != m.LogTerm {
		return
	}
	switch {
	case m.Reject:
		t.rewind(m.Offset, c.now)
	case m.Offset > t.acked && m.Offset <= t.total():
		t.acked, t.sent, t.moved = m.Offset, max(t.sent, m.Offset), c.now
	}
	c.sendSnapshot(p)
}

// assembly is a snapshot that is being received.
type assembly struct {
	index, term, total uint64
	sum                uint32
	data               []byte
}

// of says that a chunk is one of it.
func (a *assembly) of(m Message) bool {
	return a != nil && a.index == m.Snapshot.Index && a.term == m.Snapshot.Term && a.total == m.Total && a.sum == m.Sum
}

// takeChunk takes one chunk, if it is the next; the last of them installs the snapshot, if its sum is right.
func (c *Core) takeChunk(m Message) {
	s := m.Snapshot
	if s == nil || len(s.Members) == 0 || m.Total > mostSnapshot || m.Offset+uint64(len(s.Data)) > m.Total {
		return
	}
	if s.Index <= c.commit {
		c.assembly = nil
		c.after = append(c.after, Message{Kind: Appended, From: c.cfg.Self.ID, To: m.From, Term: c.term, Index: c.commit})
		return
	}
	if !c.assembly.of(m) {
		c.assembly = &assembly{index: s.Index, term: s.Term, total: m.Total, sum: m.Sum}
	}
	a := c.assembly
	reply := Message{Kind: Chunked, From: c.cfg.Self.ID, To: m.From, Term: c.term, Index: s.Index, LogTerm: s.Term}
	if m.Offset == uint64(len(a.data)) {
		a.data = append(a.data, s.Data...)
	} else {
		reply.Reject = m.Offset > uint64(len(a.data)) // else it has come before
	}
	reply.Offset = uint64(len(a.data))
	if reply.Offset < a.total {
		c.after = append(c.after, reply)
		return
	}
	c.assembly = nil
	if crc32.Checksum(a.data, castagnoli) != a.sum {
		reply.Reject, reply.Offset = true, 0
		c.after = append(c.after, reply)
		return
	}
	whole := *s
	whole.Data = a.data
	c.restore(whole)
	c.after = append(c.after, Message{Kind: Appended, From: c.cfg.Self.ID, To: m.From, Term: c.term, Index: c.commit})
}
