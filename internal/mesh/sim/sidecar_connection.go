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
	id          memberselection.ConnID
	address     string
	side        *side // nil while it is dialled
	established bool
	calls       pendingCalls
}

// current returns the connection to the replica that the sidecar follows, or nil.
func (c *controlPlaneConnection) current() *memberConnection { return c.members[c.selector.Followed()] }

// performActions carries out the selector's actions, and sets the alarm for its next tick.
func (c *controlPlaneConnection) performActions() {
	for actions := c.selector.TakeActions(); len(actions) > 0; actions = c.selector.TakeActions() {
		for _, a := range actions {
			c.perform(a)
		}
	}
	c.alarms++
	alarm := c.alarms
	c.sidecar.after(min(maxTickInterval, max(0, c.selector.NextTick()-c.sidecar.now())), func() {
		if c.alarms == alarm {
			c.tick()
		}
	})
}

// tick passes the time to the selector.
func (c *controlPlaneConnection) tick() {
	s := c.sidecar
	if m := c.current(); m != nil {
		c.selector.MessageReceived(s.now(), m.id, s.now()-(s.world.now-m.side.lastHeard))
	}
	c.selector.Tick(s.now())
	c.performActions()
}

// perform carries out one action of the selector.
func (c *controlPlaneConnection) perform(a memberselection.Action) {
	switch a.Kind {
	case memberselection.Dial:
		c.dial(&memberConnection{id: a.ID, address: a.Addr})
	case memberselection.Follow:
		c.sidecar.announceRecord()
	case memberselection.Confirm:
		c.confirm(c.members[a.ID])
	case memberselection.Close:
		c.end(c.members[a.ID])
	}
}

// dial dials a replica, and reports to the selector if that fails.
func (c *controlPlaneConnection) dial(m *memberConnection) {
	s := c.sidecar
	c.members[m.id] = m
	s.after(memberselection.DialTimeout, func() {
		if c.members[m.id] == m && !m.established {
			c.closed(m)
		}
	})
	s.world.network.dial(s.process, m.address, &wire.HelloT{Name: s.name, Addr: s.address}, func(e *side, _ bool) {
		switch {
		case c.members[m.id] != m:
			if e != nil {
				e.close()
			}
		case e == nil:
			c.closed(m)
		default:
			m.side = e
			e.message = func(message codec.Message) { c.handle(m, message) }
			e.closed = func() { c.closed(m) }
		}
	})
}

// end closes a connection, or gives up a dial. Pending calls fail after the present event.
func (c *controlPlaneConnection) end(m *memberConnection) {
	if m == nil {
		return
	}
	delete(c.members, m.id)
	if m.side != nil {
		m.side.close()
	}
	c.sidecar.after(0, m.calls.fail)
}

// closed reports to the selector that a connection or a dial has ended.
func (c *controlPlaneConnection) closed(m *memberConnection) {
	if c.members[m.id] != m {
		return
	}
	c.end(m)
	c.selector.ConnectionClosed(c.sidecar.now(), m.id)
	c.performActions()
}

// handle handles a message of a replica.
func (c *controlPlaneConnection) handle(m *memberConnection, message codec.Message) {
	if c.members[m.id] != m {
		return
	}
	s := c.sidecar
	if !m.established {
		m.established = true
		c.selector.FirstMessageReceived(s.now(), m.id)
	}
	switch v := message.Value.(type) {
	case *wire.HeartbeatT:
		c.selector.HeartbeatReceived(s.now(), m.id, v.QuorumContact)
	case *wire.ItemsT:
		s.mergeItems(config.ItemsFromWire(v))
	case *wire.MembersT:
		var addresses []string
		for _, member := range v.List {
			addresses = append(addresses, member.Addr)
		}
		c.selector.SetMembers(s.now(), v.Index, addresses)
	case *wire.CallReplyT:
		m.calls.reply(v)
	}
	c.performActions()
}

// confirm requests all items by a linearizable read from a replica.
func (c *controlPlaneConnection) confirm(m *memberConnection) {
	s := c.sidecar
	begun := s.world.now
	m.calls.call(s.process, m.side, sidecarCallTimeout, codec.CallItems, nil, func(r replica.Reply) {
		found := c.handleTable(m, begun, r)
		c.selector.ConfirmationReceived(s.now(), m.id, found)
		c.performActions()
	})
}

// handleTable handles the answer to confirm. found is false if there is none, or the table is empty.
func (c *controlPlaneConnection) handleTable(m *memberConnection, begun time.Duration, r replica.Reply) (found bool) {
	if r.Status != http.StatusOK {
		return false
	}
	table, err := codec.DecodeTable(r.Body, func(p []byte) *wire.ItemsT { return wire.GetRootAsItems(p, 0).UnPack() })
	if err != nil {
		return false
	}
	s, items := c.sidecar, config.ItemsFromWire(table)
	s.world.history.Record(history.InitialTable{
		Call:        s.callSince(begun, history.Acknowledged),
		Member:      s.world.memberName(m.address),
		Incarnation: s.incarnation,
		Items:       itemVersions(items),
	})
	s.mergeItems(items)
	return len(items) > 0
}

// countWaiting counts lease requests without an answer: while there are some, the selector gives up a silent member sooner.
func (c *controlPlaneConnection) countWaiting(more int) {
	c.waiting += more
	c.selector.SetRequestsWaiting(c.sidecar.now(), c.waiting > 0)
	c.performActions()
}
