package node

import (
	"fmt"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/admin"
	"cranegrade/internal/adminstate"
	"cranegrade/internal/engine"
)

// desk keeps what operators have ordered of a running node, and sees that it takes effect. It implements
// engine.AdminStates; what it reads on the way of requests takes no lock.
type desk struct {
	clock  engine.Clock
	stands atomic.Pointer[adminstate.State] // never nil, never changed in place

	mu     sync.Mutex // guards what follows, and orders changes of stands; not held over I/O
	listed map[string]int
	seen   *adminstate.Seen

	// change is called after stands has changed, without the lock: of some servers, and perhaps of the drain.
	change func(servers []string)
	// share makes a change known where it must outlive this process or bind another; it waits for that.
	share func() error
}

func newDesk(clock engine.Clock) *desk {
	d := &desk{clock: clock, listed: map[string]int{}, seen: adminstate.NewSeen(adminstate.MostSeen),
		change: func([]string) {}, share: func() error { return nil }}
	d.stands.Store(&adminstate.State{})
	return d
}

// Out implements engine.AdminStates.
func (d *desk) Out(id string) bool { return d.stands.Load().Out(id) }

// Boot implements engine.AdminStates.
func (d *desk) Boot(id string, boot time.Duration) time.Duration {
	return d.stands.Load().Boot(id, boot)
}

// Entered implements engine.AdminStates.
func (d *desk) Entered(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed[id]++ // several pools may list it
}

// Left implements engine.AdminStates.
func (d *desk) Left(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listed[id]--; d.listed[id] <= 0 {
		delete(d.listed, id)
		d.seen.Add(id)
	}
}

// draining says that clients are to be sent away.
func (d *desk) draining() bool { return d.stands.Load().Drain.On }

// known says that a server is listed, or was once.
func (d *desk) known(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ordered := d.stands.Load().Servers[id]
	return d.listed[id] > 0 || ordered || d.seen.Has(id)
}

// update changes what stands. It takes effect for attempts before it returns.
func (d *desk) update(f func(s *adminstate.State) error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stands.Load().Clone()
	if err := f(&s); err != nil {
		return err
	}
	d.stands.Store(&s)
	return nil
}

// merge takes over what another process of this node knows; false: nothing new.
func (d *desk) merge(of adminstate.State) bool {
	var changed []string
	drained := d.draining()
	d.update(func(s *adminstate.State) error {
		changed = s.Merge(of)
		return nil
	})
	if len(changed) == 0 && drained == d.draining() {
		return false
	}
	d.change(changed)
	return true
}

// export is what another process needs to answer as this one does.
func (d *desk) export() (adminstate.State, []uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := d.seen.Export(maxExported)
	for id := range d.listed {
		seen = append(seen, adminstate.Hash(id))
	}
	return *d.stands.Load(), seen
}

// Operators is the address where operators call; nil: nowhere.
func (n *Node) Operators() net.Addr {
	if n.port == nil {
		return nil
	}
	return n.port.Addr()
}

// maxExported is how many ids of servers that have left go over to a successor.
const maxExported = 1 << 13

// call carries out an operator's call.
func (d *desk) call(c admin.Call, serving func() bool) (string, error) {
	now := d.clock.Now()
	var servers []string
	var err error
	text := ""
	switch c.Verb {
	case admin.Check:
		switch {
		case !serving():
			return "", fmt.Errorf("not taking clients")
		case d.draining():
			return "taking clients, and sending them away: drain-on", nil
		}
		return "taking clients", nil
	case admin.SetDown, admin.SetUp:
		if !d.known(c.ID) {
			return "", fmt.Errorf("no server %.80q was ever listed", c.ID)
		}
		out := c.Verb == admin.SetDown
		servers = []string{c.ID}
		err = d.update(func(s *adminstate.State) error { return s.Server(c.ID, out, now) })
		if text = c.ID + " is in use"; out {
			text = c.ID + " is taken out"
		}
	case admin.DrainOn, admin.DrainOff:
		on := c.Verb == admin.DrainOn
		err = d.update(func(s *adminstate.State) error { s.SetDrain(on, now); return nil })
		if text = "clients may come"; on {
			text = "clients are sent away"
		}
	}
	if err != nil {
		return "", err
	}
	d.change(servers)
	log.Printf("operator: %s %s", c.Verb, c.ID)
	if err := d.share(); err != nil {
		log.Printf("operator: %v", err)
		text += "; " + err.Error()
	}
	return text, nil
}
