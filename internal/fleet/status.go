package fleet

import "time"

// Status is a node's view of its fleet at a point in time, for operators (docs/fleet.md). The fields of all types in this file have the
// names of their JSON keys, which are a stable interface. Fields that end in MS are in milliseconds.
type Status struct {
	Name    string         `json:"name"`
	Run     string         `json:"run"` // incarnation
	At      time.Time      `json:"at"`
	Open    bool           `json:"open"` // the gossip is open; if not, another process has its address
	LeaseMS float64        `json:"lease_ms"`
	Nodes   int            `json:"nodes"` // minimum number of members that form a new fleet
	Roll    string         `json:"roll"`  // hash of the roster, equal at members with the same roster
	Members []MemberStatus `json:"members"`
	Pools   []PoolStatus   `json:"pools"`
	Changes []ChangeStatus `json:"changes"`
	Stalls  []ChangeStatus `json:"stalls"`
	Health  int            `json:"health"`  // Lifeguard's local health score: 0 is healthy; higher values lengthen this node's probe time-outs
	Sent    int64          `json:"sent"`    // bytes of heartbeats, rosters and digests sent
	Got     int64          `json:"got"`     // bytes of them received
	Bad     int            `json:"bad"`     // messages that could not be decoded
	Ignored int            `json:"ignored"` // members that were ignored because the view had membership.MaxMembers
}

// MemberStatus is the status of a member that is on the roster or known to the gossip.
type MemberStatus struct {
	Name    string  `json:"name"`
	Run     string  `json:"run"` // incarnation
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	State   string  `json:"state"` // alive, failed, left, or unknown if it is only on the roster
	SinceMS float64 `json:"since_ms"`
	Counts  bool    `json:"counts"` // see membership.Member.Established
	Flaps   int     `json:"flaps"`
	Twin    string  `json:"twin,omitempty"` // incarnation of another process with the same name
	Seated  bool    `json:"seated"`         // a voter
	Gone    bool    `json:"gone"`           // removed from the roster
	Out     bool    `json:"out"`            // this node has received none of its heartbeats for the failure time-out
	Same    bool    `json:"same"`           // it has the same roster as this node
	HeardMS float64 `json:"heard_ms"`       // time since its latest heartbeat
}

// PoolStatus is this node's role in a pool, with the state of the pool's Module.
type PoolStatus struct {
	Pool     string            `json:"pool"`
	Index    int               `json:"index"`
	Seen     int               `json:"seen"`
	Agreed   int               `json:"agreed"`
	Divisor  int               `json:"divisor"`
	Standing bool              `json:"standing"` // the share is valid
	UntilMS  float64           `json:"until_ms"` // until the share expires if no heartbeat renews it
	Granted  int               `json:"granted"`  // members that grant this node its share now
	Wanted   int               `json:"wanted"`   // members that must grant it: a majority
	Of100    float64           `json:"of_100"`   // this node's part of a quota, in percent
	Why      string            `json:"why,omitempty"`
	Order    []string          `json:"order"`
	Subset   []string          `json:"subset"` // servers for first attempts; null: all, or a subset by this node's index
	Moving   bool              `json:"moving,omitempty"`
	Aside    []AsideStatus     `json:"aside,omitempty"`
	Quotas   []QuotaStatus     `json:"quotas,omitempty"`
	Differ   map[string]string `json:"differ,omitempty"` // members that differ from this one in this pool, and how
}

// QuotaStatus is this node's share of a tenant's quota. All values are fractions of the whole quota.
type QuotaStatus struct {
	Tenant   string  `json:"tenant"`
	Part     float64 `json:"part"` // 0 to 1, as the decision module applies it
	Lent     float64 `json:"lent"`
	Borrowed float64 `json:"borrowed"`
}

// AsideStatus is a server that this node avoids because other members report it as failing.
type AsideStatus struct {
	Server string   `json:"server"`
	ForMS  float64  `json:"for_ms"` // remaining time
	By     []string `json:"by"`     // members that report it
}

// ChangeStatus is a recent event: a change of a member, or a stall of this process.
type ChangeStatus struct {
	AgoMS float64 `json:"ago_ms"`
	Name  string  `json:"name,omitempty"` // of the member; empty for this node
	What  string  `json:"what"`
	Why   string  `json:"why,omitempty"`
}
