package patch

import (
	"cmp"
	"slices"

	"github.com/juju/errors"

	"hollyspur/internal/mesh/operations"
)

// digest is that of the item's content, without its version.
func (i Item) digest() operations.Digest {
	dropped := []byte{0}
	if i.Dropped {
		dropped[0] = 1
	}
	return operations.DigestOf(dropped, []byte(i.Host), i.Body)
}

// operation is the one that made the item what it is.
func (i Item) operation() operations.Operation {
	return operations.Operation{Version: i.Version, Digest: i.digest(), At: i.Stamp}
}

// judge tells what an item of a call is to what was taken before.
func (t Table) judge(i Item) operations.Verdict {
	stands, known := t.items[i.Name]
	switch {
	case !known || i.Version > stands.Version:
		return operations.New
	case i.Version < stands.Version:
		return stands.history.Judge(i.Version, i.digest())
	case stands.same(i):
		return operations.Repeated
	}
	return operations.Conflicting
}

// judgeCall tells what a call is to what was taken before: Repeated if all its items were taken, Unknown if they may have been,
// Conflicting if another content was taken under one of its versions, New otherwise. The error is why it may not be acknowledged
// although it is valid, ErrConflict or ErrOpen; a New call has one if some of its items are Unknown.
func (t Table) judgeCall(c Call) (operations.Verdict, error) {
	var count [operations.Unknown + 1]int
	var open error
	for _, i := range c.Items {
		verdict := t.judge(i)
		count[verdict]++
		switch verdict {
		case operations.Conflicting:
			return verdict, errors.WithType(errors.Errorf("%s %s: version %d has another content already", i.Kind, i.Name.Name, i.Version), ErrConflict)
		case operations.Unknown:
			open = errors.WithType(errors.Errorf("%s %s: what was taken as version %d is not remembered any more", i.Kind, i.Name.Name, i.Version), ErrOpen)
		}
	}
	switch {
	case len(c.Items) == 0 || count[operations.New] > 0:
		return operations.New, open
	case open != nil:
		return operations.Unknown, open
	}
	return operations.Repeated, nil
}

// Admit says whether a call may be proposed, at the leader: not if another content was taken under one of its versions
// (ErrConflict), or if that can't be told any more (ErrOpen). One that was taken before is Repeated, and need not be. The table
// must hold all that may have been agreed on before the call.
func (t Table) Admit(c Call) (operations.Verdict, error) { return t.judgeCall(c) }

// rememberRaised has a table that a call has made of this one remember the operations that were superseded by it. The next
// table's items must not be shared yet.
func (t Table) rememberRaised(next Table, raised []Item) Table {
	for _, i := range raised {
		was, known := t.items[i.Name]
		now, kept := next.items[i.Name]
		if known && kept {
			now.history = was.history.With(superseded(was, i))
			next.history += now.history.Len()
			next.items[i.Name] = now
		}
	}
	return next
}

// rememberLate has the next table remember the operations of a call that came too late to take effect, and are acknowledged.
func (t Table) rememberLate(next Table, c Call) Table {
	copied := false
	for _, i := range c.Items {
		stands, known := t.items[i.Name]
		if !known || i.Version >= stands.Version || t.judge(i) != operations.New {
			continue
		}
		if !copied {
			next.items, copied = next.copied(0), true
		}
		now := next.items[i.Name]
		now.history = now.history.With(i.operation())
		next.items[i.Name] = now
		next.history++
	}
	return next
}

// operationsKept is how many operations are remembered after some were forgotten: some more are than must be, since it takes
// a look at all of them.
const operationsKept = MostOperations * 7 / 8

// superseded is the operation of an item that another has followed, as of then.
func superseded(was, by Item) operations.Operation {
	o := was.operation()
	o.At = by.Stamp
	return o
}

// forgetOperations forgets so many, the earliest by log time, by names where they are of one time: alike on every register.
// The table must not be shared yet.
func (t *Table) forgetOperations(n int) {
	type record struct {
		of Name
		operations.Operation
	}
	var all []record
	for name, i := range t.items {
		for _, o := range i.history.Operations() {
			all = append(all, record{name, o})
		}
	}
	slices.SortFunc(all, func(a, b record) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.of.Kind, b.of.Kind), cmp.Compare(a.of.Name, b.of.Name), cmp.Compare(a.Version, b.Version))
	})
	for _, r := range all[:min(n, len(all))] {
		i := t.items[r.of]
		i.history = i.history.Without(r.Version)
		t.items[r.of] = i
		t.history--
	}
}
