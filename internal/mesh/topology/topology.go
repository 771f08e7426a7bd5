// Package plant is the mesh as a whole (the outside plant: machines and what runs between them): who the registers are and
// which leads, the lines by zone with the servers beside them, the routes, which process holds which version, what is out
// and why. Look asks a running mesh; a Topology can be saved, and drawn as text, for Graphviz, or as SVG.
package topology

import (
	"encoding/json"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/routing"
	"cranegrade/internal/mesh/transport/wire"
)

// Topology is what was found out of a mesh. It is pure: all that follows from it is reckoned from its fields.
type Topology struct {
	AskedMember        string        `json:"asked"` // the register's trunk
	QuorumContact      bool          `json:"touch"` // it hears of a leader that a majority follows
	ConfigurationIndex uint64        `json:"view"`  // of the members
	Members            []Member      `json:"registers"`
	Sidecars           []Sidecar     `json:"lines"`
	Routes             []Route       `json:"routes"`
	Items              []ItemVersion `json:"items"`           // as the core confirmed them; empty: it could not
	PolicyFingerprint  string        `json:"rules,omitempty"` // the set of namespaces' rules that binds, by its fingerprint; "": none does
}

// Process is what each process says of itself.
type Process struct {
	Name          string           `json:"name"`
	Addr          string           `json:"addr"` // of its trunk
	Zone          string           `json:"zone"`
	Unreachable   string           `json:"silent,omitempty"` // it was asked and gave no answer: why
	UptimeS       float64          `json:"upS"`
	Traffic       []TrafficCounter `json:"said,omitempty"` // on its trunks since it started, by purpose
	QuorumContact bool             `json:"touch"`          // with a majority of registers
	Fault         string           `json:"trouble,omitempty"`
	StaleItems    []ItemVersion    `json:"behind,omitempty"` // items of which it holds an older version, or none
	LagEntries    uint64           `json:"lag"`              // of a register: entries that it has not applied, by what the leader has
}

// Member is one register.
type Member struct {
	Process
	ID           uint64   `json:"id"`
	IsMember     bool     `json:"member"`
	IsLeader     bool     `json:"leads"`
	LeaderAddr   string   `json:"leader,omitempty"`
	Term         uint64   `json:"term"`
	AppliedIndex uint64   `json:"applied"`
	KeyCount     int      `json:"keys"`
	Sidecars     []string `json:"lines"` // that have it as their home
}

// Sidecar is one line and the server beside it.
type Sidecar struct {
	Process
	FollowedMember    string `json:"home,omitempty"`
	Ready             bool   `json:"ready"`
	Leaving           bool   `json:"leaving,omitempty"`
	InMaintenance     bool   `json:"held,omitempty"` // its server is out by hand
	Service           string `json:"service"`
	ServerID          string `json:"server,omitempty"`
	State             string `json:"state"`
	StateReason       string `json:"why,omitempty"` // its server is out
	Slots             int    `json:"slots"`
	OpenRequests      int    `json:"open"`             // requests at its server
	PolicyFingerprint string `json:"rules,omitempty"`  // the set that it goes by
	Fenced            bool   `json:"fenced,omitempty"` // it could not confirm that for a while
}

// IsUnavailable says that requests are not sent to its server.
func (l Sidecar) IsUnavailable() bool { return l.State != "ready" || l.Leaving || l.Unreachable != "" }

// TrafficCounter is what a process has said of one purpose.
type TrafficCounter struct {
	MessageType string `json:"purpose"`
	Frames      int64  `json:"frames"`
	Bytes       int64  `json:"bytes"`
}

// ItemVersion is an item's version as a process holds it.
type ItemVersion struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Deleted bool   `json:"dropped,omitempty"`
}

// Route is one route as it is in force.
type Route struct {
	Name         string            `json:"name"`
	Host         string            `json:"host"`
	Prefix       string            `json:"prefix"`
	Kind         string            `json:"kind"`
	Version      int64             `json:"version"`
	Destinations []WeightedService `json:"split"`
	TimeoutS     float64           `json:"timeoutS"`
	MaxAttempts  int               `json:"attempts"`
	Priority     int               `json:"priority"`
}

// WeightedService is a service's share of a route, from 0 to 1.
type WeightedService struct {
	Service string  `json:"service"`
	Share   float64 `json:"share"`
}

var stateNames = map[directory.ServerState]string{directory.ServerNone: "none", directory.ServerReady: "ready", directory.ServerDraining: "draining", directory.ServerDown: "down"}

func itemVersions(l []*wire.ItemVersionT) (out []ItemVersion) {
	for _, x := range l {
		out = append(out, ItemVersion{config.Kind(x.Kind).String(), x.Name, x.Version, x.Deleted})
	}
	return out
}

// staleItems are the items of which a process holds an older version than the core confirmed; what stands there is named with
// the version that it lacks.
func staleItems(newest, has []ItemVersion) (out []ItemVersion) {
	type name struct{ kind, name string }
	at := map[name]int64{}
	for _, h := range has {
		at[name{h.Kind, h.Name}] = h.Version
	}
	for _, h := range newest {
		if v, is := at[name{h.Kind, h.Name}]; !is || v < h.Version {
			out = append(out, h)
		}
	}
	return out
}

// routeKindNames are the routes' as operators write them.
var routeKindNames = map[routing.Kind]string{routing.AtMostOnce: "non_idempotent", routing.Keyed: "keyed", routing.Idempotent: "idempotent", routing.Download: "download"}

// routesFromItems are the routes of the items that stand, by host and prefix.
func routesFromItems(items []config.Item) (l []Route) {
	table, _ := config.Table{}.Merge(items)
	for _, r := range routing.NewTable(table).Routes() {
		x := Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: routeKindNames[r.Kind], Version: r.Version, TimeoutS: r.Timeout.Seconds(), MaxAttempts: r.MaxAttempts, Priority: r.Priority}
		sum := 0.0
		for _, s := range r.Destinations {
			sum += s.Weight
		}
		for _, s := range r.Destinations {
			x.Destinations = append(x.Destinations, WeightedService{s.Service, s.Weight / sum})
		}
		l = append(l, x)
	}
	sort.Slice(l, func(i, j int) bool {
		return l[i].Host < l[j].Host || l[i].Host == l[j].Host && (l[i].Prefix < l[j].Prefix || l[i].Prefix == l[j].Prefix && l[i].Name < l[j].Name)
	})
	return l
}

// memberFromStatus is what a register says of itself.
func memberFromStatus(s *wire.StatusT) Member {
	r := Member{Process: processFromStatus(s), ID: s.MemberId, IsMember: !s.IsNonMember, IsLeader: s.IsLeader, LeaderAddr: s.LeaderAddr, Term: s.Term, AppliedIndex: s.AppliedIndex, KeyCount: int(s.KeyCount), Sidecars: s.Sidecars}
	sort.Strings(r.Sidecars)
	return r
}

func processFromStatus(s *wire.StatusT) Process {
	p := Process{Name: s.Name, Addr: s.Addr, Zone: s.Zone, UptimeS: time.Duration(s.UptimeUs * 1000).Seconds(), QuorumContact: s.QuorumContact, Fault: s.Fault}
	for _, x := range s.Traffic {
		p.Traffic = append(p.Traffic, TrafficCounter{x.MessageType, x.Frames, x.Bytes})
	}
	return p
}

// fillLag fills in who lags behind whom.
func (t *Topology) fillLag(has map[string][]ItemVersion) {
	var most uint64
	for _, r := range t.Members {
		most = max(most, r.AppliedIndex)
	}
	for i := range t.Members {
		r := &t.Members[i]
		if r.Unreachable == "" && r.Fault == "" {
			r.LagEntries, r.StaleItems = most-r.AppliedIndex, staleItems(t.Items, has[r.Addr])
		}
	}
	for i := range t.Sidecars {
		if l := &t.Sidecars[i]; l.Unreachable == "" {
			l.StaleItems = staleItems(t.Items, has[l.Addr])
		}
	}
}

// Zones are those of lines and registers, in order; one that is not known is "".
func (t Topology) Zones() (names []string) {
	for _, l := range t.Sidecars {
		names = append(names, l.Zone)
	}
	for _, r := range t.Members {
		names = append(names, r.Zone)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Services are those that lines or routes name, in order.
func (t Topology) Services() (names []string) {
	for _, l := range t.Sidecars {
		if l.Service != "" {
			names = append(names, l.Service)
		}
	}
	for _, r := range t.Routes {
		for _, p := range r.Destinations {
			names = append(names, p.Service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Warnings are what an operator should look at, a line each; none: all is well.
func (t Topology) Warnings() (l []string) {
	if !t.QuorumContact {
		l = append(l, t.AskedMember+" is out of touch with a majority of the registers: what it told may be old")
	}
	if len(t.Items) == 0 {
		l = append(l, "the configuration could not be confirmed by a majority, or there is none yet")
	}
	leaders := 0
	for _, r := range t.Members {
		switch {
		case r.Unreachable != "":
			l = append(l, "register "+r.displayName()+" does not answer: "+r.Unreachable)
		case r.Fault != "":
			l = append(l, "register "+r.displayName()+" is in trouble: "+r.Fault)
		case !r.IsMember:
			l = append(l, "register "+r.displayName()+" is no member, and asks to be taken in")
		case !r.QuorumContact:
			l = append(l, "register "+r.displayName()+" is out of touch with a majority")
		case len(r.StaleItems) > 0:
			l = append(l, "register "+r.displayName()+" lags: "+describeItems(r.StaleItems))
		}
		if r.IsLeader {
			leaders++
		}
	}
	if leaders == 0 {
		l = append(l, "no register leads")
	}
	for _, x := range t.Sidecars {
		switch {
		case x.Unreachable != "":
			l = append(l, "line "+x.displayName()+" does not answer: "+x.Unreachable)
		case x.Leaving:
			l = append(l, "line "+x.displayName()+" is leaving")
		case !x.Ready:
			l = append(l, "line "+x.displayName()+" is not ready: it has no confirmed configuration")
		case !x.QuorumContact:
			l = append(l, "line "+x.displayName()+" is out of touch with the registers")
		}
		if len(x.StaleItems) > 0 {
			l = append(l, "line "+x.displayName()+" lags: "+describeItems(x.StaleItems))
		}
		switch {
		case x.Unreachable != "":
		case x.Fenced:
			l = append(l, "line "+x.displayName()+" refuses what namespaces own: it could not confirm which rules bind")
		case t.PolicyFingerprint != "" && x.PolicyFingerprint != t.PolicyFingerprint:
			l = append(l, "line "+x.displayName()+" goes by other rules than bind")
		}
		if x.Unreachable == "" && x.ServerID != "" && x.State != "ready" {
			l = append(l, "server "+x.ServerID+" of "+x.Service+" at "+x.displayName()+" is out ("+x.State+"): "+x.StateReason)
		}
	}
	for _, s := range t.Services() {
		if !slices.ContainsFunc(t.Sidecars, func(x Sidecar) bool { return x.Service == s && x.ServerID != "" && !x.IsUnavailable() }) {
			l = append(l, "service "+s+" has no server")
		}
	}
	return l
}

func (p Process) displayName() string {
	if p.Name == "" {
		return p.Addr
	}
	return p.Name
}

func describeItems(l []ItemVersion) string {
	var names []string
	for _, h := range l[:min(3, len(l))] {
		names = append(names, strings.TrimSpace(h.Kind+" "+h.Name))
	}
	s := strings.Join(names, ", ")
	if len(l) > 3 {
		s += " and others"
	}
	return s
}

// Save writes it, for Load.
func (t Topology) Save(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(t)
}

// Load reads what Save wrote.
func Load(r io.Reader) (t Topology, err error) {
	err = json.NewDecoder(io.LimitReader(r, 64<<20)).Decode(&t)
	return t, err
}
