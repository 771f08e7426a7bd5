package pool

import (
	"errors"
	"fmt"
	"math"
)

// Quota is the range of the amount that one holder may take.
type Quota struct {
	Min int64 // guaranteed amount, whatever the other holders take
	Max int64 // upper limit; 0 means the total of the table
}

// Holder is a participant in a QuotaTable. It must not be used with a second table.
type Holder struct {
	Quota
	used    int64 // taken and not returned
	removed bool  // not in the latest Configure
}

// Used returns the amount that the holder has taken and not returned.
func (h *Holder) Used() int64 { return h.used }

// Borrowed returns the part of Used that is over the holder's minimum.
func (h *Holder) Borrowed() int64 { return max(0, h.used-h.Min) }

// QuotaTable divides a total among holders: each is guaranteed its minimum, and the remainder is lent on a first come,
// first served basis. It is pure (no lock, no clock, no I/O) and not safe for concurrent use; see Budget.
//
// It maintains two sums: used, the amount that all holders have taken, and reserved, the sum of max(used, minimum) of each
// holder. A Take never makes used exceed the total. A holder may borrow only if reserved stays within the total, because
// every holder can then take its minimum immediately. A Configure that raises a minimum or lowers the total while the
// remainder is lent may leave reserved over the total; no holder can borrow then until enough has been returned.
type QuotaTable struct {
	total, used, reserved int64
	holders               map[*Holder]struct{}
}

// NewQuotaTable returns a table that divides total and has no holders.
func NewQuotaTable(total int64) *QuotaTable {
	return &QuotaTable{total: total, holders: map[*Holder]struct{}{}}
}

// ErrOverTotal means that the sum of the holders' minima exceeds the total.
var ErrOverTotal = errors.New("the minima together exceed the total")

// Configure sets the total and the quotas of the given holders; a nil key is an error. Holders that are not given are
// removed: they lose their minimum, keep what they have taken, may still borrow up to their previous maximum, and leave the
// table when they have returned everything. An error changes nothing.
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

// checkQuotas returns the first fault of a configuration, or nil.
func checkQuotas(total int64, quotas map[*Holder]Quota) error {
	if total < 0 {
		return fmt.Errorf("total %d is negative", total)
	}
	var minima int64
	for h, q := range quotas {
		switch {
		case h == nil:
			return errors.New("quota has no holder")
		case q.Min < 0 || q.Max < 0:
			return fmt.Errorf("quota has a negative limit: min %d, max %d", q.Min, q.Max)
		case q.Max > 0 && q.Min > q.Max:
			return fmt.Errorf("minimum %d exceeds the maximum %d", q.Min, q.Max)
		case q.Min > total-minima:
			return ErrOverTotal
		}
		minima += q.Min
	}
	return nil
}

// forgetIfEmpty deletes a holder from the table if it was removed and has returned everything.
func (t *QuotaTable) forgetIfEmpty(h *Holder) {
	if h.removed && h.used == 0 {
		delete(t.holders, h)
	}
}

// Take takes n for h. If the quotas do not allow that now, or h is not in the table, it takes nothing and returns false.
func (t *QuotaTable) Take(h *Holder, n int64) bool {
	if _, ok := t.holders[h]; !ok || n < 0 || n > math.MaxInt64-h.used {
		return false
	}
	after := h.used + n
	switch reserved := t.reserved - max(h.used, h.Min) + max(after, h.Min); {
	case h.Max > 0 && after > h.Max, n > t.total-t.used:
		return false
	case reserved > t.reserved && reserved > t.total:
		return false // it would borrow a part of another holder's guaranteed minimum
	default:
		t.reserved = reserved
	}
	h.used = after
	t.used += n
	return true
}

// Give returns n of the amount that h has taken. It panics if n is more than that: this is a programming error, after which
// the sums would stay wrong for the life of the process.
func (t *QuotaTable) Give(h *Holder, n int64) {
	if n < 0 || n > h.used {
		panic(fmt.Sprintf("pool: %d returned of %d taken", n, h.used))
	}
	t.reserved += max(h.used-n, h.Min) - max(h.used, h.Min)
	h.used -= n
	t.used -= n
	t.forgetIfEmpty(h)
}

// Transfer transfers n of the amount that one holder has taken to another. If the quotas do not allow that, it changes
// nothing and returns false.
func (t *QuotaTable) Transfer(from, to *Holder, n int64) bool {
	if n < 0 || n > from.used {
		return false
	}
	reserved := t.reserved + max(from.used-n, from.Min) - max(from.used, from.Min) +
		max(to.used+n, to.Min) - max(to.used, to.Min)
	_, ok := t.holders[to]
	if !ok || to.Max > 0 && to.used+n > to.Max || reserved > t.reserved && reserved > t.total {
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

// Total returns the amount that the table divides.
func (t *QuotaTable) Total() int64 { return t.total }

// Used returns the amount that all holders together have taken.
func (t *QuotaTable) Used() int64 { return t.used }
