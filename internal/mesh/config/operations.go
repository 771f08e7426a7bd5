package config

import (
	"cmp"
	"slices"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/operations"
)

// digest is that of the item's content, without its version.
func (i Item) digest() operations.Digest {
	dropped := []byte{0}
	if i.Deleted {
		dropped[0] = 1
	}
	return operations.DigestOf(dropped, []byte(i.Host), i.Body)
}

// operation is the one that made the item what it is.
func (i Item) operation() operations.Operation {
	return operations.Operation{Version: i.Version, Digest: i.digest(), LogTime: i.LogTime}
}

// classifyItem tells what an item of a call is to what was taken before.
func (t Table) classifyItem(i Item) operations.Classification {
	stands, known := t.items[i.Key]
	switch {
	case !known || i.Version > stands.Version:
		return operations.New
	case i.Version < stands.Version:
		return stands.history.Classify(i.Version, i.digest())
	case stands.hasSameContent(i):
		return operations.Duplicate
	}
	return operations.Conflict
}

// classifyUpdate tells what a call is to what was taken before: Repeated if all its items were taken, Unknown if they may have been,
// Conflicting if another content was taken under one of its versions, New otherwise. The error is why it may not be acknowledged
// although it is valid, ErrConflict or ErrOpen; a New call has one if some of its items are Unknown.
func (t Table) classifyUpdate(c Update) (operations.Classification, error) {
	var count [operations.Unknown + 1]int
	var open error
	for _, i := range c.Items {
		verdict := t.classifyItem(i)
		count[verdict]++
		switch verdict {
		case operations.Conflict:
			return verdict, errors.WithType(errors.Errorf("%s %s: version %d has another content already", i.Kind, i.Key.Name, i.Version), ErrConflict)
		case operations.Unknown:
			open = errors.WithType(errors.Errorf("%s %s: what was taken as version %d is not remembered any more", i.Kind, i.Key.Name, i.Version), ErrUndetermined)
		}
	}
	switch {
	case len(c.Items) == 0 || count[operations.New] > 0:
		return operations.New, open
	case open != nil:
		return operations.Unknown, open
	}
	return operations.Duplicate, nil
}

// Admit says whether a call may be proposed, at the leader: not if another content was taken under one of its versions
// (ErrConflict), or if that can't be told any more (ErrOpen). One that was taken before is Repeated, and need not be. The table
// must hold all that may have been agreed on before the call.
func (t Table) Admit(c Update) (operations.Classification, error) { return t.classifyUpdate(c) }

// recordSuperseded has a table that a call has made of this one remember the operations that were superseded by it. The next
// table's items must not be shared yet.
func (t Table) recordSuperseded(next Table, raised []Item) Table {
	for _, i := range raised {
		was, known := t.items[i.Key]
		now, kept := next.items[i.Key]
		if known && kept {
			now.history = was.history.With(supersededOperation(was, i))
			next.operationCount += now.history.Len()
			next.items[i.Key] = now
		}
	}
	return next
}

// recordOutdated has the next table remember the operations of a call that came too late to take effect, and are acknowledged.
func (t Table) recordOutdated(next Table, c Update) Table {
	copied := false
	for _, i := range c.Items {
		stands, known := t.items[i.Key]
		if !known || i.Version >= stands.Version || t.classifyItem(i) != operations.New {
			continue
		}
		if !copied {
			next.items, copied = next.cloneItems(0), true
		}
		now := next.items[i.Key]
		now.history = now.history.With(i.operation())
		next.items[i.Key] = now
		next.operationCount++
	}
	return next
}

// operationsAfterPruning is how many operations are remembered after some were forgotten: some more are than must be, since it takes
// a look at all of them.
const operationsAfterPruning = MaxOperations * 7 / 8

// supersededOperation is the operation of an item that another has followed, as of then.
func supersededOperation(was, by Item) operations.Operation {
	o := was.operation()
	o.LogTime = by.LogTime
	return o
}

// pruneOperations forgets so many, the earliest by log time, by names where they are of one time: alike on every register.
// The table must not be shared yet.
func (t *Table) pruneOperations(n int) {
	type record struct {
		of Key
		operations.Operation
	}
	var all []record
	for name, i := range t.items {
		for _, o := range i.history.Operations() {
			all = append(all, record{name, o})
		}
	}
	slices.SortFunc(all, func(a, b record) int {
		return cmp.Or(cmp.Compare(a.LogTime, b.LogTime), cmp.Compare(a.of.Kind, b.of.Kind), cmp.Compare(a.of.Name, b.of.Name), cmp.Compare(a.Version, b.Version))
	})
	for _, r := range all[:min(n, len(all))] {
		i := t.items[r.of]
		i.history = i.history.Without(r.Version)
		t.items[r.of] = i
		t.operationCount--
	}
}
