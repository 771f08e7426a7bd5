package sim

import (
	"net/http"
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/history"
	"cranegrade/internal/mesh/memberselection"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// maxTickInterval is the longest time between two ticks of the selector, as in package sidecar.
const maxTickInterval = time.Second

// controlPlaneConnection carries out what package memberselection decides for a sidecar.
type controlPlaneConnection struct {
	sidecar  *sidecar
	selector *memberselection.Selector
	members  map[memberselection.ConnID]*memberConnection
	waiting  int    // lease requests without an answer
	alarms   uint64 // number of the latest alarm; earlier ones do nothing
}

// memberConnection is a connection to a replica, or a dial in progress.
type memberConnection struct {
	id        memberselection.ConnID
	address   string
	side      *side // nil while it is dialled
	hasSpoken bool
	calls     pendingCalls
}

// current returns the connection to the replica that the sidecar follows, or nil.
func (h *controlPlaneConnection) current() *memberConnection { return h.members[h.selector.Followed()] }

// carryOutAll carries out the selector's actions, and sets the alarm for its next tick.
func (h *controlPlaneConnection) carryOutAll() {
	for actions := h.selector.TakeActions(); len(actions) > 0; actions = h.selector.TakeActions() {
		for _, a := range actions {
			h.carryOut(a)
		}
	}
	h.alarms++
	alarm := h.alarms
	h.sidecar.after(min(maxTickInterval, max(0, h.selector.NextTick()-h.sidecar.now())), func() {
		if h.alarms == alarm {
			h.tick()
		}
	})
}

// tick passes the time to the selector.
func (h *controlPlaneConnection) tick() {
	s := h.sidecar
	if m := h.current(); m != nil {
		h.selector.MessageReceived(s.now(), m.id, s.now()-(s.world.now-m.side.lastHeard))
	}
	h.selector.Tick(s.now())
	h.carryOutAll()
}

func (h *controlPlaneConnection) carryOut(a memberselection.Action) {
	switch a.Kind {
	case memberselection.Dial:
		h.dial(&memberConnection{id: a.ID, address: a.Addr})
	case memberselection.Follow:
		h.sidecar.announceRecord()
	case memberselection.Confirm:
		h.confirm(h.members[a.ID])
	case memberselection.Close:
		h.end(h.members[a.ID])
	}
}

func (h *controlPlaneConnection) dial(m *memberConnection) {
	s := h.sidecar
	h.members[m.id] = m
	s.after(memberselection.DialTimeout, func() {
		if h.members[m.id] == m && !m.hasSpoken {
			h.closed(m)
		}
	})
	s.world.network.dial(s.process, m.address, &wire.HelloT{Name: s.name, Addr: s.address}, func(e *side, _ bool) {
		switch {
		case h.members[m.id] != m:
			if e != nil {
				e.close()
			}
		case e == nil:
			h.closed(m)
		default:
			m.side = e
			e.message = func(x codec.Message) { h.take(m, x) }
			e.closed = func() { h.closed(m) }
		}
	})
}

// end closes a connection, or gives up a dial. Pending calls fail after the present event.
func (h *controlPlaneConnection) end(m *memberConnection) {
	if m == nil {
		return
	}
	delete(h.members, m.id)
	if m.side != nil {
		m.side.close()
	}
	h.sidecar.after(0, m.calls.fail)
}

// closed reports to the selector that a connection or a dial has ended.
func (h *controlPlaneConnection) closed(m *memberConnection) {
	if h.members[m.id] != m {
		return
	}
	h.end(m)
	h.selector.ConnectionClosed(h.sidecar.now(), m.id)
	h.carryOutAll()
}

// take handles a message of a replica.
func (h *controlPlaneConnection) take(m *memberConnection, x codec.Message) {
	if h.members[m.id] != m {
		return
	}
	s := h.sidecar
	if !m.hasSpoken {
		m.hasSpoken = true
		h.selector.FirstMessageReceived(s.now(), m.id)
	}
	switch v := x.Value.(type) {
	case *wire.HeartbeatT:
		h.selector.HeartbeatReceived(s.now(), m.id, v.QuorumContact)
	case *wire.ItemsT:
		s.takeItems(config.ItemsFromWire(v))
	case *wire.MembersT:
		var addresses []string
		for _, member := range v.List {
			addresses = append(addresses, member.Addr)
		}
		h.selector.SetMembers(s.now(), v.Index, addresses)
	case *wire.CallReplyT:
		m.calls.reply(v)
	}
	h.carryOutAll()
}

// confirm requests the complete table, as of a confirmed read, from a replica.
func (h *controlPlaneConnection) confirm(m *memberConnection) {
	s := h.sidecar
	begun := s.world.now
	m.calls.call(s.process, m.side, sidecarCallTimeout, codec.CallItems, nil, func(r replica.Reply) {
		some := h.takeTable(m, begun, r)
		h.selector.ConfirmationReceived(s.now(), m.id, some)
		h.carryOutAll()
	})
}

// takeTable handles the answer to confirm. some is false if there is none, or the table is empty.
func (h *controlPlaneConnection) takeTable(m *memberConnection, begun time.Duration, r replica.Reply) (some bool) {
	if r.Status != http.StatusOK {
		return false
	}
	table, err := codec.DecodeTable(r.Body, func(p []byte) *wire.ItemsT { return wire.GetRootAsItems(p, 0).UnPack() })
	if err != nil {
		return false
	}
	s, items := h.sidecar, config.ItemsFromWire(table)
	s.world.history.Record(history.InitialTable{
		Call:   s.callSince(begun, history.Acknowledged),
		Member: s.world.memberName(m.address), Incarnation: s.incarnation, Items: itemVersions(items),
	})
	s.takeItems(items)
	return len(items) > 0
}

// countWaiting counts lease requests without an answer: while there are some, the selector gives up a silent member sooner.
func (h *controlPlaneConnection) countWaiting(more int) {
	h.waiting += more
	h.selector.SetRequestsWaiting(h.sidecar.now(), h.waiting > 0)
	h.carryOutAll()
}
