// Package topology is a mesh as a whole: who the control-plane members are and which leads, the sidecars by zone with the servers
// beside them, the routes, which process holds which version of the configuration, what is unavailable and why. Collect asks a
// running mesh; a Topology can be saved, and drawn as text, for Graphviz, or as SVG.
//
// It owns the words and pictures in which operators see a mesh. It must never change one: it only reads. All that follows from a
// Topology (warnings, stale items, drawings) is computed from its fields alone.
package topology

import (
	"slices"
	"strings"
)

// Topology is what was found out of a mesh.
type Topology struct {
	AskedMember        string        `json:"askedMember"`        // its transport address
	QuorumContact      bool          `json:"quorumContact"`      // of that member: it hears of a leader that a majority follows
	ConfigurationIndex uint64        `json:"configurationIndex"` // of the members
	Members            []Member      `json:"members"`
	Sidecars           []Sidecar     `json:"sidecars"`
	Routes             []Route       `json:"routes"`
	Items              []ItemVersion `json:"items"`                       // as a majority confirmed them; empty: it could not
	PolicyFingerprint  string        `json:"policyFingerprint,omitempty"` // of the active policy set; "": there is none
}

// Process is what each process says of itself.
type Process struct {
	Name          string           `json:"name"`
	Addr          string           `json:"addr"` // of its transport
	Zone          string           `json:"zone"`
	Unreachable   string           `json:"unreachable,omitempty"` // why it gave no answer; "": it did
	UptimeS       float64          `json:"uptimeS"`
	Traffic       []TrafficCounter `json:"traffic,omitempty"` // that it has sent since it started, by message type
	QuorumContact bool             `json:"quorumContact"`     // with a majority of members
	Fault         string           `json:"fault,omitempty"`
	StaleItems    []ItemVersion    `json:"staleItems,omitempty"` // of which it holds an older version, or none
	LagEntries    uint64           `json:"lagEntries"`           // of a member: entries that it has not applied and another has
}

// Member is one control-plane member.
type Member struct {
	Process
	ID           uint64   `json:"id"`
	IsMember     bool     `json:"isMember"` // it is a voter, and not one that asks to be taken in
	IsLeader     bool     `json:"isLeader"`
	LeaderAddr   string   `json:"leaderAddr,omitempty"`
	Term         uint64   `json:"term"`
	AppliedIndex uint64   `json:"appliedIndex"`
	KeyCount     int      `json:"keyCount"` // leases of idempotency keys
	Sidecars     []string `json:"sidecars"` // that follow it
}

// Sidecar is one sidecar and the server beside it.
type Sidecar struct {
	Process
	FollowedMember    string `json:"followedMember,omitempty"`
	Ready             bool   `json:"ready"`
	Leaving           bool   `json:"leaving,omitempty"`
	InMaintenance     bool   `json:"inMaintenance,omitempty"` // its server is out, by hand or by an order
	Service           string `json:"service"`
	ServerID          string `json:"serverId,omitempty"`
	State             string `json:"state"` // of the server
	StateReason       string `json:"stateReason,omitempty"`
	Slots             int    `json:"slots"`
	OpenRequests      int    `json:"openRequests"`                // at its server
	PolicyFingerprint string `json:"policyFingerprint,omitempty"` // of the set that it goes by
	Fenced            bool   `json:"fenced,omitempty"`            // it could not confirm that for a while
}

// IsUnavailable reports whether requests are not sent to its server.
func (s Sidecar) IsUnavailable() bool {
	return s.State != stateReady || s.Leaving || s.Unreachable != ""
}

// TrafficCounter is what a process has sent of one type of messages.
type TrafficCounter struct {
	MessageType string `json:"messageType"`
	Frames      int64  `json:"frames"`
	Bytes       int64  `json:"bytes"`
}

// ItemVersion is a configuration item's version as a process holds it.
type ItemVersion struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Route is one route as it is in force.
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

// displayName returns the process's name, or its address where that is all that is known.
func (p Process) displayName() string {
	if p.Name == "" {
		return p.Addr
	}
	return p.Name
}

// namedItems is how many items a text names at most.
const namedItems = 3

// describeItems names some items.
func describeItems(items []ItemVersion) string {
	var names []string
	for _, item := range items[:min(namedItems, len(items))] {
		names = append(names, strings.TrimSpace(item.Kind+" "+item.Name))
	}
	text := strings.Join(names, ", ")
	if len(items) > namedItems {
		text += " and others"
	}
	return text
}
