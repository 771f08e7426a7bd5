package config

import (
	"cmp"
	"slices"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/operations"
)

// classifyItem classifies an item of an update by the operations that were accepted for its key.
func (t Table) classifyItem(item Item) operations.Classification {
	current, exists := t.items[item.Key]
	switch {
	case !exists || item.Version > current.Version:
		return operations.New
	case item.Version < current.Version:
		return current.history.Classify(item.Version, item.digest())
	case current.hasSameContent(item):
		return operations.Duplicate
	}
	return operations.Conflict
}

// classifyUpdate classifies an update by the operations that were accepted before. The update is Conflict if one of its versions was
// accepted with another content, Duplicate if all its items were accepted, Unknown if all of them may have been, and otherwise New.
// The error is set if a valid update must not be acknowledged, and is of type ErrConflict or ErrUndetermined. A New update has an
// error if some of its items are Unknown.
func (t Table) classifyUpdate(update Update) (operations.Classification, error) {
	var counts [operations.Unknown + 1]int
	var undeterminedErr error
	for _, item := range update.Items {
		class := t.classifyItem(item)
		counts[class]++
		switch class {
		case operations.Conflict:
			return class, versionConflict(item)
		case operations.Unknown:
			undeterminedErr = errors.WithType(
				errors.Errorf("%s: the content accepted as version %d is no longer stored", item.label(), item.Version), ErrUndetermined)
		case operations.New, operations.Duplicate:
		}
	}
	switch {
	case len(update.Items) == 0 || counts[operations.New] > 0:
		return operations.New, undeterminedErr
	case undeterminedErr != nil:
		return operations.Unknown, undeterminedErr
	}
	return operations.Duplicate, nil
}

// versionConflict returns the error for an item whose version was accepted with another content.
func versionConflict(item Item) error {
	return errors.WithType(errors.Errorf("%s: version %d has another content already", item.label(), item.Version), ErrConflict)
}

// Admit decides whether the leader may propose an update. It may not if the error is set. The error is of type ErrConflict if one of
// the versions was accepted with another content, and of type ErrUndetermined if the history does not reach back far enough to tell.
// A Duplicate update may be acknowledged without being proposed. The table must include every update that may have been committed
// before this one.
func (t Table) Admit(update Update) (operations.Classification, error) {
	return t.classifyUpdate(update)
}

// recordSuperseded adds to the history of each updated item the operation that the update superseded. next is the table after the
// update and must not be shared yet.
func (t Table) recordSuperseded(next Table, updated []Item) Table {
	for _, item := range updated {
		before, exists := t.items[item.Key]
		after, remains := next.items[item.Key] // a tombstone may have been pruned
		if exists && remains {
			after.history = before.history.With(supersededOperation(before, item))
			next.operationCount += after.history.Len()
			next.items[item.Key] = after
		}
	}
	return next
}

// supersededOperation returns the operation of a superseded item, with the log time of the item that superseded it.
func supersededOperation(item, successor Item) operations.Operation {
	operation := item.operation()
	operation.LogTime = successor.LogTime
	return operation
}

// recordOutdated adds to the next table the new operations of an update whose versions are lower than those of this table. They have
// no effect but are acknowledged, so they must be remembered.
func (t Table) recordOutdated(next Table, update Update) Table {
	cloned := false
	for _, item := range update.Items {
		current, exists := t.items[item.Key]
		if !exists || item.Version >= current.Version || t.classifyItem(item) != operations.New {
			continue
		}
		if !cloned { // if the update changed no item, next still shares its map with this table
			next.items = next.cloneItems(0)
			cloned = true
		}
		after := next.items[item.Key]
		after.history = after.history.With(item.operation())
		next.items[item.Key] = after
		next.operationCount++
	}
	return next
}

// pruneOperations removes the n earliest operations from the histories. Operations with equal log times are ordered by key and
// version, so that every member removes the same ones. The table must not be shared yet.
func (t *Table) pruneOperations(n int) {
	type keyedOperation struct {
		key Key
		operations.Operation
	}
	var all []keyedOperation
	for key, item := range t.items {
		for _, operation := range item.history.Operations() {
			all = append(all, keyedOperation{key, operation})
		}
	}
	slices.SortFunc(all, func(a, b keyedOperation) int {
		return cmp.Or(cmp.Compare(a.LogTime, b.LogTime), compareKeys(a.key, b.key), cmp.Compare(a.Version, b.Version))
	})
	for _, operation := range all[:min(n, len(all))] {
		item := t.items[operation.key]
		item.history = item.history.Without(operation.Version)
		t.items[operation.key] = item
		t.operationCount--
	}
}
