// Package history records what clients and observers outside the code under test saw of one run of the mesh, and checks the promises
// of the mesh on it, in the manner of Jepsen. A history comes from a simulated run (package sim) or from real processes (package
// testcluster); the checkers must not depend on which.
//
// The package owns the types of events, their form as text, and the checkers. A checker must never take anything from the code under test
// but what is recorded, and must report a violation only if no correct mesh could have shown that history.
//
// All times are durations since the start of the run by the observer's clock, simulated or real. Processes are named by the observer
// and keep their names over restarts. A History must not be used by two goroutines at once; checkers only read it.
//
// Sources: Jepsen (histories, checkers, operations with an unknown outcome); Herlihy and Wing, "Linearizability", whose search is that of
// package porcupine; the Raft paper, figure 3, for the checkers of agreement.
package history

import (
	"fmt"
	"time"
)

// Outcome says how a call ended for its caller.
type Outcome string

// Outcomes of calls.
const (
	Acknowledged Outcome = "acknowledged"
	Refused      Outcome = "refused" // without effect, for certain
	Unknown      Outcome = "unknown" // not answered, or not in a way that says whether it took effect
)

// Call is an operation with a duration. Return is the latest time known of the call, also if its outcome is Unknown; such a call may
// take effect at any later time, or never.
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

// String returns kind/name.
func (i Item) String() string { return i.Kind + "/" + i.Name }

// ItemVersion is one content of an item. Two contents of one version are equal if Digest and Deleted are.
type ItemVersion struct {
	Item
	Version int64  `json:"version" validate:"gte=0"`
	Digest  string `json:"digest,omitempty"` // of the content; empty if the item was deleted
	Deleted bool   `json:"dropped,omitempty"`
}

// String returns kind/name@version and the digest, or that the item was deleted.
func (v ItemVersion) String() string {
	if v.Deleted {
		return fmt.Sprintf("%v@%d deleted", v.Item, v.Version)
	}
	return fmt.Sprintf("%v@%d %s", v.Item, v.Version, v.Digest)
}

// Change is one attempt to change the configuration at one member. All its items take effect, or none.
type Change struct {
	Call
	ChangeID string        `json:"order,omitempty"` // shared by all attempts of one change; empty if this is the only one
	Member   string        `json:"member,omitempty"`
	Items    []ItemVersion `json:"items" validate:"dive"`
	Invalid  bool          `json:"invalid,omitempty"` // the caller expects it to be refused
}

// Fetch is a read of the complete configuration. Deleted items may be in it as tombstones, or missing.
type Fetch struct {
	Call
	Member string        `json:"member"` // that answered it
	Items  []ItemVersion `json:"items" validate:"dive"`
}

// InitialTable is the configuration that a member sends to a sidecar that starts or follows another member. Process is the sidecar,
// Begin the time at which it asked.
type InitialTable struct {
	Call
	Member      string        `json:"member"`
	Incarnation uint64        `json:"life"` // of the sidecar
	Items       []ItemVersion `json:"items" validate:"dive"`
}

// ActiveVersion says that a version of an item became active at a sidecar or a member.
type ActiveVersion struct {
	At          time.Duration `json:"at_ns" validate:"gte=0"`
	Process     string        `json:"process" validate:"required"`
	Incarnation uint64        `json:"life"`     // rises with each start of a sidecar and each new disk of a member
	InContact   bool          `json:"in_touch"` // with a quorum, as the process knew
	ItemVersion
}

// Claim is a sidecar's request for the lease of an idempotency key. Acknowledged means granted to Process, Refused that another holds
// the lease.
type Claim struct {
	Call
	Key    string        `json:"key" validate:"required"`
	Window time.Duration `json:"window_ns" validate:"gte=0"`
	Holder string        `json:"holder,omitempty"` // as the answer names it
}

// Run says that a server began to run a keyed request.
type Run struct {
	At      time.Duration `json:"at_ns" validate:"gte=0"`
	Server  string        `json:"server" validate:"required"`
	Key     string        `json:"key" validate:"required"`
	Window  time.Duration `json:"window_ns" validate:"gte=0"` // in which Key runs once
	Request string        `json:"request" validate:"required"`
}

// Answer is an answer that reached a caller. Request is the request that the caller took it for, AnsweredRequest the one that the
// answer's own bytes name.
type Answer struct {
	At              time.Duration `json:"at_ns" validate:"gte=0"`
	Process         string        `json:"process" validate:"required"`
	Request         string        `json:"request" validate:"required"`
	AnsweredRequest string        `json:"answers"`
}

// Leader says that a member became the leader of a term.
type Leader struct {
	At        time.Duration `json:"at_ns" validate:"gte=0"`
	Process   string        `json:"process" validate:"required"`
	ID        uint64        `json:"id"` // of the member, from its disk
	Term      uint64        `json:"term"`
	LastIndex uint64        `json:"last_index,omitempty"` // of its log when it was elected, or 0 if it is not known
}

// Members says who the members are from an index of the log on. While there are Outgoing voters, majorities of both are needed.
type Members struct {
	At       time.Duration `json:"at_ns" validate:"gte=0"`
	Process  string        `json:"process" validate:"required"` // that reported it
	Index    uint64        `json:"index"`
	Voters   []uint64      `json:"voters" validate:"min=1"`
	Outgoing []uint64      `json:"outgoing,omitempty"` // former voters, in a joint configuration
	Learners []uint64      `json:"learners,omitempty"`
}

// FaultKind says what happened to a process.
type FaultKind string

// Kinds of faults and of their ends.
const (
	Kill      FaultKind = "kill"       // the process ended, its files stay as written
	PowerLoss FaultKind = "power_loss" // what was not synced may be lost
	Wipe      FaultKind = "wipe"       // the disk was emptied
	Restart   FaultKind = "restart"
	Freeze    FaultKind = "freeze"
	Thaw      FaultKind = "thaw"
	Cut       FaultKind = "cut" // from Peers
	Heal      FaultKind = "heal"
	Remove    FaultKind = "remove" // removed for good
)

// Fault is a fault of one process.
type Fault struct {
	At      time.Duration `json:"at_ns" validate:"gte=0"`
	Process string        `json:"process" validate:"required"`
	Kind    FaultKind     `json:"kind" validate:"oneof=kill power_loss wipe restart freeze thaw cut heal remove"`
	Peers   []string      `json:"peers,omitempty"` // of a Cut or Heal; none means all
}

// Contact says whether a member can, from At on, exchange messages with a majority, itself or through a member that can, as the
// observer of the links knows it. A member that still reaches the leader serves what the leader has confirmed.
type Contact struct {
	At       time.Duration `json:"at_ns" validate:"gte=0"`
	Process  string        `json:"process" validate:"required"`
	Majority bool          `json:"majority"`
}

// Synced says which disks held an index, synced, when it was acknowledged. At that moment any Tolerance disks of Counted may be lost
// at once without losing the index.
type Synced struct {
	At        time.Duration `json:"at_ns" validate:"gte=0"`
	Index     uint64        `json:"index"`
	ChangeID  string        `json:"order,omitempty"`
	Tolerance int           `json:"tolerance" validate:"gte=0"`
	Counted   []uint64      `json:"counted"` // members that count at that moment
	Disks     []uint64      `json:"disks"`   // that hold the index
}

// CatchUp says that a member began to catch up with the log or, with Ended, that it has.
type CatchUp struct {
	At      time.Duration `json:"at_ns" validate:"gte=0"`
	Process string        `json:"process" validate:"required"`
	Ended   bool          `json:"ended,omitempty"`
}

// StablePeriod is a period without recent faults, in which a majority of the members were in contact.
type StablePeriod struct {
	From time.Duration `json:"from_ns" validate:"gte=0"`
	To   time.Duration `json:"to_ns" validate:"gtefield=From"`
}

// History is what was seen of one run, each type of event in the order in which it was recorded.
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
	// record adds the event to a history, and returns the latest time in it.
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
