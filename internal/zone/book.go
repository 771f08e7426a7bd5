package zone

import (
	"sync"
	"time"
)

// Book is a process's budgets and account, shared by the modules of its pools. The lock guards all fields; nothing
// waits under it.
type Book struct {
	mu            sync.Mutex
	budgets       map[Pair]*Budget
	account       *Account
	leaseRequired bool
}

// NewBook returns a book with budgets of which nothing is spent.
func NewBook(limits []Limit) *Book {
	b := &Book{budgets: make(map[Pair]*Budget, len(limits)), account: NewAccount()}
	for _, l := range limits {
		b.budgets[l.Pair] = NewBudget(l)
	}
	return b
}

// reserve reserves a request of a pair; a pair without a budget may always cross.
func (b *Book) reserve(now time.Duration, p Pair, class string, size int64, out bool) (Reservation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if x := b.budgets[p]; x != nil {
		return x.Take(now, class, size, out)
	}
	return Reservation{}, true
}

func (b *Book) settle(now time.Duration, p Pair, r Reservation, requests, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if x := b.budgets[p]; x != nil {
		x.Settle(now, r, requests, bytes)
	}
}

// Add books traffic that was carried.
func (b *Book) Add(now time.Duration, k Key, t Traffic) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account.Add(now, k, t)
}

// State is what a book keeps over a restart.
type State struct {
	Rows  []Row
	Spent []Spent
}

// TakeChanges is what changed of the account since it was last called, and all that is spent.
func (b *Book) TakeChanges() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{b.account.Changed(), b.spent()}
}

// RequireLeases has budgets be spent only as far as Leased has told.
func (b *Book) RequireLeases() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaseRequired = true
	for _, x := range b.budgets {
		x.Keep()
	}
}

// PrepareLease is Changed with what may be spent until the next time: once it is saved, Leased lets it be.
func (b *Book) PrepareLease(now time.Duration) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := State{Rows: b.account.Changed()}
	for _, x := range b.budgets {
		s.Spent = append(s.Spent, x.Lease(now))
	}
	return s
}

// ConfirmLease says that a Lease is saved.
func (b *Book) ConfirmLease(s State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range s.Spent {
		if y := b.budgets[x.Pair]; y != nil {
			y.Leased(x)
		}
	}
}

func (b *Book) spent() (l []Spent) {
	for _, x := range b.budgets {
		l = append(l, x.Spent())
	}
	return l
}

// RestoreChanges has the rows of a Changed that could not be saved count as changed once more.
func (b *Book) RestoreChanges(s State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range s.Rows {
		if b.account.rows[r.Key] != nil {
			b.account.dirty[r.Key] = true
		}
	}
}

// OldestDay is the first day that the account still keeps.
func (b *Book) OldestDay() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, b.account.latest-keepDays+1)
}

// Restore takes what was kept. Budgets of pairs that have no limit any more are dropped.
func (b *Book) Restore(s State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account.Restore(s.Rows)
	for _, x := range s.Spent {
		if y := b.budgets[x.Pair]; y != nil {
			y.Restore(x)
		}
	}
}

// SetLimits puts other limits in place of the present ones; what is spent of a pair stays spent.
func (b *Book) SetLimits(limits []Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[Pair]*Budget, len(limits))
	for _, l := range limits {
		x := NewBudget(l)
		x.kept = b.leaseRequired
		if was := b.budgets[l.Pair]; was != nil {
			limit := x.Limit
			*x = *was
			x.Limit = limit
		}
		next[l.Pair] = x
	}
	b.budgets = next
}

// Rows are the account's rows in order.
func (b *Book) Rows() []Row {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account.Rows()
}

// Remaining is what the budgets still allow, by pair: requests and bytes of this hour and this day; -1: no limit.
func (b *Book) Remaining(now time.Duration) map[Pair][2][2]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := make(map[Pair][2][2]int64, len(b.budgets))
	for p, x := range b.budgets {
		r, y := x.Left(now)
		m[p] = [2][2]int64{r, y}
	}
	return m
}
