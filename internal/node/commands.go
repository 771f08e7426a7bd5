package node

import (
	"errors"
	"fmt"
	"log"
	"net"
	"time"

	"cranegrade/internal/admin"
	"cranegrade/internal/adminstate"
	"cranegrade/internal/pool"
)

// errNotServing answers a check while the node accepts no requests.
var errNotServing = errors.New("not taking clients")

// OperatorAddr returns the address for operators' commands. It returns nil if the node has none.
func (n *Node) OperatorAddr() net.Addr {
	if n.commandServer == nil {
		return nil
	}
	return n.commandServer.Addr()
}

// execute implements admin.Handler. An error answers the operator that nothing has changed; a change that could not be
// replicated is no error, and the answer says so. serving reports whether the node accepts requests.
func (s *adminState) execute(c admin.Command, serving func() bool) (string, error) {
	if c.Verb == admin.Check {
		return s.check(serving())
	}
	answer, servers, err := s.change(c)
	if err != nil {
		return "", err
	}
	s.onChange(servers)
	log.Printf("operator command executed: command=%s server=%q", c.Verb, c.ID)
	if err := s.replicate(); err != nil {
		log.Printf("operator command not replicated: command=%s server=%q error=%q", c.Verb, c.ID, err)
		answer += "; " + err.Error()
	}
	return answer, nil
}

// check answers whether clients are accepted.
func (s *adminState) check(serving bool) (string, error) {
	switch {
	case !serving:
		return "", errNotServing
	case s.isDraining():
		return "taking clients, and sending them away: drain-on", nil
	}
	return "taking clients", nil
}

// change executes a command that changes the state. servers are the ids of the servers that it changes, and answer is the
// text for the operator.
func (s *adminState) change(c admin.Command) (answer string, servers []string, err error) {
	now := s.clock.Now()
	switch c.Verb {
	case admin.SetDown:
		return c.ID + " is taken out", []string{c.ID}, s.setServer(c.ID, true, now)
	case admin.SetUp:
		return c.ID + " is in use", []string{c.ID}, s.setServer(c.ID, false, now)
	case admin.DrainOn:
		return "clients are sent away", nil, s.setDrain(true, now)
	case admin.DrainOff:
		return "clients may come", nil, s.setDrain(false, now)
	default: // admin.Parse lets no other verb pass
		return "", nil, fmt.Errorf("no call %.40q", c.Verb)
	}
}

// setServer sets a server down or up again. A server that was never listed is an error: it is a slip of the operator's.
func (s *adminState) setServer(id string, down bool, now time.Duration) error {
	if !s.isKnown(id) {
		return fmt.Errorf("no server %.80q was ever listed", id)
	}
	return s.update(func(state *adminstate.State) error { return state.SetServer(id, down, now) })
}

// setDrain begins or ends sending callers to other nodes.
func (s *adminState) setDrain(on bool, now time.Duration) error {
	return s.update(func(state *adminstate.State) error {
		state.SetDrain(on, now)
		return nil
	})
}

// applyAdminState has the administrative state take effect in fronts and pools: the drain, and the states of some servers.
func (n *Node) applyAdminState(servers []string) {
	draining := n.adminState.isDraining()
	for _, f := range n.drainableFronts() {
		f.SetUnready(draining)
		f.SetDraining(draining || n.handedOff.Load())
	}
	n.forEachPool(func(p *pool.Pool) {
		for _, id := range servers {
			p.Engine().AdminStateChanged(id)
		}
	})
}
