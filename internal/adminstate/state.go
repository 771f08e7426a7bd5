// Package adminstate holds the administrative state of a node: which servers operators have set down and whether its callers
// are sent to other nodes, until an operator revokes it. It is a last-writer-wins map: two processes of one node that each
// got some of the commands converge to the same state, in whatever order and however often they exchange it. The JSON of a
// State is sent between processes and kept in a file.
//
// The package is pure: it never reads a clock, and times are arguments. Its values are not safe for concurrent use.
package adminstate

import (
	"errors"
	"maps"
	"time"
)

// Override is the latest command about one matter: a server, or the drain.
type Override struct {
	On    bool          `json:"on"`              // whether the server is down, or callers are drained; false once that was revoked
	At    time.Duration `json:"at"`              // Unix time of the command
	Since time.Duration `json:"since,omitempty"` // Unix time of the first command that set On, before it was revoked
}

// supersedes reports whether o is the later of two commands about one matter. Of two at the same time the one that sets On
// counts as later.
func (o Override) supersedes(other Override) bool {
	switch {
	case o.At != other.At:
		return o.At > other.At
	case o.On != other.On:
		return o.On
	}
	return o.Since > other.Since
}

// next returns the override after a further command about the same matter. Its time is after that of o, even if the clock was
// set back, so that it supersedes o everywhere.
func (o Override) next(on bool, now time.Duration) Override {
	if o.On == on && o.At > 0 {
		return o // a repeated command changes nothing
	}
	following := Override{On: on, At: max(now, o.At+1), Since: o.Since}
	if on {
		following.Since = following.At
	}
	return following
}

// State is the administrative state of a node. In the zero value no server is down and callers are not drained.
type State struct {
	Servers map[string]Override `json:"servers,omitempty"` // by id
	Drain   Override            `json:"drain"`
}

const (
	// MaxServersDown bounds the servers that are down at a time.
	MaxServersDown = 4096
	// revokedRetention is how long a revoked override is kept: longer than another process may take to learn of it.
	revokedRetention = 10 * time.Minute
)

// ErrTooManyDown says that MaxServersDown servers are down. One of them has to be set up first.
var ErrTooManyDown = errors.New("too many servers are taken out")

// SetServer sets a server down, or up again. now is Unix time. The error is ErrTooManyDown, and nothing has changed then.
func (s *State) SetServer(id string, down bool, now time.Duration) error {
	before, known := s.Servers[id]
	if !known && !down {
		return nil // nothing to revoke
	}
	if down && !before.On {
		if n := s.purge(now); n >= MaxServersDown {
			return ErrTooManyDown
		}
	}
	s.set(id, before.next(down, now))
	return nil
}

// set stores an override of a server.
func (s *State) set(id string, o Override) {
	if s.Servers == nil {
		s.Servers = map[string]Override{}
	}
	s.Servers[id] = o
}

// SetDrain sends callers to other nodes, or no longer does. now is Unix time.
func (s *State) SetDrain(on bool, now time.Duration) {
	if on || s.Drain.At > 0 {
		s.Drain = s.Drain.next(on, now)
	}
}

// purge deletes overrides that were revoked long ago, and returns how many servers are down.
func (s *State) purge(now time.Duration) (down int) {
	maps.DeleteFunc(s.Servers, func(_ string, o Override) bool { return !o.On && o.At+revokedRetention < now })
	for _, o := range s.Servers {
		if o.On {
			down++
		}
	}
	return down
}

// Merge adopts the overrides of another process that supersede those of s, and returns the servers that it has changed.
func (s *State) Merge(other State) (changed []string) {
	for id, o := range other.Servers {
		if before, known := s.Servers[id]; known && !o.supersedes(before) {
			continue
		}
		s.set(id, o)
		changed = append(changed, id)
	}
	if other.Drain.supersedes(s.Drain) {
		s.Drain = other.Drain
	}
	return changed
}

// Clone returns a copy that shares nothing with s.
func (s State) Clone() State { return State{Servers: maps.Clone(s.Servers), Drain: s.Drain} }

// IsDown reports whether a server is down.
func (s State) IsDown(id string) bool { return s.Servers[id].On }

// EffectiveBoot returns the start time to assume for a server whose listed start time is boot. A server may have been
// restarted while it was down, and the list may tell that late or never. So it counts as started when it was set up, unless
// the list has a start after it was set down.
func (s State) EffectiveBoot(id string, boot time.Duration) time.Duration {
	if o, known := s.Servers[id]; known && !o.On && boot <= o.Since {
		return o.At
	}
	return boot
}
