package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/operations"
	"cranegrade/internal/mesh/policy"
)

// Bounds of a table. They keep what a member stores, and sends to one that joins, small.
const (
	// MaxItems is how many items may be in a table besides tombstones. An update that would exceed it is refused.
	MaxItems = 20_000
	// MaxTombstones is how many tombstones are kept. Beyond it the earliest by log time are pruned: a change to one of those items
	// that was sent before the deletion, and arrives after so many others, counts as new.
	MaxTombstones = 8_192
	// MaxOperations is how many superseded operations are remembered of all items together. Beyond it the earliest by log time are
	// pruned.
	MaxOperations = 32_768
	// operationsAfterPruning is how many remain when operations are pruned. It is less than MaxOperations because pruning sorts all
	// of them, which is not to be done for every update.
	operationsAfterPruning = MaxOperations * 7 / 8
)

// Table is the newest version of each item. The zero value is an empty table. A Table is never changed once it was made, so that
// readers need no lock.
type Table struct {
	items          map[Key]Item
	tombstones     int         // items that are deleted
	operationCount int         // operations remembered of all items
	policyCount    int         // items of the policy set that are not deleted
	policySet      *policy.Set // built of those when it is first needed; nil until then
}

// Update is an operator's request after it was parsed.
type Update struct {
	Items    []Item
	Author   string   // owner on whose behalf it is made; empty for the operator of the mesh
	Consents []string // of other owners, as namespace:name
}

// Len returns how many items there are, tombstones among them.
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

// Merge takes those of the given items that are newer than the table's own, and returns them as raised. The result does not depend
// on the order in which items are merged.
func (t Table) Merge(items []Item) (merged Table, raised []Item) {
	next := Table{tombstones: t.tombstones, operationCount: t.operationCount, policyCount: t.policyCount}
	current := t.items
	for _, item := range items {
		previous, known := current[item.Key]
		if known && item.Version <= previous.Version {
			continue
		}
		if next.items == nil {
			next.items = t.cloneItems(len(items))
			current = next.items
		}
		item.routeSpec = item.RouteSpec()
		next.replace(previous, known, item)
		raised = append(raised, item)
	}
	if len(raised) == 0 {
		return t, nil
	}
	if next.tombstones > MaxTombstones {
		next.pruneTombstones(next.tombstones - MaxTombstones)
	}
	return next, raised
}

// replace puts an item in the place of the previous one, which is zero unless known, and keeps the counts. The table
// must not be shared yet.
func (t *Table) replace(previous Item, known bool, item Item) {
	if previous.Deleted {
		t.tombstones--
	}
	if item.Deleted {
		t.tombstones++
	}
	if item.Kind.InPolicySet() {
		if known && !previous.Deleted {
			t.policyCount--
		}
		if !item.Deleted {
			t.policyCount++
		}
	}
	t.operationCount += item.history.Len() - previous.history.Len()
	t.items[item.Key] = item
}

// cloneItems returns a copy of the items with room for more.
func (t Table) cloneItems(more int) map[Key]Item {
	items := make(map[Key]Item, len(t.items)+more)
	maps.Copy(items, t.items)
	return items
}

// pruneTombstones removes the n earliest tombstones, and what is remembered of their operations. Equal log times are ordered by
// key, so that every member prunes the same ones. The table must not be shared yet.
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

// ApplyItems applies an update of the mesh's operator that consists of the given items.
func (t Table) ApplyItems(items []Item) (next Table, raised []Item, err error) {
	next, raised, _, err = t.ApplyUpdate(Update{Items: items})
	return next, raised, err
}

// ApplyUpdate applies an update as a whole or not at all. raised are the items that it changed, effects what it changes of rules
// that other owners have made. Errors are of type ErrInvalid, ErrConflict, ErrForbidden or ErrUndetermined.
//
// Which items the table holds afterwards follows from the update and the current items alone; the histories of operations decide
// on the error only. Members whose histories differ, because one has pruned more or was upgraded later, so agree on the items.
// An update that raises items and carries a version of another item that was accepted with another content does take effect, and
// returns ErrUndetermined besides: Admit turns it down before it is proposed.
func (t Table) ApplyUpdate(update Update) (next Table, raised []Item, effects []policy.Effect, err error) {
	class, unacknowledged := t.classifyUpdate(update)
	if class == operations.Duplicate || class == operations.Unknown {
		return t, nil, nil, unacknowledged
	}
	update.Items = withRouteSpecs(update.Items)
	if err := t.validate(update); err != nil {
		return t, nil, nil, err
	}
	next, raised = t.Merge(update.Items)
	if len(next.items)-next.tombstones > MaxItems {
		return t, nil, nil, newFieldError(requestLabel, "", "more than %d items would stand", MaxItems)
	}
	if len(raised) > 0 && t.policyCount+next.policyCount > 0 || update.Author != "" {
		if effects, err = checkPolicies(&t, &next, raised, update); err != nil {
			return t, nil, nil, err
		}
	}
	switch {
	case unacknowledged == nil:
		next = t.recordOutdated(t.recordSuperseded(next, raised), update)
	case len(raised) == 0:
		return t, nil, nil, unacknowledged
	default:
		next = t.recordSuperseded(next, raised)
		err = errors.WithType(errors.Errorf("%v; the rest of the call has taken effect", unacknowledged), ErrUndetermined)
	}
	if next.operationCount > MaxOperations {
		next.pruneOperations(next.operationCount - operationsAfterPruning)
	}
	return next, raised, effects, err
}

// withRouteSpecs returns the items with the routes' contents decoded, once for all that follows: of a large update that is most of
// the work.
func withRouteSpecs(items []Item) []Item {
	decoded := make([]Item, len(items))
	for n, item := range items {
		item.routeSpec = item.RouteSpec()
		decoded[n] = item
	}
	return decoded
}

// validate checks an update that was not accepted before against the current items. The error is of type ErrInvalid or ErrConflict.
func (t Table) validate(update Update) error {
	ownServices := map[string]bool{}
	for _, item := range update.Items {
		if item.Kind == KindService && !item.Deleted {
			ownServices[item.Name] = true
		}
	}
	for _, item := range update.Items {
		if item.Kind == KindRoute && !item.Deleted {
			if err := t.validateDestinations(item, ownServices); err != nil {
				return err
			}
		}
		if current, known := t.items[item.Key]; known && current.Version == item.Version && !current.hasSameContent(item) {
			return versionConflict(item)
		}
	}
	return nil
}

// validateDestinations checks that each service that a route sends to is in the table or in the update itself.
func (t Table) validateDestinations(route Item, ownServices map[string]bool) error {
	spec := route.RouteSpec()
	if spec == nil {
		return newFieldError(route.label(), "", "can't be read")
	}
	for _, destination := range spec.Destinations() {
		service, known := t.items[Key{KindService, destination.Service}]
		if !ownServices[destination.Service] && (!known || service.Deleted) {
			return newFieldError(route.label(), "ForwardAction", "the service %q is not known", destination.Service)
		}
	}
	return nil
}
