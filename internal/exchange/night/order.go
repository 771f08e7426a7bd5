package night

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Errors of orders.
const (
	ErrOrder = errors.ConstError("the order can't be")
	ErrStep  = errors.ConstError("the order has gone on since")
)

// Step is how far an order has come with the machine that it is at.
type Step string

// Steps. Only Draining to Returning have the machine out.
const (
	Draining  Step = "draining"  // no line sends to it any more; what runs there ends
	Leading   Step = "leading"   // and its own callers are led away
	Out       Step = "out"       // nothing runs over it: the maintenance may be done
	Returning Step = "returning" // it is let in again
	Waiting   Step = "waiting"   // for the next machine of the order to be approved
	Done      Step = "done"
	Aborted   Step = "aborted" // and all that was out is back
)

// Over says that an order has ended.
func (s Step) Over() bool { return s == Done || s == Aborted }

// Holds says that the machine takes nothing new.
func (s Step) Holds() bool { return s == Draining || s == Leading || s == Out }

// Event is one entry of an order's record.
type Event struct {
	At      Now    `json:"at"`
	Machine string `json:"machine,omitempty"`
	Step    Step   `json:"step"`
	Text    string `json:"text"`
}

// Order is machines that come out for maintenance, one after the other. It is agreed on: each change names the number that it
// follows, so that of two that would act on it only one does.
type Order struct {
	ID       string        `json:"id"`
	Machines []string      `json:"machines"` // in their order
	At       int           `json:"at"`       // of Machines
	Step     Step          `json:"step"`
	Seq      uint64        `json:"seq"`    // rises with each change
	Length   time.Duration `json:"length"` // of the maintenance itself, for each
	By       string        `json:"by"`
	Reason   string        `json:"reason,omitempty"`
	Override bool          `json:"override,omitempty"` // of what the contracts say
	Names    []string      `json:"names,omitempty"`    // of Machines, as people know them
	Asked    bool          `json:"asked,omitempty"`    // it waits for the word of one whom the contracts name, who is not By
	Approved string        `json:"approved,omitempty"` // who gave it
	Until    time.Time     `json:"until,omitzero"`     // the machine must be back; zero: by override, no time
	Heir     string        `json:"heir,omitempty"`     // the line that keeps the answers to keys which that one kept; "": none is there
	Since    Now           `json:"since"`              // the step began
	OutAt    Now           `json:"outAt"`              // the machine was out
	Abort    bool          `json:"abort,omitempty"`    // it ends once the machine is back
	Back     bool          `json:"back,omitempty"`     // the maintenance is done before its time
	Record   []Event       `json:"record"`
}

// Machine is the one that the order is at.
func (o Order) Machine() string {
	if o.At < len(o.Machines) {
		return o.Machines[o.At]
	}
	return ""
}

// Name is the machine that the order is at, as people know it.
func (o Order) Name() string {
	if o.At < len(o.Names) {
		return o.Names[o.At]
	}
	return o.Machine()
}

// approver is whose word an order rests on.
func (o Order) approver() string {
	if o.Asked {
		return o.Approved
	}
	return o.By
}

// Bounds of what is kept.
const (
	mostOpen   = 16
	mostKept   = 256 // orders that are over
	mostRecord = 512 // events of one
)

// Book is all orders, the latest last. It is never changed once made.
type Book struct {
	Orders []Order `json:"Orders"`
}

// Find is an order; false: there is none.
func (b Book) Find(id string) (Order, bool) {
	if i := slices.IndexFunc(b.Orders, func(o Order) bool { return o.ID == id }); i >= 0 {
		return b.Orders[i], true
	}
	return Order{}, false
}

// Open are the orders that are not over.
func (b Book) Open() (l []Order) {
	for _, o := range b.Orders {
		if !o.Step.Over() {
			l = append(l, o)
		}
	}
	return l
}

// OutNow are the machines that open orders have out, or on the way.
func (b Book) OutNow() (l []string) {
	for _, o := range b.Open() {
		if o.Step != Waiting {
			l = append(l, o.Machine())
		}
	}
	return l
}

// Place adds an order.
func (b Book) Place(o Order, now Now) (Book, error) {
	switch {
	case o.ID == "" || len(o.ID) > 64 || len(o.Machines) == 0 || len(o.Machines) > 256:
		return b, errors.Annotate(ErrOrder, "it needs an id and 1 to 256 machines")
	case o.By == "" || len(o.By) > 128 || len(o.Reason) > 1024:
		return b, errors.Annotate(ErrOrder, "it needs who gave it")
	case o.Override && o.Asked:
		return b, errors.Annotate(ErrOrder, "an override waits for nobody's word")
	case len(o.Names) > 0 && len(o.Names) != len(o.Machines):
		return b, errors.Annotate(ErrOrder, "it needs a name for each machine, or none")
	case o.Override && o.Reason == "":
		return b, errors.Annotate(ErrOrder, "an override needs a reason")
	case o.Length < 0 || o.Length > 24*time.Hour:
		return b, errors.Annotate(ErrOrder, "a maintenance takes up to a day")
	}
	if was, is := b.Find(o.ID); is {
		if slices.Equal(was.Machines, o.Machines) && was.By == o.By {
			return b, nil // it was placed already
		}
		return b, errors.Annotatef(ErrOrder, "another order has the id %s", o.ID)
	}
	if len(b.Open()) >= mostOpen {
		return b, errors.Annotatef(ErrOrder, "%d orders are open", mostOpen)
	}
	o.At, o.Step, o.Seq, o.Since, o.Record, o.Approved = 0, Waiting, 1, now, nil, ""
	o.note(now, "placed by "+o.By+map[bool]string{true: ", OVERRIDING the contracts: " + o.Reason}[o.Override]+map[bool]string{true: ", and asks for approval"}[o.Asked])
	next := Book{append(slices.Clone(b.Orders), o)}
	for over := len(next.Orders) - len(next.Open()); over > mostKept; over-- {
		i := slices.IndexFunc(next.Orders, func(o Order) bool { return o.Step.Over() })
		next.Orders = slices.Delete(next.Orders, i, i+1)
	}
	return next, nil
}

func (o *Order) note(now Now, text string) {
	o.Record = append(slices.Clone(o.Record), Event{now, o.Name(), o.Step, text})
	if len(o.Record) > mostRecord { // the first and the latest say most
		o.Record = slices.Delete(o.Record, mostRecord/4, mostRecord/4+1)
	}
}

// Change is a step of an order, or a word of an operator's on it.
type Change struct {
	ID    string    `json:"id"`
	After uint64    `json:"after"` // the Seq that it follows; 0: whatever it is
	Step  Step      `json:"step,omitempty"`
	Next  bool      `json:"next,omitempty"` // with Waiting: at the next machine
	Until time.Time `json:"until,omitzero"` // with Draining
	Heir  string    `json:"heir,omitempty"` // with Leading
	Abort bool      `json:"abort,omitempty"`
	Back  bool      `json:"back,omitempty"`
	// Approve is who approves an order that asks for that. Whether the contracts name them is looked at where the word comes in,
	// and again before a machine comes out.
	Approve string `json:"approve,omitempty"`
	Text    string `json:"text"`
}

// steps are those that may follow a step.
var steps = map[Step][]Step{Waiting: {Draining, Aborted, Done}, Draining: {Leading, Returning}, Leading: {Out, Returning},
	Out: {Returning}, Returning: {Waiting, Done, Aborted}}

// Apply makes a change that was agreed on.
func (b Book) Apply(c Change, now Now) (Book, error) {
	i := slices.IndexFunc(b.Orders, func(o Order) bool { return o.ID == c.ID })
	if i < 0 {
		return b, errors.Annotatef(ErrOrder, "no order %q", c.ID)
	}
	o := b.Orders[i]
	switch {
	case c.After != 0 && c.After != o.Seq:
		return b, ErrStep
	case o.Step.Over():
		return b, errors.Annotatef(ErrOrder, "%s is over", c.ID)
	case c.Step == "" && !c.Abort && !c.Back && c.Approve == "":
		return b, errors.Annotate(ErrOrder, "nothing changes")
	case c.Approve != "" && (!o.Asked || o.Step != Waiting || o.At > 0):
		return b, errors.Annotatef(ErrOrder, "%s does not ask for approval", c.ID)
	case c.Approve != "" && c.Approve == o.By:
		return b, errors.Annotatef(ErrOrder, "%s placed it, and another has to approve it", c.Approve)
	case c.Step != "" && !slices.Contains(steps[o.Step], c.Step):
		return b, errors.Annotatef(ErrStep, "%s does not follow %s", c.Step, o.Step)
	}
	o.Seq++
	o.Abort, o.Back = o.Abort || c.Abort, o.Back || c.Back
	if c.Approve != "" {
		o.Approved = c.Approve
	}
	if c.Step != "" {
		o.Step, o.Since = c.Step, now
		switch c.Step {
		case Draining:
			o.Until, o.Back, o.Heir = c.Until, false, ""
		case Leading:
			o.Heir = c.Heir
		case Out:
			o.OutAt = now
		}
	}
	o.note(now, c.Text)
	if c.Step == Waiting && c.Next {
		o.At++
	}
	next := Book{slices.Clone(b.Orders)}
	next.Orders[i] = o
	return next, nil
}

// Sight is what is seen of the machine that an order is at.
type Sight struct {
	There    bool // it answers
	Held     bool // it takes nothing new, by this order
	Open     int  // requests that run at its server
	Callers  int  // of its own callers, that are open
	Unready  bool // its own callers are led away
	Handed   bool // what it kept of keys is with its heir
	Sending  int  // lines in touch that still send to it, or could not be asked
	Ready    bool // it takes requests, and others know
	Warm     bool // its server has been ready for as long as it needs to be quick
	Register bool
	Homes    int    // of a register: lines that have it as their home
	Leads    bool   // of a register
	Waits    string // who still sends, in words
	Work     string // what runs there by kind, and how what ran since it was to take nothing new has ended; in words
}

// Next decides what an open order's next change is; false: it waits, for what is said. v is the mesh without this order's
// machine in Out.
func (o Order) Next(v View, s Sight, now Now) (c Change, ok bool, waits string) {
	c = Change{ID: o.ID, After: o.Seq}
	to := func(step Step, format string, args ...any) (Change, bool, string) {
		c.Step, c.Text = step, fmt.Sprintf(format, args...)
		return c, true, ""
	}
	back := v.Terms.Warm + v.Terms.Margin
	late := !o.Until.IsZero() && now.Latest.Add(back).After(o.Until)
	if o.Step.Holds() {
		turn := func(format string, args ...any) (Change, bool, string) {
			c.Abort = true // whoever wants it all the same orders it again
			return to(Returning, format, args...)
		}
		calm := v
		calm.Load = nil // what is at work rises and falls: it counts before a machine comes out
		d := calm.Still(o.Machine(), now)
		switch {
		case o.Abort:
			return to(Returning, "aborted, and let in again")
		case late:
			return turn("turned back: its window ends at %s", o.Until.UTC().Format("15:04:05 MST"))
		case !o.Override && !d.Approved:
			return turn("turned back: %v", d.Reasons[0])
		}
	}
	switch o.Step {
	case Waiting:
		if o.Abort {
			return to(Aborted, "aborted")
		}
		d := v.Plan(o.Machine(), o.Length, now)
		switch who := o.approver(); {
		case o.Override:
		case who == "":
			return c, false, fmt.Sprintf("one of %v has to approve it", d.Approvers)
		case len(d.Contracts) > 0 && !slices.Contains(d.Approvers, who):
			return c, false, fmt.Sprintf("the contracts name %v as approvers, and not %s", d.Approvers, who)
		}
		switch {
		case d.Approved, o.Override:
			c.Until = d.Until
			text := fmt.Sprintf("approved by contracts %v until %s", d.Contracts, d.Until.UTC().Format("2006-01-02 15:04 MST"))
			if !d.Approved {
				c.Until, text = time.Time{}, fmt.Sprintf("OVERRIDDEN (%s): %v", o.Reason, d.Reasons)
			}
			return to(Draining, "%s", text)
		}
		return c, false, d.Reasons[0].String()
	case Draining:
		switch {
		case !s.There:
			return c, false, "it does not answer"
		case !s.Held:
			return c, false, "it has not said that it takes nothing new"
		case s.Sending > 0:
			return c, false, fmt.Sprintf("%d lines have not confirmed that they send nothing: %s", s.Sending, s.Waits)
		case s.Open > 0:
			return c, false, fmt.Sprintf("%d requests run there: %s", s.Open, s.Work)
		case s.Register && s.Leads:
			return c, false, "it leads still"
		}
		c.Heir = v.heir(o.Machine())
		return to(Leading, "nobody sends to it, and nothing runs there; %s", s.Work)
	case Leading:
		switch {
		case !s.There:
			return c, false, "it does not answer"
		case !s.Register && !s.Unready:
			return c, false, "its own callers are not led away yet"
		case !s.Register && o.Heir != "" && !s.Handed:
			return c, false, "what it kept of keys is not handed over yet"
		case s.Callers > 0:
			return c, false, fmt.Sprintf("%d requests of its own callers are open", s.Callers)
		case s.Homes > 0:
			return c, false, fmt.Sprintf("%d lines have it as their home", s.Homes)
		}
		return to(Out, "nothing runs over it: the maintenance may be done")
	case Out:
		if o.Back {
			return to(Returning, "the maintenance is done")
		}
		if !o.OutAt.Latest.IsZero() && o.Length > 0 && now.Earliest.Sub(o.OutAt.Latest) >= o.Length {
			return to(Returning, "the maintenance has had its time")
		}
		return c, false, "the maintenance is being done"
	case Returning:
		switch {
		case !s.There:
			return c, false, "it does not answer"
		case !s.Ready:
			return c, false, "it is not ready"
		case !s.Warm:
			return c, false, "its server gets warm"
		case o.Abort:
			return to(Aborted, "back, and aborted")
		case o.At+1 < len(o.Machines):
			c.Next = true
			return to(Waiting, "back; the next one is %s", o.Machines[o.At+1])
		}
		return to(Done, "back")
	}
	return c, false, "it is over"
}
