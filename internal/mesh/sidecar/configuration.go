package sidecar

import (
	"sync"
	"sync/atomic"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/routing"
)

// configuration is the configuration in force in this sidecar: items as the members of the control plane report them, the active
// policies, and the routing table that is made of both. The routing table is a snapshot, replaced as a whole; what a request began
// with holds to its end.
type configuration struct {
	env      *environment
	outbound *outboundListener
	pools    *servicePools
	poller   *policyPoller

	mu       sync.Mutex // guards items, and changes of policies and routing, which are read without it
	items    config.Table
	policies activePolicies
	routing  atomic.Pointer[routing.Table]
}

func newConfiguration(env *environment, outbound *outboundListener, pools *servicePools) *configuration {
	c := &configuration{env: env, outbound: outbound, pools: pools}
	c.routing.Store(routing.NewTable(config.Table{}))
	return c
}

// mergeItems merges items that a member sent.
func (c *configuration) mergeItems(items []config.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next, raised := c.items.Merge(items)
	if len(raised) == 0 {
		return
	}
	c.items = next
	c.noteHeldPolicies(raised)
	c.rebuildRouting()
}

// callerChanged rebuilds the routing table after the settings named another service as the caller: policies depend on it.
func (c *configuration) callerChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rebuildRouting()
}

// rebuildRouting makes the routing table of the items and policies in force and takes it into use. The caller holds mu.
func (c *configuration) rebuildRouting() {
	table := routing.NewTableWithPolicies(c.items, c.policies.table, c.env.settings.Load().Service)
	c.pools.applyRouting(table)
	c.routing.Store(table)
	c.outbound.applyLimits(&table.Limits)
	c.pools.refreshServices() // a service that is new learns of the sidecars and slots that are known already
}

// heldItems is the table of items.
func (c *configuration) heldItems() config.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.items
}
