package scale

import (
	"fmt"
	"slices"
	"time"
)

// Roles of processes in results.
const (
	RoleSidecar  = "sidecar"
	RoleLeader   = "leader"   // of the control plane
	RoleFollower = "follower" // mean of the control plane's other members
)

// Phases of a measurement, as experiment files and results name them.
const (
	PhaseIdle       = "idle"       // heartbeats, and what the control plane sends by itself
	PhaseHeartbeats = "heartbeats" // more frequent heartbeats
	PhaseChanges    = "changes"    // of one route at a time
	PhaseLeases     = "claims"     // of idempotency keys
	PhaseRestarts   = "restarts"   // of servers: one drains, its successor starts
)

// Types of messages in counts of traffic, as transport.SentTraffic names them.
const (
	trafficRaft    = "core"
	trafficRecords = "records"
	trafficItems   = "items"
	trafficCall    = "ask"
	trafficReply   = "told"
)

// Results are what a run has measured.
type Results struct {
	Experiment   Experiment    `json:"experiment"`
	When         time.Time     `json:"when"`
	Machine      Machine       `json:"machine"`
	Measurements []Measurement `json:"measurements"`
	Comparison   *Comparison   `json:"comparison,omitempty"`
	// Stopped is why the run ended before everything was measured; empty if it did not.
	Stopped string  `json:"stopped,omitempty"`
	TookS   float64 `json:"took_s"`
}

// Machine is the one that the run was made on.
type Machine struct {
	Cores  int     `json:"cores"`
	Memory int64   `json:"memory"`      // bytes
	Load   float64 `json:"load_before"` // share of all cores that other processes used before the run began
}

// Measurement is one size with one configuration and seed.
type Measurement struct {
	Size     int    `json:"size"`
	Full     int    `json:"full"` // hollow sidecars among them; the others are announcers
	Services int    `json:"services"`
	Routes   int    `json:"routes"`
	Seed     uint64 `json:"seed"`
	Varied   bool   `json:"varied"` // services or routes differ from the experiment's
	// StartAllS is from the start of the sidecars until each has its configuration and knows all others; StartOneS is the same for one
	// more sidecar, until all others know it. Both are in seconds.
	StartAllS float64 `json:"start_all_s"`
	StartOneS float64 `json:"start_one_s"`
	// CrashS is from a server's last heartbeat until no full sidecar uses it any more, in seconds.
	CrashS     float64 `json:"crash_s"`
	Heap       int64   `json:"heap"` // bytes of a full sidecar after a garbage collection, with stacks
	Goroutines int     `json:"goroutines"`
	Phases     []Phase `json:"phases"`
	Failed     string  `json:"failed,omitempty"` // why it was not completed
}

// Phase is a span of a measurement in which one kind of event happens.
type Phase struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	// Events is how many changes, leases or restarts there were; of idle and heartbeats, the heartbeats at all full sidecars.
	Events   float64 `json:"events"`
	Rejected int     `json:"refused"` // events that failed or were too late to be counted
	// Busy is the share of the machine's cores that were busy, with whatever else ran. Bound is what limited the phase: the machine, or
	// nothing.
	Busy  float64 `json:"busy"`
	Bound string  `json:"bound,omitempty"`
	// Kept says that the phase counts in fits although it was limited.
	Kept          bool `json:"kept,omitempty"`
	LeaderChanged bool `json:"leader_changed,omitempty"`
	// RecordsSent is how many bytes of records the control plane sent to each sidecar, per second. A full sidecar that has received less
	// over all phases does not keep up.
	RecordsSent float64              `json:"told"`
	Roles       map[string]Load      `json:"roles"`
	Delays      map[string]Quantiles `json:"delays,omitempty"`
}

// Names of delays.
const (
	DelayAcknowledged = "acknowledged" // from sending a change to its acknowledgement
	DelayInForce      = "in force"     // from the acknowledgement until the change is in force at the last sidecar, announcers included
	DelayGranted      = "granted"      // from requesting a key lease to its grant
)

// Load is what one process of a role uses per second.
type Load struct {
	Processor float64            `json:"processor"`       // cores
	Resident  int64              `json:"resident"`        // bytes of memory at the end; of sidecars, the share of the worker's for each
	Sent      map[string]float64 `json:"said"`            // bytes on connections of the mesh, by type of message
	Received  map[string]float64 `json:"heard,omitempty"` // the same, received; not known of control-plane members
	Read      float64            `json:"read"`            // bytes by read calls, with files and the server's heartbeats
	Written   float64            `json:"written"`
	Keys      float64            `json:"keys,omitempty"` // leased at the end
}

// phase returns the phase with a name, or nil if it was not measured.
func (m Measurement) phase(name string) *Phase {
	i := slices.IndexFunc(m.Phases, func(p Phase) bool { return p.Name == name })
	if i < 0 {
		return nil
	}
	return &m.Phases[i]
}

// unreadShare returns the share of the records sent to a full sidecar that it did not read during all phases, or 0 if it kept up. It
// is taken over all phases because records come in bursts, which the end of a single phase may cut in two.
func (m Measurement) unreadShare() float64 {
	var sent, received float64
	for _, p := range m.Phases {
		sent += p.RecordsSent * p.Seconds
		received += p.Roles[RoleSidecar].Received[trafficRecords] * p.Seconds
	}
	if sent == 0 {
		return 0
	}
	return max(0, 1-received/sent)
}

// maxRejectedShare is the share of events that may be rejected in a phase that is used in fits.
const maxRejectedShare = 0.05

// counts reports whether the phase may be used in fits.
func (p Phase) counts() bool { return p.excluded() == "" }

// excluded returns why a phase is not used in fits, or "" if it is.
func (p Phase) excluded() string {
	switch {
	case p.Bound != "" && !p.Kept:
		return "limited by the " + p.Bound
	case p.LeaderChanged:
		return "the leader changed"
	case float64(p.Rejected) > maxRejectedShare*p.Events:
		return fmt.Sprintf("%d of %.0f events were rejected or came too late", p.Rejected, p.Events)
	}
	return ""
}

// sum adds the bytes of all types of messages.
func sum(traffic map[string]float64) (total float64) {
	for _, bytes := range traffic {
		total += bytes
	}
	return total
}

// Quantiles are those of delays, in milliseconds.
type Quantiles struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"most_ms"`
}

// quantiles sorts the delays.
func quantiles(delays []time.Duration) (q Quantiles) {
	if len(delays) == 0 {
		return q
	}
	slices.Sort(delays)
	at := func(share float64) float64 {
		return delays[min(len(delays)-1, int(share*float64(len(delays))))].Seconds() * 1000
	}
	return Quantiles{
		Count: len(delays),
		P50:   at(0.5),
		P99:   at(0.99),
		Max:   at(1),
	}
}
