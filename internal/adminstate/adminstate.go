// Package adminstate holds what operators have ordered by hand and what stands until they call it back: servers
// taken out, and clients sent away. It is data with a merge: two processes of one node that each heard a part
// come to the same orders whatever the order in which they tell each other. It is pure: time is an argument.
package adminstate

import (
	"errors"
	"maps"
	"time"
)

// Order is one that stands or was called back.
type Order struct {
	On    bool          `json:"on"`
	At    time.Duration `json:"at"`              // Unix time when it was given or called back
	Since time.Duration `json:"since,omitempty"` // Unix time when it was first given, before it was called back
}

// later says which of two words on one matter holds; of two at the same time the one that takes out or drains.
func (o Order) later(than Order) bool {
	switch {
	case o.At != than.At:
		return o.At > than.At
	case o.On != than.On:
		return o.On
	}
	return o.Since > than.Since
}

// State is all orders. The zero State has none.
type State struct {
	Servers map[string]Order `json:"servers,omitempty"` // taken out, or taken in again, by id
	Drain   Order            `json:"drain"`
}

const (
	// Most servers are taken out at once.
	Most = 4096
	// keep is how long an order that was called back is remembered: as long as a process may be behind.
	keep = 10 * time.Minute
)

// ErrMany says that Most servers are out.
var ErrMany = errors.New("too many servers are taken out")

// next is the order that follows another on the same matter.
func next(was Order, on bool, now time.Duration) Order {
	if was.On == on && was.At > 0 {
		return was // repeating an order changes nothing
	}
	o := Order{On: on, At: max(now, was.At+1), Since: was.Since}
	if on {
		o.Since = o.At
	}
	return o
}

// Server takes a server out, or in again.
func (s *State) Server(id string, out bool, now time.Duration) error {
	was, is := s.Servers[id]
	if !is && !out {
		return nil // nothing to call back
	}
	if out && !was.On {
		if n := s.forget(now); n >= Most {
			return ErrMany
		}
	}
	if s.Servers == nil {
		s.Servers = map[string]Order{}
	}
	s.Servers[id] = next(was, out, now)
	return nil
}

// SetDrain sends clients away, or lets them come again.
func (s *State) SetDrain(on bool, now time.Duration) {
	if on || s.Drain.At > 0 {
		s.Drain = next(s.Drain, on, now)
	}
}

// forget drops what was called back long ago, and counts the servers that are out.
func (s *State) forget(now time.Duration) (out int) {
	maps.DeleteFunc(s.Servers, func(_ string, o Order) bool { return !o.On && o.At+keep < now })
	for _, o := range s.Servers {
		if o.On {
			out++
		}
	}
	return out
}

// Merge takes over what another process knows that came later, and tells of which servers.
func (s *State) Merge(of State) (changed []string) {
	for id, o := range of.Servers {
		if was, is := s.Servers[id]; is && !o.later(was) {
			continue
		}
		if s.Servers == nil {
			s.Servers = map[string]Order{}
		}
		s.Servers[id] = o
		changed = append(changed, id)
	}
	if of.Drain.later(s.Drain) {
		s.Drain = of.Drain
	}
	return changed
}

// Clone shares nothing with s.
func (s State) Clone() State { return State{maps.Clone(s.Servers), s.Drain} }

// Out says that a server is taken out.
func (s State) Out(id string) bool { return s.Servers[id].On }

// Boot is when a server is to be taken to have started, where the list says boot: it may have been restarted
// while it was out, and the list tells that late or not at all, so that it counts as cold from when it was
// called back unless the list knows of a start since.
func (s State) Boot(id string, boot time.Duration) time.Duration {
	if o, is := s.Servers[id]; is && !o.On && boot <= o.Since {
		return o.At
	}
	return boot
}
