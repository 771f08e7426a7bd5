package maintenance

import (
	"fmt"
	"slices"
)

// Observation is what the leader knows about the current machine of an order.
type Observation struct {
	Reachable         bool // it answers
	Cordoned          bool // it accepts nothing new because of this order
	ServerRequests    int  // running at its server
	CallerRequests    int  // open requests of its own callers
	CallersMoved      bool // its own callers are sent to other machines
	KeysHandedOver    bool // its idempotency keys are with the order's successor
	Senders           int  // sidecars in contact that still send to it, or have not answered
	Ready             bool // it accepts requests, and the other sidecars know
	Warm              bool // its server has been ready for Parameters.WarmUp
	ControlPlane      bool
	FollowingSidecars int    // of a control-plane member: sidecars that follow it
	IsLeader          bool   // of a control-plane member
	SendersText       string // which sidecars still send, for operators
	WorkText          string // what runs there by kind, and how requests since it was cordoned have ended, for operators
}

// decision is what an order does next: it changes, or it waits for something.
type decision struct {
	change   OrderChange
	ok       bool   // there is a change
	waitsFor string // if there is no change
}

// emptyChange returns a change that is based on the order's revision and changes nothing yet.
func (o Order) emptyChange() OrderChange {
	return OrderChange{OrderID: o.ID, ExpectedRevision: o.Revision}
}

// goTo decides that the order takes a step. The text becomes that of the order's event.
func (o Order) goTo(step Step, format string, args ...any) decision {
	change := o.emptyChange()
	change.Step = step
	change.Text = fmt.Sprintf(format, args...)
	return decision{change: change, ok: true}
}

// waitFor decides that the order waits.
func (o Order) waitFor(format string, args ...any) decision {
	return decision{change: o.emptyChange(), waitsFor: fmt.Sprintf(format, args...)}
}

// Next decides the next change of an order, which the leader then proposes. ok is false if the order waits; waitsFor
// then says for what. The view must not count the order's own machine as in maintenance.
func (o Order) Next(v View, seen Observation, now TimeBounds) (change OrderChange, ok bool, waitsFor string) {
	d, turnsBack := o.turnBack(v, now)
	if !turnsBack {
		d = o.nextOfStep(v, seen, now)
	}
	return d.change, d.ok, d.waitsFor
}

func (o Order) nextOfStep(v View, seen Observation, now TimeBounds) decision {
	switch o.Step {
	case StepWaiting:
		return o.nextOfWaiting(v, now)
	case StepDraining:
		return o.nextOfDraining(v, seen)
	case StepMovingCallers:
		return o.nextOfMovingCallers(seen)
	case StepInMaintenance:
		return o.nextOfMaintenance(now)
	case StepReturning:
		return o.nextOfReturning(seen)
	case StepDone, StepAborted:
	}
	return o.waitFor("it is over")
}

// turnBack returns a cordoned machine to service if it may no longer be out.
func (o Order) turnBack(v View, now TimeBounds) (d decision, turnsBack bool) {
	if !o.Step.IsCordoned() {
		return decision{}, false
	}
	if o.Aborting {
		return o.goTo(StepReturning, "aborted, and let in again"), true
	}
	returnTime := v.Parameters.WarmUp + v.Parameters.Margin
	if !o.ReturnBy.IsZero() && now.Latest.Add(returnTime).After(o.ReturnBy) {
		d = o.goTo(StepReturning, "turned back: its window ends at %s", o.ReturnBy.UTC().Format("15:04:05 MST"))
	} else if verdict := v.withoutLoad().Recheck(o.CurrentMachine(), now); !o.Override && !verdict.Approved {
		d = o.goTo(StepReturning, "turned back: %v", verdict.Reasons[0])
	} else {
		return decision{}, false
	}
	d.change.Abort = true // the operator may place another order
	return d, true
}

// withoutLoad returns the view for a machine that is already out: load varies, so it only counts before a machine is taken out.
func (v View) withoutLoad() View {
	v.Load = nil
	return v
}

func (o Order) nextOfWaiting(v View, now TimeBounds) decision {
	if o.Aborting {
		return o.goTo(StepAborted, "aborted")
	}
	verdict := v.Plan(o.CurrentMachine(), o.Duration, now)
	approver := o.approver()
	switch {
	case o.Override:
	case approver == "":
		return o.waitFor("one of %v has to approve it", verdict.Approvers)
	case len(verdict.Contracts) > 0 && !slices.Contains(verdict.Approvers, approver):
		return o.waitFor("the contracts name %v as approvers, and not %s", verdict.Approvers, approver)
	}
	if verdict.Approved {
		d := o.goTo(StepDraining, "approved by contracts %v until %s", verdict.Contracts, verdict.ReturnBy.UTC().Format("2006-01-02 15:04 MST"))
		d.change.ReturnBy = verdict.ReturnBy
		return d
	}
	if o.Override {
		return o.goTo(StepDraining, "OVERRIDDEN (%s): %v", o.Reason, verdict.Reasons)
	}
	return o.waitFor("%s", verdict.Reasons[0])
}

func (o Order) nextOfDraining(v View, seen Observation) decision {
	switch {
	case !seen.Reachable:
		return o.waitFor("it does not answer")
	case !seen.Cordoned:
		return o.waitFor("it has not said that it takes nothing new")
	case seen.Senders > 0:
		return o.waitFor("%d sidecars have not confirmed that they send nothing: %s", seen.Senders, seen.SendersText)
	case seen.ServerRequests > 0:
		return o.waitFor("%d requests run there: %s", seen.ServerRequests, seen.WorkText)
	case seen.ControlPlane && seen.IsLeader:
		return o.waitFor("it leads still")
	}
	d := o.goTo(StepMovingCallers, "nobody sends to it, and nothing runs there; %s", seen.WorkText)
	d.change.Successor = v.successor(o.CurrentMachine())
	return d
}

func (o Order) nextOfMovingCallers(seen Observation) decision {
	switch {
	case !seen.Reachable:
		return o.waitFor("it does not answer")
	case !seen.ControlPlane && !seen.CallersMoved:
		return o.waitFor("its own callers are not led away yet")
	case !seen.ControlPlane && o.Successor != "" && !seen.KeysHandedOver:
		return o.waitFor("what it kept of keys is not handed over yet")
	case seen.CallerRequests > 0:
		return o.waitFor("%d requests of its own callers are open", seen.CallerRequests)
	case seen.FollowingSidecars > 0:
		return o.waitFor("%d sidecars follow it", seen.FollowingSidecars)
	}
	return o.goTo(StepInMaintenance, "nothing runs over it: the maintenance may be done")
}

func (o Order) nextOfMaintenance(now TimeBounds) decision {
	began := o.MaintenanceSince.Latest
	switch {
	case o.MaintenanceDone:
		return o.goTo(StepReturning, "the maintenance is done")
	case !began.IsZero() && o.Duration > 0 && now.Earliest.Sub(began) >= o.Duration:
		return o.goTo(StepReturning, "the maintenance has had its time")
	}
	return o.waitFor("the maintenance is being done")
}

func (o Order) nextOfReturning(seen Observation) decision {
	switch {
	case !seen.Reachable:
		return o.waitFor("it does not answer")
	case !seen.Ready:
		return o.waitFor("it is not ready")
	case !seen.Warm:
		return o.waitFor("its server gets warm")
	case o.Aborting:
		return o.goTo(StepAborted, "back, and aborted")
	case o.Position+1 < len(o.Machines):
		d := o.goTo(StepWaiting, "back; the next one is %s", o.Machines[o.Position+1])
		d.change.NextMachine = true
		return d
	}
	return o.goTo(StepDone, "back")
}
