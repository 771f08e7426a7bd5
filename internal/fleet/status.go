package fleet

import "time"

// Status is what a node knows of its fleet at a moment, for operators (docs/fleet.md). The fields of all types here are named like the
// keys of the JSON, which stay as they are; times are in milliseconds.
type Status struct {
	Name    string         `json:"name"`
	Run     string         `json:"run"` // incarnation
	At      time.Time      `json:"at"`
	Open    bool           `json:"open"` // the gossip is open: no other process has its address
	LeaseMS float64        `json:"lease_ms"`
	Nodes   int            `json:"nodes"` // the least number of members that found the fleet
	Roll    string         `json:"roll"`  // hash of the roster: the same at members that agree
	Members []MemberStatus `json:"members"`
	Pools   []PoolStatus   `json:"pools"`
	Changes []ChangeStatus `json:"changes"`
	Stalls  []ChangeStatus `json:"stalls"`
	Health  int            `json:"health"`  // Lifeguard's local health: 0 is good, with more this node is slow and suspects others later
	Sent    int64          `json:"sent"`    // bytes of heartbeats, rosters and digests
	Got     int64          `json:"got"`     // and received
	Bad     int            `json:"bad"`     // messages that could not be decoded
	Ignored int            `json:"ignored"` // members beyond membership.MaxMembers
}

// MemberStatus is a member that is on the roster or was seen by the gossip.
type MemberStatus struct {
	Name    string  `json:"name"`
	Run     string  `json:"run"` // incarnation
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	State   string  `json:"state"` // alive, failed, left; unknown: the gossip has not seen it
	SinceMS float64 `json:"since_ms"`
	Counts  bool    `json:"counts"` // see membership.Member.Established
	Flaps   int     `json:"flaps"`
	Twin    string  `json:"twin,omitempty"` // incarnation of another process of this name
	Seated  bool    `json:"seated"`         // a voter
	Gone    bool    `json:"gone"`           // removed from the roster
	Out     bool    `json:"out"`            // this node has not heard its heartbeats for the failure time-out
	Same    bool    `json:"same"`           // it has the same roster as this node
	HeardMS float64 `json:"heard_ms"`       // since its latest heartbeat
}

// PoolStatus is this node's role in a pool.
type PoolStatus struct {
	Pool     string            `json:"pool"`
	Index    int               `json:"index"`
	Seen     int               `json:"seen"`
	Agreed   int               `json:"agreed"`
	Divisor  int               `json:"divisor"`
	Standing bool              `json:"standing"` // the share is valid
	UntilMS  float64           `json:"until_ms"` // until it expires if no heartbeat comes
	Granted  int               `json:"granted"`  // members that grant this node something
	Wanted   int               `json:"wanted"`   // members that have to
	Of100    float64           `json:"of_100"`   // what this node may use of a quota of 100
	Why      string            `json:"why,omitempty"`
	Order    []string          `json:"order"`
	Subset   []string          `json:"subset"` // servers that first attempts are drawn from; null: all, or a part by number
	Moving   bool              `json:"moving,omitempty"`
	Aside    []AsideStatus     `json:"aside,omitempty"`
	Quotas   []QuotaStatus     `json:"quotas,omitempty"`
	Differ   map[string]string `json:"differ,omitempty"` // members that are not compatible, and how
}

// QuotaStatus is this node's share of a tenant's quota, of the whole.
type QuotaStatus struct {
	Tenant   string  `json:"tenant"`
	Part     float64 `json:"part"` // 0 to 1, as the decision module applies it
	Lent     float64 `json:"lent"`
	Borrowed float64 `json:"borrowed"`
}

// AsideStatus is a server that this node avoids because other members report it as failing.
type AsideStatus struct {
	Server string   `json:"server"`
	ForMS  float64  `json:"for_ms"` // from now
	By     []string `json:"by"`     // members that report it
}

// ChangeStatus is something that happened to a member or to this process.
type ChangeStatus struct {
	AgoMS float64 `json:"ago_ms"`
	Name  string  `json:"name,omitempty"` // of the member; empty for this node
	What  string  `json:"what"`
	Why   string  `json:"why,omitempty"`
}
