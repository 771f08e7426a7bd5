package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/adminstate"
)

// Version is the version of State and of the messages between two processes. A reader ignores fields that
// it does not know, and rejects other versions, since it could misread them.
const Version = 1

// maxStateBytes bounds an encoded state.
const maxStateBytes = 16 << 20

// State is what a successor gets from its predecessor.
type State struct {
	Version    int              `json:"version"`
	At         time.Duration    `json:"at"` // Unix time at which it held
	AdminState adminstate.State `json:"orders"`
	Seen       []uint64         `json:"seen,omitempty"` // hashes of server ids, as adminstate.SeenServers exports them
	Pools      []Pool           `json:"pools,omitempty"`
	// Listeners are the addresses of the sockets that are sent beside the state, in their order.
	Listeners []string `json:"listeners,omitempty"`
}

// Pool is the state of one pool.
type Pool struct {
	Name        string              `json:"name"`
	ListVersion string              `json:"list"` // empty if the source has not sent a list
	Servers     []ListedServer      `json:"servers"`
	Knowledge   *balancer.Knowledge `json:"knowledge,omitempty"`
}

// ListedServer is an entry of the source's list, without administrative state.
type ListedServer struct {
	ID        string               `json:"id"`
	Addr      string               `json:"addr"`
	Zone      string               `json:"zone,omitempty"`
	Cell      int                  `json:"cell,omitempty"`
	State     balancer.ServerState `json:"state"`
	Size      float64              `json:"size,omitempty"` // relative to other servers
	StartedAt time.Duration        `json:"boot,omitempty"` // Unix time
	Weight    float64              `json:"weight,omitempty"`
	Priority  int                  `json:"priority,omitempty"`
}

// ErrVersion is the error of a state, or a peer, of another version.
var ErrVersion = errors.New("unsupported version")

// Parse parses and validates an encoded state.
func Parse(text []byte) (State, error) {
	// The version comes first: fields of another version may have other types.
	var header struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(text, &header); err != nil {
		return State{}, err
	}
	if header.Version != Version {
		return State{}, fmt.Errorf("%w: %d, want %d", ErrVersion, header.Version, Version)
	}
	var s State
	if err := json.Unmarshal(text, &s); err != nil {
		return State{}, err
	}
	if err := s.validate(); err != nil {
		return State{}, err
	}
	return s, nil
}

// maxOverrides bounds the overrides of servers in a state. MaxServersDown is the limit of servers that
// are down; revoked overrides are retained for a while beside them.
const maxOverrides = 2 * adminstate.MaxServersDown

// validate returns an error for a state that the node could not be in.
func (s *State) validate() error {
	if len(s.AdminState.Servers) > maxOverrides {
		return adminstate.ErrTooManyDown
	}
	for i := range s.Pools {
		if err := s.Pools[i].validate(); err != nil {
			return fmt.Errorf("pool %.40q: %w", s.Pools[i].Name, err)
		}
	}
	return nil
}

// validate returns an error if a server has no id, one id twice, or a state that does not exist.
func (p *Pool) validate() error {
	ids := make(map[string]bool, len(p.Servers))
	for i, server := range p.Servers {
		switch {
		case server.ID == "":
			return fmt.Errorf("server %d has no id", i)
		case ids[server.ID]:
			return fmt.Errorf("the server id %.40q occurs twice", server.ID)
		case server.State < balancer.Ready || server.State > balancer.Gone:
			return fmt.Errorf("server %.40q has the unknown state %d", server.ID, server.State)
		}
		ids[server.ID] = true
	}
	return nil
}
