package sidecar

import (
	"sync"
	"sync/atomic"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/routing"
)

// configuration is the configuration in force in this sidecar: the items that control-plane members sent, the active
// policies, and the routing table that is built from both. The routing table is a snapshot that is replaced as a
// whole, so that a request uses the same one from beginning to end.
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

// mergeItems merges items that a control-plane member sent, and applies the changes.
func (c *configuration) mergeItems(items []config.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next, updated := c.items.Merge(items)
	if len(updated) == 0 {
		return
	}
	c.items = next
	c.recordReceivedPolicies(updated)
	c.rebuildRouting()
}

// callingServiceChanged rebuilds the routing table after the service name in the settings has changed, since policies
// depend on the calling service.
func (c *configuration) callingServiceChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rebuildRouting()
}

// rebuildRouting builds the routing table from the items and the active policies, and puts it into use. The caller
// holds mu.
func (c *configuration) rebuildRouting() {
	table := routing.NewTableWithPolicies(c.items, c.policies.table, c.env.settings.Load().Service)
	c.pools.applyRouting(table)
	c.routing.Store(table)
	c.outbound.applyLimits(&table.Limits)
	c.pools.refreshServices() // so that new services use the sidecars and slots of the current directory
}

// currentItems returns the table of items.
func (c *configuration) currentItems() config.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.items
}
