package maintenance

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// Errors of orders and their changes. They are annotated with the cause; match them with errors.Is.
const (
	// ErrInvalidOrder says that an order, or a change of an order, is not valid.
	ErrInvalidOrder = errors.ConstError("the order can't be")

	// ErrStaleChange says that a change is based on a former revision of the order.
	ErrStaleChange = errors.ConstError("the order has gone on since")
)

// Limits of an OrderTable.
const (
	maxOpenOrders     = 16  // further orders are rejected
	maxFinishedOrders = 256 // the oldest are dropped beyond it
)

// OrderTable is all orders, in the order in which they were placed. It is replicated state, and immutable: Place and Apply return the next
// table.
type OrderTable struct {
	Orders []Order `json:"Orders"`
}

func (t OrderTable) index(id string) int {
	return slices.IndexFunc(t.Orders, func(o Order) bool { return o.ID == id })
}

// Find returns the order with the given ID, if there is one.
func (t OrderTable) Find(id string) (Order, bool) {
	if i := t.index(id); i >= 0 {
		return t.Orders[i], true
	}
	return Order{}, false
}

// Open returns the orders that are not finished.
func (t OrderTable) Open() (open []Order) {
	for _, o := range t.Orders {
		if !o.Step.IsFinished() {
			open = append(open, o)
		}
	}
	return open
}

// Place adds an order. Placing the same order again, as a retry does, changes nothing. On ErrInvalidOrder the table is
// unchanged. Every replica calls Place, so what it writes into the order must be the same in all versions of the
// program.
func (t OrderTable) Place(o Order, now TimeBounds) (OrderTable, error) {
	if err := o.validate(); err != nil {
		return t, err
	}
	if placed, exists := t.Find(o.ID); exists {
		if slices.Equal(placed.Machines, o.Machines) && placed.PlacedBy == o.PlacedBy {
			return t, nil
		}
		return t, errors.Annotatef(ErrInvalidOrder, "another order has the id %s", o.ID)
	}
	if len(t.Open()) >= maxOpenOrders {
		return t, errors.Annotatef(ErrInvalidOrder, "%d orders are open", maxOpenOrders)
	}
	o.Position = 0
	o.Step = StepWaiting
	o.Revision = 1
	o.StepSince = now
	o.Events = nil
	o.ApprovedBy = ""
	o.addEvent(now, placementText(o))
	next := OrderTable{append(slices.Clone(t.Orders), o)}
	next.dropOldest()
	return next, nil
}

// placementText returns the text of an order's first event. Every replica writes it, so it must never change.
func placementText(o Order) string {
	text := "placed by " + o.PlacedBy
	if o.Override {
		text += ", OVERRIDING the contracts: " + o.Reason
	}
	if o.NeedsApproval {
		text += ", and asks for approval"
	}
	return text
}

// dropOldest removes the oldest finished orders beyond maxFinishedOrders.
func (t *OrderTable) dropOldest() {
	for finished := len(t.Orders) - len(t.Open()); finished > maxFinishedOrders; finished-- {
		i := slices.IndexFunc(t.Orders, func(o Order) bool { return o.Step.IsFinished() })
		t.Orders = slices.Delete(t.Orders, i, i+1)
	}
}

// OrderChange is a change that Order.Next has decided or that an operator requests.
type OrderChange struct {
	OrderID          string    `json:"id"`
	ExpectedRevision uint64    `json:"after"` // of the order that the change is based on; 0 matches any
	Step             Step      `json:"step,omitempty"`
	NextMachine      bool      `json:"next,omitempty"`  // with StepWaiting: proceed to the next machine
	ReturnBy         time.Time `json:"until,omitzero"`  // with StepDraining
	Successor        string    `json:"heir,omitempty"`  // with StepMovingCallers
	Abort            bool      `json:"abort,omitempty"` // requested by an operator, or because a machine has to return early
	MaintenanceDone  bool      `json:"back,omitempty"`
	// ApprovedBy is who approves an order that needs approval. Whether the contracts name them as an approver is checked when the request
	// arrives, and again before a machine is taken out.
	ApprovedBy string `json:"approve,omitempty"`
	Text       string `json:"text"`
}

func (c OrderChange) isEmpty() bool {
	return c.Step == "" && !c.Abort && !c.MaintenanceDone && c.ApprovedBy == ""
}

// Apply applies a committed change. On ErrInvalidOrder or ErrStaleChange the table is unchanged.
func (t OrderTable) Apply(c OrderChange, now TimeBounds) (OrderTable, error) {
	i := t.index(c.OrderID)
	if i < 0 {
		return t, errors.Annotatef(ErrInvalidOrder, "no order %q", c.OrderID)
	}
	if err := t.Orders[i].checkChange(c); err != nil {
		return t, err
	}
	next := OrderTable{slices.Clone(t.Orders)}
	next.Orders[i] = t.Orders[i].withChange(c, now)
	return next, nil
}

// checkChange returns why a change can't be applied, as ErrInvalidOrder or ErrStaleChange, or nil if it can.
func (o Order) checkChange(c OrderChange) error {
	switch {
	case c.ExpectedRevision != 0 && c.ExpectedRevision != o.Revision:
		return ErrStaleChange
	case o.Step.IsFinished():
		return errors.Annotatef(ErrInvalidOrder, "%s is over", c.OrderID)
	case c.isEmpty():
		return errors.Annotate(ErrInvalidOrder, "nothing changes")
	case c.ApprovedBy != "" && (!o.NeedsApproval || o.Step != StepWaiting || o.Position > 0):
		return errors.Annotatef(ErrInvalidOrder, "%s does not ask for approval", c.OrderID)
	case c.ApprovedBy != "" && c.ApprovedBy == o.PlacedBy:
		return errors.Annotatef(ErrInvalidOrder, "%s placed it, and another has to approve it", c.ApprovedBy)
	case c.Step != "" && !o.Step.canTransitionTo(c.Step):
		return errors.Annotatef(ErrStaleChange, "%s does not follow %s", c.Step, o.Step)
	}
	return nil
}

// withChange returns the order after a change that checkChange has accepted.
func (o Order) withChange(c OrderChange, now TimeBounds) Order {
	o.Revision++
	o.Aborting = o.Aborting || c.Abort
	o.MaintenanceDone = o.MaintenanceDone || c.MaintenanceDone
	if c.ApprovedBy != "" {
		o.ApprovedBy = c.ApprovedBy
	}
	if c.Step != "" {
		o.Step = c.Step
		o.StepSince = now
	}
	switch c.Step {
	case StepDraining:
		o.ReturnBy = c.ReturnBy
		o.MaintenanceDone = false
		o.Successor = ""
	case StepMovingCallers:
		o.Successor = c.Successor
	case StepInMaintenance:
		o.MaintenanceSince = now
	case StepWaiting, StepReturning, StepDone, StepAborted:
	}
	o.addEvent(now, c.Text)
	if c.Step == StepWaiting && c.NextMachine {
		o.Position++ // after adding the event, which concerns the machine that has just returned
	}
	return o
}
