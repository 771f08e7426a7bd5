package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/operations"
	"cranegrade/internal/mesh/policy"
)

// Bounds of a table. They limit the size of a member's stored state and of the snapshots that it sends to joining members.
const (
	// MaxItems is the maximum number of items in a table, not counting tombstones. An update that would exceed it is refused.
	MaxItems = 20_000
	// MaxTombstones is the maximum number of tombstones. Beyond it, those with the earliest log times are pruned. A change to an
	// item whose tombstone was pruned counts as new, even if it was sent before the deletion.
	MaxTombstones = 8_192
	// MaxOperations is the maximum number of remembered operations of all items in total. Beyond it, those with the earliest log
	// times are pruned.
	MaxOperations = 32_768
	// operationsAfterPruning is the number of operations that remain after pruning. It is less than MaxOperations because pruning
	// sorts all operations, which would be too expensive for every update.
	operationsAfterPruning = MaxOperations * 7 / 8
)

// Table contains the newest version of each item. The zero value is an empty table. A Table is immutable, so that readers need no
// lock.
type Table struct {
	items          map[Key]Item
	tombstones     int         // number of deleted items
	operationCount int         // number of remembered operations of all items
	policyCount    int         // number of namespaces and policies that are not deleted
	policySet      *policy.Set // built from the items when it is first needed; nil until then
}

// Update is a parsed request of an operator.
type Update struct {
	Items    []Item
	Author   string   // owner on whose behalf the request is made; empty for the operator of the mesh
	Consents []string // consents of other owners, in the form namespace:owner
}

// Len returns the number of items, including tombstones.
func (t Table) Len() int { return len(t.items) }

// Get returns an item or its tombstone. ok is false if the table has neither.
func (t Table) Get(key Key) (item Item, ok bool) {
	item, ok = t.items[key]
	return item, ok
}

// Items returns all items and tombstones, ordered by key.
func (t Table) Items() []Item {
	return slices.SortedFunc(maps.Values(t.items), func(a, b Item) int { return compareKeys(a.Key, b.Key) })
}

// Merge returns a table that includes those of the given items that are newer than the existing ones, and returns these as updated.
// The resulting table does not depend on the order in which items are merged.
func (t Table) Merge(items []Item) (merged Table, updated []Item) {
	next := Table{tombstones: t.tombstones, operationCount: t.operationCount, policyCount: t.policyCount}
	current := t.items
	for _, item := range items {
		previous, exists := current[item.Key]
		if exists && item.Version <= previous.Version {
			continue
		}
		if next.items == nil {
			next.items = t.cloneItems(len(items))
			current = next.items
		}
		item.routeSpec = item.RouteSpec()
		next.replace(previous, exists, item)
		updated = append(updated, item)
	}
	if len(updated) == 0 {
		return t, nil
	}
	if next.tombstones > MaxTombstones {
		next.pruneTombstones(next.tombstones - MaxTombstones)
	}
	return next, updated
}

// replace replaces the previous version of an item, or adds the item if exists is false, and updates the counts. The table must not
// be shared yet.
func (t *Table) replace(previous Item, exists bool, item Item) {
	if previous.Deleted {
		t.tombstones--
	}
	if item.Deleted {
		t.tombstones++
	}
	if item.Kind.InPolicySet() {
		if exists && !previous.Deleted {
			t.policyCount--
		}
		if !item.Deleted {
			t.policyCount++
		}
	}
	t.operationCount += item.history.Len() - previous.history.Len()
	t.items[item.Key] = item
}

// cloneItems returns a copy of the map of items with capacity for extra more items.
func (t Table) cloneItems(extra int) map[Key]Item {
	items := make(map[Key]Item, len(t.items)+extra)
	maps.Copy(items, t.items)
	return items
}

// pruneTombstones removes the n earliest tombstones and their histories. Tombstones with equal log times are ordered by key, so that
// every member prunes the same ones. The table must not be shared yet.
func (t *Table) pruneTombstones(n int) {
	var tombstones []Item
	for _, item := range t.items {
		if item.Deleted {
			tombstones = append(tombstones, item)
		}
	}
	slices.SortFunc(tombstones, func(a, b Item) int { return cmp.Or(cmp.Compare(a.LogTime, b.LogTime), compareKeys(a.Key, b.Key)) })
	for _, item := range tombstones[:n] {
		t.operationCount -= item.history.Len()
		delete(t.items, item.Key)
	}
	t.tombstones -= n
}

// ApplyItems applies an update of the mesh operator that consists of the given items.
func (t Table) ApplyItems(items []Item) (next Table, updated []Item, err error) {
	next, updated, _, err = t.ApplyUpdate(Update{Items: items})
	return next, updated, err
}

// ApplyUpdate applies an update, either completely or not at all. updated are the items that it changed. effects are its effects on
// the policies of other owners. Errors are of type ErrInvalid, ErrConflict, ErrForbidden or ErrUndetermined.
//
// The resulting items depend only on the update and on the current items; the histories of operations affect only the error.
// Members whose histories differ, because one has pruned more or was upgraded later, therefore agree on the items. An update that
// changes some items and contains an older version of another one, which was accepted with another content or of which the history
// cannot tell whether it was accepted, does take effect and also returns ErrUndetermined. Admit refuses such an update before it is
// proposed.
func (t Table) ApplyUpdate(update Update) (next Table, updated []Item, effects []policy.Effect, err error) {
	class, acknowledgeErr := t.classifyUpdate(update)
	if class == operations.Duplicate || class == operations.Unknown {
		return t, nil, nil, acknowledgeErr
	}
	update.Items = withRouteSpecs(update.Items)
	if err := t.validate(update); err != nil {
		return t, nil, nil, err
	}
	next, updated = t.Merge(update.Items)
	if len(next.items)-next.tombstones > MaxItems {
		return t, nil, nil, newFieldError(requestLabel, "", "more than %d items would stand", MaxItems)
	}
	if len(updated) > 0 && t.policyCount+next.policyCount > 0 || update.Author != "" {
		if effects, err = checkPolicies(&t, &next, updated, update); err != nil {
			return t, nil, nil, err
		}
	}
	switch {
	case acknowledgeErr == nil:
		next = t.recordOutdated(t.recordSuperseded(next, updated), update)
	case len(updated) == 0:
		return t, nil, nil, acknowledgeErr
	default:
		next = t.recordSuperseded(next, updated)
		err = errors.WithType(errors.Errorf("%v; the rest of the call has taken effect", acknowledgeErr), ErrUndetermined)
	}
	if next.operationCount > MaxOperations {
		next.pruneOperations(next.operationCount - operationsAfterPruning)
	}
	return next, updated, effects, err
}

// withRouteSpecs returns the items with the contents of routes decoded, so that later steps need not decode them again: decoding is
// most of the work of a large update.
func withRouteSpecs(items []Item) []Item {
	decoded := make([]Item, len(items))
	for n, item := range items {
		item.routeSpec = item.RouteSpec()
		decoded[n] = item
	}
	return decoded
}

// validate checks a new update against the current items. The error is of type ErrInvalid or ErrConflict.
func (t Table) validate(update Update) error {
	updateServices := map[string]bool{}
	for _, item := range update.Items {
		if item.Kind == KindService && !item.Deleted {
			updateServices[item.Name] = true
		}
	}
	for _, item := range update.Items {
		if item.Kind == KindRoute && !item.Deleted {
			if err := t.validateDestinations(item, updateServices); err != nil {
				return err
			}
		}
		if current, exists := t.items[item.Key]; exists && current.Version == item.Version && !current.hasSameContent(item) {
			return versionConflict(item)
		}
	}
	return nil
}

// validateDestinations checks that each destination service of a route is in the table or in the same update.
func (t Table) validateDestinations(route Item, updateServices map[string]bool) error {
	spec := route.RouteSpec()
	if spec == nil {
		return newFieldError(route.label(), "", "can't be read")
	}
	for _, destination := range spec.Destinations() {
		service, exists := t.items[Key{KindService, destination.Service}]
		if !updateServices[destination.Service] && (!exists || service.Deleted) {
			return newFieldError(route.label(), "ForwardAction", "the service %q is not known", destination.Service)
		}
	}
	return nil
}
