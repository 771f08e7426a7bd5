package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"
)

// Roles of processes in results.
const (
	RoleSidecar  = "sidecar"
	RoleLeader   = "leader"   // of the control plane
	RoleFollower = "follower" // another member of it, as a mean
)

// Phases of a measurement.
const (
	PhaseIdle       = "idle"       // heartbeats and what the control plane says by itself
	PhaseHeartbeats = "heartbeats" // heartbeats at a higher pace
	PhaseChanges    = "changes"    // of one route at a time
	PhaseClaims     = "claims"     // on keys
	PhaseRestarts   = "restarts"   // of servers: one drains, its successor starts
)

// Results are what a run has measured.
type Results struct {
	Experiment   Experiment    `json:"experiment"`
	When         time.Time     `json:"when"`
	Machine      Machine       `json:"machine"`
	Measurements []Measurement `json:"measurements"`
	Comparison   *Comparison   `json:"comparison,omitempty"`
	// Stopped is why the run ended before all was measured; empty: it was not.
	Stopped string  `json:"stopped,omitempty"`
	TookS   float64 `json:"took_s"`
}

// Machine is where it ran.
type Machine struct {
	Cores  int     `json:"cores"`
	Memory int64   `json:"memory"`      // bytes
	Load   float64 `json:"load_before"` // share of all cores that others kept busy before the run began
}

// Measurement is one size with one configuration and seed.
type Measurement struct {
	Size     int    `json:"size"`
	Full     int    `json:"full"` // hollow sidecars among them; the others announce only
	Services int    `json:"services"`
	Routes   int    `json:"routes"`
	Seed     uint64 `json:"seed"`
	Varied   bool   `json:"varied"` // services or routes differ from the experiment's
	// StartAllS is from the start of the sidecars until each has its configuration and knows all others; StartOneS the same of
	// one more, until all others know it.
	StartAllS float64 `json:"start_all_s"`
	StartOneS float64 `json:"start_one_s"`
	// CrashS is from a server's last heartbeat until it is out at every full sidecar.
	CrashS     float64 `json:"crash_s"`
	Heap       int64   `json:"heap"` // bytes of a full sidecar after a collection, with stacks
	Goroutines int     `json:"goroutines"`
	Phases     []Phase `json:"phases"`
	Failed     string  `json:"failed,omitempty"` // why it did not come to its end
}

// Phase is a span of a measurement in which one thing happens.
type Phase struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	Events  float64 `json:"events"` // changes, claims, restarts or, of idle and heartbeats, heartbeats at all full sidecars
	Refused int     `json:"refused"`
	// Busy is the share of the machine's cores that were busy, with whatever else ran; Bound is what limited the phase: the
	// machine, or nothing.
	Busy  float64 `json:"busy"`
	Bound string  `json:"bound,omitempty"`
	// Kept: the phase counts in fits although it was limited.
	Kept          bool `json:"kept,omitempty"`
	LeaderChanged bool `json:"leader_changed,omitempty"`
	// Told are the bytes of records that the control plane said to each sidecar, each second. Where a full sidecar has heard
	// less over all phases, it does not read as fast as it is told.
	Told   float64              `json:"told"`
	Roles  map[string]Load      `json:"roles"`
	Delays map[string]Quantiles `json:"delays,omitempty"`
}

// Names of delays.
const (
	DelayAcknowledged = "acknowledged" // from the sending of a change to its acknowledgement
	DelayInForce      = "in force"     // from that to in force at the last sidecar, with the announcers
	DelayGranted      = "granted"      // from the asking for a key to its grant
)

// Load is what one process of a role uses, each second.
type Load struct {
	Processor float64            `json:"processor"`       // cores
	Resident  int64              `json:"resident"`        // bytes of memory at the end; of sidecars, the worker's share for each
	Said      map[string]float64 `json:"said"`            // bytes on trunks, by purpose
	Heard     map[string]float64 `json:"heard,omitempty"` // the same, received; not known of control-plane members
	Read      float64            `json:"read"`            // bytes by read calls, with files and the server's heartbeats
	Written   float64            `json:"written"`
	Keys      float64            `json:"keys,omitempty"` // held at the end
}

// phase is one by name; nil: it was not measured.
func (m Measurement) phase(name string) *Phase {
	i := slices.IndexFunc(m.Phases, func(p Phase) bool { return p.Name == name })
	if i < 0 {
		return nil
	}
	return &m.Phases[i]
}

// behind is the share of the records told to a full sidecar that it did not read in the time of all phases; 0: it kept up. A
// single phase does not tell, for records come in bursts that its ends may part.
func (m Measurement) behind() float64 {
	var told, heard float64
	for _, p := range m.Phases {
		told += p.Told * p.Seconds
		heard += p.Roles[RoleSidecar].Heard["records"] * p.Seconds
	}
	if told == 0 {
		return 0
	}
	return max(0, 1-heard/told)
}

// mostRefused is the share of events that may be refused in a phase that is used in fits.
const mostRefused = 0.05

// counts says that the phase may be used in fits.
func (p Phase) counts() bool { return p.excluded() == "" }

// excluded is why a phase is not used in fits; empty: it is.
func (p Phase) excluded() string {
	switch {
	case p.Bound != "" && !p.Kept:
		return "limited by the " + p.Bound
	case p.LeaderChanged:
		return "the leader changed"
	case float64(p.Refused) > mostRefused*p.Events:
		return fmt.Sprintf("%d of %.0f events were refused or came too late", p.Refused, p.Events)
	}
	return ""
}

// sum adds bytes of all purposes.
func sum(m map[string]float64) (total float64) {
	for _, n := range m {
		total += n
	}
	return total
}

// Quantiles are of delays, in milliseconds.
type Quantiles struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Most  float64 `json:"most_ms"`
}

func quantiles(l []time.Duration) (q Quantiles) {
	if len(l) == 0 {
		return q
	}
	slices.Sort(l)
	at := func(p float64) float64 { return l[min(len(l)-1, int(p*float64(len(l))))].Seconds() * 1000 }
	return Quantiles{Count: len(l), P50: at(0.5), P99: at(0.99), Most: at(1)}
}

// Comparison is of real sidecars with as many hollow ones, by the same phases.
type Comparison struct {
	Count   int         `json:"count"`
	Members int         `json:"members"` // of the control plane
	Real    Measurement `json:"real"`
	// Alone are hollow sidecars in processes of their own, as real ones are; Hollow are all in one process, as in other
	// measurements. The two differ by what processes cost alone.
	Alone  Measurement `json:"alone"`
	Hollow Measurement `json:"hollow"`
}

// ReadResults reads a file of results.
func ReadResults(path string) (r Results, err error) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &r)
	}
	return r, err
}

// Write writes them to a file.
func (r Results) Write(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
