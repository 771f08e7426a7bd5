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

// activePolicies are the namespaces and policies in force here, and how far this sidecar knows that they are (classmark.Leaf
// decides). A set that it holds and that is not active yet is among the configuration's items only. The zero value is ready.
type activePolicies struct {
	table       config.Table // guarded by the configuration's lock
	state       atomic.Pointer[policy.SidecarState]
	activeSince atomic.Int64 // of the environment's clock
}

func (p *activePolicies) current() policy.SidecarState {
	if state := p.state.Load(); state != nil {
		return *state
	}
	return policy.SidecarState{}
}

// setPolicyState is called with mu held.
func (c *configuration) setPolicyState(state policy.SidecarState) {
	c.policies.state.Store(&state)
	if state.HasPolicies {
		c.poller.start()
	}
}

// isFenced says that this sidecar does not know for certain which policies are active.
func (c *configuration) isFenced() bool { return c.policies.current().IsFenced(c.env.clock.Now()) }

// activeFor is for how long the active set has been so here.
func (c *configuration) activeFor() time.Duration {
	return c.env.clock.Now() - time.Duration(c.policies.activeSince.Load())
}

// noteHeldPolicies notes that items were merged. The caller holds mu.
func (c *configuration) noteHeldPolicies(raised []config.Item) {
	for _, item := range raised {
		if item.Kind.InPolicySet() {
			c.setPolicyState(c.policies.current().Receive(c.items.PolicyFingerprint()))
			return
		}
	}
}

// activatePolicies has a set be in force from now on. The caller holds mu.
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

// applyConfirmedTable takes all items, and which policies are active, as confirmed by a read that was begun at askedAt; false: the
// policies are not those of the fingerprint, and the read has to be repeated.
func (c *configuration) applyConfirmedTable(read *wire.ItemsT, askedAt time.Duration) bool {
	c.mergeItems(config.ItemsFromWire(read))
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.policies.current()
	state := was.Restore(read.ActiveFingerprint, read.ActiveIndex, askedAt)
	if state.ActiveIndex == was.ActiveIndex && state.Active == was.Active {
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

// confirmPolicies takes the response to a poll that was begun at askedAt; false: another set is active than here.
func (c *configuration) confirmPolicies(active *wire.ActivePolicyT, askedAt time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, same := c.policies.current().Confirm(active.Fingerprint, active.Index, active.CommittedFingerprint, askedAt)
	if same {
		c.setPolicyState(state)
	}
	return same
}

// checkPolicy says whether the effective policy lets a request be; status 0: it does, else the response and why.
func (c *configuration) checkPolicy(effective *policy.Decision, caller string) (status int, text string) {
	switch {
	case c.isFenced():
		return http.StatusServiceUnavailable, "which rules bind could not be confirmed for a while"
	case effective.DeniedBy != nil:
		return http.StatusForbidden, "by " + effective.DeniedBy.String() + " " + caller + " may not call it"
	}
	return 0, ""
}

// retryConditionNames are the endings after which a policy may allow a retry, by the policy's words for them.
var retryConditionNames = map[balancer.Ending]string{
	balancer.Overloaded:  "refused",
	balancer.Unreachable: "unreachable",
	balancer.Failure:     "failed",
	balancer.Broken:      "broken",
	balancer.TimedOut:    "timed_out",
}
