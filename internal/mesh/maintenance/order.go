package maintenance

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// Step is how far an order has proceeded with its current machine. The values are stored.
type Step string

// Steps. The machine is out of service from StepDraining to StepReturning.
const (
	StepWaiting       Step = "waiting"   // until the machine may be taken out
	StepDraining      Step = "draining"  // the other sidecars stop sending to it, and its requests finish
	StepMovingCallers Step = "leading"   // its own callers move to other machines
	StepInMaintenance Step = "out"       // it carries no traffic; the maintenance may be done
	StepReturning     Step = "returning" // it goes back into service
	StepDone          Step = "done"
	StepAborted       Step = "aborted" // ended early, with the machine back in service
)

// nextSteps are the steps that may follow each step.
var nextSteps = map[Step][]Step{
	StepWaiting:       {StepDraining, StepAborted, StepDone},
	StepDraining:      {StepMovingCallers, StepReturning},
	StepMovingCallers: {StepInMaintenance, StepReturning},
	StepInMaintenance: {StepReturning},
	StepReturning:     {StepWaiting, StepDone, StepAborted},
}

// IsFinished reports whether the order has ended at this step.
func (s Step) IsFinished() bool { return s == StepDone || s == StepAborted }

// IsCordoned reports whether the machine accepts no new requests at this step.
func (s Step) IsCordoned() bool {
	return s == StepDraining || s == StepMovingCallers || s == StepInMaintenance
}

func (s Step) canTransitionTo(next Step) bool { return slices.Contains(nextSteps[s], next) }

// Event is one entry of an order's history.
type Event struct {
	Time    TimeBounds `json:"at"`
	Machine string     `json:"machine,omitempty"`
	Step    Step       `json:"step"`
	Text    string     `json:"text"`
}

// Order takes machines out for maintenance one after the other. It is replicated state. A change names the revision
// that it is based on, so that only one of two concurrent changes is applied.
type Order struct {
	ID               string        `json:"id"`
	Machines         []string      `json:"machines"` // addresses, in the order in which they are taken out
	Position         int           `json:"at"`       // of the current machine in Machines
	Step             Step          `json:"step"`
	Revision         uint64        `json:"seq"`    // rises with each change
	Duration         time.Duration `json:"length"` // of the maintenance itself, for each machine
	PlacedBy         string        `json:"by"`
	Reason           string        `json:"reason,omitempty"`
	Override         bool          `json:"override,omitempty"` // proceeds even if the contracts do not approve it
	MachineNames     []string      `json:"names,omitempty"`    // display names of Machines
	NeedsApproval    bool          `json:"asked,omitempty"`    // from an approver of the contracts other than PlacedBy
	ApprovedBy       string        `json:"approved,omitempty"`
	ReturnBy         time.Time     `json:"until,omitzero"`  // when the machine must be back; zero if the contracts were overridden
	Successor        string        `json:"heir,omitempty"`  // the sidecar that takes over the machine's idempotency keys, if any
	StepSince        TimeBounds    `json:"since"`           // when the current step began
	MaintenanceSince TimeBounds    `json:"outAt"`           // when the latest StepInMaintenance began
	Aborting         bool          `json:"abort,omitempty"` // the order ends once the machine is back
	MaintenanceDone  bool          `json:"back,omitempty"`  // an operator reported it before Duration has passed
	Events           []Event       `json:"record"`
}

// CurrentMachine returns the address of the current machine.
func (o Order) CurrentMachine() string {
	if o.Position < len(o.Machines) {
		return o.Machines[o.Position]
	}
	return ""
}

// CurrentMachineName returns the display name of the current machine, or its address if it has none.
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
	// maxEvents is how many events an order keeps.
	maxEvents = 512
	// keptFirstEvents is how many of the oldest events are never dropped.
	keptFirstEvents = maxEvents / 4
)

// addEvent appends an event. If there are too many, it drops one from the middle, since the first and the latest are
// the most useful. It clones the slice, which other copies of the order share.
func (o *Order) addEvent(now TimeBounds, text string) {
	o.Events = append(slices.Clone(o.Events), Event{now, o.CurrentMachineName(), o.Step, text})
	if len(o.Events) > maxEvents {
		o.Events = slices.Delete(o.Events, keptFirstEvents, keptFirstEvents+1)
	}
}

// Limits of a new order.
const (
	maxIDBytes     = 64
	maxMachines    = 256
	maxNameBytes   = 128
	maxReasonBytes = 1024
	maxDuration    = 24 * time.Hour
)

// validate checks an order that is to be placed. A non-nil error is ErrInvalidOrder.
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
