package zone

import (
	"sync"
	"time"
)

// Accounting combines the budgets and the account of a process, which the modules of all its pools share. Its methods may be called
// from any goroutine. The lock guards all fields and is never held over I/O.
//
// To preserve the state over restarts, the owner periodically saves a lease (PrepareLease, ConfirmLease), and on shutdown
// the remaining changes (TakeChanges).
type Accounting struct {
	mu             sync.Mutex
	budgets        map[Pair]*Budget
	account        *Account
	leasesRequired bool
}

// NewAccounting returns an Accounting with an empty account and unspent budgets.
func NewAccounting(limits []Limit) *Accounting {
	a := &Accounting{budgets: make(map[Pair]*Budget, len(limits)), account: NewAccount()}
	for _, limit := range limits {
		a.budgets[limit.Pair] = NewBudget(limit)
	}
	return a
}

// reserve reserves a request in the budget of a pair. A pair without a budget is unlimited.
func (a *Accounting) reserve(now time.Duration, pair Pair, class string, size int64, outage bool) (Reservation, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if budget := a.budgets[pair]; budget != nil {
		return budget.Reserve(now, class, size, outage)
	}
	return Reservation{}, true
}

// settle replaces a reservation by the traffic that was actually used.
func (a *Accounting) settle(now time.Duration, pair Pair, reservation Reservation, requests, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if budget := a.budgets[pair]; budget != nil {
		budget.Settle(now, reservation, requests, bytes)
	}
}

// Add adds traffic to the account. The day of the key is set from now, a Unix time.
func (a *Accounting) Add(now time.Duration, key Key, traffic Traffic) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.Add(now, key, traffic)
}

// State is the persistent state of an Accounting, or the part of it that has changed.
type State struct {
	Rows   []Row
	Usages []Usage
}

// TakeChanges returns the rows that changed since they were last taken, and the usage of all budgets.
func (a *Accounting) TakeChanges() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := State{Rows: a.account.TakeChanges()}
	for _, budget := range a.budgets {
		state.Usages = append(state.Usages, budget.Usage())
	}
	return state
}

// RequireLeases restricts spending to the leases granted by ConfirmLease from now on.
func (a *Accounting) RequireLeases() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leasesRequired = true
	for _, budget := range a.budgets {
		budget.RequireLease()
	}
}

// PrepareLease returns the rows that changed since they were last taken, and for each budget a lease on what may be spent
// until the next call. After saving it the caller calls ConfirmLease; if saving fails, RestoreChanges.
func (a *Accounting) PrepareLease(now time.Duration) State {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := State{Rows: a.account.TakeChanges()}
	for _, budget := range a.budgets {
		state.Usages = append(state.Usages, budget.PrepareLease(now))
	}
	return state
}

// ConfirmLease grants the leases that PrepareLease returned. The caller must have saved them.
func (a *Accounting) ConfirmLease(saved State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, lease := range saved.Usages {
		if budget := a.budgets[lease.Pair]; budget != nil {
			budget.ConfirmLease(lease)
		}
	}
}

// RestoreChanges marks rows that were taken but could not be saved as changed again.
func (a *Accounting) RestoreChanges(unsaved State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.MarkChanged(unsaved.Rows)
}

// OldestDay returns the first day that the account retains.
func (a *Accounting) OldestDay() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.OldestDay()
}

// Restore adds what was saved before a restart. The usage of pairs without a limit is dropped.
func (a *Accounting) Restore(state State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.Restore(state.Rows)
	for _, usage := range state.Usages {
		if budget := a.budgets[usage.Pair]; budget != nil {
			budget.Restore(usage)
		}
	}
}

// SetLimits replaces the limits. The usage and the lease of each pair that still has a limit are kept.
func (a *Accounting) SetLimits(limits []Limit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	budgets := make(map[Pair]*Budget, len(limits))
	for _, limit := range limits {
		budget := NewBudget(limit)
		budget.leaseRequired = a.leasesRequired
		if former := a.budgets[limit.Pair]; former != nil {
			limit = budget.Limit // with defaults applied
			*budget = *former
			budget.Limit = limit
		}
		budgets[limit.Pair] = budget
	}
	a.budgets = budgets
}

// Rows returns the rows of the account in report order.
func (a *Accounting) Rows() []Row {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Rows()
}

// Remaining returns what each budget still allows, by pair.
func (a *Accounting) Remaining(now time.Duration) map[Pair]Remaining {
	a.mu.Lock()
	defer a.mu.Unlock()
	remaining := make(map[Pair]Remaining, len(a.budgets))
	for pair, budget := range a.budgets {
		remaining[pair] = budget.Remaining(now)
	}
	return remaining
}
