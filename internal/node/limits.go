package node

import (
	"errors"
	"log"
	"runtime/debug"

	"cranegrade/internal/operator"
	"cranegrade/internal/pool"
)

// bytesPerMiB converts the limits of plans and configurations, which are in MiB.
const bytesPerMiB = 1 << 20

// softMemoryShare is the share of the memory limit from which the runtime collects garbage harder. The rest is for
// stacks, buffers of the kernel and the time that a collection takes.
const softMemoryShare = 0.7

// budgets divide the limits of the process among the pools. Each counts what a pool.Shares has a share of.
type budgets struct {
	calls           *pool.Budget
	pendingCalls    *pool.Budget
	connections     *pool.Budget
	requestBodies   *pool.Budget // bytes
	responseBuffers *pool.Budget // bytes
	downstreamConns *pool.Budget
}

// newBudgets returns budgets that allow nothing until divide configures them.
func newBudgets() budgets {
	return budgets{
		calls:           pool.NewBudget(0),
		pendingCalls:    pool.NewBudget(0),
		connections:     pool.NewBudget(0),
		requestBodies:   pool.NewBudget(0),
		responseBuffers: pool.NewBudget(0),
		downstreamConns: pool.NewBudget(0),
	}
}

// newShares returns a pool's share of each budget. The only pool of the platform's configuration, which has no name, has
// no share of downstream connections: all of them are counted by newCallers.
func (b *budgets) newShares(name string) pool.Shares {
	shares := pool.Shares{
		Calls:           b.calls.NewShare(),
		PendingCalls:    b.pendingCalls.NewShare(),
		Connections:     b.connections.NewShare(),
		RequestBodies:   b.requestBodies.NewShare(),
		ResponseBuffers: b.responseBuffers.NewShare(),
	}
	if name != "" {
		shares.DownstreamConns = b.downstreamConns.NewShare()
	}
	return shares
}

// sharedBudget is a budget with its total in a plan, and with the way to a pool's share and quota of it.
type sharedBudget struct {
	budget *pool.Budget
	total  int64
	share  func(pool.Shares) *pool.Share // the share of a pool; nil if it has none
	quota  func(operator.Limits) pool.Quota
}

// shared returns all budgets with a plan's totals.
func (b *budgets) shared(t operator.Totals) []sharedBudget {
	return []sharedBudget{
		{
			budget: b.calls,
			total:  t.Calls,
			share:  func(s pool.Shares) *pool.Share { return s.Calls },
			quota:  func(l operator.Limits) pool.Quota { return l.Calls },
		},
		{
			budget: b.pendingCalls,
			total:  t.PendingCalls,
			share:  func(s pool.Shares) *pool.Share { return s.PendingCalls },
			quota:  func(l operator.Limits) pool.Quota { return l.PendingCalls },
		},
		{
			budget: b.connections,
			total:  t.Connections,
			share:  func(s pool.Shares) *pool.Share { return s.Connections },
			quota:  func(l operator.Limits) pool.Quota { return l.Connections },
		},
		{
			budget: b.requestBodies,
			total:  t.RequestBodies,
			share:  func(s pool.Shares) *pool.Share { return s.RequestBodies },
			quota:  func(l operator.Limits) pool.Quota { return l.RequestBodies },
		},
		{
			budget: b.responseBuffers,
			total:  t.ResponseBuffers,
			share:  func(s pool.Shares) *pool.Share { return s.ResponseBuffers },
			quota:  func(l operator.Limits) pool.Quota { return l.ResponseBuffers },
		},
		{
			budget: b.downstreamConns,
			total:  t.DownstreamConns,
			share:  func(s pool.Shares) *pool.Share { return s.DownstreamConns },
			quota:  func(l operator.Limits) pool.Quota { return l.DownstreamConns },
		},
	}
}

// divide configures the budgets by a plan's totals and quotas, each divided by the number of processes that share them.
// Pools that are retiring keep what they use and may borrow, without a quota of their own. Every budget is configured,
// also after an error of another. Callers hold n.mu, except for provision: nothing else uses
// the budgets before it returns.
func (n *Node) divide(plan operator.Plan, pools map[string]*pool.Pool) (err error) {
	for _, shared := range n.budgets.shared(plan.Totals) {
		quotas := n.quotas(shared, plan, pools)
		for share, quota := range quotas {
			quotas[share] = pool.Quota{Min: quota.Min / n.processes, Max: quota.Max / n.processes}
		}
		total := max(1, shared.total/n.processes)
		err = errors.Join(err, shared.budget.Configure(total, quotas))
	}
	return err
}

// quotas returns the quota of each share of a budget as the plan sets it for the node as a whole.
func (n *Node) quotas(shared sharedBudget, plan operator.Plan, pools map[string]*pool.Pool) map[*pool.Share]pool.Quota {
	quotas := map[*pool.Share]pool.Quota{}
	if shared.budget == n.budgets.downstreamConns {
		quotas[n.newCallers] = plan.Totals.NewCallers
	}
	for _, planned := range plan.Pools {
		if share := shared.share(pools[planned.Name].Shares()); share != nil {
			quotas[share] = shared.quota(planned.Limits)
		}
	}
	for p := range n.retiring {
		if share := shared.share(p.Shares()); share != nil {
			quotas[share] = pool.Quota{}
		}
	}
	return quotas
}

// resize gives this process its part of the node's limits: all of them, or an equal part while other processes of the node
// run.
func (n *Node) resize() {
	processes := 1 + n.hotRestart.peerCount()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.serving.Load() == nil {
		return // provision divides the limits itself
	}
	if n.plan.MemoryMB > 0 {
		debug.SetMemoryLimit(MemoryLimit(n.plan.MemoryMB, processes))
	}
	n.processes = int64(processes)
	if err := n.divide(n.plan, n.serving.Load().pools); err != nil {
		log.Printf("hot restart: limits not divided: processes=%d error=%q", processes, err)
	}
}

// MemoryLimit returns the soft memory limit in bytes for each of several processes that share a limit of memoryMB MiB.
func MemoryLimit(memoryMB float64, processes int) int64 {
	return int64(memoryMB * softMemoryShare / float64(processes) * bytesPerMiB)
}

// reclaimIdleConnections has pools close the idle connections that they have borrowed and that others want.
func (n *Node) reclaimIdleConnections() {
	if s := n.serving.Load(); len(s.pools) > 1 {
		for _, p := range s.pools {
			p.ReturnBorrowedConnections()
		}
		n.budgets.connections.ClearDenied()
	}
}
