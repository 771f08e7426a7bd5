package node

import (
	"context"
	"errors"
	"fmt"
	"log"
	"reflect"
	"slices"

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
// can't change. On an error nothing has changed.
func (n *Node) ReloadPlan(plan operator.Plan) error {
	var unused XDSClient // that is closed in the end
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.stopped:
		return ErrStopping
	default:
	}
	if !slices.Equal(plan.ListenH2, n.plan.ListenH2) {
		return fmt.Errorf("the addresses to listen on for HTTP/2 are %v; they change only at a start", n.plan.ListenH2)
	}
	if !slices.Equal(plan.Listen, n.plan.Listen) {
		return fmt.Errorf("the addresses to listen on are %v; they change only at a start", n.plan.Listen)
	}
	if !reflect.DeepEqual(plan.ExtProc, n.plan.ExtProc) {
		return errors.New("[ext_proc] changes only at a start")
	}
	if plan.Admin != n.plan.Admin {
		return fmt.Errorf("the admin address is %q; it changes only at a start", n.plan.Admin)
	}
	if plan.Operator != n.plan.Operator || plan.State != n.plan.State {
		return fmt.Errorf("the operators' address is %q and the directory of state %q; they change only at a start", n.plan.Operator, n.plan.State)
	}
	if !reflect.DeepEqual(plan.Fleet, n.plan.Fleet) || plan.Fleet != nil && plan.Name != n.plan.Name {
		return errors.New("[fleet] and a member's name change only at a start")
	}
	if err := n.zones.checkReload(plan.Zones); err != nil {
		return err
	}
	// Another set of control planes is another client: all that follow clusters go over to it, and keep
	// what they have until it has told them.
	x, moveXDS := n.xds, !reflect.DeepEqual(plan.XDS, n.plan.XDS)
	if moveXDS {
		var err error
		if x, err = n.openXDS(plan); err != nil {
			return err
		}
		defer func() {
			if unused != nil {
				unused.Close()
			}
		}()
		unused = x
	}
	before := map[string]operator.Pool{}
	for _, pp := range n.plan.Pools {
		before[pp.Name] = pp
	}
	old := n.serving.Load()
	next := &servingSet{routes: plan.Routes, pools: make(map[string]*pool.Pool, len(plan.Pools))}
	var fresh []*pool.Pool
	var moved []operator.Pool
	for _, pp := range plan.Pools {
		was, is := before[pp.Name]
		p := old.pools[pp.Name]
		switch {
		case is && samePool(was, pp):
			if !reflect.DeepEqual(was.List, pp.List) || moveXDS && pp.List.XDS != "" {
				moved = append(moved, pp)
			}
		default:
			var err error
			if p, err = n.newPool(pp, x, nil); err != nil {
				return err
			}
			fresh = append(fresh, p)
		}
		next.pools[pp.Name], next.onlyPool = p, p
	}
	var gone []*pool.Pool
	for name, p := range old.pools {
		if next.pools[name] != p {
			gone = append(gone, p)
			n.retiring[p] = struct{}{}
		}
	}
	if err := n.divide(plan, next.pools); err != nil {
		for _, p := range gone {
			delete(n.retiring, p)
		}
		return errors.Join(err, n.divide(n.plan, old.pools))
	}
	for _, p := range fresh {
		p.Run()
	}
	for _, pp := range moved {
		next.pools[pp.Name].Engine().SetSource(n.source(pp.List, x))
	}
	if moveXDS {
		old := n.xds
		unused, n.xds = nil, x
		if old != nil {
			// Pools that are finishing still hear of drains from it.
			n.retired.Go(func() {
				for _, p := range gone {
					<-p.Engine().Done()
				}
				old.Close()
			})
		}
	}
	if n.zones.plan != nil {
		n.zones.setLimits(plan.Zones.Limits)
	}
	n.plan = plan
	if n.fleet != nil {
		go n.fleet.Serve(settingsDigests(plan)) // it waits until the others are told
	}
	n.serving.Store(next)
	n.setDrainTimeout(next.pools)
	for _, p := range gone {
		n.retired.Go(func() { n.retire(p) })
	}
	if plan.Routes != nil {
		log.Printf("reload: %d pools, of these %d new, %d with another list; %d removed", len(plan.Pools), len(fresh), len(moved), len(gone))
	}
	return nil
}

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

// samePool says that a running pool can go over from one plan to the other as it is.
func samePool(a, b operator.Pool) bool {
	a.Limits, b.Limits, a.List, b.List = operator.Limits{}, operator.Limits{}, operator.List{}, operator.List{}
	a.Known = b.Known // only for the start
	return reflect.DeepEqual(a, b)
}
