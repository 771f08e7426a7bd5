package sim

import (
	"net/http"
	"time"

	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/mesh/follower"
	"hollyspur/internal/mesh/history"
	"hollyspur/internal/mesh/replica"
)

// lookAgain bounds the time between two looks of the shell at its decider, as in production.
const lookAgain = time.Second

// home is the shell of a sidecar's follower: it carries out what that decides.
type home struct {
	sidecar *sidecar
	decider *follower.Follower
	members map[follower.DialID]*homeMember
	waits   int    // claims that wait for their grants
	alarms  uint64 // that were set; the latest counts
}

// homeMember is a connection to a replica, or the dial of one.
type homeMember struct {
	id      follower.DialID
	address string
	end     *end // nil: it is not there yet
	spoke   bool
	asks    asks
}

// current is the replica that is followed; nil: none.
func (h *home) current() *homeMember { return h.members[h.decider.Home()] }

// carryOutAll carries out what the decider wants, and has it called again when it asks for that.
func (h *home) carryOutAll() {
	for actions := h.decider.Take(); len(actions) > 0; actions = h.decider.Take() {
		for _, a := range actions {
			h.carryOut(a)
		}
	}
	h.alarms++
	alarm := h.alarms
	h.sidecar.after(min(lookAgain, max(0, h.decider.Next()-h.sidecar.now())), func() {
		if h.alarms == alarm {
			h.tick()
		}
	})
}

// tick lets time pass.
func (h *home) tick() {
	s := h.sidecar
	if m := h.current(); m != nil {
		h.decider.Heard(s.now(), m.id, s.now()-(s.world.now-m.end.heard))
	}
	h.decider.Tick(s.now())
	h.carryOutAll()
}

func (h *home) carryOut(a follower.Action) {
	switch a.Kind {
	case follower.Dial:
		h.dial(&homeMember{id: a.ID, address: a.Addr})
	case follower.Follow:
		h.sidecar.tellRecord()
	case follower.Confirm:
		h.confirm(h.members[a.ID])
	case follower.Drop:
		h.end(h.members[a.ID])
	}
}

func (h *home) dial(m *homeMember) {
	s := h.sidecar
	h.members[m.id] = m
	s.after(follower.DialTimeout, func() {
		if h.members[m.id] == m && !m.spoke {
			h.closed(m)
		}
	})
	s.world.network.dial(s.process, m.address, &wire.HelloT{Name: s.name, Addr: s.address}, func(e *end, _ bool) {
		switch {
		case h.members[m.id] != m:
			if e != nil {
				e.close()
			}
		case e == nil:
			h.closed(m)
		default:
			m.end = e
			e.message = func(x trunk.Message) { h.take(m, x) }
			e.closed = func() { h.closed(m) }
		}
	})
}

// end gives up a connection, or the dial of one. Its calls fail, after what is going on now.
func (h *home) end(m *homeMember) {
	if m == nil {
		return
	}
	delete(h.members, m.id)
	if m.end != nil {
		m.end.close()
	}
	h.sidecar.after(0, m.asks.fail)
}

// closed takes that a connection ended, or the dial of one.
func (h *home) closed(m *homeMember) {
	if h.members[m.id] != m {
		return
	}
	h.end(m)
	h.decider.Closed(h.sidecar.now(), m.id)
	h.carryOutAll()
}

// take takes a message of a replica.
func (h *home) take(m *homeMember, x trunk.Message) {
	if h.members[m.id] != m {
		return
	}
	s := h.sidecar
	if !m.spoke {
		m.spoke = true
		h.decider.Spoke(s.now(), m.id)
	}
	switch v := x.Value.(type) {
	case *wire.BeatT:
		h.decider.Heartbeat(s.now(), m.id, v.Touch)
	case *wire.ItemsT:
		s.takeItems(patch.ItemsOf(v))
	case *wire.MembersT:
		var addresses []string
		for _, member := range v.List {
			addresses = append(addresses, member.Addr)
		}
		h.decider.Members(s.now(), v.Index, addresses)
	case *wire.ToldT:
		m.asks.told(v)
	}
	h.carryOutAll()
}

// confirm has the home read all items back from the core.
func (h *home) confirm(m *homeMember) {
	s := h.sidecar
	begun := s.world.now
	m.asks.ask(s.process, m.end, askWithin, trunk.AskTable, nil, func(r replica.Reply) {
		some := h.takeTable(m, begun, r)
		h.decider.Confirmed(s.now(), m.id, some)
		h.carryOutAll()
	})
}

// takeTable takes the answer to a confirm; false: there is none, or no item.
func (h *home) takeTable(m *homeMember, begun time.Duration, r replica.Reply) (some bool) {
	if r.Status != http.StatusOK {
		return false
	}
	table, err := trunk.Parse(r.Body, func(p []byte) *wire.ItemsT { return wire.GetRootAsItems(p, 0).UnPack() })
	if err != nil {
		return false
	}
	s, items := h.sidecar, patch.ItemsOf(table)
	s.world.history.Record(history.FirstTable{Call: history.Call{Process: s.name, Begin: begun, Return: s.world.now, Outcome: history.Acknowledged},
		Member: s.world.memberName(m.address), Life: s.life, Items: itemVersions(items)})
	s.takeItems(items)
	return len(items) > 0
}

// wait counts the claims that wait: the home's silence is found out sooner then.
func (h *home) wait(more int) {
	h.waits += more
	h.decider.Waiting(h.sidecar.now(), h.waits > 0)
	h.carryOutAll()
}
