// Package adminstate holds the administrative state of a node: which servers operators have set down by hand and
// whether its clients are drained, until an operator revokes it. It is data with a merge, as in a last-writer-wins
// map: two processes of one node that each heard some of the commands converge to the same state, whatever the
// order in which they exchange it. It is pure: it never reads a clock, and time is an argument.
package adminstate

import (
	"errors"
	"maps"
	"time"
)

// Override is one that stands or was called back.
type Override struct {
	On    bool          `json:"on"`
	At    time.Duration `json:"at"`              // Unix time when it was given or called back
	Since time.Duration `json:"since,omitempty"` // Unix time when it was first given, before it was called back
}

// supersedes says which of two words on one matter holds; of two at the same time the one that takes out or drains.
func (o Override) supersedes(than Override) bool {
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
	Servers map[string]Override `json:"servers,omitempty"` // taken out, or taken in again, by id
	Drain   Override            `json:"drain"`
}

const (
	// MaxServersDown servers are taken out at once.
	MaxServersDown = 4096
	// revokedRetention is how long an order that was called back is remembered: as long as a process may be behind.
	revokedRetention = 10 * time.Minute
)

// ErrTooManyDown says that Most servers are out.
var ErrTooManyDown = errors.New("too many servers are taken out")

// nextOverride is the order that follows another on the same matter.
func nextOverride(was Override, on bool, now time.Duration) Override {
	if was.On == on && was.At > 0 {
		return was // repeating an order changes nothing
	}
	o := Override{On: on, At: max(now, was.At+1), Since: was.Since}
	if on {
		o.Since = o.At
	}
	return o
}

// SetServer takes a server out, or in again.
func (s *State) SetServer(id string, out bool, now time.Duration) error {
	was, is := s.Servers[id]
	if !is && !out {
		return nil // nothing to call back
	}
	if out && !was.On {
		if n := s.purge(now); n >= MaxServersDown {
			return ErrTooManyDown
		}
	}
	if s.Servers == nil {
		s.Servers = map[string]Override{}
	}
	s.Servers[id] = nextOverride(was, out, now)
	return nil
}

// SetDrain sends clients away, or lets them come again.
func (s *State) SetDrain(on bool, now time.Duration) {
	if on || s.Drain.At > 0 {
		s.Drain = nextOverride(s.Drain, on, now)
	}
}

// purge drops what was called back long ago, and counts the servers that are out.
func (s *State) purge(now time.Duration) (out int) {
	maps.DeleteFunc(s.Servers, func(_ string, o Override) bool { return !o.On && o.At+revokedRetention < now })
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
		if was, is := s.Servers[id]; is && !o.supersedes(was) {
			continue
		}
		if s.Servers == nil {
			s.Servers = map[string]Override{}
		}
		s.Servers[id] = o
		changed = append(changed, id)
	}
	if of.Drain.supersedes(s.Drain) {
		s.Drain = of.Drain
	}
	return changed
}

// Clone shares nothing with s.
func (s State) Clone() State { return State{maps.Clone(s.Servers), s.Drain} }

// IsDown says that a server is taken out.
func (s State) IsDown(id string) bool { return s.Servers[id].On }

// EffectiveBoot is when a server is to be taken to have started, where the list says boot: it may have been restarted
// while it was out, and the list tells that late or not at all, so that it counts as cold from when it was
// called back unless the list knows of a start since.
func (s State) EffectiveBoot(id string, boot time.Duration) time.Duration {
	if o, is := s.Servers[id]; is && !o.On && boot <= o.Since {
		return o.At
	}
	return boot
}
