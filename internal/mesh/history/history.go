// Package history holds what clients and observers outside the code under test saw of one run of the mesh, and the
// checkers that judge it. A history comes from a simulated run or from real processes; the checkers don't tell them apart.
//
// All times are durations since the start of the run on the observer's clock, simulated or real. Processes are named by
// the observer; the name stays the same over restarts. A History belongs to one goroutine.
package history

import (
	"fmt"
	"time"
)

// Outcome is how a call ended for its caller.
type Outcome string

// Outcomes of calls.
const (
	Acknowledged Outcome = "acknowledged"
	Refused      Outcome = "refused" // certainly without effect
	Unknown      Outcome = "unknown" // no answer, or none that says whether it took effect
)

// Call is an operation with a duration. Return is the latest time that is known of the call, also where its outcome is
// Unknown; such a call may still take effect at any later time.
type Call struct {
	Process string        `json:"process" validate:"required"` // the caller
	Begin   time.Duration `json:"begin_ns" validate:"gte=0"`
	Return  time.Duration `json:"return_ns" validate:"gtefield=Begin"`
	Outcome Outcome       `json:"outcome" validate:"oneof=acknowledged refused unknown"`
}

// Item names a configuration item.
type Item struct {
	Kind string `json:"kind" validate:"required"`
	Name string `json:"name" validate:"required"`
}

// String is kind/name.
func (i Item) String() string { return i.Kind + "/" + i.Name }

// ItemVersion is one content of an item. Two of one item and version are the same if Digest and Dropped agree.
type ItemVersion struct {
	Item
	Version int64  `json:"version" validate:"gte=0"`
	Digest  string `json:"digest,omitempty"` // of the content; empty if it was dropped
	Deleted bool   `json:"dropped,omitempty"`
}

// String is kind/name@version and the digest, or that it was dropped.
func (v ItemVersion) String() string {
	if v.Deleted {
		return fmt.Sprintf("%v@%d dropped", v.Item, v.Version)
	}
	return fmt.Sprintf("%v@%d %s", v.Item, v.Version, v.Digest)
}

// Change is one try of an operator's order at one member. All its items take effect, or none.
type Change struct {
	Call
	ChangeID string        `json:"order,omitempty"` // joins the tries of one order; empty: this call is its only one
	Member   string        `json:"member,omitempty"`
	Items    []ItemVersion `json:"items" validate:"dive"`
	Invalid  bool          `json:"invalid,omitempty"` // the caller expects a refusal
}

// Fetch is a read of the whole configuration. Dropped items may be told or left out.
type Fetch struct {
	Call
	Member string        `json:"member"` // that answered
	Items  []ItemVersion `json:"items" validate:"dive"`
}

// InitialTable is the configuration that a member hands to a sidecar that starts or changes its member. Process is the
// sidecar, Begin the time at which it asked.
type InitialTable struct {
	Call
	Member      string        `json:"member"`
	Incarnation uint64        `json:"life"` // of the sidecar
	Items       []ItemVersion `json:"items" validate:"dive"`
}

// ActiveVersion says that an item version was in force at a sidecar or at a member.
type ActiveVersion struct {
	At          time.Duration `json:"at_ns" validate:"gte=0"`
	Process     string        `json:"process" validate:"required"`
	Incarnation uint64        `json:"life"` // rises with each start of a sidecar and each new disk of a member
	InContact   bool          `json:"in_touch"`
	ItemVersion
}

// Claim is a sidecar's claim on a key. Acknowledged means granted to Process, Refused that another holds it.
type Claim struct {
	Call
	Key    string        `json:"key" validate:"required"`
	Window time.Duration `json:"window_ns" validate:"gte=0"`
	Holder string        `json:"holder,omitempty"` // as the answer names it
}

// Run is the beginning of a keyed request at a server.
type Run struct {
	At      time.Duration `json:"at_ns" validate:"gte=0"`
	Server  string        `json:"server" validate:"required"`
	Key     string        `json:"key" validate:"required"`
	Window  time.Duration `json:"window_ns" validate:"gte=0"` // in which Key runs once
	Request string        `json:"request" validate:"required"`
}

// Answer is one answer that reached a caller. Request is the request that the caller took it for, Answers the one that the
// answer's own bytes say it is for.
type Answer struct {
	At              time.Duration `json:"at_ns" validate:"gte=0"`
	Process         string        `json:"process" validate:"required"`
	Request         string        `json:"request" validate:"required"`
	AnsweredRequest string        `json:"answers"`
}

// Leader says that a member began to lead in a term.
type Leader struct {
	At        time.Duration `json:"at_ns" validate:"gte=0"`
	Process   string        `json:"process" validate:"required"`
	ID        uint64        `json:"id"` // of the member, from its disk
	Term      uint64        `json:"term"`
	LastIndex uint64        `json:"last_index,omitempty"` // of its log when it was elected; 0: not known
}

// Members says who the members are from an index of the log on. While Outgoing is set, majorities of both are needed.
type Members struct {
	At       time.Duration `json:"at_ns" validate:"gte=0"`
	Process  string        `json:"process" validate:"required"` // that reported it
	Index    uint64        `json:"index"`
	Voters   []uint64      `json:"voters" validate:"min=1"`
	Outgoing []uint64      `json:"outgoing,omitempty"` // the voters before, of a joint configuration
	Learners []uint64      `json:"learners,omitempty"`
}

// FaultKind is what befell a process.
type FaultKind string

// Kinds of faults and of their ends.
const (
	Kill      FaultKind = "kill"       // the process ends, its files stay as written
	PowerLoss FaultKind = "power_loss" // what was not synced may be lost
	Wipe      FaultKind = "wipe"       // the disk is empty
	Restart   FaultKind = "restart"
	Freeze    FaultKind = "freeze"
	Thaw      FaultKind = "thaw"
	Cut       FaultKind = "cut" // from Peers
	Heal      FaultKind = "heal"
	Remove    FaultKind = "remove" // taken away for good
)

// Fault is a fault of one process.
type Fault struct {
	At      time.Duration `json:"at_ns" validate:"gte=0"`
	Process string        `json:"process" validate:"required"`
	Kind    FaultKind     `json:"kind" validate:"oneof=kill power_loss wipe restart freeze thaw cut heal remove"`
	Peers   []string      `json:"peers,omitempty"` // of a Cut or Heal; none: all
}

// Contact says whether a member can, from At on, exchange messages with a majority, as the observer of the links knows it:
// itself, or through a member that can. One that still reaches the leader answers with what the leader has had confirmed.
type Contact struct {
	At       time.Duration `json:"at_ns" validate:"gte=0"`
	Process  string        `json:"process" validate:"required"`
	Majority bool          `json:"majority"`
}

// Synced says which disks held an index, synced, when it was acknowledged. Tolerance disks of Counted may be lost at once
// at that moment with nothing lost.
type Synced struct {
	At        time.Duration `json:"at_ns" validate:"gte=0"`
	Index     uint64        `json:"index"`
	ChangeID  string        `json:"order,omitempty"`
	Tolerance int           `json:"tolerance" validate:"gte=0"`
	Counted   []uint64      `json:"counted"` // members that count at that moment
	Disks     []uint64      `json:"disks"`   // that hold the index
}

// CatchUp is the beginning or, with Ended, the end of a member's catching up with the log.
type CatchUp struct {
	At      time.Duration `json:"at_ns" validate:"gte=0"`
	Process string        `json:"process" validate:"required"`
	Ended   bool          `json:"ended,omitempty"`
}

// StablePeriod is a stretch in which the control plane was settled: a majority in touch and no fault of late.
type StablePeriod struct {
	From time.Duration `json:"from_ns" validate:"gte=0"`
	To   time.Duration `json:"to_ns" validate:"gtefield=From"`
}

// History is what was seen of one run, each kind in the order in which it was recorded.
type History struct {
	Changes        []Change
	Fetches        []Fetch
	InitialTables  []InitialTable
	ActiveVersions []ActiveVersion
	Claims         []Claim
	Runs           []Run
	Answers        []Answer
	Leaders        []Leader
	Members        []Members
	Faults         []Fault
	Contacts       []Contact
	Synced         []Synced
	CatchUps       []CatchUp
	StablePeriods  []StablePeriod
	End            time.Duration // the latest time of the run; later events raise it
}

// Event is one of the events of this package.
type Event interface {
	record(h *History) (latest time.Duration)
}

// Record adds an event.
func (h *History) Record(e Event) { h.End = max(h.End, e.record(h)) }

func (e Change) record(h *History) time.Duration {
	h.Changes = append(h.Changes, e)
	return e.Return
}

func (e Fetch) record(h *History) time.Duration {
	h.Fetches = append(h.Fetches, e)
	return e.Return
}

func (e InitialTable) record(h *History) time.Duration {
	h.InitialTables = append(h.InitialTables, e)
	return e.Return
}

func (e ActiveVersion) record(h *History) time.Duration {
	h.ActiveVersions = append(h.ActiveVersions, e)
	return e.At
}

func (e Claim) record(h *History) time.Duration {
	h.Claims = append(h.Claims, e)
	return e.Return
}

func (e Run) record(h *History) time.Duration {
	h.Runs = append(h.Runs, e)
	return e.At
}

func (e Answer) record(h *History) time.Duration {
	h.Answers = append(h.Answers, e)
	return e.At
}

func (e Leader) record(h *History) time.Duration {
	h.Leaders = append(h.Leaders, e)
	return e.At
}

func (e Members) record(h *History) time.Duration {
	h.Members = append(h.Members, e)
	return e.At
}

func (e Fault) record(h *History) time.Duration {
	h.Faults = append(h.Faults, e)
	return e.At
}

func (e Contact) record(h *History) time.Duration {
	h.Contacts = append(h.Contacts, e)
	return e.At
}

func (e Synced) record(h *History) time.Duration {
	h.Synced = append(h.Synced, e)
	return e.At
}

func (e CatchUp) record(h *History) time.Duration {
	h.CatchUps = append(h.CatchUps, e)
	return e.At
}

func (e StablePeriod) record(h *History) time.Duration {
	h.StablePeriods = append(h.StablePeriods, e)
	return e.To
}
