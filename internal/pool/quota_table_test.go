package pool

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// Whatever the order of steps: the total is never exceeded, every holder can take its minimum at once unless a Configure has
// raised a minimum while the remainder was lent, and no state remains once everything is returned.
func TestQuotasHoldInAnyOrderOfSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(0, 60).Draw(t, "total")
		table := NewQuotaTable(total)
		staying := map[*Holder]Quota{}
		taken := map[*Holder]int64{} // the reference
		var all []*Holder
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
				t.Fatalf("minima of %d in %d: %v", minima, total, err)
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
		copyOfStaying := func() map[*Holder]Quota {
			m := map[*Holder]Quota{}
			for h, q := range staying {
				m[h] = q
			}
			return m
		}
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				h, m := &Holder{}, copyOfStaying()
				m[h] = quota(t)
				if reconfigure(t, total, m) {
					staying = m
					all = append(all, h)
				}
			},
			"leave": func(t *rapid.T) {
				h, m := pick(t), copyOfStaying()
				delete(m, h)
				reconfigure(t, total, m)
				staying = m
			},
			"quota": func(t *rapid.T) {
				h, m := pick(t), copyOfStaying()
				if _, is := m[h]; !is {
					t.Skip("was removed")
				}
				m[h] = quota(t)
				if reconfigure(t, total, m) {
					staying = m
				}
			},
			"total": func(t *rapid.T) {
				n := rapid.Int64Range(0, 60).Draw(t, "total")
				if reconfigure(t, n, staying) {
					total = n
				}
			},
			"take": func(t *rapid.T) {
				h, n := pick(t), rapid.Int64Range(0, 15).Draw(t, "n")
				before, reserved := sum(), table.reserved
				q, stays := staying[h]
				got := table.Take(h, n)
				if got {
					taken[h] += n
					if sum() > total && n > 0 {
						t.Fatalf("%d taken of %d", sum(), total)
					}
					if q.Max > 0 && stays && taken[h] > q.Max {
						t.Fatalf("%d taken with a maximum of %d", taken[h], q.Max)
					}
				}
				if stays && !got && taken[h]+n <= q.Min && reserved <= total {
					t.Fatalf("%d more than %d denied, under the minimum of %d; %d of %d taken", n, taken[h], q.Min, before, total)
				}
			},
			"move": func(t *rapid.T) {
				from, to := pick(t), pick(t)
				n := rapid.Int64Range(0, 15).Draw(t, "n")
				if table.Transfer(from, to, n) {
					if taken[from] < n {
						t.Fatalf("transferred %d of %d", n, taken[from])
					}
					taken[from] -= n
					taken[to] += n
					if q, stays := staying[to]; stays && q.Max > 0 && n > 0 && from != to && taken[to] > q.Max {
						t.Fatalf("%d after a transfer, over the maximum of %d", taken[to], q.Max)
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
					t.Fatalf("used %d, taken %d", table.Used(), sum())
				}
				var reserved int64
				for h := range table.holders {
					reserved += max(h.used, h.Min)
					if _, stays := staying[h]; !stays && h.used == 0 {
						t.Fatal("a holder that was removed and has nothing is kept")
					}
				}
				if reserved != table.reserved {
					t.Fatalf("reserved %d, the table has %d", table.reserved, reserved)
				}
				// While reserved is within the total, all holders can take their minima at once.
				if table.reserved <= total {
					var missing int64
					for h, q := range staying {
						missing += max(0, q.Min-h.used)
					}
					if table.used+missing > total {
						t.Fatalf("%d used and %d missing to the minima, of %d", table.used, missing, total)
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

// A raised minimum is met once enough of what was lent is returned; until then nobody can borrow.
func TestQuotaTableBorrowing(t *testing.T) {
	table, a, b := NewQuotaTable(0), &Holder{}, &Holder{}
	if err := table.Configure(10, map[*Holder]Quota{a: {Min: 2}, b: {Min: 3}}); err != nil {
		t.Fatal(err)
	}
	if !table.Take(a, 7) || table.Take(a, 1) {
		t.Fatal("a can take its minimum of 2 and borrow 5, no more")
	}
	if a.Borrowed() != 5 {
		t.Errorf("borrowed %d", a.Borrowed())
	}
	if !table.Take(b, 3) || table.Take(b, 1) {
		t.Fatal("b can take its minimum of 3, no more")
	}
	if err := table.Configure(10, map[*Holder]Quota{a: {Min: 2}, b: {Min: 6}}); err != nil {
		t.Fatal(err)
	}
	table.Give(a, 1)
	if table.Take(a, 1) {
		t.Error("a borrows while b waits for its minimum")
	}
	if !table.Take(b, 1) || table.Take(b, 1) {
		t.Error("b can take exactly what a has returned")
	}
	table.Give(a, 6)
	if !table.Take(b, 2) {
		t.Error("b can't take its minimum")
	}
	if err := table.Configure(10, map[*Holder]Quota{a: {Min: 5}, b: {Min: 6}}); !errors.Is(err, ErrOverTotal) {
		t.Errorf("minima over the total: %v", err)
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
			t.Errorf("%+v is accepted", q)
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
			t.Error("no panic after the return of more than was taken")
		}
	}()
	table.Give(a, 1)
}

// A share has an excess only after another share was denied for lack of it.
func TestExcess(t *testing.T) {
	b := NewBudget(10)
	lent, other := b.NewShare(), b.NewShare()
	if err := b.Configure(10, map[*Share]Quota{lent: {Min: 2}, other: {Min: 2, Max: 4}}); err != nil {
		t.Fatal(err)
	}
	lent.Take(8)
	if lent.Excess() != 0 {
		t.Error("excess though nobody was denied")
	}
	other.Take(5) // denied by its own maximum
	lent.Take(9)  // denied, but nobody else was
	if lent.Excess() != 0 || other.Excess() != 0 {
		t.Error("excess though no other share was denied for lack of it")
	}
	if !other.Take(2) || other.Take(1) {
		t.Error("the other share can take its minimum, no more")
	}
	if lent.Excess() != 6 {
		t.Errorf("excess of %d, want 6", lent.Excess())
	}
	b.ClearDenied()
	if lent.Excess() != 0 {
		t.Error("excess after ClearDenied")
	}
	if used, borrowed := lent.Used(); used != 8 || borrowed != 6 {
		t.Errorf("%d used, %d borrowed", used, borrowed)
	}
	if used, total := b.Used(); used != 10 || total != 10 {
		t.Errorf("%d of %d used", used, total)
	}
}

// BenchmarkShare measures Take and Give of one share among many.
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
