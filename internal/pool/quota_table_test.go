package pool

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// For random sequences of operations: no Take exceeds the total, every holder can take its minimum immediately unless a
// Configure has put reserved over the total, and no state remains once everything is returned.
func TestQuotaTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(0, 60).Draw(t, "total")
		table := NewQuotaTable(total)
		configured := map[*Holder]Quota{} // holders of the latest Configure
		taken := map[*Holder]int64{}      // reference model of what each holder has taken
		var all []*Holder                 // with removed ones
		sum := func() (n int64) {
			for _, v := range taken {
				n += v
			}
			return n
		}
		reconfigure := func(t *rapid.T, total int64, quotas map[*Holder]Quota) bool {
			var minima int64
			for _, q := range quotas {
				minima += q.Min
			}
			err := table.Configure(total, quotas)
			if (err == nil) != (minima <= total) {
				t.Fatalf("Configure with minima of %d together and a total of %d: error %v", minima, total, err)
			}
			return err == nil
		}
		quota := func(t *rapid.T) Quota {
			q := Quota{Min: rapid.Int64Range(0, 20).Draw(t, "min")}
			if rapid.Bool().Draw(t, "limited") {
				q.Max = q.Min + rapid.Int64Range(0, 30).Draw(t, "over") + 1
			}
			return q
		}
		pick := func(t *rapid.T) *Holder {
			if len(all) == 0 {
				t.Skip("no holder yet")
			}
			return all[rapid.IntRange(0, len(all)-1).Draw(t, "holder")]
		}
		copyOfConfigured := func() map[*Holder]Quota {
			m := map[*Holder]Quota{}
			for h, q := range configured {
				m[h] = q
			}
			return m
		}
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				h, m := &Holder{}, copyOfConfigured()
				m[h] = quota(t)
				if reconfigure(t, total, m) {
					configured = m
					all = append(all, h)
				}
			},
			"leave": func(t *rapid.T) {
				h, m := pick(t), copyOfConfigured()
				delete(m, h)
				reconfigure(t, total, m)
				configured = m
			},
			"quota": func(t *rapid.T) {
				h, m := pick(t), copyOfConfigured()
				if _, ok := m[h]; !ok {
					t.Skip("the holder was removed")
				}
				m[h] = quota(t)
				if reconfigure(t, total, m) {
					configured = m
				}
			},
			"total": func(t *rapid.T) {
				n := rapid.Int64Range(0, 60).Draw(t, "total")
				if reconfigure(t, n, configured) {
					total = n
				}
			},
			"take": func(t *rapid.T) {
				h, n := pick(t), rapid.Int64Range(0, 15).Draw(t, "n")
				before, reserved := sum(), table.reserved
				q, isConfigured := configured[h]
				got := table.Take(h, n)
				if got {
					taken[h] += n
					if sum() > total && n > 0 {
						t.Fatalf("%d taken, over the total of %d", sum(), total)
					}
					if q.Max > 0 && isConfigured && taken[h] > q.Max {
						t.Fatalf("%d taken by a holder with a maximum of %d", taken[h], q.Max)
					}
				}
				if isConfigured && !got && taken[h]+n <= q.Min && reserved <= total {
					t.Fatalf("Take of %d denied to a holder of %d with a minimum of %d; %d of %d taken", n, taken[h], q.Min, before, total)
				}
			},
			"move": func(t *rapid.T) {
				from, to := pick(t), pick(t)
				n := rapid.Int64Range(0, 15).Draw(t, "n")
				if table.Transfer(from, to, n) {
					if taken[from] < n {
						t.Fatalf("transferred %d of %d taken", n, taken[from])
					}
					taken[from] -= n
					taken[to] += n
					if q, isConfigured := configured[to]; isConfigured && q.Max > 0 && n > 0 && from != to && taken[to] > q.Max {
						t.Fatalf("the receiver of a transfer has %d, over its maximum of %d", taken[to], q.Max)
					}
				}
			},
			"give": func(t *rapid.T) {
				h := pick(t)
				n := rapid.Int64Range(0, taken[h]).Draw(t, "n")
				table.Give(h, n)
				taken[h] -= n
			},
			"": func(t *rapid.T) {
				if table.Used() != sum() {
					t.Fatalf("the table has %d as used, want %d", table.Used(), sum())
				}
				var reserved int64
				for h := range table.holders {
					reserved += max(h.used, h.Min)
					if _, isConfigured := configured[h]; !isConfigured && h.used == 0 {
						t.Fatal("a removed holder that has returned everything is still in the table")
					}
				}
				if reserved != table.reserved {
					t.Fatalf("the table has %d as reserved, want %d", table.reserved, reserved)
				}
				// While reserved is within the total, all holders can take their minima at once.
				if table.reserved <= total {
					var missing int64
					for h, q := range configured {
						missing += max(0, q.Min-h.used)
					}
					if table.used+missing > total {
						t.Fatalf("%d used and %d missing to the minima exceed the total of %d", table.used, missing, total)
					}
				}
			},
		})
		for h, n := range taken {
			table.Give(h, n)
		}
		if table.Used() != 0 {
			t.Fatalf("%d used after everything was returned", table.Used())
		}
		if reconfigure(t, total, nil); len(table.holders) != 0 || table.reserved != 0 {
			t.Fatalf("%d holders and %d reserved are left", len(table.holders), table.reserved)
		}
	})
}

// After a minimum was raised while the remainder is lent, no holder can borrow until enough is returned for the new
// minimum.
func TestQuotaTableBorrowing(t *testing.T) {
	table, a, b := NewQuotaTable(0), &Holder{}, &Holder{}
	if err := table.Configure(10, map[*Holder]Quota{a: {Min: 2}, b: {Min: 3}}); err != nil {
		t.Fatal(err)
	}
	if !table.Take(a, 7) || table.Take(a, 1) {
		t.Fatal("a must be able to take its minimum of 2 and borrow 5, and no more")
	}
	if a.Borrowed() != 5 {
		t.Errorf("a has borrowed %d, want 5", a.Borrowed())
	}
	if !table.Take(b, 3) || table.Take(b, 1) {
		t.Fatal("b must be able to take its minimum of 3, and no more")
	}
	if err := table.Configure(10, map[*Holder]Quota{a: {Min: 2}, b: {Min: 6}}); err != nil {
		t.Fatal(err)
	}
	table.Give(a, 1)
	if table.Take(a, 1) {
		t.Error("a can borrow while b can't take its minimum")
	}
	if !table.Take(b, 1) || table.Take(b, 1) {
		t.Error("b must be able to take exactly what a has returned")
	}
	table.Give(a, 6)
	if !table.Take(b, 2) {
		t.Error("b can't take its minimum")
	}
	if err := table.Configure(10, map[*Holder]Quota{a: {Min: 5}, b: {Min: 6}}); !errors.Is(err, ErrOverTotal) {
		t.Errorf("Configure with minima over the total: error %v, want ErrOverTotal", err)
	}
}

// Invalid quotas and amounts are rejected, and returning more than was taken panics.
func TestQuotaTableMisuse(t *testing.T) {
	table, a := NewQuotaTable(10), &Holder{}
	if table.Take(a, 1) {
		t.Error("a holder that is not in the table can take")
	}
	for _, q := range []Quota{{Min: -1}, {Max: -1}, {Min: 3, Max: 2}} {
		if err := table.Configure(10, map[*Holder]Quota{a: q}); err == nil {
			t.Errorf("Configure accepts the quota %+v", q)
		}
	}
	if err := table.Configure(10, map[*Holder]Quota{a: {}}); err != nil {
		t.Fatal(err)
	}
	if table.Take(a, -1) || table.Take(a, 1<<63-1) {
		t.Error("a negative amount, or one that overflows, can be taken")
	}
	defer func() {
		if recover() == nil {
			t.Error("Give of more than was taken does not panic")
		}
	}()
	table.Give(a, 1)
}

// A share has an excess only after another share was denied within its own maximum.
func TestShareExcess(t *testing.T) {
	b := NewBudget(10)
	borrower, other := b.NewShare(), b.NewShare()
	if err := b.Configure(10, map[*Share]Quota{borrower: {Min: 2}, other: {Min: 2, Max: 4}}); err != nil {
		t.Fatal(err)
	}
	borrower.Take(8)
	if borrower.Excess() != 0 {
		t.Error("excess though no share was denied")
	}
	other.Take(5)    // denied by its own maximum
	borrower.Take(9) // denied, but no other share was
	if borrower.Excess() != 0 || other.Excess() != 0 {
		t.Error("excess though no other share was denied within its own maximum")
	}
	if !other.Take(2) || other.Take(1) {
		t.Error("the other share must be able to take its minimum, and no more")
	}
	if borrower.Excess() != 6 {
		t.Errorf("excess of %d, want 6", borrower.Excess())
	}
	b.ClearDenied()
	if borrower.Excess() != 0 {
		t.Error("excess after ClearDenied")
	}
	if used, borrowed := borrower.Used(); used != 8 || borrowed != 6 {
		t.Errorf("the share has used %d and borrowed %d, want 8 and 6", used, borrowed)
	}
	if used, total := b.Used(); used != 10 || total != 10 {
		t.Errorf("%d of %d of the budget used, want 10 of 10", used, total)
	}
}

// BenchmarkShare measures Take and Give of a share of a budget with many shares.
func BenchmarkShare(b *testing.B) {
	budget := NewBudget(1000)
	quotas := map[*Share]Quota{}
	for range 200 {
		quotas[budget.NewShare()] = Quota{Min: 2}
	}
	s := budget.NewShare()
	quotas[s] = Quota{}
	if err := budget.Configure(1000, quotas); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		s.Take(1)
		s.Give(1)
	}
}
