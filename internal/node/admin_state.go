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

// adminState keeps what operators have ordered of a running node, and sees that it takes effect. It implements
// engine.AdminStates; what it reads on the way of requests takes no lock.
type adminState struct {
	clock engine.Clock
	state atomic.Pointer[adminstate.State] // never nil, never changed in place

	mu     sync.Mutex // guards what follows, and orders changes of stands; not held over I/O
	listed map[string]int
	seen   *adminstate.SeenServers

	// change is called after stands has changed, without the lock: of some servers, and perhaps of the drain.
	onChange func(servers []string)
	// share makes a change known where it must outlive this process or bind another; it waits for that.
	replicate func() error
}

func newAdminState(clock engine.Clock) *adminState {
	d := &adminState{
		clock: clock, listed: map[string]int{}, seen: adminstate.NewSeenServers(adminstate.SeenCapacity),
		onChange: func([]string) {}, replicate: func() error { return nil },
	}
	d.state.Store(&adminstate.State{})
	return d
}

// Out implements engine.AdminStates.
func (d *adminState) Out(id string) bool { return d.state.Load().IsDown(id) }

// Boot implements engine.AdminStates.
func (d *adminState) Boot(id string, boot time.Duration) time.Duration {
	return d.state.Load().EffectiveBoot(id, boot)
}

// Entered implements engine.AdminStates.
func (d *adminState) Entered(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed[id]++ // several pools may list it
}

// Left implements engine.AdminStates.
func (d *adminState) Left(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listed[id]--; d.listed[id] <= 0 {
		delete(d.listed, id)
		d.seen.Add(id)
	}
}

// isDraining says that clients are to be sent away.
func (d *adminState) isDraining() bool { return d.state.Load().Drain.On }

// isKnown says that a server is listed, or was once.
func (d *adminState) isKnown(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ordered := d.state.Load().Servers[id]
	return d.listed[id] > 0 || ordered || d.seen.Has(id)
}

// update changes what stands. It takes effect for attempts before it returns.
func (d *adminState) update(f func(s *adminstate.State) error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state.Load().Clone()
	if err := f(&s); err != nil {
		return err
	}
	d.state.Store(&s)
	return nil
}

// merge takes over what another process of this node knows; false: nothing new.
func (d *adminState) merge(of adminstate.State) bool {
	var changed []string
	drained := d.isDraining()
	d.update(func(s *adminstate.State) error {
		changed = s.Merge(of)
		return nil
	})
	if len(changed) == 0 && drained == d.isDraining() {
		return false
	}
	d.onChange(changed)
	return true
}

// export is what another process needs to answer as this one does.
func (d *adminState) export() (adminstate.State, []uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := d.seen.Export(maxExported)
	for id := range d.listed {
		seen = append(seen, adminstate.Hash(id))
	}
	return *d.state.Load(), seen
}

// OperatorAddr is the address where operators call; nil: nowhere.
func (n *Node) OperatorAddr() net.Addr {
	if n.commandServer == nil {
		return nil
	}
	return n.commandServer.Addr()
}

// maxExported is how many ids of servers that have left go over to a successor.
const maxExported = 1 << 13

// execute carries out an operator's call.
func (d *adminState) execute(c admin.Command, serving func() bool) (string, error) {
	now := d.clock.Now()
	var servers []string
	var err error
	text := ""
	switch c.Verb {
	case admin.Check:
		switch {
		case !serving():
			return "", fmt.Errorf("not taking clients")
		case d.isDraining():
			return "taking clients, and sending them away: drain-on", nil
		}
		return "taking clients", nil
	case admin.SetDown, admin.SetUp:
		if !d.isKnown(c.ID) {
			return "", fmt.Errorf("no server %.80q was ever listed", c.ID)
		}
		out := c.Verb == admin.SetDown
		servers = []string{c.ID}
		err = d.update(func(s *adminstate.State) error { return s.SetServer(c.ID, out, now) })
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
	d.onChange(servers)
	log.Printf("operator: %s %s", c.Verb, c.ID)
	if err := d.replicate(); err != nil {
		log.Printf("operator: %v", err)
		text += "; " + err.Error()
	}
	return text, nil
}

// applyAdminState has operators' orders take effect: those for some servers, and the drain.
func (n *Node) applyAdminState(servers []string) {
	draining := n.adminState.isDraining()
	for _, f := range n.fronts {
		if l, can := f.(drainable); can {
			l.Unready(draining)
			l.LeadAway(draining || n.handedOff.Load())
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range servers {
		for _, p := range n.serving.Load().pools {
			p.Engine().AdminStateChanged(id)
		}
		for p := range n.retiring {
			p.Engine().AdminStateChanged(id)
		}
	}
}
