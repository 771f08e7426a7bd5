package maintenance

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Errors of orders.
const (
	ErrInvalidOrder = errors.ConstError("the order can't be")
	ErrStaleChange  = errors.ConstError("the order has gone on since")
)

// Step is how far an order has come with the machine that it is at.
type Step string

// Steps. Only Draining to Returning have the machine out.
const (
	StepDraining      Step = "draining"  // no line sends to it any more; what runs there ends
	StepMovingCallers Step = "leading"   // and its own callers are led away
	StepInMaintenance Step = "out"       // nothing runs over it: the maintenance may be done
	StepReturning     Step = "returning" // it is let in again
	StepWaiting       Step = "waiting"   // for the next machine of the order to be approved
	StepDone          Step = "done"
	StepAborted       Step = "aborted" // and all that was out is back
)

// IsFinished says that an order has ended.
func (s Step) IsFinished() bool { return s == StepDone || s == StepAborted }

// IsCordoned says that the machine takes nothing new.
func (s Step) IsCordoned() bool {
	return s == StepDraining || s == StepMovingCallers || s == StepInMaintenance
}

// Event is one entry of an order's record.
type Event struct {
	Time    TimeBounds `json:"at"`
	Machine string     `json:"machine,omitempty"`
	Step    Step       `json:"step"`
	Text    string     `json:"text"`
}

// Order is machines that come out for maintenance, one after the other. It is agreed on: each change names the number that it
// follows, so that of two that would act on it only one does.
type Order struct {
	ID               string        `json:"id"`
	Machines         []string      `json:"machines"` // in their order
	Position         int           `json:"at"`       // of Machines
	Step             Step          `json:"step"`
	Revision         uint64        `json:"seq"`    // rises with each change
	Duration         time.Duration `json:"length"` // of the maintenance itself, for each
	PlacedBy         string        `json:"by"`
	Reason           string        `json:"reason,omitempty"`
	Override         bool          `json:"override,omitempty"` // of what the contracts say
	MachineNames     []string      `json:"names,omitempty"`    // of Machines, as people know them
	NeedsApproval    bool          `json:"asked,omitempty"`    // it waits for the word of one whom the contracts name, who is not By
	ApprovedBy       string        `json:"approved,omitempty"` // who gave it
	ReturnBy         time.Time     `json:"until,omitzero"`     // the machine must be back; zero: by override, no time
	Successor        string        `json:"heir,omitempty"`     // the line that keeps the answers to keys which that one kept; "": none is there
	StepSince        TimeBounds    `json:"since"`              // the step began
	MaintenanceSince TimeBounds    `json:"outAt"`              // the machine was out
	Aborting         bool          `json:"abort,omitempty"`    // it ends once the machine is back
	MaintenanceDone  bool          `json:"back,omitempty"`     // the maintenance is done before its time
	Events           []Event       `json:"record"`
}

// CurrentMachine is the one that the order is at.
func (o Order) CurrentMachine() string {
	if o.Position < len(o.Machines) {
		return o.Machines[o.Position]
	}
	return ""
}

// CurrentMachineName is the machine that the order is at, as people know it.
func (o Order) CurrentMachineName() string {
	if o.Position < len(o.MachineNames) {
		return o.MachineNames[o.Position]
	}
	return o.CurrentMachine()
}

// approver is whose word an order rests on.
func (o Order) approver() string {
	if o.NeedsApproval {
		return o.ApprovedBy
	}
	return o.PlacedBy
}

// Bounds of what is kept.
const (
	maxOpenOrders     = 16
	maxFinishedOrders = 256 // orders that are over
	maxEvents         = 512 // events of one
)

// OrderTable is all orders, the latest last. It is never changed once made.
type OrderTable struct {
	Orders []Order `json:"Orders"`
}

// Find is an order; false: there is none.
func (b OrderTable) Find(id string) (Order, bool) {
	if i := slices.IndexFunc(b.Orders, func(o Order) bool { return o.ID == id }); i >= 0 {
		return b.Orders[i], true
	}
	return Order{}, false
}

// Open are the orders that are not over.
func (b OrderTable) Open() (l []Order) {
	for _, o := range b.Orders {
		if !o.Step.IsFinished() {
			l = append(l, o)
		}
	}
	return l
}

// MachinesInMaintenance are the machines that open orders have out, or on the way.
func (b OrderTable) MachinesInMaintenance() (l []string) {
	for _, o := range b.Open() {
		if o.Step != StepWaiting {
			l = append(l, o.CurrentMachine())
		}
	}
	return l
}

// Place adds an order.
func (b OrderTable) Place(o Order, now TimeBounds) (OrderTable, error) {
	switch {
	case o.ID == "" || len(o.ID) > 64 || len(o.Machines) == 0 || len(o.Machines) > 256:
		return b, errors.Annotate(ErrInvalidOrder, "it needs an id and 1 to 256 machines")
	case o.PlacedBy == "" || len(o.PlacedBy) > 128 || len(o.Reason) > 1024:
		return b, errors.Annotate(ErrInvalidOrder, "it needs who gave it")
	case o.Override && o.NeedsApproval:
		return b, errors.Annotate(ErrInvalidOrder, "an override waits for nobody's word")
	case len(o.MachineNames) > 0 && len(o.MachineNames) != len(o.Machines):
		return b, errors.Annotate(ErrInvalidOrder, "it needs a name for each machine, or none")
	case o.Override && o.Reason == "":
		return b, errors.Annotate(ErrInvalidOrder, "an override needs a reason")
	case o.Duration < 0 || o.Duration > 24*time.Hour:
		return b, errors.Annotate(ErrInvalidOrder, "a maintenance takes up to a day")
	}
	if was, is := b.Find(o.ID); is {
		if slices.Equal(was.Machines, o.Machines) && was.PlacedBy == o.PlacedBy {
			return b, nil // it was placed already
		}
		return b, errors.Annotatef(ErrInvalidOrder, "another order has the id %s", o.ID)
	}
	if len(b.Open()) >= maxOpenOrders {
		return b, errors.Annotatef(ErrInvalidOrder, "%d orders are open", maxOpenOrders)
	}
	o.Position, o.Step, o.Revision, o.StepSince, o.Events, o.ApprovedBy = 0, StepWaiting, 1, now, nil, ""
	o.addEvent(now, "placed by "+o.PlacedBy+map[bool]string{true: ", OVERRIDING the contracts: " + o.Reason}[o.Override]+map[bool]string{true: ", and asks for approval"}[o.NeedsApproval])
	next := OrderTable{append(slices.Clone(b.Orders), o)}
	for over := len(next.Orders) - len(next.Open()); over > maxFinishedOrders; over-- {
		i := slices.IndexFunc(next.Orders, func(o Order) bool { return o.Step.IsFinished() })
		next.Orders = slices.Delete(next.Orders, i, i+1)
	}
	return next, nil
}

func (o *Order) addEvent(now TimeBounds, text string) {
	o.Events = append(slices.Clone(o.Events), Event{now, o.CurrentMachineName(), o.Step, text})
	if len(o.Events) > maxEvents { // the first and the latest say most
		o.Events = slices.Delete(o.Events, maxEvents/4, maxEvents/4+1)
	}
}

// OrderChange is a step of an order, or a word of an operator's on it.
type OrderChange struct {
	OrderID          string    `json:"id"`
	ExpectedRevision uint64    `json:"after"` // the Seq that it follows; 0: whatever it is
	Step             Step      `json:"step,omitempty"`
	NextMachine      bool      `json:"next,omitempty"` // with Waiting: at the next machine
	ReturnBy         time.Time `json:"until,omitzero"` // with Draining
	Successor        string    `json:"heir,omitempty"` // with Leading
	Abort            bool      `json:"abort,omitempty"`
	MaintenanceDone  bool      `json:"back,omitempty"`
	// Approve is who approves an order that asks for that. Whether the contracts name them is looked at where the word comes in,
	// and again before a machine comes out.
	ApprovedBy string `json:"approve,omitempty"`
	Text       string `json:"text"`
}

// nextSteps are those that may follow a step.
var nextSteps = map[Step][]Step{StepWaiting: {StepDraining, StepAborted, StepDone}, StepDraining: {StepMovingCallers, StepReturning}, StepMovingCallers: {StepInMaintenance, StepReturning},
	StepInMaintenance: {StepReturning}, StepReturning: {StepWaiting, StepDone, StepAborted}}

// Apply makes a change that was agreed on.
func (b OrderTable) Apply(c OrderChange, now TimeBounds) (OrderTable, error) {
	i := slices.IndexFunc(b.Orders, func(o Order) bool { return o.ID == c.OrderID })
	if i < 0 {
		return b, errors.Annotatef(ErrInvalidOrder, "no order %q", c.OrderID)
	}
	o := b.Orders[i]
	switch {
	case c.ExpectedRevision != 0 && c.ExpectedRevision != o.Revision:
		return b, ErrStaleChange
	case o.Step.IsFinished():
		return b, errors.Annotatef(ErrInvalidOrder, "%s is over", c.OrderID)
	case c.Step == "" && !c.Abort && !c.MaintenanceDone && c.ApprovedBy == "":
		return b, errors.Annotate(ErrInvalidOrder, "nothing changes")
	case c.ApprovedBy != "" && (!o.NeedsApproval || o.Step != StepWaiting || o.Position > 0):
		return b, errors.Annotatef(ErrInvalidOrder, "%s does not ask for approval", c.OrderID)
	case c.ApprovedBy != "" && c.ApprovedBy == o.PlacedBy:
		return b, errors.Annotatef(ErrInvalidOrder, "%s placed it, and another has to approve it", c.ApprovedBy)
	case c.Step != "" && !slices.Contains(nextSteps[o.Step], c.Step):
		return b, errors.Annotatef(ErrStaleChange, "%s does not follow %s", c.Step, o.Step)
	}
	o.Revision++
	o.Aborting, o.MaintenanceDone = o.Aborting || c.Abort, o.MaintenanceDone || c.MaintenanceDone
	if c.ApprovedBy != "" {
		o.ApprovedBy = c.ApprovedBy
	}
	if c.Step != "" {
		o.Step, o.StepSince = c.Step, now
		switch c.Step {
		case StepDraining:
			o.ReturnBy, o.MaintenanceDone, o.Successor = c.ReturnBy, false, ""
		case StepMovingCallers:
			o.Successor = c.Successor
		case StepInMaintenance:
			o.MaintenanceSince = now
		}
	}
	o.addEvent(now, c.Text)
	if c.Step == StepWaiting && c.NextMachine {
		o.Position++
	}
	next := OrderTable{slices.Clone(b.Orders)}
	next.Orders[i] = o
	return next, nil
}

// Observation is what is seen of the machine that an order is at.
type Observation struct {
	Reachable         bool // it answers
	Cordoned          bool // it takes nothing new, by this order
	ServerRequests    int  // requests that run at its server
	CallerRequests    int  // of its own callers, that are open
	CallersMoved      bool // its own callers are led away
	KeysHandedOver    bool // what it kept of keys is with its heir
	Senders           int  // lines in touch that still send to it, or could not be asked
	Ready             bool // it takes requests, and others know
	Warm              bool // its server has been ready for as long as it needs to be quick
	ControlPlane      bool
	FollowingSidecars int    // of a register: lines that have it as their home
	IsLeader          bool   // of a register
	SendersText       string // who still sends, in words
	WorkText          string // what runs there by kind, and how what ran since it was to take nothing new has ended; in words
}

// Next decides what an open order's next change is; false: it waits, for what is said. v is the mesh without this order's
// machine in Out.
func (o Order) Next(v View, s Observation, now TimeBounds) (c OrderChange, ok bool, waits string) {
	c = OrderChange{OrderID: o.ID, ExpectedRevision: o.Revision}
	to := func(step Step, format string, args ...any) (OrderChange, bool, string) {
		c.Step, c.Text = step, fmt.Sprintf(format, args...)
		return c, true, ""
	}
	back := v.Parameters.WarmUp + v.Parameters.Margin
	late := !o.ReturnBy.IsZero() && now.Latest.Add(back).After(o.ReturnBy)
	if o.Step.IsCordoned() {
		turn := func(format string, args ...any) (OrderChange, bool, string) {
			c.Abort = true // whoever wants it all the same orders it again
			return to(StepReturning, format, args...)
		}
		calm := v
		calm.Load = nil // what is at work rises and falls: it counts before a machine comes out
		d := calm.Recheck(o.CurrentMachine(), now)
		switch {
		case o.Aborting:
			return to(StepReturning, "aborted, and let in again")
		case late:
			return turn("turned back: its window ends at %s", o.ReturnBy.UTC().Format("15:04:05 MST"))
		case !o.Override && !d.Approved:
			return turn("turned back: %v", d.Reasons[0])
		}
	}
	switch o.Step {
	case StepWaiting:
		if o.Aborting {
			return to(StepAborted, "aborted")
		}
		d := v.Plan(o.CurrentMachine(), o.Duration, now)
		switch who := o.approver(); {
		case o.Override:
		case who == "":
			return c, false, fmt.Sprintf("one of %v has to approve it", d.Approvers)
		case len(d.Contracts) > 0 && !slices.Contains(d.Approvers, who):
			return c, false, fmt.Sprintf("the contracts name %v as approvers, and not %s", d.Approvers, who)
		}
		switch {
		case d.Approved, o.Override:
			c.ReturnBy = d.ReturnBy
			text := fmt.Sprintf("approved by contracts %v until %s", d.Contracts, d.ReturnBy.UTC().Format("2006-01-02 15:04 MST"))
			if !d.Approved {
				c.ReturnBy, text = time.Time{}, fmt.Sprintf("OVERRIDDEN (%s): %v", o.Reason, d.Reasons)
			}
			return to(StepDraining, "%s", text)
		}
		return c, false, d.Reasons[0].String()
	case StepDraining:
		switch {
		case !s.Reachable:
			return c, false, "it does not answer"
		case !s.Cordoned:
			return c, false, "it has not said that it takes nothing new"
		case s.Senders > 0:
			return c, false, fmt.Sprintf("%d lines have not confirmed that they send nothing: %s", s.Senders, s.SendersText)
		case s.ServerRequests > 0:
			return c, false, fmt.Sprintf("%d requests run there: %s", s.ServerRequests, s.WorkText)
		case s.ControlPlane && s.IsLeader:
			return c, false, "it leads still"
		}
		c.Successor = v.successor(o.CurrentMachine())
		return to(StepMovingCallers, "nobody sends to it, and nothing runs there; %s", s.WorkText)
	case StepMovingCallers:
		switch {
		case !s.Reachable:
			return c, false, "it does not answer"
		case !s.ControlPlane && !s.CallersMoved:
			return c, false, "its own callers are not led away yet"
		case !s.ControlPlane && o.Successor != "" && !s.KeysHandedOver:
			return c, false, "what it kept of keys is not handed over yet"
		case s.CallerRequests > 0:
			return c, false, fmt.Sprintf("%d requests of its own callers are open", s.CallerRequests)
		case s.FollowingSidecars > 0:
			return c, false, fmt.Sprintf("%d lines have it as their home", s.FollowingSidecars)
		}
		return to(StepInMaintenance, "nothing runs over it: the maintenance may be done")
	case StepInMaintenance:
		if o.MaintenanceDone {
			return to(StepReturning, "the maintenance is done")
		}
		if !o.MaintenanceSince.Latest.IsZero() && o.Duration > 0 && now.Earliest.Sub(o.MaintenanceSince.Latest) >= o.Duration {
			return to(StepReturning, "the maintenance has had its time")
		}
		return c, false, "the maintenance is being done"
	case StepReturning:
		switch {
		case !s.Reachable:
			return c, false, "it does not answer"
		case !s.Ready:
			return c, false, "it is not ready"
		case !s.Warm:
			return c, false, "its server gets warm"
		case o.Aborting:
			return to(StepAborted, "back, and aborted")
		case o.Position+1 < len(o.Machines):
			c.NextMachine = true
			return to(StepWaiting, "back; the next one is %s", o.Machines[o.Position+1])
		}
		return to(StepDone, "back")
	}
	return c, false, "it is over"
}
