// Package topology takes and draws a snapshot of a whole mesh: the control-plane members and their leader, the sidecars by zone with their
// servers, the routes, which process has which version of the configuration, and what is unavailable and why. Collect takes the snapshot
// from a running mesh. A Topology can be saved, and drawn as text, for Graphviz, or as SVG.
//
// The package owns the warnings and drawings that operators see. It only reads and must never change a mesh. Warnings and drawings are
// computed from the fields of a Topology alone. Collect may be called by any goroutine; a Topology belongs to its caller.
//
// Sources: docs/mesh.md for what operators are shown; the DOT language of Graphviz, and SVG 1.1.
package topology

import (
	"slices"
	"strings"
)

// Topology is the state of a mesh as Collect found it. Its JSON is the format of saved topologies.
type Topology struct {
	AskedMember        string        `json:"askedMember"`        // transport address of the member that was asked
	QuorumContact      bool          `json:"quorumContact"`      // AskedMember knows a leader that a majority follows
	ConfigurationIndex uint64        `json:"configurationIndex"` // of the members
	Members            []Member      `json:"members"`
	Sidecars           []Sidecar     `json:"sidecars"`
	Routes             []Route       `json:"routes"`
	Items              []ItemVersion `json:"items"`                       // confirmed by a majority; empty if it could not be asked
	PolicyFingerprint  string        `json:"policyFingerprint,omitempty"` // of the active policy set; empty if there is none
}

// Process has the fields that members and sidecars have in common.
type Process struct {
	Name          string           `json:"name"`
	Addr          string           `json:"addr"` // of its transport
	Zone          string           `json:"zone"`
	Unreachable   string           `json:"unreachable,omitempty"` // why it could not be asked; empty if it answered
	UptimeS       float64          `json:"uptimeS"`
	Traffic       []TrafficCounter `json:"traffic,omitempty"` // sent since its start, by message type
	QuorumContact bool             `json:"quorumContact"`     // with a majority of members
	Fault         string           `json:"fault,omitempty"`
	StaleItems    []ItemVersion    `json:"staleItems,omitempty"` // items of which it has an older version, or none
	LagEntries    uint64           `json:"lagEntries"`           // of a member: log entries that another member has applied and it has not
}

// Member is one control-plane member.
type Member struct {
	Process
	ID           uint64   `json:"id"`
	IsMember     bool     `json:"isMember"` // it is a voter; otherwise it is asking to join
	IsLeader     bool     `json:"isLeader"`
	LeaderAddr   string   `json:"leaderAddr,omitempty"`
	Term         uint64   `json:"term"`
	AppliedIndex uint64   `json:"appliedIndex"`
	KeyCount     int      `json:"keyCount"` // leases of idempotency keys
	Sidecars     []string `json:"sidecars"` // that follow it
}

// Sidecar is a sidecar and the server beside it.
type Sidecar struct {
	Process
	FollowedMember    string `json:"followedMember,omitempty"`
	Ready             bool   `json:"ready"`
	Leaving           bool   `json:"leaving,omitempty"`
	InMaintenance     bool   `json:"inMaintenance,omitempty"` // its server was taken out by an operator or a maintenance order
	Service           string `json:"service"`
	ServerID          string `json:"serverId,omitempty"`
	State             string `json:"state"` // of the server
	StateReason       string `json:"stateReason,omitempty"`
	Slots             int    `json:"slots"`
	OpenRequests      int    `json:"openRequests"`                // at its server
	PolicyFingerprint string `json:"policyFingerprint,omitempty"` // of its active policy set
	Fenced            bool   `json:"fenced,omitempty"`            // it rejects requests, as it could not confirm its policy set recently
}

// IsUnavailable reports whether requests are not sent to its server.
func (s Sidecar) IsUnavailable() bool {
	return s.State != stateReady || s.Leaving || s.Unreachable != ""
}

// TrafficCounter counts what a process has sent of one message type.
type TrafficCounter struct {
	MessageType string `json:"messageType"`
	Frames      int64  `json:"frames"`
	Bytes       int64  `json:"bytes"`
}

// ItemVersion is a version of a configuration item.
type ItemVersion struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Route is a route of the active configuration.
type Route struct {
	Name         string            `json:"name"`
	Host         string            `json:"host"`
	Prefix       string            `json:"prefix"`
	Kind         string            `json:"kind"`
	Version      int64             `json:"version"`
	Destinations []WeightedService `json:"destinations"`
	TimeoutS     float64           `json:"timeoutS"`
	MaxAttempts  int               `json:"maxAttempts"`
	Priority     int               `json:"priority"`
}

// WeightedService is a service's share of a route, from 0 to 1.
type WeightedService struct {
	Service string  `json:"service"`
	Share   float64 `json:"share"`
}

// Zones returns the zones of sidecars and members, in order. An unknown zone is "".
func (t Topology) Zones() (names []string) {
	for _, s := range t.Sidecars {
		names = append(names, s.Zone)
	}
	for _, m := range t.Members {
		names = append(names, m.Zone)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Services returns the services that sidecars or routes name, in order.
func (t Topology) Services() (names []string) {
	for _, s := range t.Sidecars {
		if s.Service != "" {
			names = append(names, s.Service)
		}
	}
	for _, r := range t.Routes {
		for _, d := range r.Destinations {
			names = append(names, d.Service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (t Topology) membersIn(zone string) (list []Member) {
	for _, m := range t.Members {
		if m.Zone == zone {
			list = append(list, m)
		}
	}
	return list
}

func (t Topology) sidecarsIn(zone string) (list []Sidecar) {
	for _, s := range t.Sidecars {
		if s.Zone == zone {
			list = append(list, s)
		}
	}
	return list
}

// displayName returns the process's name, or its address if the name is not known.
func (p Process) displayName() string {
	if p.Name == "" {
		return p.Addr
	}
	return p.Name
}

// maxNamedItems is the maximum number of items named in a text.
const maxNamedItems = 3

// describeItems names the first items of a list, for warnings.
func describeItems(items []ItemVersion) string {
	var names []string
	for _, item := range items[:min(maxNamedItems, len(items))] {
		names = append(names, strings.TrimSpace(item.Kind+" "+item.Name))
	}
	text := strings.Join(names, ", ")
	if len(items) > maxNamedItems {
		text += " and others"
	}
	return text
}
