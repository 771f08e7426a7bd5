package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
)

// List is a message of the registry: the complete list, or the entries that changed.
type List struct {
	Revision int64    `json:"rev"`
	Complete bool     `json:"all"`
	Targets  []Target `json:"targets"`
}

// Target is an entry of the registry's list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"` // host:port; not needed for a deleted one
	Zone     string  `json:"az"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"` // SERVING, DRAINING or DELETED
	Size     float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"` // Unix time of its last start, in milliseconds; 0 means long ago
}

const stateDeleted = "DELETED"

var serverStates = map[string]balancer.ServerState{
	"SERVING":    balancer.Ready,
	"DRAINING":   balancer.Draining,
	stateDeleted: balancer.Gone,
}

// ParseList parses and validates one message. A message with any invalid entry is invalid altogether:
// without that entry, it would be taken for another list.
func ParseList(text []byte) (List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return List{}, err
	}
	uids := make(map[string]bool, len(l.Targets))
	for i, t := range l.Targets {
		if err := t.validate(); err != nil {
			return List{}, fmt.Errorf("target %d %w", i, err)
		}
		if uids[t.UID] {
			return List{}, fmt.Errorf("target %d: the uid %q occurs twice", i, t.UID)
		}
		uids[t.UID] = true
	}
	return l, nil
}

// validate returns what is wrong with an entry, to be read after its number.
func (t Target) validate() error {
	if t.UID == "" {
		return errors.New("has no uid")
	}
	if _, known := serverStates[t.State]; !known {
		return fmt.Errorf("has the unknown state %q", t.State)
	}
	if t.State == stateDeleted {
		return nil
	}
	if _, _, err := net.SplitHostPort(t.Endpoint); err != nil {
		return fmt.Errorf("has the endpoint %q, which is no host:port: %w", t.Endpoint, err)
	}
	return nil
}

// Update returns the message as an update for an engine.
func (l List) Update() engine.ListUpdate {
	update := engine.ListUpdate{
		Full:    l.Complete,
		Version: strconv.FormatInt(l.Revision, 10),
		Servers: make([]engine.Listed, 0, len(l.Targets)),
	}
	for _, t := range l.Targets {
		update.Servers = append(update.Servers, engine.Listed{Server: t.server(), Addr: t.Endpoint})
	}
	return update
}

// server returns the entry as a server of the module. The node's clock is Unix time too, so that a start
// time needs no conversion but of its unit.
func (t Target) server() balancer.Server {
	return balancer.Server{
		ID:        t.UID,
		Zone:      t.Zone,
		Cell:      t.Cell,
		State:     serverStates[t.State],
		Size:      t.Size,
		StartedAt: t.startedAt(),
	}
}

// maxBootMS is the limit of a start time, in milliseconds: in the year 2096.
const maxBootMS = 4e12

// startedAt converts the time of the last start. A time out of bounds counts as long ago.
func (t Target) startedAt() time.Duration {
	if !(t.BootMS >= 0 && t.BootMS < maxBootMS) {
		return 0
	}
	return time.Duration(t.BootMS * float64(time.Millisecond))
}
