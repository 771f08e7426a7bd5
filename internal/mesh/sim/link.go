package sim

import (
	"time"

	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// Bounds of a link, as the shell in production has them.
const (
	linkRest    = 200 * time.Millisecond // between two dials
	maxLinkHeld = 32                     // messages that wait while it is dialled; the latest
	quickRest   = 5 * time.Millisecond   // before the first dial after a connection has ended; each later one after twice as long
	quickDials  = 5
)

// link is a replica's connection to another one, dialled when there is something to say, and kept.
type link struct {
	host    *replicaHost
	address string
	end     *side
	dialing bool
	rest    time.Duration // of the host's clock: no dial before
	quick   int           // dials since a connection ended
	held    [][]byte
	calls   pendingCalls
}

// link is the one to an address.
func (h *replicaHost) link(address string) *link {
	l := h.links[address]
	if l == nil {
		l = &link{host: h, address: address}
		h.links[address] = l
		h.linkList = append(h.linkList, l)
	}
	return l
}

func (l *link) connect() *side {
	if l.end != nil && l.end.open {
		return l.end
	}
	h := l.host
	if !l.dialing && h.now() >= l.rest {
		l.dialing = true
		hello := &wire.HelloT{Name: h.name, Addr: h.address, ControlPlane: true, MemberId: uint64(h.replica.Self().ID)}
		h.world.network.dial(h.process, l.address, hello, l.dialed)
	}
	return nil
}

func (l *link) dialed(e *side, refused bool) {
	h := l.host
	l.dialing = false
	l.rest = h.now() + linkRest
	held := l.held
	l.held = nil
	if e == nil {
		if refused {
			h.peerGone(l.address)
		}
		return
	}
	l.end = e
	began := h.now()
	e.message = func(m codec.Message) {
		if t, is := m.Value.(*wire.CallReplyT); is {
			l.calls.reply(t)
		}
	}
	e.closed = func() {
		l.end = nil
		l.calls.fail()
		l.ended(h.now() - began)
	}
	for _, frame := range held {
		e.sendFrame(frame)
	}
	e.send(directory.ToWire(h.replica.Records().All()))
}

// ended dials again soon: that tells whether the peer's process has ended, or only the connection.
func (l *link) ended(lived time.Duration) {
	if lived > linkRest {
		l.quick = 0
	}
	if l.quick >= quickDials {
		return
	}
	wait := quickRest << l.quick
	l.quick++
	l.rest = 0
	l.host.after(wait, func() { l.connect() })
}

// hasten dials at once where there is no connection: the peer has just shown that it runs.
func (l *link) hasten() {
	l.rest = 0
	l.connect()
}

// peerGone passes on that nobody listens at an address any more.
func (h *replicaHost) peerGone(address string) {
	if wait, isLeader := h.replica.PeerExited(h.now(), address); isLeader {
		h.after(wait, func() { h.replica.Tick(h.now()) })
	}
}

// send sends a frame, or holds it while the link is dialled.
func (l *link) send(frame []byte) {
	if e := l.connect(); e != nil {
		e.sendFrame(frame)
		return
	}
	l.hold(frame)
}

// sendLoose sends a frame that may be lost.
func (l *link) sendLoose(frame []byte) {
	if e := l.connect(); e != nil {
		e.sendLoose(frame)
		return
	}
	l.hold(frame)
}

func (l *link) hold(frame []byte) {
	if !l.dialing {
		return
	}
	if len(l.held) >= maxLinkHeld {
		l.held = l.held[1:]
	}
	l.held = append(l.held, frame)
}

func (l *link) call(kind byte, body []byte, done func(replica.Reply)) {
	e := l.connect()
	if e == nil {
		l.host.after(0, func() { done(replica.Unavailable("no connection")) })
		return
	}
	l.calls.call(l.host.process, e, replica.CallTimeout, kind, body, done)
}

// pendingCalls are calls over one connection that wait for their answers.
type pendingCalls struct {
	next uint64
	open []*pendingCall
}

type pendingCall struct {
	id   uint64
	done func(replica.Reply)
}

// call calls; done is called once, by the caller's process.
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

func (a *pendingCalls) take(id uint64) *pendingCall {
	for i, x := range a.open {
		if x.id == id {
			a.open = append(a.open[:i], a.open[i+1:]...)
			return x
		}
	}
	return nil
}

func (a *pendingCalls) reply(t *wire.CallReplyT) {
	if x := a.take(t.Id); x != nil {
		x.done(replica.Reply{Status: int(t.Status), Body: t.Body})
	}
}

// fail answers all that wait: the connection is lost.
func (a *pendingCalls) fail() {
	open := a.open
	a.open = nil
	for _, x := range open {
		x.done(replica.Unavailable("the connection was lost"))
	}
}
