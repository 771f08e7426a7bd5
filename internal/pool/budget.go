package pool

import "sync"

// Budget is a QuotaTable for use by many goroutines.
type Budget struct {
	mu     sync.Mutex // guards ledger, every holder of it, and denied
	quotas *QuotaTable
	denied map[*Share]struct{} // that were given nothing since ClearDenied
}

// NewBudget returns a budget of so much, with no shares.
func NewBudget(total int64) *Budget {
	return &Budget{quotas: NewQuotaTable(total), denied: map[*Share]struct{}{}}
}

// Share is one holder's side of a budget. It implements engine.Room.
type Share struct {
	budget *Budget
	holder *Holder
}

// NewShare returns a share that has nothing until Configure names it.
func (b *Budget) NewShare() *Share { return &Share{b, &Holder{}} }

// Configure sets the total and the quotas of the shares named; the others leave. See QuotaTable.Configure.
func (b *Budget) Configure(total int64, quotas map[*Share]Quota) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	byHolder := make(map[*Holder]Quota, len(quotas))
	for s, q := range quotas {
		byHolder[s.holder] = q
	}
	return b.quotas.Configure(total, byHolder)
}

// Used is how much is taken in all, and the total.
func (b *Budget) Used() (used, total int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quotas.Used(), b.quotas.Total()
}

// Take takes n, or nothing and says false.
func (s *Share) Take(n int64) bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.budget.quotas.Take(s.holder, n) {
		return true
	}
	if s.holder.Max == 0 || s.holder.used+n <= s.holder.Max { // its own maximum is no matter of the others'
		s.budget.denied[s] = struct{}{}
	}
	return false
}

// Give gives back n of what was taken.
func (s *Share) Give(n int64) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.quotas.Give(s.holder, n)
}

// Move has another share of the same budget have n of what was taken; false, and nothing changed, if
// it may not have that.
func (s *Share) Move(to *Share, n int64) bool {
	if to.budget != s.budget {
		return false
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.budget.quotas.Transfer(s.holder, to.holder, n)
}

// Used is what is taken and not given back, Borrowed how much of that lies beyond the minimum.
func (s *Share) Used() (used, borrowed int64) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.holder.Used(), s.holder.Borrowed()
}

// Excess is how much the share should give back if it does not need it: what it has borrowed, if
// another one has been given nothing since ClearDenied.
func (s *Share) Excess() int64 {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	for other := range s.budget.denied {
		if other != s {
			return s.holder.Borrowed()
		}
	}
	return 0
}

// ClearDenied forgets who was given nothing: Excess has been asked for.
func (b *Budget) ClearDenied() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.denied)
}
