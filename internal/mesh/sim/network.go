package sim

import (
	"slices"
	"time"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// Times of connections, equal to those of package transport.
const (
	heartbeatInterval = 300 * time.Millisecond
	silenceTimeout    = 1200 * time.Millisecond // after which a side counts its peer as gone
	dialTimeout       = 400 * time.Millisecond
)

// Disorder of consensus messages.
const (
	lossShare        = 1 / 3.0                // of the affected messages are lost
	duplicateShare   = 0.3                    // of those that are not lost are repeated
	maxDisorderDelay = 300 * time.Millisecond // of those that are not lost
)

// Delays of messages while there is no fault.
const (
	minDelay  = 100 * time.Microsecond
	maxDelay  = 2 * time.Millisecond
	lateDelay = 30 * time.Millisecond // of the share of late messages
	lateShare = 0.01
)

// network is the links between all processes. As with TCP, a connection keeps the order of messages, loses them only when it is lost
// itself, and delivers what was sent while the link was cut once the cut is healed. Consensus messages alone may also be lost,
// repeated and reordered, which raft has to tolerate.
type network struct {
	world    *World
	cuts     map[direction]int // how many faults cut this direction
	extra    time.Duration     // delay added to every message
	disorder float64           // share of consensus messages that are lost, repeated or late
	held     []heldMessage
}

// direction is one direction of the link between two processes.
type direction struct{ from, to *process }

// heldMessage is a message that waits until a cut is healed.
type heldMessage struct {
	direction
	deliver func()
}

// cut cuts a direction. Several faults may do so at once.
func (n *network) cut(from, to *process) {
	if n.cuts == nil {
		n.cuts = map[direction]int{}
	}
	n.cuts[direction{from, to}]++
}

// heal ends one cut of a direction. After the last one, what waits is delivered.
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

// open reports whether messages pass in a direction.
func (n *network) open(from, to *process) bool { return n.cuts[direction{from, to}] == 0 }

// delay draws the delay of one message.
func (n *network) delay() time.Duration {
	w := n.world
	if w.chance(lateShare) {
		return n.extra + w.between(maxDelay, lateDelay)
	}
	return n.extra + w.between(minDelay, maxDelay)
}

// carry delivers an event from one process to another. If the direction is cut, that waits until the cut is healed.
func (n *network) carry(from, to *process, delay time.Duration, deliver func()) {
	if !n.open(from, to) {
		n.held = append(n.held, heldMessage{direction{from, to}, deliver})
		return
	}
	n.world.after(delay, func() {
		if n.open(from, to) {
			deliver()
		} else { // cut while it was in flight
			n.held = append(n.held, heldMessage{direction{from, to}, deliver})
		}
	})
}

// side is one side of a connection.
type side struct {
	process     *process
	incarnation uint64
	peer        *side
	open        bool
	lastArrival time.Duration
	lastHeard   time.Duration
	message     func(codec.Message)     // called by the process
	closed      func()                  // called by the process, once, unless it closed the connection itself
	heartbeat   func() *wire.HeartbeatT // makes the heartbeats to send; nil for empty ones
}

// dial connects a process to the one that listens at an address. done gets nil if there is no answer in time or, with refused set,
// if the machine is running but no process listens at the address.
func (n *network) dial(from *process, address string, hello *wire.HelloT, done func(e *side, refused bool)) {
	w, incarnation := n.world, from.incarnation
	finished := false
	finish := func(e *side, refused bool) {
		if finished || from.incarnation != incarnation {
			if e != nil {
				e.close()
			}
			return
		}
		finished = true
		from.post(func() { done(e, refused) })
	}
	w.after(dialTimeout, func() { finish(nil, false) })
	host := w.listener(address)
	if host == nil {
		return
	}
	n.carry(from, host.process, n.delay(), func() {
		if host.poweredOff {
			return
		}
		if !host.up {
			n.carry(host.process, from, n.delay(), func() { finish(nil, true) })
			return
		}
		near := &side{process: from, incarnation: incarnation, open: true, lastHeard: w.now}
		far := &side{process: host.process, incarnation: host.incarnation, open: true, lastHeard: w.now, peer: near}
		near.peer = far
		host.connections = append(host.connections, far)
		far.keepAlive(n)
		host.post(func() { host.accept(far, hello) })
		n.carry(host.process, from, n.delay(), func() {
			if finished || from.incarnation != incarnation || !from.up {
				near.open = false
				near.notifyPeer()
				return
			}
			from.connections = append(from.connections, near)
			near.keepAlive(n)
			finish(near, false)
		})
	})
}

// send sends a message to the other side, in order.
func (e *side) send(message any) { e.sendFrame(codec.Encode(message)) }

// sendFrame sends a frame to the other side, in order.
func (e *side) sendFrame(frame []byte) {
	if !e.open || !e.process.up {
		return
	}
	n := &e.process.world.network
	w := n.world
	at := max(w.now+n.delay(), e.lastArrival+1)
	e.lastArrival = at
	e.transmit(n, frame, at-w.now)
}

// sendLoose sends a message that may be lost, repeated or reordered.
func (e *side) sendLoose(frame []byte) {
	if !e.open || !e.process.up {
		return
	}
	n := &e.process.world.network
	w := n.world
	if n.disorder == 0 || !w.chance(n.disorder) {
		e.sendFrame(frame)
		return
	}
	if w.chance(lossShare) {
		w.trace("lost", e.process.name, e.peer.process.name, frame)
		return
	}
	e.transmit(n, frame, n.delay()+w.between(0, maxDisorderDelay))
	if w.chance(duplicateShare) {
		e.transmit(n, frame, n.delay()+w.between(0, maxDisorderDelay))
	}
}

// transmit has a frame arrive at the other side after a delay.
func (e *side) transmit(n *network, frame []byte, delay time.Duration) {
	peer := e.peer
	n.carry(e.process, peer.process, delay, func() { peer.arrive(frame) })
}

// arrive receives a frame.
func (e *side) arrive(frame []byte) {
	if !e.open {
		if e.process.up { // a running machine resets a connection that it does not know
			e.notifyPeer()
		}
		return
	}
	w := e.process.world
	e.lastHeard = w.now
	w.trace("frame", e.peer.process.name, e.process.name, frame)
	m, err := codec.Decode(frame[codec.LengthBytes:])
	if err != nil {
		panic("sim: a frame that was encoded can't be decoded: " + err.Error())
	}
	e.process.post(func() {
		if e.open && e.message != nil {
			e.message(m)
		}
	})
}

// close closes the connection on behalf of the process. The other side is notified if the link is open.
func (e *side) close() {
	if !e.open {
		return
	}
	e.vanish()
	e.notifyPeer()
}

// vanish ends this side without notifying the other one.
func (e *side) vanish() {
	e.open = false
	e.process.connections = slices.DeleteFunc(e.process.connections, func(o *side) bool { return o == e })
}

// notifyPeer notifies the other side that this one is closed.
func (e *side) notifyPeer() {
	peer := e.peer
	n := &e.process.world.network
	n.carry(e.process, peer.process, n.delay(), peer.lose)
}

// lose ends this side because the connection is lost, and notifies the process.
func (e *side) lose() {
	if !e.open {
		return
	}
	e.vanish()
	if e.process.up && e.process.incarnation == e.incarnation {
		e.process.post(func() {
			if e.closed != nil {
				e.closed()
			}
		})
	}
}

// keepAlive sends heartbeats, and ends the connection if nothing arrives for silenceTimeout. A process that waits for its disk still
// sends them.
func (e *side) keepAlive(n *network) {
	w := n.world
	w.after(heartbeatInterval, func() {
		if !e.open || !e.process.up || e.process.incarnation != e.incarnation {
			return
		}
		if !e.process.frozen {
			if w.now-e.lastHeard > silenceTimeout {
				e.lose()
				return
			}
			heartbeat := &wire.HeartbeatT{}
			if e.heartbeat != nil {
				heartbeat = e.heartbeat()
			}
			e.send(heartbeat)
		} else {
			e.lastHeard = w.now // a frozen process receives nothing, which must not count as silence of the peer
		}
		e.keepAlive(n)
	})
}
