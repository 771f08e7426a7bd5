package apiclient

import (
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/controlplane"
	"cranegrade/internal/mesh/maintenance"
)

const (
	// pollInterval is the time between calls that poll for progress.
	pollInterval = 200 * time.Millisecond
	// policyActiveTimeout is well above the time for which the activation of a policy set waits for unresponsive sidecars.
	policyActiveTimeout = 15 * time.Second
)

// Errors of AwaitPolicyActive and FollowOrder.
const (
	// ErrUnknownOrder means that no order has the ID: it was never placed, or has been deleted since.
	ErrUnknownOrder = errors.ConstError("unknown order")
	// ErrPolicyPending means that the policy set was not active in time. It may still become active: the call can be repeated.
	ErrPolicyPending = errors.ConstError("the policy set is committed and not active yet")
)

// AwaitPolicyActive waits until the committed policy set is active, or until policyActiveTimeout. If the policy set is still pending
// then, the error is ErrPolicyPending.
func (c Client) AwaitPolicyActive() error {
	for deadline := time.Now().Add(policyActiveTimeout); ; time.Sleep(pollInterval) {
		response, err := c.Policy(controlplane.PolicyRequest{})
		switch {
		case err == nil && !response.Rollout.IsPending():
			return nil
		case time.Now().Before(deadline):
		case err != nil:
			return err
		default:
			return errors.Annotate(ErrPolicyPending, response.WaitingFor)
		}
	}
}

// OrderProgress is the progress of a maintenance order since the previous report.
type OrderProgress struct {
	Order      maintenance.Order
	Events     []maintenance.Event // events since the previous report
	WaitingFor string              // what the order waits for, or "" if that has not changed since the previous report
}

// WriteText writes the new events and what the order waits for as lines of text for operators.
func (p OrderProgress) WriteText(w io.Writer) {
	for _, e := range p.Events {
		fmt.Fprintf(w, "%s  %-24s %-10s %s\n", e.Time.Earliest.UTC().Format("15:04:05.0"), e.Machine, e.Step, e.Text)
	}
	if p.WaitingFor != "" {
		fmt.Fprintf(w, "%10s  %-24s %-10s waits: %s\n", "", p.Order.CurrentMachineName(), p.Order.Step, p.WaitingFor)
	}
}

// FollowOrder reports the progress of an order until it is finished, and returns its last step. The error is ErrUnknownOrder if there
// is no such order.
func (c Client) FollowOrder(id string, report func(OrderProgress)) (maintenance.Step, error) {
	reported, lastWaitingFor := 0, "" // number of events, and the last value of WaitingFor
	for ; ; time.Sleep(pollInterval) {
		response, err := c.Maintenance(controlplane.MaintenanceRequest{})
		if err != nil {
			return "", err
		}
		order, found := maintenance.OrderTable{Orders: response.Orders}.Find(id)
		if !found {
			return "", errors.Annotatef(ErrUnknownOrder, "%q", id)
		}
		progress := OrderProgress{Order: order, Events: order.Events[min(reported, len(order.Events)):]}
		reported = len(order.Events)
		finished := order.Step.IsFinished()
		if waitingFor := response.WaitingFor[id]; !finished && waitingFor != "" && waitingFor != lastWaitingFor {
			lastWaitingFor, progress.WaitingFor = waitingFor, waitingFor
		}
		report(progress)
		if finished {
			return order.Step, nil
		}
	}
}
