package pool

import "sync"

// Budget is a QuotaTable that many goroutines may use.
type Budget struct {
	mu     sync.Mutex // guards quotas, every holder of it, and denied
	quotas *QuotaTable
	denied map[*Share]struct{} // whose Take has failed since ClearDenied, by the lack of others' quota
}

// NewBudget returns a budget with that total and no shares.
func NewBudget(total int64) *Budget {
	return &Budget{quotas: NewQuotaTable(total), denied: map[*Share]struct{}{}}
}

// Share is one pool's part of a budget. It implements engine.SharedLimit.
type Share struct {
	budget *Budget
	holder *Holder
}

// NewShare returns a share without a quota, until Configure names it.
func (b *Budget) NewShare() *Share { return &Share{b, &Holder{}} }

// Configure sets the total and the quotas of the given shares; all others are removed. See QuotaTable.Configure.
func (b *Budget) Configure(total int64, quotas map[*Share]Quota) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	byHolder := make(map[*Holder]Quota, len(quotas))
	for s, q := range quotas {
		byHolder[s.holder] = q
	}
	return b.quotas.Configure(total, byHolder)
}

// Used returns how much is taken by all shares, and the total.
func (b *Budget) Used() (used, total int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quotas.Used(), b.quotas.Total()
}

// Take takes n, or takes nothing and returns false. It does not block.
func (s *Share) Take(n int64) bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.budget.quotas.Take(s.holder, n) {
		return true
	}
	if s.holder.Max == 0 || s.holder.used+n <= s.holder.Max { // over its own maximum nothing that others return would help
		s.budget.denied[s] = struct{}{}
	}
	return false
}

// Give returns n of what was taken.
func (s *Share) Give(n int64) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.quotas.Give(s.holder, n)
}

// Transfer transfers n of what was taken to another share of the same budget. It returns false, and changes nothing, if the
// other share may not have that much.
func (s *Share) Transfer(to *Share, n int64) bool {
	if to.budget != s.budget {
		return false
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.budget.quotas.Transfer(s.holder, to.holder, n)
}

// Used returns how much the share has taken, and how much of that is borrowed: over its minimum.
func (s *Share) Used() (used, borrowed int64) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.holder.Used(), s.holder.Borrowed()
}

// Excess is how much the share should return if it can: what it has borrowed, if another share has been denied since
// ClearDenied.
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

// ClearDenied forgets which shares were denied. It is called after each round of Excess.
func (b *Budget) ClearDenied() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.denied)
}
