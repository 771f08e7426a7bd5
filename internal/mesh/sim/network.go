package sim

import (
	"slices"
	"time"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// Times of connections, as the trunk has them.
const (
	heartbeatEvery = 300 * time.Millisecond
	silenceLimit   = 1200 * time.Millisecond
	dialWithin     = 400 * time.Millisecond
)

// Delays of a message when nothing is wrong.
const (
	minDelay  = 100 * time.Microsecond
	maxDelay  = 2 * time.Millisecond
	lateDelay = 30 * time.Millisecond // of one in a hundred
	lateShare = 0.01
	dupeShare = 0.3 // of the messages that disorder affects
)

// network is the links between all processes. Connections keep the order of what goes over them and lose nothing but with
// the connection; a cut link holds what is sent, as a stream that is sent again does. Consensus messages alone may
// be lost, repeated and put out of order besides, which their senders have to bear.
type network struct {
	world    *World
	cuts     map[direction]int // how many cuts stop this direction
	extra    time.Duration     // delay of every message
	disorder float64           // share of consensus messages that are lost, repeated or late
	held     []heldMessage
}

type direction struct{ from, to *process }

type heldMessage struct {
	direction
	deliver func()
}

func (n *network) cut(from, to *process) {
	if n.cuts == nil {
		n.cuts = map[direction]int{}
	}
	n.cuts[direction{from, to}]++
}

func (n *network) heal(from, to *process) {
	d := direction{from, to}
	if n.cuts[d]--; n.cuts[d] > 0 {
		return
	}
	delete(n.cuts, d)
	rest := n.held[:0:0]
	for _, m := range n.held {
		if m.direction == d { // in order, and before anything that is sent from now on
			n.world.after(minDelay, m.deliver)
		} else {
			rest = append(rest, m)
		}
	}
	n.held = rest
}

func (n *network) open(from, to *process) bool { return n.cuts[direction{from, to}] == 0 }

func (n *network) delay() time.Duration {
	w := n.world
	if w.chance(lateShare) {
		return n.extra + w.between(maxDelay, lateDelay)
	}
	return n.extra + w.between(minDelay, maxDelay)
}

// carry brings something from one process to another, or holds it while that direction is cut.
func (n *network) carry(from, to *process, delay time.Duration, deliver func()) {
	if !n.open(from, to) {
		n.held = append(n.held, heldMessage{direction{from, to}, deliver})
		return
	}
	n.world.after(delay, func() {
		if n.open(from, to) {
			deliver()
		} else { // cut while it was under way
			n.held = append(n.held, heldMessage{direction{from, to}, deliver})
		}
	})
}

// side is one side of a connection.
type side struct {
	owner       *process
	incarnation uint64
	peer        *side
	open        bool
	accepts     bool // it was dialled
	arrives     time.Duration
	heard       time.Duration
	message     func(codec.Message)     // called by the owner
	closed      func()                  // the same, once, unless the owner closed it itself
	heartbeat   func() *wire.HeartbeatT // of what the owner says that it is in touch; nil: nothing
}

// dial connects a process with whoever listens at an address. done is given nil where nothing is heard, or, refused, where a
// machine says that nobody listens there.
func (n *network) dial(from *process, address string, hello *wire.HelloT, done func(e *side, refused bool)) {
	w, life := n.world, from.incarnation
	over := false
	finish := func(e *side, refused bool) {
		if over || from.incarnation != life {
			if e != nil {
				e.close()
			}
			return
		}
		over = true
		from.post(func() { done(e, refused) })
	}
	w.after(dialWithin, func() { finish(nil, false) })
	host := w.listener(address)
	if host == nil {
		return
	}
	n.carry(from, host.process, n.delay(), func() {
		if host.dark {
			return
		}
		if !host.up {
			n.carry(host.process, from, n.delay(), func() { finish(nil, true) })
			return
		}
		near := &side{owner: from, incarnation: life, open: true, heard: w.now}
		far := &side{owner: host.process, incarnation: host.incarnation, open: true, accepts: true, heard: w.now, peer: near}
		near.peer = far
		host.ends = append(host.ends, far)
		far.keepAlive(n)
		host.post(func() { host.accept(far, hello) })
		n.carry(host.process, from, n.delay(), func() {
			if over || from.incarnation != life || !from.up {
				near.open = false
				near.tellPeer()
				return
			}
			from.ends = append(from.ends, near)
			near.keepAlive(n)
			finish(near, false)
		})
	})
}

// send sends a message to the other side, in order.
func (e *side) send(message any) { e.sendFrame(codec.Encode(message)) }

func (e *side) sendFrame(frame []byte) {
	if !e.open || !e.owner.up {
		return
	}
	n := &e.owner.world.network
	w := n.world
	at := max(w.now+n.delay(), e.arrives+1)
	e.arrives = at
	e.transmit(n, frame, at-w.now)
}

// sendLoose sends a message that may be lost, repeated or overtaken.
func (e *side) sendLoose(frame []byte) {
	if !e.open || !e.owner.up {
		return
	}
	n := &e.owner.world.network
	w := n.world
	if n.disorder == 0 || !w.chance(n.disorder) {
		e.sendFrame(frame)
		return
	}
	if w.chance(1 / 3.0) {
		w.trace("lost", e.owner.name, e.peer.owner.name, frame)
		return
	}
	e.transmit(n, frame, n.delay()+w.between(0, 300*time.Millisecond))
	if w.chance(dupeShare) {
		e.transmit(n, frame, n.delay()+w.between(0, 300*time.Millisecond))
	}
}

func (e *side) transmit(n *network, frame []byte, delay time.Duration) {
	peer := e.peer
	n.carry(e.owner, peer.owner, delay, func() { peer.arrive(frame) })
}

// arrive takes a frame off the link.
func (e *side) arrive(frame []byte) {
	if !e.open {
		if e.owner.up { // a machine that runs says that there is no such connection
			e.tellPeer()
		}
		return
	}
	w := e.owner.world
	e.heard = w.now
	w.trace("frame", e.peer.owner.name, e.owner.name, frame)
	m, err := codec.Decode(frame[4:])
	if err != nil {
		panic("sim: a frame that was encoded can't be decoded: " + err.Error())
	}
	e.owner.post(func() {
		if e.open && e.message != nil {
			e.message(m)
		}
	})
}

// close closes a side by its owner's will; the other side hears of it if the link is open.
func (e *side) close() {
	if !e.open {
		return
	}
	e.vanish()
	e.tellPeer()
}

// vanish ends a side without a word.
func (e *side) vanish() {
	e.open = false
	e.owner.ends = slices.DeleteFunc(e.owner.ends, func(o *side) bool { return o == e })
}

// tellPeer has the other side find out that this one is closed.
func (e *side) tellPeer() {
	peer := e.peer
	n := &e.owner.world.network
	n.carry(e.owner, peer.owner, n.delay(), peer.lose)
}

// lose ends a side that did not want it.
func (e *side) lose() {
	if !e.open {
		return
	}
	e.vanish()
	if e.owner.up && e.owner.incarnation == e.incarnation {
		e.owner.post(func() {
			if e.closed != nil {
				e.closed()
			}
		})
	}
}

// keepAlive sends heartbeats and finds the other side's silence. A process that waits for its disk still sends them.
func (e *side) keepAlive(n *network) {
	w := n.world
	w.after(heartbeatEvery, func() {
		if !e.open || !e.owner.up || e.owner.incarnation != e.incarnation {
			return
		}
		if !e.owner.frozen {
			if w.now-e.heard > silenceLimit {
				e.lose()
				return
			}
			beat := &wire.HeartbeatT{}
			if e.heartbeat != nil {
				beat = e.heartbeat()
			}
			e.send(beat)
		} else {
			e.heard = w.now // it can't have heard anything
		}
		e.keepAlive(n)
	})
}
