package node

import (
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/adminstate"
	"cranegrade/internal/engine"
)

// maxExportedServers is how many ids of servers that have left the list are handed to another process.
const maxExportedServers = 1 << 13

// adminState holds the administrative state of a running node and has changes of it take effect. It implements
// engine.AdminStates; the methods that engines call for each request take no lock. commands.go executes the commands that
// change it.
type adminState struct {
	clock engine.Clock
	state atomic.Pointer[adminstate.State] // never nil; the value is never changed in place

	mu     sync.Mutex     // guards listed and seen, and serializes changes of state; not held over I/O
	listed map[string]int // in how many pools each server is listed
	seen   *adminstate.SeenServers

	// onChange is called after state has changed, without the lock, with the servers that it has changed for. The drain may
	// have changed besides.
	onChange func(servers []string)
	// replicate stores a change for the processes that come after this one and sends it to those that run beside it. It
	// returns once they have it.
	replicate func() error
}

// newAdminState returns a state in which no server is down, whose changes reach nobody until onChange and replicate are set.
func newAdminState(clock engine.Clock) *adminState {
	s := &adminState{
		clock:     clock,
		listed:    map[string]int{},
		seen:      adminstate.NewSeenServers(adminstate.SeenCapacity),
		onChange:  func([]string) {},
		replicate: func() error { return nil },
	}
	s.state.Store(&adminstate.State{})
	return s
}

// IsOutOfService implements engine.AdminStates.
func (s *adminState) IsOutOfService(id string) bool { return s.state.Load().IsDown(id) }

// StartTime implements engine.AdminStates.
func (s *adminState) StartTime(id string, boot time.Duration) time.Duration {
	return s.state.Load().EffectiveBoot(id, boot)
}

// ServerListed implements engine.AdminStates.
func (s *adminState) ServerListed(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed[id]++ // several pools may list it
}

// ServerRemoved implements engine.AdminStates.
func (s *adminState) ServerRemoved(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed[id]--
	if s.listed[id] <= 0 {
		delete(s.listed, id)
		s.seen.Add(id)
	}
}

// isDraining reports whether an operator has ordered that callers are sent elsewhere.
func (s *adminState) isDraining() bool { return s.state.Load().Drain.On }

// isKnown reports whether a server is listed, or was listed once, as far as that is remembered.
func (s *adminState) isKnown(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, hasOverride := s.state.Load().Servers[id]
	return s.listed[id] > 0 || hasOverride || s.seen.Has(id)
}

// update replaces the state by a changed copy, unless change fails. Attempts observe the new state from before it returns.
func (s *adminState) update(change func(*adminstate.State) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.state.Load().Clone()
	if err := change(&next); err != nil {
		return err
	}
	s.state.Store(&next)
	return nil
}

// merge adopts what another process of this node knows, and reports whether any of it was new.
func (s *adminState) merge(other adminstate.State) bool {
	var changed []string
	wasDraining := s.isDraining()
	_ = s.update(func(state *adminstate.State) error { // this change cannot fail
		changed = state.Merge(other)
		return nil
	})
	if len(changed) == 0 && wasDraining == s.isDraining() {
		return false
	}
	s.onChange(changed)
	return true
}

// importSeen adds servers that another process of this node has seen, as hashes of their ids.
func (s *adminState) importSeen(hashes []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen.Import(hashes)
}

// export returns what another process needs to answer operators as this one does: the state, and hashes of the ids of the
// servers that are or were listed.
func (s *adminState) export() (state adminstate.State, seen []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen = s.seen.Export(maxExportedServers)
	for id := range s.listed {
		seen = append(seen, adminstate.Hash(id))
	}
	return *s.state.Load(), seen
}
