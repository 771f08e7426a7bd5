package pool

import (
	"testing"

	"pgregory.net/rapid"
)

// TestQuotasHoldInAnyOrderOfSteps plays any order of take, give, resize, join and leave. Never over the total;
// while no resize has taken a minimum out of what was borrowed, every holder can have its minimum at
// once; and once all is given back nothing is left.
func TestQuotasHoldInAnyOrderOfSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(0, 60).Draw(t, "total")
		l := NewQuotaTable(total)
		staying := map[*Holder]Quota{}
		taken := map[*Holder]int64{} // the model
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
			err := l.Configure(total, quotas)
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
				t.Skip("nobody yet")
			}
			return all[rapid.IntRange(0, len(all)-1).Draw(t, "holder")]
		}
		copyOf := func() map[*Holder]Quota {
			m := map[*Holder]Quota{}
			for h, q := range staying {
				m[h] = q
			}
			return m
		}
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				h, m := &Holder{}, copyOf()
				m[h] = quota(t)
				if reconfigure(t, total, m) {
					staying = m
					all = append(all, h)
				}
			},
			"leave": func(t *rapid.T) {
				h, m := pick(t), copyOf()
				delete(m, h)
				reconfigure(t, total, m)
				staying = m
			},
			"quota": func(t *rapid.T) {
				h, m := pick(t), copyOf()
				if _, is := m[h]; !is {
					t.Skip("has left")
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
				before, reserved := sum(), l.reserved
				q, stays := staying[h]
				got := l.Take(h, n)
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
					t.Fatalf("refused %d more than %d under a minimum of %d; %d of %d taken", n, taken[h], q.Min, before, total)
				}
			},
			"move": func(t *rapid.T) {
				from, to := pick(t), pick(t)
				n := rapid.Int64Range(0, 15).Draw(t, "n")
				if l.Transfer(from, to, n) {
					if taken[from] < n {
						t.Fatalf("moved %d of %d", n, taken[from])
					}
					taken[from] -= n
					taken[to] += n
					if q, stays := staying[to]; stays && q.Max > 0 && n > 0 && from != to && taken[to] > q.Max {
						t.Fatalf("%d moved to a maximum of %d", taken[to], q.Max)
					}
				}
			},
			"give": func(t *rapid.T) {
				h := pick(t)
				n := rapid.Int64Range(0, taken[h]).Draw(t, "n")
				l.Give(h, n)
				taken[h] -= n
			},
			"": func(t *rapid.T) {
				if l.Used() != sum() {
					t.Fatalf("used %d, taken %d", l.Used(), sum())
				}
				var reserved int64
				for h := range l.holders {
					reserved += max(h.used, h.Min)
					if _, stays := staying[h]; !stays && h.used == 0 {
						t.Fatal("a holder that has left and has nothing is kept")
					}
				}
				if reserved != l.reserved {
					t.Fatalf("reserved %d, reckoned %d", l.reserved, reserved)
				}
				// The guarantee itself: while nothing is over-reserved all minima can be had together.
				if l.reserved <= total {
					var missing int64
					for h, q := range staying {
						missing += max(0, q.Min-h.used)
					}
					if l.used+missing > total {
						t.Fatalf("%d used and %d missing of minima, of %d", l.used, missing, total)
					}
				}
			},
		})
		for h, n := range taken {
			l.Give(h, n)
		}
		if l.Used() != 0 {
			t.Fatalf("%d used after all was given back", l.Used())
		}
		if reconfigure(t, total, nil); len(l.holders) != 0 || l.reserved != 0 {
			t.Fatalf("%d holders and %d reserved are left", len(l.holders), l.reserved)
		}
	})
}

// What was borrowed comes back as it is given; until then a raised minimum waits and nobody borrows.
func TestQuotaTableBorrowing(t *testing.T) {
	l, a, b := NewQuotaTable(0), &Holder{}, &Holder{}
	if err := l.Configure(10, map[*Holder]Quota{a: {Min: 2}, b: {Min: 3}}); err != nil {
		t.Fatal(err)
	}
	if !l.Take(a, 7) || l.Take(a, 1) {
		t.Fatal("a may have its 2 and the 5 that are free, no more")
	}
	if a.Borrowed() != 5 {
		t.Errorf("borrowed %d", a.Borrowed())
	}
	if !l.Take(b, 3) || l.Take(b, 1) {
		t.Fatal("b may have its 3, no more")
	}
	if err := l.Configure(10, map[*Holder]Quota{a: {Min: 2}, b: {Min: 6}}); err != nil {
		t.Fatal(err)
	}
	l.Give(a, 1)
	if l.Take(a, 1) {
		t.Error("a borrows while b waits for its minimum")
	}
	if !l.Take(b, 1) || l.Take(b, 1) {
		t.Error("what a gave back is b's")
	}
	l.Give(a, 6)
	if !l.Take(b, 2) {
		t.Error("b has not got its minimum")
	}
	if err := l.Configure(10, map[*Holder]Quota{a: {Min: 5}, b: {Min: 6}}); err != ErrOverTotal {
		t.Errorf("minima over the total: %v", err)
	}
}

func TestQuotaTableMisuse(t *testing.T) {
	l, a := NewQuotaTable(10), &Holder{}
	if l.Take(a, 1) {
		t.Error("a stranger took")
	}
	for _, q := range []Quota{{Min: -1}, {Max: -1}, {Min: 3, Max: 2}} {
		if err := l.Configure(10, map[*Holder]Quota{a: q}); err == nil {
			t.Errorf("%+v accepted", q)
		}
	}
	if err := l.Configure(10, map[*Holder]Quota{a: {}}); err != nil {
		t.Fatal(err)
	}
	if l.Take(a, -1) || l.Take(a, 1<<63-1) {
		t.Error("took less than nothing, or all there is")
	}
	defer func() {
		if recover() == nil {
			t.Error("gave back what was never taken")
		}
	}()
	l.Give(a, 1)
}

// What is borrowed is asked back only while another wants for it.
func TestExcess(t *testing.T) {
	b := NewBudget(10)
	x, y := b.NewShare(), b.NewShare()
	if err := b.Configure(10, map[*Share]Quota{x: {Min: 2}, y: {Min: 2, Max: 4}}); err != nil {
		t.Fatal(err)
	}
	x.Take(8)
	if x.Excess() != 0 {
		t.Error("asked back though nobody wants")
	}
	y.Take(5) // over its own maximum
	x.Take(9) // nobody else
	if x.Excess() != 0 || y.Excess() != 0 {
		t.Error("asked back for what nobody may have, or for oneself")
	}
	if !y.Take(2) || y.Take(1) {
		t.Error("y has its minimum, no more")
	}
	if x.Excess() != 6 {
		t.Errorf("%d asked back, not 6", x.Excess())
	}
	b.ClearDenied()
	if x.Excess() != 0 {
		t.Error("still asked back")
	}
	if used, borrowed := x.Used(); used != 8 || borrowed != 6 {
		t.Errorf("%d used, %d borrowed", used, borrowed)
	}
	if used, total := b.Used(); used != 10 || total != 10 {
		t.Errorf("%d of %d", used, total)
	}
}

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
