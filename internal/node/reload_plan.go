package node

import (
	"errors"
	"fmt"
	"reflect"
	"slices"

	"cranegrade/internal/operator"
	"cranegrade/internal/pool"
)

// reloadPlan is a change of plan, worked out and admitted by the budgets, but not yet in service.
type reloadPlan struct {
	plan       operator.Plan
	xds        XDSClient // that pools of the plan use; nil: none
	replaceXDS bool      // xds is not the node's present one
	next       *servingSet
	added      []*pool.Pool    // not yet running
	moved      []operator.Pool // stay, but have their list from elsewhere
	removed    []*pool.Pool    // finish what they have taken
}

// checkReload says which setting of a plan changes only at a start; nil: none.
func (n *Node) checkReload(plan operator.Plan) error {
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
		return fmt.Errorf("the operators' address is %q and the directory of state %q; they change only at a start",
			n.plan.Operator, n.plan.State)
	}
	if !reflect.DeepEqual(plan.Fleet, n.plan.Fleet) || plan.Fleet != nil && plan.Name != n.plan.Name {
		return errors.New("[fleet] and a member's name change only at a start")
	}
	return n.zones.checkReload(plan.Zones)
}

// planReload works a reload out. On an error the node is as it was. Callers hold n.mu.
func (n *Node) planReload(plan operator.Plan) (*reloadPlan, error) {
	r := &reloadPlan{plan: plan, xds: n.xds, replaceXDS: !reflect.DeepEqual(plan.XDS, n.plan.XDS)}
	// Another set of control planes is another client: all that follow clusters go over to it, and keep
	// what they have until it has told them.
	if r.replaceXDS {
		var err error
		if r.xds, err = n.openXDS(plan); err != nil {
			return nil, err
		}
	}
	err := n.planPools(r)
	if err == nil {
		err = n.admit(r)
	}
	if err != nil {
		r.discard()
		return nil, err
	}
	return r, nil
}

// discard closes what only a reload that comes to nothing would have used.
func (r *reloadPlan) discard() {
	if r.replaceXDS && r.xds != nil {
		r.xds.Close()
	}
}

// planPools sorts the pools into those that stay, are added, are moved to another list and are removed.
func (n *Node) planPools(r *reloadPlan) error {
	before := map[string]operator.Pool{}
	for _, pp := range n.plan.Pools {
		before[pp.Name] = pp
	}
	old := n.serving.Load()
	r.next = &servingSet{routes: r.plan.Routes, pools: make(map[string]*pool.Pool, len(r.plan.Pools))}
	for _, pp := range r.plan.Pools {
		was, is := before[pp.Name]
		p := old.pools[pp.Name]
		if is && samePool(was, pp) {
			if !reflect.DeepEqual(was.List, pp.List) || r.replaceXDS && pp.List.XDS != "" {
				r.moved = append(r.moved, pp)
			}
		} else {
			var err error
			if p, err = n.newPool(pp, r.xds, nil); err != nil {
				return err
			}
			r.added = append(r.added, p)
		}
		r.next.pools[pp.Name], r.next.onlyPool = p, p
	}
	for name, p := range old.pools {
		if r.next.pools[name] != p {
			r.removed = append(r.removed, p)
		}
	}
	return nil
}

// admit divides the limits as they are to be, while removed pools still hold what they have; on an error, as they were.
func (n *Node) admit(r *reloadPlan) error {
	for _, p := range r.removed {
		n.retiring[p] = struct{}{}
	}
	err := n.divide(r.plan, r.next.pools)
	if err == nil {
		return nil
	}
	for _, p := range r.removed {
		delete(n.retiring, p)
	}
	return errors.Join(err, n.divide(n.plan, n.serving.Load().pools))
}

// samePool says that a running pool can go over from one plan to the other as it is.
func samePool(a, b operator.Pool) bool {
	a.Limits, b.Limits, a.List, b.List = operator.Limits{}, operator.Limits{}, operator.List{}, operator.List{}
	a.Known = b.Known // only for the start
	return reflect.DeepEqual(a, b)
}
