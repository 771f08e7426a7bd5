package config

import (
	"cmp"
	"slices"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/operations"
)

// classifyItem compares an item of an update with the operations that were accepted for its key.
func (t Table) classifyItem(item Item) operations.Classification {
	current, known := t.items[item.Key]
	switch {
	case !known || item.Version > current.Version:
		return operations.New
	case item.Version < current.Version:
		return current.history.Classify(item.Version, item.digest())
	case current.hasSameContent(item):
		return operations.Duplicate
	}
	return operations.Conflict
}

// classifyUpdate compares an update with what was accepted before. It is Duplicate if all its items were accepted, Unknown if they
// may have been, Conflict if another content was accepted under one of its versions, and otherwise New. The error says why the
// update may not be acknowledged although it is valid, and is of type ErrConflict or ErrUndetermined; a New update has one if some
// of its items are Unknown.
func (t Table) classifyUpdate(update Update) (operations.Classification, error) {
	var count [operations.Unknown + 1]int
	var undetermined error
	for _, item := range update.Items {
		class := t.classifyItem(item)
		count[class]++
		switch class {
		case operations.Conflict:
			return class, versionConflict(item)
		case operations.Unknown:
			undetermined = errors.WithType(
				errors.Errorf("%s: the content accepted as version %d is no longer stored", item.label(), item.Version), ErrUndetermined)
		case operations.New, operations.Duplicate:
		}
	}
	switch {
	case len(update.Items) == 0 || count[operations.New] > 0:
		return operations.New, undetermined
	case undetermined != nil:
		return operations.Unknown, undetermined
	}
	return operations.Duplicate, nil
}

// versionConflict is the error of an item whose version was accepted with another content.
func versionConflict(item Item) error {
	return errors.WithType(errors.Errorf("%s: version %d has another content already", item.label(), item.Version), ErrConflict)
}

// Admit says whether the leader may propose an update. The error is of type ErrConflict if another content was accepted under one
// of its versions, and of type ErrUndetermined if that can't be known any more. An update that is Duplicate may be acknowledged
// without being proposed. The table must hold everything that may have been committed before the update.
func (t Table) Admit(update Update) (operations.Classification, error) {
	return t.classifyUpdate(update)
}

// recordSuperseded adds to the next table, which an update has made of this one, the operations whose items it raised. The next
// table must not be shared yet.
func (t Table) recordSuperseded(next Table, raised []Item) Table {
	for _, item := range raised {
		before, known := t.items[item.Key]
		after, kept := next.items[item.Key] // a tombstone may have been pruned
		if known && kept {
			after.history = before.history.With(supersededOperation(before, item))
			next.operationCount += after.history.Len()
			next.items[item.Key] = after
		}
	}
	return next
}

// supersededOperation returns the operation that made an item, with the log time at which another superseded it.
func supersededOperation(item, by Item) operations.Operation {
	operation := item.operation()
	operation.LogTime = by.LogTime
	return operation
}

// recordOutdated adds to the next table the operations of an update that arrived too late to take effect and are acknowledged all
// the same.
func (t Table) recordOutdated(next Table, update Update) Table {
	cloned := false
	for _, item := range update.Items {
		current, known := t.items[item.Key]
		if !known || item.Version >= current.Version || t.classifyItem(item) != operations.New {
			continue
		}
		if !cloned { // an update that raises nothing leaves the next table with this table's map
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

// pruneOperations forgets the n earliest operations. Equal log times are ordered by key and version, so that every member forgets
// the same ones. The table must not be shared yet.
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
