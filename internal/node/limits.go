package node

import (
	"errors"

	"cranegrade/internal/operator"
	"cranegrade/internal/pool"
)

// budgets divide the process among the pools.
type budgets struct{ calls, held, connections, bodies, longAnswers, callers *pool.Budget }

func newBudgets() budgets {
	return budgets{
		calls: pool.NewBudget(0), held: pool.NewBudget(0), connections: pool.NewBudget(0),
		bodies: pool.NewBudget(0), longAnswers: pool.NewBudget(0), callers: pool.NewBudget(0),
	}
}

// newShares are a pool's part of each budget. The only pool, which has no name, leaves callers to newCallers.
func (b *budgets) newShares(name string) pool.Shares {
	shares := pool.Shares{
		Calls: b.calls.NewShare(), PendingCalls: b.held.NewShare(), Connections: b.connections.NewShare(),
		RequestBodies: b.bodies.NewShare(), ResponseBuffers: b.longAnswers.NewShare(),
	}
	if name != "" {
		shares.DownstreamConns = b.callers.NewShare()
	}
	return shares
}

// sharedBudget is a budget with a plan's total of it, and how to find a pool's share and quota.
type sharedBudget struct {
	budget *pool.Budget
	total  int64
	share  func(pool.Shares) *pool.Share // nil: the pool has none
	quota  func(operator.Limits) pool.Quota
}

// shared are the budgets with a plan's totals.
func (b *budgets) shared(t operator.Totals) []sharedBudget {
	return []sharedBudget{
		{
			b.calls, t.Calls, func(s pool.Shares) *pool.Share { return s.Calls },
			func(l operator.Limits) pool.Quota { return l.Calls },
		},
		{
			b.held, t.Held, func(s pool.Shares) *pool.Share { return s.PendingCalls },
			func(l operator.Limits) pool.Quota { return l.Held },
		},
		{
			b.connections, t.Connections, func(s pool.Shares) *pool.Share { return s.Connections },
			func(l operator.Limits) pool.Quota { return l.Connections },
		},
		{
			b.bodies, t.Bodies, func(s pool.Shares) *pool.Share { return s.RequestBodies },
			func(l operator.Limits) pool.Quota { return l.Bodies },
		},
		{
			b.longAnswers, t.LongAnswers, func(s pool.Shares) *pool.Share { return s.ResponseBuffers },
			func(l operator.Limits) pool.Quota { return l.LongAnswers },
		},
		{
			b.callers, t.Callers, func(s pool.Shares) *pool.Share { return s.DownstreamConns },
			func(l operator.Limits) pool.Quota { return l.Callers },
		},
	}
}

// divide shares the process's totals among the pools; those that are retiring keep what they have and
// may borrow. Every budget is configured, also after an error of another. Callers hold n.mu, or are alone.
func (n *Node) divide(plan operator.Plan, pools map[string]*pool.Pool) (err error) {
	for _, shared := range n.budgets.shared(plan.Totals) {
		quotas := map[*pool.Share]pool.Quota{}
		if shared.budget == n.budgets.callers {
			quotas[n.newCallers] = plan.Totals.NewCallers
		}
		for _, pp := range plan.Pools {
			if s := shared.share(pools[pp.Name].Shares()); s != nil {
				quotas[s] = shared.quota(pp.Limits)
			}
		}
		for p := range n.retiring {
			if s := shared.share(p.Shares()); s != nil {
				quotas[s] = pool.Quota{}
			}
		}
		for s, q := range quotas {
			quotas[s] = pool.Quota{Min: q.Min / n.processes, Max: q.Max / n.processes}
		}
		err = errors.Join(err, shared.budget.Configure(max(1, shared.total/n.processes), quotas))
	}
	return err
}

// reclaimIdleConnections has pools close idle connections that others want for.
func (n *Node) reclaimIdleConnections() {
	if s := n.serving.Load(); len(s.pools) > 1 {
		for _, p := range s.pools {
			p.ReturnBorrowedConnections()
		}
		n.budgets.connections.ClearDenied()
	}
}
