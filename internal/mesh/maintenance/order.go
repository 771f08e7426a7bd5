package maintenance

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// Step is how far an order has come with its current machine. The values are stored.
type Step string

// Steps. The machine is out of service from StepDraining to StepReturning.
const (
	StepWaiting       Step = "waiting"   // for the machine to be approved
	StepDraining      Step = "draining"  // no sidecar sends to it any more, and requests there are finished
	StepMovingCallers Step = "leading"   // its own callers are moved to other machines
	StepInMaintenance Step = "out"       // it carries no traffic, so the maintenance may be done
	StepReturning     Step = "returning" // it is returned to service
	StepDone          Step = "done"
	StepAborted       Step = "aborted" // and the machine is back
)

// nextSteps is the steps that may follow a step.
var nextSteps = map[Step][]Step{
	StepWaiting:       {StepDraining, StepAborted, StepDone},
	StepDraining:      {StepMovingCallers, StepReturning},
	StepMovingCallers: {StepInMaintenance, StepReturning},
	StepInMaintenance: {StepReturning},
	StepReturning:     {StepWaiting, StepDone, StepAborted},
}

// IsFinished reports whether the order has ended.
func (s Step) IsFinished() bool { return s == StepDone || s == StepAborted }

// IsCordoned reports whether the machine accepts nothing new.
func (s Step) IsCordoned() bool {
	return s == StepDraining || s == StepMovingCallers || s == StepInMaintenance
}

func (s Step) mayBecome(next Step) bool { return slices.Contains(nextSteps[s], next) }

// Event is one entry of an order's history.
type Event struct {
	Time    TimeBounds `json:"at"`
	Machine string     `json:"machine,omitempty"`
	Step    Step       `json:"step"`
	Text    string     `json:"text"`
}

// Order is a number of machines that are taken out for maintenance one after the other. It is replicated state. A
// change names the revision that it is based on, so that only one of two concurrent changes is made.
type Order struct {
	ID               string        `json:"id"`
	Machines         []string      `json:"machines"` // addresses, in their order
	Position         int           `json:"at"`       // of the current machine in Machines
	Step             Step          `json:"step"`
	Revision         uint64        `json:"seq"`    // rises with each change
	Duration         time.Duration `json:"length"` // of the maintenance itself, for each machine
	PlacedBy         string        `json:"by"`
	Reason           string        `json:"reason,omitempty"`
	Override         bool          `json:"override,omitempty"` // the contracts are ignored
	MachineNames     []string      `json:"names,omitempty"`    // of Machines, as operators know them
	NeedsApproval    bool          `json:"asked,omitempty"`    // by an approver of the contracts other than PlacedBy
	ApprovedBy       string        `json:"approved,omitempty"`
	ReturnBy         time.Time     `json:"until,omitzero"`  // the machine must be back; zero if an override sets no time
	Successor        string        `json:"heir,omitempty"`  // the sidecar that takes over the machine's idempotency keys, if any
	StepSince        TimeBounds    `json:"since"`           // when the current step began
	MaintenanceSince TimeBounds    `json:"outAt"`           // when the latest StepInMaintenance began
	Aborting         bool          `json:"abort,omitempty"` // it ends once the machine is back
	MaintenanceDone  bool          `json:"back,omitempty"`  // before Duration has passed
	Events           []Event       `json:"record"`
}

// CurrentMachine returns the address of the current machine.
func (o Order) CurrentMachine() string {
	if o.Position < len(o.Machines) {
		return o.Machines[o.Position]
	}
	return ""
}

// CurrentMachineName returns the name of the current machine as operators know it.
func (o Order) CurrentMachineName() string {
	if o.Position < len(o.MachineNames) {
		return o.MachineNames[o.Position]
	}
	return o.CurrentMachine()
}

// approver returns who has approved the order, or "" if nobody has yet.
func (o Order) approver() string {
	if o.NeedsApproval {
		return o.ApprovedBy
	}
	return o.PlacedBy
}

const (
	// maxEvents bounds the events that an order keeps.
	maxEvents = 512
	// firstEvents is how many of the first are kept in any case; the rest are the latest.
	firstEvents = maxEvents / 4
)

// addEvent adds an event. If there are too many it drops one from the middle, since the first and the latest are the
// most useful. It never changes a slice that another copy of the order shares.
func (o *Order) addEvent(now TimeBounds, text string) {
	o.Events = append(slices.Clone(o.Events), Event{now, o.CurrentMachineName(), o.Step, text})
	if len(o.Events) > maxEvents {
		o.Events = slices.Delete(o.Events, firstEvents, firstEvents+1)
	}
}

// Bounds of what a new order may hold.
const (
	maxIDBytes     = 64
	maxMachines    = 256
	maxNameBytes   = 128
	maxReasonBytes = 1024
	maxDuration    = 24 * time.Hour
)

// validate checks an order that is to be placed. The error is ErrInvalidOrder.
func (o Order) validate() error {
	switch {
	case o.ID == "" || len(o.ID) > maxIDBytes || len(o.Machines) == 0 || len(o.Machines) > maxMachines:
		return errors.Annotate(ErrInvalidOrder, "it needs an id and 1 to 256 machines")
	case o.PlacedBy == "" || len(o.PlacedBy) > maxNameBytes || len(o.Reason) > maxReasonBytes:
		return errors.Annotate(ErrInvalidOrder, "it needs who gave it")
	case o.Override && o.NeedsApproval:
		return errors.Annotate(ErrInvalidOrder, "an override waits for nobody's word")
	case len(o.MachineNames) > 0 && len(o.MachineNames) != len(o.Machines):
		return errors.Annotate(ErrInvalidOrder, "it needs a name for each machine, or none")
	case o.Override && o.Reason == "":
		return errors.Annotate(ErrInvalidOrder, "an override needs a reason")
	case o.Duration < 0 || o.Duration > maxDuration:
		return errors.Annotate(ErrInvalidOrder, "a maintenance takes up to a day")
	}
	return nil
}
