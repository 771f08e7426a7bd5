package sim

import (
	"time"

	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// Bounds of a link, equal to those of package controlplane.
const (
	dialInterval    = 200 * time.Millisecond // between two dials
	maxQueuedFrames = 32                     // messages that wait while the link is dialled; older ones are dropped
	redialDelay     = 5 * time.Millisecond   // before the first dial after a connection ended; doubled for each further one
	maxRedials      = 5                      // in a row since a connection ended
)

// link is the connection of a replica to another one. It is dialled when there is something to send, and kept.
type link struct {
	host         *replicaHost
	address      string
	side         *side
	dialing      bool
	noDialBefore time.Duration // no dial before, by the host's clock
	redials      int           // dials since a connection ended
	queue        [][]byte
	calls        pendingCalls
}

// link returns the link to an address.
func (h *replicaHost) link(address string) *link {
	l := h.links[address]
	if l == nil {
		l = &link{host: h, address: address}
		h.links[address] = l
		h.linkList = append(h.linkList, l)
	}
	return l
}

// connect returns the connection. If there is none it returns nil, and starts a dial unless one is in progress or has only just failed.
func (l *link) connect() *side {
	if l.side != nil && l.side.open {
		return l.side
	}
	h := l.host
	if !l.dialing && h.now() >= l.noDialBefore {
		l.dialing = true
		hello := &wire.HelloT{
			Name:         h.name,
			Addr:         h.address,
			ControlPlane: true,
			MemberId:     uint64(h.replica.Self().ID),
		}
		h.world.network.dial(h.process, l.address, hello, l.dialed)
	}
	return nil
}

// dialed handles the end of a dial: e is the connection, or nil if there is none. refused says that no process listens at the address.
func (l *link) dialed(e *side, refused bool) {
	h := l.host
	l.dialing = false
	l.noDialBefore = h.now() + dialInterval
	queued := l.queue
	l.queue = nil
	if e == nil {
		if refused {
			h.peerGone(l.address)
		}
		return
	}
	l.side = e
	began := h.now()
	e.message = func(m codec.Message) {
		if t, is := m.Value.(*wire.CallReplyT); is {
			l.calls.reply(t)
		}
	}
	e.closed = func() {
		l.side = nil
		l.calls.fail()
		l.ended(h.now() - began)
	}
	for _, frame := range queued {
		e.sendFrame(frame)
	}
	e.send(directory.ToWire(h.replica.Records().All()))
}

// ended schedules a dial, to find out whether the peer's process has ended or only the connection.
func (l *link) ended(lived time.Duration) {
	if lived > dialInterval {
		l.redials = 0
	}
	if l.redials >= maxRedials {
		return
	}
	wait := redialDelay << l.redials
	l.redials++
	l.noDialBefore = 0
	l.host.after(wait, func() { l.connect() })
}

// redial dials at once if there is no connection, because the peer has just shown that it is running.
func (l *link) redial() {
	l.noDialBefore = 0
	l.connect()
}

// peerGone reports to the replica that no process listens at an address any more.
func (h *replicaHost) peerGone(address string) {
	if wait, isLeader := h.replica.PeerExited(h.now(), address); isLeader {
		h.after(wait, func() { h.replica.Tick(h.now()) })
	}
}

// send sends a frame, or queues it while the link is dialled.
func (l *link) send(frame []byte) {
	if e := l.connect(); e != nil {
		e.sendFrame(frame)
		return
	}
	l.enqueue(frame)
}

// sendLoose sends a frame that may be lost.
func (l *link) sendLoose(frame []byte) {
	if e := l.connect(); e != nil {
		e.sendLoose(frame)
		return
	}
	l.enqueue(frame)
}

// enqueue queues a frame until the dial in progress has ended.
func (l *link) enqueue(frame []byte) {
	if !l.dialing {
		return
	}
	if len(l.queue) >= maxQueuedFrames {
		l.queue = l.queue[1:]
	}
	l.queue = append(l.queue, frame)
}

// call calls the replica at the other end.
func (l *link) call(kind byte, body []byte, done func(replica.Reply)) {
	e := l.connect()
	if e == nil {
		l.host.after(0, func() { done(replica.Unavailable("no connection")) })
		return
	}
	l.calls.call(l.host.process, e, replica.CallTimeout, kind, body, done)
}

// pendingCalls are the unanswered calls over one connection.
type pendingCalls struct {
	next uint64
	open []*pendingCall
}

// pendingCall is a call without a reply.
type pendingCall struct {
	id   uint64
	done func(replica.Reply)
}

// call sends a call. The caller's process runs done exactly once.
func (a *pendingCalls) call(caller *process, e *side, within time.Duration, kind byte, body []byte, done func(replica.Reply)) {
	a.next++
	id := a.next
	a.open = append(a.open, &pendingCall{id, done})
	e.send(&wire.CallT{Id: id, Kind: kind, Body: body})
	caller.after(within, func() {
		if x := a.take(id); x != nil {
			x.done(replica.Unavailable("no answer in time"))
		}
	})
}

// take removes a call and returns it, or nil if it has ended.
func (a *pendingCalls) take(id uint64) *pendingCall {
	for i, x := range a.open {
		if x.id == id {
			a.open = append(a.open[:i], a.open[i+1:]...)
			return x
		}
	}
	return nil
}

// reply ends the call that a reply is for.
func (a *pendingCalls) reply(t *wire.CallReplyT) {
	if x := a.take(t.Id); x != nil {
		x.done(replica.Reply{Status: int(t.Status), Body: t.Body})
	}
}

// fail completes all pending calls with an error after the connection was lost.
func (a *pendingCalls) fail() {
	open := a.open
	a.open = nil
	for _, x := range open {
		x.done(replica.Unavailable("the connection was lost"))
	}
}
