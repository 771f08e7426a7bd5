package node

import (
	"context"
	"errors"
	"log"
	"slices"
	"time"

	"cranegrade/internal/operator"
	"cranegrade/internal/pool"
)

// ErrStopping says that a reload came when the node was ending.
var ErrStopping = errors.New("the node is stopping")

// Reload goes over to the discovery that the platform's configuration names. All else in it is for the
// next start.
func (n *Node) Reload(cfg Config) error {
	n.mu.Lock()
	plan := n.plan
	n.mu.Unlock()
	plan.Pools = slices.Clone(plan.Pools)
	plan.Pools[0].List.Registry = cfg.Discovery
	return n.ReloadPlan(plan)
}

// ReloadPlan goes over to another plan, pool by pool: one that stays as it was is not touched; of one
// whose list or limits change the module, connections and calls stay; any other change puts a new pool
// in the place of the old one. A pool that goes finishes what it has taken. The addresses to listen on
// can't change. On an error nothing has changed. Any goroutine may call it; reloads take turns.
func (n *Node) ReloadPlan(plan operator.Plan) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.stopped:
		return ErrStopping
	default:
	}
	if err := n.checkReload(plan); err != nil {
		return err
	}
	r, err := n.planReload(plan)
	if err != nil {
		return err
	}
	n.apply(r)
	return nil
}

// apply carries a reload out; it can't fail. Callers hold n.mu.
func (n *Node) apply(r *reloadPlan) {
	for _, p := range r.added {
		p.Run()
	}
	for _, pp := range r.moved {
		r.next.pools[pp.Name].Engine().SetSource(n.source(pp.List, r.xds))
	}
	if r.replaceXDS {
		n.replaceXDS(r)
	}
	if n.zones.plan != nil {
		n.zones.setLimits(r.plan.Zones.Limits)
	}
	n.plan = r.plan
	if n.fleet != nil {
		go n.fleet.Serve(settingsDigests(r.plan)) // it waits until the others are told
	}
	n.serving.Store(r.next)
	n.setDrainTimeout(r.next.pools)
	for _, p := range r.removed {
		n.retired.Go(func() { n.retire(p) })
	}
	if r.plan.Routes != nil {
		log.Printf("reload: %d pools, of these %d new, %d with another list; %d removed",
			len(r.plan.Pools), len(r.added), len(r.moved), len(r.removed))
	}
}

// replaceXDS puts the new client in the place of the old one, which is closed once the pools that are finishing have no
// more need to hear of drains from it.
func (n *Node) replaceXDS(r *reloadPlan) {
	old := n.xds
	n.xds = r.xds
	if old == nil {
		return
	}
	n.retired.Go(func() {
		for _, p := range r.removed {
			<-p.Engine().Done()
		}
		old.Close()
	})
}

// retireGrace bounds how long a pool that was removed waits for what it has taken, beyond its longest
// deadline.
const retireGrace = 2 * time.Second

// retire waits until a pool that was removed has finished, and lets go of its part of the budgets.
func (n *Node) retire(p *pool.Pool) {
	ctx, cancel := context.WithTimeout(context.Background(), p.LongestDeadline()+retireGrace)
	defer cancel()
	p.Retire(ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.retiring, p)
	if err := n.divide(n.plan, n.serving.Load().pools); err != nil {
		log.Printf("pool %s: giving back its part of the limits: %v", p.Name(), err)
	}
}
