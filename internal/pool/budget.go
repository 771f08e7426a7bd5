package pool

import "sync"

// Budget divides an amount of a resource among shares. It wraps a QuotaTable for concurrent use.
type Budget struct {
	mu     sync.Mutex // guards quotas, the holders of all shares, and denied
	quotas *QuotaTable
	denied map[*Share]struct{} // shares whose Take has failed since ClearDenied though within their own maximum
}

// NewBudget returns a budget of the given total, without shares.
func NewBudget(total int64) *Budget {
	return &Budget{quotas: NewQuotaTable(total), denied: map[*Share]struct{}{}}
}

// Share is one pool's part of a budget. It implements engine.SharedLimit.
type Share struct {
	budget *Budget
	holder *Holder
}

// NewShare returns a share of the budget. It has no quota, and so can take nothing, until it is passed to Configure.
func (b *Budget) NewShare() *Share { return &Share{b, &Holder{}} }

// Configure sets the total and the quotas of the given shares, and removes all other shares. See QuotaTable.Configure.
func (b *Budget) Configure(total int64, quotas map[*Share]Quota) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	byHolder := make(map[*Holder]Quota, len(quotas))
	for s, q := range quotas {
		byHolder[s.holder] = q
	}
	return b.quotas.Configure(total, byHolder)
}

// Used returns the amount that all shares together have taken, and the total.
func (b *Budget) Used() (used, total int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quotas.Used(), b.quotas.Total()
}

// Take takes n of the budget, or takes nothing and returns false. It does not block.
func (s *Share) Take(n int64) bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.budget.quotas.Take(s.holder, n) {
		return true
	}
	// A share that is limited by its own maximum would gain nothing if other shares returned what they have borrowed.
	if s.holder.Max == 0 || s.holder.used+n <= s.holder.Max {
		s.budget.denied[s] = struct{}{}
	}
	return false
}

// Give returns n of the amount that the share has taken.
func (s *Share) Give(n int64) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.quotas.Give(s.holder, n)
}

// Transfer transfers n of the amount that the share has taken to another share of the same budget. If the quota of the other
// share does not allow that, it changes nothing and returns false.
func (s *Share) Transfer(to *Share, n int64) bool {
	if to.budget != s.budget {
		return false
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.budget.quotas.Transfer(s.holder, to.holder, n)
}

// Used returns the amount that the share has taken, and the part of it that is borrowed, that is, over its minimum.
func (s *Share) Used() (used, borrowed int64) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.holder.Used(), s.holder.Borrowed()
}

// Excess returns the amount that the share should return if it can: what it has borrowed if another share was denied since
// ClearDenied, and otherwise 0.
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

// ClearDenied resets the record of denied shares. It is to be called after Excess was called for all shares.
func (b *Budget) ClearDenied() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.denied)
}
