// Package hotrestart is how a process of a node takes over from the one before it, as in Envoy's hot restart, and how
// both hold the same administrative state while they run. What is handed over is a value with a version (state.go); link.go
// carries it over a Unix socket in a directory that both see, with the listening sockets beside it (SCM_RIGHTS).
// It never delays a start: without a predecessor, or with one that says nothing valid in time, a process starts as if it
// were alone.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/adminstate"
)

// Version is that of the form. A reader takes its own and ignores fields that it does not know; of another it takes
// nothing, for it could misread what it says.
const Version = 1

// State is what a successor is told.
type State struct {
	Version int              `json:"version"`
	At      time.Duration    `json:"at"` // Unix time when this was so
	Orders  adminstate.State `json:"orders"`
	Seen    []uint64         `json:"seen,omitempty"` // hashes of ids, as adminstate.SeenServers exports them
	Pools   []Pool           `json:"pools,omitempty"`
	// Listeners are the addresses of the sockets that come beside it, in their order.
	Listeners []string `json:"listeners,omitempty"`
}

// Pool is what one pool holds.
type Pool struct {
	Name      string              `json:"name"`
	List      string              `json:"list"` // the list's version; "": none was had from the source
	Servers   []ListedServer      `json:"servers"`
	Knowledge *balancer.Knowledge `json:"knowledge,omitempty"`
}

// ListedServer is an entry of the list as the source told it, without orders.
type ListedServer struct {
	ID       string               `json:"id"`
	Addr     string               `json:"addr"`
	Zone     string               `json:"zone,omitempty"`
	Cell     int                  `json:"cell,omitempty"`
	State    balancer.ServerState `json:"state"`
	Size     float64              `json:"size,omitempty"`
	Boot     time.Duration        `json:"boot,omitempty"`
	Weight   float64              `json:"weight,omitempty"`
	Priority int                  `json:"priority,omitempty"`
}

// maxState bounds the text of a state.
const maxState = 16 << 20

// ErrVersion says that a state is of another form.
var ErrVersion = errors.New("it is of another version")

// Parse reads a state.
func Parse(text []byte) (State, error) {
	var head struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(text, &head); err != nil {
		return State{}, err
	}
	if head.Version != Version {
		return State{}, fmt.Errorf("%w: %d, not %d", ErrVersion, head.Version, Version)
	}
	var s State
	if err := json.Unmarshal(text, &s); err != nil {
		return State{}, err
	}
	if len(s.Orders.Servers) > 2*adminstate.MaxServersDown {
		return State{}, adminstate.ErrTooManyDown
	}
	for _, p := range s.Pools {
		seen := make(map[string]bool, len(p.Servers))
		for _, v := range p.Servers {
			if v.ID == "" || seen[v.ID] || v.State < balancer.Ready || v.State > balancer.Gone {
				return State{}, fmt.Errorf("pool %.40q: server %.40q is nameless, there twice or in no state", p.Name, v.ID)
			}
			seen[v.ID] = true
		}
	}
	return s, nil
}
