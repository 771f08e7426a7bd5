package pool

import (
	"errors"
	"fmt"
	"math"
)

// Quota is what one holder of a ledger may have.
type Quota struct {
	Min int64 // always to be had, whatever the others take
	Max int64 // never exceeded; 0: the ledger's total
}

// Holder is one party of a ledger. It belongs to the ledger that made it.
type Holder struct {
	Quota
	used    int64
	removed bool
}

// Used is what the holder has taken and not given back.
func (h *Holder) Used() int64 { return h.used }

// Borrowed is how much of that lies beyond its minimum.
func (h *Holder) Borrowed() int64 { return max(0, h.used-h.Min) }

// QuotaTable divides a total among holders: each is sure of its minimum, what is left is shared by whoever
// comes first and is shared anew as it is given back. It is pure: no lock, no clock, no I/O.
//
// It keeps two sums. used, of what is taken, never passes the total. promised, of the larger of what a
// holder has and its minimum, decides on borrowing: while it stays within the total every holder can
// take up to its minimum at once. A Configure that raises a minimum while the remainder is borrowed
// puts promised over the total for a while; borrowing then stops until enough has come back.
type QuotaTable struct {
	total, used, reserved int64
	holders               map[*Holder]struct{}
}

// NewQuotaTable returns a ledger of so much, with no holders.
func NewQuotaTable(total int64) *QuotaTable {
	return &QuotaTable{total: total, holders: map[*Holder]struct{}{}}
}

// ErrOverTotal says that the holders' minima exceed the total.
var ErrOverTotal = errors.New("the minima together exceed the total")

// Configure sets the total and the quotas of the holders named; a nil key is not allowed. Holders that
// are not named leave: they have no minimum any more, keep what they have taken, may still borrow up
// to their old maximum, and are forgotten once they have given all back. On an error nothing has
// changed.
func (l *QuotaTable) Configure(total int64, quotas map[*Holder]Quota) error {
	if total < 0 {
		return fmt.Errorf("a total of %d", total)
	}
	var minima int64
	for h, q := range quotas {
		switch {
		case h == nil:
			return errors.New("a quota for nobody")
		case q.Min < 0 || q.Max < 0:
			return fmt.Errorf("a quota of %d to %d", q.Min, q.Max)
		case q.Max > 0 && q.Min > q.Max:
			return fmt.Errorf("a minimum of %d over the maximum of %d", q.Min, q.Max)
		case q.Min > total-minima:
			return ErrOverTotal
		}
		minima += q.Min
	}
	for h := range l.holders {
		if _, stays := quotas[h]; !stays {
			h.removed, h.Min = true, 0
		}
	}
	for h, q := range quotas {
		h.Quota, h.removed = q, false
		l.holders[h] = struct{}{}
	}
	l.total, l.reserved = total, 0
	for h := range l.holders {
		l.reserved += max(h.used, h.Min)
		l.forgetIfEmpty(h)
	}
	return nil
}

func (l *QuotaTable) forgetIfEmpty(h *Holder) {
	if h.removed && h.used == 0 {
		delete(l.holders, h)
	}
}

// Take takes n for h, or nothing; false if h may not have so much now. A holder that is not the
// ledger's, or has left it, gets nothing.
func (l *QuotaTable) Take(h *Holder, n int64) bool {
	if _, is := l.holders[h]; !is || n < 0 || n > math.MaxInt64-h.used {
		return false
	}
	after := h.used + n
	switch promised := l.reserved - max(h.used, h.Min) + max(after, h.Min); {
	case h.Max > 0 && after > h.Max, n > l.total-l.used:
		return false
	case promised > l.reserved && promised > l.total:
		return false // it would eat into another's minimum
	default:
		l.reserved = promised
	}
	h.used = after
	l.used += n
	return true
}

// Give gives back n of what h took. Giving back more than was taken is a fault of the program: it
// panics, lest a sum go wrong for good.
func (l *QuotaTable) Give(h *Holder, n int64) {
	if n < 0 || n > h.used {
		panic(fmt.Sprintf("pool: %d given back of %d taken", n, h.used))
	}
	l.reserved += max(h.used-n, h.Min) - max(h.used, h.Min)
	h.used -= n
	l.used -= n
	l.forgetIfEmpty(h)
}

// Transfer has another holder have n of what from took, if it may; false, and nothing changed, if not.
func (l *QuotaTable) Transfer(from, to *Holder, n int64) bool {
	if n < 0 || n > from.used {
		return false
	}
	promised := l.reserved + max(from.used-n, from.Min) - max(from.used, from.Min) +
		max(to.used+n, to.Min) - max(to.used, to.Min)
	_, is := l.holders[to]
	if !is || to.Max > 0 && to.used+n > to.Max || promised > l.reserved && promised > l.total {
		return false
	}
	if from == to {
		return true
	}
	from.used -= n
	to.used += n
	l.reserved = promised
	l.forgetIfEmpty(from)
	return true
}

// Total is what there is, Used what is taken of it.
func (l *QuotaTable) Total() int64 { return l.total }

// Used is the sum of what the holders have taken.
func (l *QuotaTable) Used() int64 { return l.used }
