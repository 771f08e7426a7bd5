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
	// pollInterval is the time between two calls while waiting.
	pollInterval = 200 * time.Millisecond
	// policyActiveTimeout is well above the time for which a policy set waits for sidecars that do not answer.
	policyActiveTimeout = 15 * time.Second
)

// Errors of AwaitPolicyActive and FollowOrder.
const (
	// ErrUnknownOrder says that no order has the ID, so that it was never placed, or was forgotten since.
	ErrUnknownOrder = errors.ConstError("unknown order")
	// ErrPolicyPending says that a policy set has not become active in time. It still may: the call can be repeated.
	ErrPolicyPending = errors.ConstError("the policy set is committed and not active yet")
)

// AwaitPolicyActive waits until the committed policy set is active. The error is ErrPolicyPending after policyActiveTimeout.
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

// OrderProgress is what has happened to a maintenance order since the last report.
type OrderProgress struct {
	Order      maintenance.Order
	Events     []maintenance.Event // new ones
	WaitingFor string              // what it waits for, or "" if that has not changed
}

// WriteText prints the new events and what the order waits for, as text for operators.
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
	shown, lastWait := 0, ""
	for ; ; time.Sleep(pollInterval) {
		response, err := c.Maintenance(controlplane.MaintenanceRequest{})
		if err != nil {
			return "", err
		}
		order, found := maintenance.OrderTable{Orders: response.Orders}.Find(id)
		if !found {
			return "", errors.Annotatef(ErrUnknownOrder, "%q", id)
		}
		progress := OrderProgress{Order: order, Events: order.Events[min(shown, len(order.Events)):]}
		shown = len(order.Events)
		finished := order.Step.IsFinished()
		if wait := response.WaitingFor[id]; !finished && wait != "" && wait != lastWait {
			lastWait, progress.WaitingFor = wait, wait
		}
		report(progress)
		if finished {
			return order.Step, nil
		}
	}
}
