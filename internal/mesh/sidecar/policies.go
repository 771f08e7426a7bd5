package sidecar

import (
	"net/http"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/transport/wire"
)

// activePolicies is the set of namespaces and policies in force in this sidecar, with the state from which
// policy.SidecarState decides whether they can still be trusted to be active. A set that was received but is not active
// yet is only among the configuration's items. The zero value is ready to use.
type activePolicies struct {
	table       config.Table // guarded by the configuration's lock
	state       atomic.Pointer[policy.SidecarState]
	activeSince atomic.Int64 // when the set was activated here, in nanoseconds of the environment's clock
}

// current returns the latest state. Any goroutine may call it.
func (p *activePolicies) current() policy.SidecarState {
	if state := p.state.Load(); state != nil {
		return *state
	}
	return policy.SidecarState{}
}

// setPolicyState replaces the state. Once policies have been received, it starts the poller, which confirms the active
// set regularly. The caller holds mu.
func (c *configuration) setPolicyState(state policy.SidecarState) {
	c.policies.state.Store(&state)
	if state.HasPolicies {
		c.poller.start()
	}
}

// isFenced reports whether this sidecar has to reject requests under policies, because it could not confirm recently
// which policies are active.
func (c *configuration) isFenced() bool { return c.policies.current().IsFenced(c.env.clock.Now()) }

// activeFor returns the time since the active set was activated in this sidecar.
func (c *configuration) activeFor() time.Duration {
	return c.env.clock.Now() - time.Duration(c.policies.activeSince.Load())
}

// recordReceivedPolicies records that a policy set was received, if the items that a merge updated include any of it.
// The caller holds mu.
func (c *configuration) recordReceivedPolicies(updated []config.Item) {
	for _, item := range updated {
		if item.Kind.InPolicySet() {
			c.setPolicyState(c.policies.current().Receive(c.items.PolicyFingerprint()))
			return
		}
	}
}

// activatePolicies makes a policy set the active one, and rebuilds the routing table. The caller holds mu.
func (c *configuration) activatePolicies(state policy.SidecarState, table config.Table) {
	c.policies.table = table
	c.policies.activeSince.Store(int64(c.env.clock.Now()))
	c.setPolicyState(state)
	c.rebuildRouting()
	c.env.log.Info().Str("fingerprint", state.Active).Uint64("index", state.ActiveIndex).Msg("policies activated")
}

// applyActivePolicies applies a member's notification that a policy set is active.
func (c *configuration) applyActivePolicies(active *wire.ActivePolicyT) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, activate, confirm := c.policies.current().Activate(active.Fingerprint, active.Index)
	if activate {
		c.activatePolicies(state, c.items.PolicyItems())
	}
	if confirm {
		state.HasPolicies = true
		c.setPolicyState(state)
		c.poller.requestPoll()
	}
}

// applyConfirmedTable applies all items and the active policies of a linearizable read that was requested at
// requestedAt. It returns false if the policies do not match their fingerprint; the read then has to be repeated.
func (c *configuration) applyConfirmedTable(read *wire.ItemsT, requestedAt time.Duration) bool {
	c.mergeItems(config.ItemsFromWire(read))
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.policies.current()
	state := previous.Restore(read.ActiveFingerprint, read.ActiveIndex, requestedAt)
	if state.ActiveIndex == previous.ActiveIndex && state.Active == previous.Active {
		c.setPolicyState(state)
		return true
	}
	table, _ := config.Table{}.Merge(config.ItemsFromWire(&wire.ItemsT{List: read.ActivePolicy}))
	if state.Active == c.items.PolicyFingerprint() {
		table = c.items.PolicyItems()
	}
	if table.PolicyFingerprint() != state.Active {
		return false
	}
	c.activatePolicies(state, table)
	return true
}

// confirmPolicies applies the reply to a poll that was sent at requestedAt. It returns false if the active set is not the
// one in force in this sidecar.
func (c *configuration) confirmPolicies(active *wire.ActivePolicyT, requestedAt time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, same := c.policies.current().Confirm(active.Fingerprint, active.Index, active.CommittedFingerprint, requestedAt)
	if same {
		c.setPolicyState(state)
	}
	return same
}

// policyDenial is the reason for which the effective policy denies a request, and the status of the response.
type policyDenial struct {
	status int
	reason string
}

// checkPolicy returns nil if the effective policy allows a request of a calling service.
func (c *configuration) checkPolicy(effective *policy.Decision, caller string) *policyDenial {
	switch {
	case c.isFenced():
		return &policyDenial{http.StatusServiceUnavailable, "the active policy set could not be confirmed lately"}
	case effective.DeniedBy != nil:
		return &policyDenial{http.StatusForbidden, "by " + effective.DeniedBy.String() + " " + caller + " may not call it"}
	}
	return nil
}

// retryConditionNames maps the endings after which a policy may allow a retry to their names in policies.
var retryConditionNames = map[balancer.Ending]string{
	balancer.Overloaded:  "refused",
	balancer.Unreachable: "unreachable",
	balancer.Failure:     "failed",
	balancer.Broken:      "broken",
	balancer.TimedOut:    "timed_out",
}
