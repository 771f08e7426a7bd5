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

// activePolicies is the namespaces and policies in force here, and what this sidecar knows about whether they still
// are (policy.SidecarState decides). A received set that is not active yet is only among the configuration's items.
// The zero value is ready to use.
type activePolicies struct {
	table       config.Table // guarded by the configuration's lock
	state       atomic.Pointer[policy.SidecarState]
	activeSince atomic.Int64 // nanoseconds of the environment's clock
}

// current returns the state as it was set last. Any goroutine may call it.
func (p *activePolicies) current() policy.SidecarState {
	if state := p.state.Load(); state != nil {
		return *state
	}
	return policy.SidecarState{}
}

// setPolicyState replaces the state. From when policies are known, it has the active set confirmed regularly. The
// caller holds mu.
func (c *configuration) setPolicyState(state policy.SidecarState) {
	c.policies.state.Store(&state)
	if state.HasPolicies {
		c.poller.start()
	}
}

// isFenced reports whether this sidecar does not know for certain which policies are active.
func (c *configuration) isFenced() bool { return c.policies.current().IsFenced(c.env.clock.Now()) }

// activeFor returns for how long the active set has been active here.
func (c *configuration) activeFor() time.Duration {
	return c.env.clock.Now() - time.Duration(c.policies.activeSince.Load())
}

// noteReceivedPolicies records that a policy set was received, if it is among items that were merged. The caller
// holds mu.
func (c *configuration) noteReceivedPolicies(raised []config.Item) {
	for _, item := range raised {
		if item.Kind.InPolicySet() {
			c.setPolicyState(c.policies.current().Receive(c.items.PolicyFingerprint()))
			return
		}
	}
}

// activatePolicies puts a policy set into force. The caller holds mu.
func (c *configuration) activatePolicies(state policy.SidecarState, table config.Table) {
	c.policies.table = table
	c.policies.activeSince.Store(int64(c.env.clock.Now()))
	c.setPolicyState(state)
	c.rebuildRouting()
	c.env.log.Info().Str("fingerprint", state.Active).Uint64("index", state.ActiveIndex).Msg("policies activated")
}

// applyActivePolicies applies a member's notice that a set is active.
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
		c.poller.pollSoon()
	}
}

// applyConfirmedTable applies all items and the active policies of a linearizable read that was begun at askedAt. It
// returns false if the policies do not match their fingerprint, so that the read has to be repeated.
func (c *configuration) applyConfirmedTable(read *wire.ItemsT, askedAt time.Duration) bool {
	c.mergeItems(config.ItemsFromWire(read))
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.policies.current()
	state := previous.Restore(read.ActiveFingerprint, read.ActiveIndex, askedAt)
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

// confirmPolicies applies the response to a poll that was begun at askedAt. It returns false if another set is active
// than here.
func (c *configuration) confirmPolicies(active *wire.ActivePolicyT, askedAt time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, same := c.policies.current().Confirm(active.Fingerprint, active.Index, active.CommittedFingerprint, askedAt)
	if same {
		c.setPolicyState(state)
	}
	return same
}

// policyDenial is why the effective policy does not allow a request, and the status of the response that says so.
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

// retryConditionNames is the endings after which a policy may allow a retry, with their names in policies.
var retryConditionNames = map[balancer.Ending]string{
	balancer.Overloaded:  "refused",
	balancer.Unreachable: "unreachable",
	balancer.Failure:     "failed",
	balancer.Broken:      "broken",
	balancer.TimedOut:    "timed_out",
}
