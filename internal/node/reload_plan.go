package node

import (
	"errors"
	"fmt"
	"reflect"
	"slices"

	"cranegrade/internal/operator"
	"cranegrade/internal/pool"
)

// reloadPlan holds the steps of a reload: what apply will do. It is admitted by the budgets, but nothing is in service
// yet.
type reloadPlan struct {
	plan       operator.Plan
	xds        XDSClient // that the plan's pools use; nil if they use none
	replaceXDS bool      // xds is to replace the node's present client
	next       *servingSet
	added      []*pool.Pool    // to run
	moved      []operator.Pool // keep their pool and get another source of their list
	removed    []*pool.Pool    // to retire once they have finished their calls
}

// validateReload returns an error that names a setting which can only change at a start, if the plan changes one. Callers
// hold n.mu.
func (n *Node) validateReload(plan operator.Plan) error {
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
	return n.zones.validateReload(plan.Zones)
}

// planReload prepares a reload. On an error the node is as it was before. Callers hold n.mu.
func (n *Node) planReload(plan operator.Plan) (*reloadPlan, error) {
	r := &reloadPlan{plan: plan, xds: n.xds, replaceXDS: !reflect.DeepEqual(plan.XDS, n.plan.XDS)}
	// Other control planes need another client. All pools that follow clusters move to it, and keep their servers until it
	// has a list for them.
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

// discard closes what was opened for a reload that is not applied.
func (r *reloadPlan) discard() {
	if r.replaceXDS && r.xds != nil {
		r.xds.Close()
	}
}

// planPools sorts the pools into those that stay, are added, get another list, and are removed.
func (n *Node) planPools(r *reloadPlan) error {
	before := map[string]operator.Pool{}
	for _, planned := range n.plan.Pools {
		before[planned.Name] = planned
	}
	old := n.serving.Load()
	r.next = &servingSet{routes: r.plan.Routes, pools: make(map[string]*pool.Pool, len(r.plan.Pools))}
	for _, planned := range r.plan.Pools {
		p := old.pools[planned.Name]
		was, existed := before[planned.Name]
		switch {
		case !existed || !isSamePool(was, planned):
			var err error
			if p, err = n.newPool(planned, r.xds, nil); err != nil {
				return err
			}
			r.added = append(r.added, p)
		case r.needsNewSource(was, planned):
			r.moved = append(r.moved, planned)
		}
		r.next.pools[planned.Name] = p
		r.next.onlyPool = p
	}
	for name, p := range old.pools {
		if r.next.pools[name] != p {
			r.removed = append(r.removed, p)
		}
	}
	return nil
}

// needsNewSource reports whether a pool that stays has to read its list from another source: the plan names another list,
// or its control planes have another client.
func (r *reloadPlan) needsNewSource(was, planned operator.Pool) bool {
	if r.replaceXDS && planned.List.XDS != "" {
		return true
	}
	return !reflect.DeepEqual(was.List, planned.List)
}

// admit divides the limits by the new plan, while removed pools still use what they have. On an error it divides them as
// before.
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

// isSamePool reports whether a running pool can change from one plan to the other: they differ in limits and list alone.
// The servers known at the start do not matter to a pool that runs.
func isSamePool(a, b operator.Pool) bool {
	a.Limits = b.Limits
	a.List = b.List
	a.Known = b.Known
	return reflect.DeepEqual(a, b)
}
