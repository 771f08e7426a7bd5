package controlplane

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/raft/raftwire"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// peerLink is a trunk to another register, dialled when there is something to say and kept.
type peerLink struct {
	member  *Member
	address string

	mu           sync.Mutex // guards below
	connection   *transport.Conn
	dialing      bool
	noDialBefore time.Time // no dial before
	quickRedials int       // redials since a connection ended
	pending      [][]byte  // to be sent when it is up; the latest
}

const maxPendingFrames = 32

const redialInterval = 200 * time.Millisecond

// link is the one to a register.
func (r *Member) link(addr string) *peerLink {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.links[addr]
	if l == nil {
		l = &peerLink{member: r, address: addr}
		r.links[addr] = l
	}
	return l
}

// connect is the connection if there is one; else one is dialled for the next time.
func (l *peerLink) connect() *transport.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connection != nil && l.connection.Err() == nil {
		return l.connection
	}
	if !l.dialing && time.Now().After(l.noDialBefore) {
		l.dialing = true
		go l.dial()
	}
	return nil
}

func (l *peerLink) dial() {
	r := l.member
	hello := &wire.HelloT{Name: r.settings.Load().NodeName, Addr: r.self.Addr, ControlPlane: true, MemberId: uint64(r.self.ID)}
	c, err := transport.Dial(r.ctx, l.address, hello, nil)
	l.mu.Lock()
	l.dialing = false
	l.noDialBefore = time.Now().Add(redialInterval)
	held := l.pending
	l.pending = nil
	if err == nil {
		for _, p := range held {
			c.SendFrame(p)
		}
		l.connection = c
	}
	l.mu.Unlock()
	if err != nil {
		r.log.Debug().Err(err).Msg("link")
		if isConnectionRefused(err) {
			r.post(func() { r.peerGone(l.address) })
		}
		return
	}
	began := time.Now()
	defer func() { l.connectionEnded(time.Since(began)) }()
	c.AddPending(1)
	// What it may have missed.
	r.post(func() { c.Send(directory.ToWire(r.replica.Records().All())) })
	for {
		m, err := c.Receive()
		if err != nil {
			return
		}
		if t, is := m.Value.(*wire.CallReplyT); is {
			r.calls.Deliver(c, t)
		}
	}
}

func (l *peerLink) send(v any) { l.sendFrame(codec.Encode(v)) }

// sendFrame sends a frame, or holds it while the trunk is being dialled.
func (l *peerLink) sendFrame(p []byte) {
	if c := l.connect(); c != nil {
		c.SendFrame(p)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialing {
		if len(l.pending) >= maxPendingFrames {
			l.pending = l.pending[1:]
		}
		l.pending = append(l.pending, p)
	}
}

func (l *peerLink) call(ctx context.Context, kind byte, body []byte) (*wire.CallReplyT, error) {
	c := l.connect()
	if c == nil {
		return nil, errors.New("no trunk to the leader")
	}
	return l.member.calls.Call(ctx, c, kind, body)
}

// acceptConnections takes trunks of registers and lines.
func (r *Member) acceptConnections() {
	for {
		nc, err := r.transportListener.Accept()
		if err != nil {
			select {
			case <-r.stopped:
				return
			case <-time.After(20 * time.Millisecond):
			}
			continue
		}
		go func() {
			c, err := transport.Accept(nc, r.heartbeat)
			if err != nil {
				return
			}
			r.serveConnection(c)
		}()
	}
}

// heartbeat is made on the connections' goroutines. A register whose own goroutine hangs, on a disk for one, is in touch with
// nobody.
func (r *Member) heartbeat() *wire.HeartbeatT {
	return &wire.HeartbeatT{QuorumContact: replica.HasQuorumContact(time.Duration(r.quorumContact.Load()), r.now())}
}

func (r *Member) serveConnection(c *transport.Conn) {
	line := !c.Peer.ControlPlane
	r.post(func() {
		if line {
			r.sidecars[c] = true
			for _, message := range r.replica.InitialMessages() {
				c.Send(message)
			}
		} else {
			r.replica.RememberAddress(raft.ID(c.Peer.MemberId), c.Peer.Addr)
			r.link(c.Peer.Addr).dialNow()
		}
	})
	defer r.post(func() { delete(r.sidecars, c) })
	for {
		m, err := c.Receive()
		if err != nil {
			return
		}
		switch v := m.Value.(type) {
		case *wire.RaftMessageT:
			if x, err := raftwire.MessageFromWire(v); err == nil && !line {
				r.post(func() { r.replica.Step(r.now(), x) })
			}
		case *wire.RecordsT:
			r.post(func() { r.mergeRecords(directory.FromWire(v), c, line) })
		case *wire.CallT:
			switch v.Kind {
			case codec.CallLogRing: // not by Run's goroutine, which may be what hangs
				c.Send(&wire.CallReplyT{Id: v.Id, Status: http.StatusOK, Body: r.logRing.Contents()})
			case codec.CallStatus:
				r.answerStatus(c, v.Id)
			case codec.CallModify:
				go r.answerModify(c, v)
			default:
				r.post(func() { r.answerCall(c, v, line) })
			}
		}
	}
}

// mergeRecords merges records that a line told, or another register.
func (r *Member) mergeRecords(l []directory.Record, from *transport.Conn, direct bool) {
	for _, held := range r.replica.MergeRecords(r.now(), l, direct) {
		from.Send(directory.ToWire([]directory.Record{held}))
	}
}

// answerModify answers another register's call that an operator's call be agreed on. It is not read by Run's goroutine, which has
// heartbeats to answer, nor by that of the trunk, on which they come.
func (r *Member) answerModify(c *transport.Conn, a *wire.CallT) {
	tell := func(reply replica.Reply) {
		c.Send(&wire.CallReplyT{Id: a.Id, Status: uint16(reply.Status), Body: reply.Body})
	}
	call, err := config.ParseUpdate(a.Body)
	if err != nil {
		tell(replica.ErrorReply(err))
		return
	}
	r.post(func() { r.replica.HandleModify(r.now(), call, tell) })
}

// answerCall answers a call of a line or a register.
func (r *Member) answerCall(c *transport.Conn, a *wire.CallT, line bool) {
	r.replica.HandleCall(r.now(), a.Kind, a.Body, line, func(reply replica.Reply) {
		if reply.Push != nil {
			c.Send(reply.Push)
		}
		c.Send(&wire.CallReplyT{Id: a.Id, Status: uint16(reply.Status), Body: reply.Body})
	})
}
