package zone

import (
	"sync"
	"time"
)

// Accounting is the budgets and the account of a process, shared by the modules of its pools. Its methods may be called
// from any goroutine. The lock guards all fields and is never held over I/O.
//
// To keep it over restarts its owner saves a lease again and again (PrepareLease, ConfirmLease), and at the end what has
// changed since (TakeChanges).
type Accounting struct {
	mu             sync.Mutex
	budgets        map[Pair]*Budget
	account        *Account
	leasesRequired bool
}

// NewAccounting returns an empty account, and budgets of which nothing is spent.
func NewAccounting(limits []Limit) *Accounting {
	a := &Accounting{budgets: make(map[Pair]*Budget, len(limits)), account: NewAccount()}
	for _, limit := range limits {
		a.budgets[limit.Pair] = NewBudget(limit)
	}
	return a
}

// reserve reserves a request in the budget of a pair. A pair without a budget may always cross.
func (a *Accounting) reserve(now time.Duration, pair Pair, class string, size int64, outage bool) (Reservation, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if budget := a.budgets[pair]; budget != nil {
		return budget.Reserve(now, class, size, outage)
	}
	return Reservation{}, true
}

// settle ends a reservation with what was really spent on it.
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

// State is what is kept over a restart, or a part of it that has changed.
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

// RequireLeases lets only what ConfirmLease has granted be spent of budgets from here on.
func (a *Accounting) RequireLeases() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leasesRequired = true
	for _, budget := range a.budgets {
		budget.RequireLease()
	}
}

// PrepareLease returns the rows that changed since they were last taken, and for each budget what may be spent until the next
// call. Once that is saved, ConfirmLease grants it; if it can't be saved, RestoreChanges takes it back.
func (a *Accounting) PrepareLease(now time.Duration) State {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := State{Rows: a.account.TakeChanges()}
	for _, budget := range a.budgets {
		state.Usages = append(state.Usages, budget.PrepareLease(now))
	}
	return state
}

// ConfirmLease grants what PrepareLease returned, now that it is saved.
func (a *Accounting) ConfirmLease(saved State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, lease := range saved.Usages {
		if budget := a.budgets[lease.Pair]; budget != nil {
			budget.ConfirmLease(lease)
		}
	}
}

// RestoreChanges makes rows that were taken and could not be saved count as changed again.
func (a *Accounting) RestoreChanges(unsaved State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.MarkChanged(unsaved.Rows)
}

// OldestDay is the first day that the account still keeps.
func (a *Accounting) OldestDay() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.OldestDay()
}

// Restore adds what was saved before a restart. The usage of pairs that have no limit any more is dropped.
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

// SetLimits replaces the limits. What has been spent of a pair, and its lease, stay.
func (a *Accounting) SetLimits(limits []Limit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	budgets := make(map[Pair]*Budget, len(limits))
	for _, limit := range limits {
		budget := NewBudget(limit)
		budget.leaseRequired = a.leasesRequired
		if former := a.budgets[limit.Pair]; former != nil {
			limit = budget.Limit // with its defaults
			*budget = *former
			budget.Limit = limit
		}
		budgets[limit.Pair] = budget
	}
	a.budgets = budgets
}

// Rows are the rows of the account in the order of reports.
func (a *Accounting) Rows() []Row {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Rows()
}

// Remaining is what the budgets still allow, by pair.
func (a *Accounting) Remaining(now time.Duration) map[Pair]Remaining {
	a.mu.Lock()
	defer a.mu.Unlock()
	remaining := make(map[Pair]Remaining, len(a.budgets))
	for pair, budget := range a.budgets {
		remaining[pair] = budget.Remaining(now)
	}
	return remaining
}
