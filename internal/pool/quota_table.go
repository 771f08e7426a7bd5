package pool

import (
	"errors"
	"fmt"
	"math"
)

// Quota is what one holder may take.
type Quota struct {
	Min int64 // guaranteed, whatever the others take
	Max int64 // never exceeded; 0 means the total of the table
}

// Holder is one party of a QuotaTable, the one whose Configure named it first.
type Holder struct {
	Quota
	used    int64
	removed bool
}

// Used is how much the holder has taken and not returned.
func (h *Holder) Used() int64 { return h.used }

// Borrowed is how much of that is over its minimum.
func (h *Holder) Borrowed() int64 { return max(0, h.used-h.Min) }

// QuotaTable divides a total among holders: each is guaranteed its minimum, and the remainder is lent on a first come,
// first served basis. It is pure (no lock, no clock, no I/O) and not safe for concurrent use; see Budget.
//
// It keeps two sums. used, the sum of what is taken, never exceeds the total. reserved, the sum over the holders of the
// larger of used and minimum, decides on borrowing: while it is within the total, every holder can take up to its
// minimum at once. A Configure that raises a minimum while the remainder is lent puts reserved over the total for a
// while; nobody can borrow then until enough has been returned.
type QuotaTable struct {
	total, used, reserved int64
	holders               map[*Holder]struct{}
}

// NewQuotaTable returns a table with that total and no holders.
func NewQuotaTable(total int64) *QuotaTable {
	return &QuotaTable{total: total, holders: map[*Holder]struct{}{}}
}

// ErrOverTotal says that the minima of the holders exceed the total.
var ErrOverTotal = errors.New("the minima together exceed the total")

// Configure sets the total and the quotas of the given holders; a nil key is an error. Holders that are not given are
// removed: they lose their minimum, keep what they have taken, may still borrow up to their former maximum, and are
// forgotten when they have returned everything. After an error nothing has changed.
func (t *QuotaTable) Configure(total int64, quotas map[*Holder]Quota) error {
	if err := checkQuotas(total, quotas); err != nil {
		return err
	}
	for h := range t.holders {
		if _, stays := quotas[h]; !stays {
			h.removed, h.Min = true, 0
		}
	}
	for h, q := range quotas {
		h.Quota, h.removed = q, false
		t.holders[h] = struct{}{}
	}
	t.total, t.reserved = total, 0
	for h := range t.holders {
		t.reserved += max(h.used, h.Min)
		t.forgetIfEmpty(h)
	}
	return nil
}

// checkQuotas returns what is wrong with a configuration, or nil.
func checkQuotas(total int64, quotas map[*Holder]Quota) error {
	if total < 0 {
		return fmt.Errorf("a total of %d", total)
	}
	var minima int64
	for h, q := range quotas {
		switch {
		case h == nil:
			return errors.New("a quota without a holder")
		case q.Min < 0 || q.Max < 0:
			return fmt.Errorf("a quota of %d to %d", q.Min, q.Max)
		case q.Max > 0 && q.Min > q.Max:
			return fmt.Errorf("a minimum of %d over the maximum of %d", q.Min, q.Max)
		case q.Min > total-minima:
			return ErrOverTotal
		}
		minima += q.Min
	}
	return nil
}

// forgetIfEmpty drops a removed holder that has returned everything.
func (t *QuotaTable) forgetIfEmpty(h *Holder) {
	if h.removed && h.used == 0 {
		delete(t.holders, h)
	}
}

// Take takes n for h, or takes nothing and returns false if h may not have that much now. A holder that is not in the
// table gets nothing.
func (t *QuotaTable) Take(h *Holder, n int64) bool {
	if _, is := t.holders[h]; !is || n < 0 || n > math.MaxInt64-h.used {
		return false
	}
	after := h.used + n
	switch reserved := t.reserved - max(h.used, h.Min) + max(after, h.Min); {
	case h.Max > 0 && after > h.Max, n > t.total-t.used:
		return false
	case reserved > t.reserved && reserved > t.total:
		return false // it would borrow what is another's guaranteed minimum
	default:
		t.reserved = reserved
	}
	h.used = after
	t.used += n
	return true
}

// Give returns n of what h has taken. Returning more than was taken is a programming error, and panics: the sums would
// stay wrong for the rest of the process.
func (t *QuotaTable) Give(h *Holder, n int64) {
	if n < 0 || n > h.used {
		panic(fmt.Sprintf("pool: %d returned of %d taken", n, h.used))
	}
	t.reserved += max(h.used-n, h.Min) - max(h.used, h.Min)
	h.used -= n
	t.used -= n
	t.forgetIfEmpty(h)
}

// Transfer moves n of what one holder has taken to another. It returns false, and changes nothing, if that one may not
// have it.
func (t *QuotaTable) Transfer(from, to *Holder, n int64) bool {
	if n < 0 || n > from.used {
		return false
	}
	reserved := t.reserved + max(from.used-n, from.Min) - max(from.used, from.Min) +
		max(to.used+n, to.Min) - max(to.used, to.Min)
	_, is := t.holders[to]
	if !is || to.Max > 0 && to.used+n > to.Max || reserved > t.reserved && reserved > t.total {
		return false
	}
	if from == to {
		return true
	}
	from.used -= n
	to.used += n
	t.reserved = reserved
	t.forgetIfEmpty(from)
	return true
}

// Total is the amount that the table divides.
func (t *QuotaTable) Total() int64 { return t.total }

// Used is how much all holders have taken.
func (t *QuotaTable) Used() int64 { return t.used }
