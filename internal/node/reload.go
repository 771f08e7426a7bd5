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

// ErrStopping says that a reload came after the node had begun to stop its pools. Nothing has changed.
var ErrStopping = errors.New("the node is stopping")

// retireGrace bounds how long a removed pool waits for its calls, beyond its longest deadline.
const retireGrace = 2 * time.Second

// ReloadConfig adopts the discovery address of the platform's configuration. The rest of the configuration takes effect
// at the next start.
func (n *Node) ReloadConfig(cfg Config) error {
	n.mu.Lock()
	plan := n.plan
	n.mu.Unlock()
	plan.Pools = slices.Clone(plan.Pools)
	plan.Pools[0].List.Registry = cfg.Discovery
	return n.Reload(plan)
}

// Reload changes the node to another plan, pool by pool. A pool that the plan does not change is not touched. If only its
// list or limits change, its module, connections and calls stay. After any other change a new pool takes its place, and
// the old one finishes its calls. Listen addresses and what else validateReload names can't change. On an error nothing
// has changed. Any goroutine may call it; reloads wait for each other.
func (n *Node) Reload(plan operator.Plan) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.stopped:
		return ErrStopping
	default:
	}
	if err := n.validateReload(plan); err != nil {
		return err
	}
	r, err := n.planReload(plan)
	if err != nil {
		return err
	}
	n.apply(r)
	return nil
}

// apply executes the steps of a reload, none of which can fail. Callers hold n.mu.
func (n *Node) apply(r *reloadPlan) {
	for _, p := range r.added {
		p.Run()
	}
	for _, planned := range r.moved {
		r.next.pools[planned.Name].Engine().SetSource(newSource(planned.List, r.xds))
	}
	if r.replaceXDS {
		n.replaceXDS(r)
	}
	if n.zones.plan != nil {
		n.zones.setLimits(r.plan.Zones.Limits)
	}
	n.plan = r.plan
	if n.fleet != nil {
		go n.fleet.AnnouncePools(settingsDigests(r.plan)) // not waited for: it returns within a second, and reloads hold n.mu
	}
	n.serving.Store(r.next)
	n.setDrainTimeout(r.next.pools)
	for _, p := range r.removed {
		n.retired.Go(func() { n.retire(p) })
	}
	if r.plan.Routes != nil {
		log.Printf("reload applied: pools=%d added=%d moved=%d removed=%d", len(r.plan.Pools), len(r.added), len(r.moved), len(r.removed))
	}
}

// replaceXDS replaces the client of control planes. The old one is closed once the removed pools have ended, which need it
// until then to learn of servers that drain.
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

// retire waits until a removed pool has finished its calls, and returns its part of the limits to the others.
func (n *Node) retire(p *pool.Pool) {
	ctx, cancel := context.WithTimeout(context.Background(), p.LongestDeadline()+retireGrace)
	defer cancel()
	p.Retire(ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.retiring, p)
	if err := n.divide(n.plan, n.serving.Load().pools); err != nil {
		log.Printf("limits of a removed pool not returned: pool=%s error=%q", p.Name(), err)
	}
}
