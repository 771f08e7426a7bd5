package maintenance

import (
	"fmt"
	"slices"
)

// Observation is what the leader has learned about the current machine of an order.
type Observation struct {
	Reachable         bool // the machine answers
	Cordoned          bool // the machine has confirmed that it accepts no new requests because of this order
	ServerRequests    int  // requests that its server is running
	CallerRequests    int  // open requests from its own callers
	CallersMoved      bool // its own callers use the sidecars of other machines
	KeysHandedOver    bool // the order's successor has taken over its idempotency keys
	Senders           int  // connected sidecars that still send to it or have not answered whether they do
	Ready             bool // it accepts requests, and the other sidecars know that
	Warm              bool // its server has been ready for Parameters.WarmUp
	ControlPlane      bool // it runs a control-plane member
	FollowingSidecars int  // sidecars that follow this control-plane member
	IsLeader          bool // this control-plane member is the leader
	// SendersText lists the Senders for operators.
	SendersText string
	// WorkText tells operators what kinds of requests run there, and how those that ended since it was cordoned have ended.
	WorkText string
}

// decision is what an order does next: it either changes or waits for something.
type decision struct {
	change    OrderChange
	hasChange bool   // otherwise the order waits
	waitsFor  string // empty if there is a change
}

// emptyChange returns a change that is based on the order's current revision and does not change anything yet.
func (o Order) emptyChange() OrderChange {
	return OrderChange{OrderID: o.ID, ExpectedRevision: o.Revision}
}

// transitionTo returns the decision to move the order to a step. The text becomes the text of the order's event.
func (o Order) transitionTo(step Step, format string, args ...any) decision {
	change := o.emptyChange()
	change.Step = step
	change.Text = fmt.Sprintf(format, args...)
	return decision{change: change, hasChange: true}
}

// waitFor returns the decision to wait. The text says for what.
func (o Order) waitFor(format string, args ...any) decision {
	return decision{change: o.emptyChange(), waitsFor: fmt.Sprintf(format, args...)}
}

// Next decides the next change of an order, which the leader then proposes. ok is false if the order waits; waitsFor
// then says for what. View.InMaintenance must not contain the order's own current machine.
func (o Order) Next(v View, observed Observation, now TimeBounds) (change OrderChange, ok bool, waitsFor string) {
	d, mustReturn := o.returnEarly(v, now)
	if !mustReturn {
		d = o.decideStep(v, observed, now)
	}
	return d.change, d.hasChange, d.waitsFor
}

// decideStep decides the next change for the order's current step.
func (o Order) decideStep(v View, observed Observation, now TimeBounds) decision {
	switch o.Step {
	case StepWaiting:
		return o.decideWaiting(v, now)
	case StepDraining:
		return o.decideDraining(v, observed)
	case StepMovingCallers:
		return o.decideMovingCallers(observed)
	case StepInMaintenance:
		return o.decideInMaintenance(now)
	case StepReturning:
		return o.decideReturning(observed)
	case StepDone, StepAborted:
	}
	return o.waitFor("it is over")
}

// returnEarly decides to return a cordoned machine to service if the order is being aborted or the machine may no longer be out.
func (o Order) returnEarly(v View, now TimeBounds) (d decision, mustReturn bool) {
	if !o.Step.IsCordoned() {
		return decision{}, false
	}
	if o.Aborting {
		return o.transitionTo(StepReturning, "aborted, and let in again"), true
	}
	timeToReturn := v.Parameters.WarmUp + v.Parameters.Margin
	if !o.ReturnBy.IsZero() && now.Latest.Add(timeToReturn).After(o.ReturnBy) {
		d = o.transitionTo(StepReturning, "turned back: its window ends at %s", o.ReturnBy.UTC().Format("15:04:05 MST"))
	} else if verdict := v.withoutLoad().Recheck(o.CurrentMachine(), now); !o.Override && !verdict.Approved {
		d = o.transitionTo(StepReturning, "turned back: %v", verdict.Reasons[0])
	} else {
		return decision{}, false
	}
	d.change.Abort = true // the operator may place a new order for the machine
	return d, true
}

// withoutLoad returns the view without the measured load. Load varies, so it is only checked before a machine is taken out.
func (v View) withoutLoad() View {
	v.Load = nil
	return v
}

func (o Order) decideWaiting(v View, now TimeBounds) decision {
	if o.Aborting {
		return o.transitionTo(StepAborted, "aborted")
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
		d := o.transitionTo(StepDraining, "approved by contracts %v until %s", verdict.Contracts, verdict.ReturnBy.UTC().Format("2006-01-02 15:04 MST"))
		d.change.ReturnBy = verdict.ReturnBy
		return d
	}
	if o.Override {
		return o.transitionTo(StepDraining, "OVERRIDDEN (%s): %v", o.Reason, verdict.Reasons)
	}
	return o.waitFor("%s", verdict.Reasons[0])
}

func (o Order) decideDraining(v View, observed Observation) decision {
	switch {
	case !observed.Reachable:
		return o.waitFor("it does not answer")
	case !observed.Cordoned:
		return o.waitFor("it has not said that it takes nothing new")
	case observed.Senders > 0:
		return o.waitFor("%d sidecars have not confirmed that they send nothing: %s", observed.Senders, observed.SendersText)
	case observed.ServerRequests > 0:
		return o.waitFor("%d requests run there: %s", observed.ServerRequests, observed.WorkText)
	case observed.ControlPlane && observed.IsLeader:
		return o.waitFor("it leads still")
	}
	d := o.transitionTo(StepMovingCallers, "nobody sends to it, and nothing runs there; %s", observed.WorkText)
	d.change.Successor = v.successor(o.CurrentMachine())
	return d
}

func (o Order) decideMovingCallers(observed Observation) decision {
	switch {
	case !observed.Reachable:
		return o.waitFor("it does not answer")
	case !observed.ControlPlane && !observed.CallersMoved:
		return o.waitFor("its own callers are not led away yet")
	case !observed.ControlPlane && o.Successor != "" && !observed.KeysHandedOver:
		return o.waitFor("what it kept of keys is not handed over yet")
	case observed.CallerRequests > 0:
		return o.waitFor("%d requests of its own callers are open", observed.CallerRequests)
	case observed.FollowingSidecars > 0:
		return o.waitFor("%d sidecars follow it", observed.FollowingSidecars)
	}
	return o.transitionTo(StepInMaintenance, "nothing runs over it: the maintenance may be done")
}

func (o Order) decideInMaintenance(now TimeBounds) decision {
	maintenanceStart := o.MaintenanceSince.Latest
	switch {
	case o.MaintenanceDone:
		return o.transitionTo(StepReturning, "the maintenance is done")
	case !maintenanceStart.IsZero() && o.Duration > 0 && now.Earliest.Sub(maintenanceStart) >= o.Duration:
		return o.transitionTo(StepReturning, "the maintenance has had its time")
	}
	return o.waitFor("the maintenance is being done")
}

func (o Order) decideReturning(observed Observation) decision {
	switch {
	case !observed.Reachable:
		return o.waitFor("it does not answer")
	case !observed.Ready:
		return o.waitFor("it is not ready")
	case !observed.Warm:
		return o.waitFor("its server gets warm")
	case o.Aborting:
		return o.transitionTo(StepAborted, "back, and aborted")
	case o.Position+1 < len(o.Machines):
		d := o.transitionTo(StepWaiting, "back; the next one is %s", o.Machines[o.Position+1])
		d.change.NextMachine = true
		return d
	}
	return o.transitionTo(StepDone, "back")
}
