package zone

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// leaseMachine drives a Budget whose process saves leases to a disk and crashes. It independently counts what is spent by
// all the processes.
type leaseMachine struct {
	limit  Limit
	budget *Budget
	now    time.Duration
	disk   *Usage // nil: empty
	spent  [periodCount]map[int64]amount
}

// start starts a process from the state on the disk.
func (m *leaseMachine) start() {
	m.budget = NewBudget(m.limit)
	if m.disk != nil {
		m.budget.Restore(*m.disk)
	}
	m.budget.RequireLease()
	m.save(true)
}

func (m *leaseMachine) save(succeeds bool) {
	lease := m.budget.PrepareLease(m.now)
	if succeeds {
		m.disk = &lease
		m.budget.ConfirmLease(lease)
	}
}

func (m *leaseMachine) spend(size int64) {
	r, ok := m.budget.Reserve(m.now, "", size, false)
	if !ok {
		return
	}
	used := amount{requests: 1, bytes: size + m.limit.ResponseBytes}
	for p, length := range periodLengths {
		number := int64(m.now / length)
		m.spent[p][number] = m.spent[p][number].plus(used)
	}
	m.budget.Settle(m.now, r, used.requests, used.bytes)
}

func (m *leaseMachine) check(t *rapid.T) {
	for p := range periodLengths {
		limit := m.budget.limit(period(p), false)
		for number, spent := range m.spent[p] {
			if limit.requests > 0 && spent.requests > limit.requests || limit.bytes > 0 && spent.bytes > limit.bytes {
				t.Fatalf("period %d of %v: %+v spent, the limit is %+v", number, periodLengths[p], spent, m.limit)
			}
		}
	}
}

// The total spent by any number of processes never exceeds the limit, wherever a crash occurs: between two saves, just after
// one, before or after the end of a period. A failed save grants nothing.
func TestLeaseProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &leaseMachine{
			limit: Limit{
				RequestsHour: int64(rapid.IntRange(0, 60).Draw(t, "rh")), RequestsDay: int64(rapid.IntRange(0, 200).Draw(t, "rd")),
				BytesHour: int64(rapid.IntRange(0, 9000).Draw(t, "bh")), BytesDay: int64(rapid.IntRange(0, 20000).Draw(t, "bd")),
				ResponseBytes: 100,
			},
			now:   100 * dayLength,
			spent: [periodCount]map[int64]amount{{}, {}},
		}
		m.start()
		steps := []string{"take", "take", "take", "take", "write", "write", "fails", "crash", "hour"}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.SampledFrom(steps).Draw(t, "step") {
			case "take":
				m.spend(int64(rapid.IntRange(0, 300).Draw(t, "size")))
			case "write":
				m.save(true)
			case "fails":
				m.save(false)
			case "crash":
				m.start()
			case "hour":
				m.now += time.Duration(rapid.IntRange(1, 90).Draw(t, "minutes")) * time.Minute
			}
			m.check(t)
		}
	})
}

// Without crashes leases don't restrict traffic: with a save every second all of the limit can be spent, and no request is
// denied at the start of an hour.
func TestLeasesAllowSpendingTheWholeLimit(t *testing.T) {
	b := NewBudget(Limit{RequestsHour: 1000})
	b.RequireLease()
	now := 500*time.Hour + 59*time.Minute + 50*time.Second
	b.ConfirmLease(b.PrepareLease(now))
	for _, want := range []int64{1000, 1000} { // the last ten seconds of an hour, and the first ten of the next
		spent, deniedBeforeFirst := int64(0), 0
		for second := range 10 {
			for range 200 {
				if r, ok := b.Reserve(now, "", 0, false); ok {
					b.Settle(now, r, 1, 0)
					spent++
				} else if second == 0 && spent == 0 {
					deniedBeforeFirst++
				}
			}
			b.ConfirmLease(b.PrepareLease(now))
			now += time.Second
		}
		if spent != want || deniedBeforeFirst > 0 {
			t.Errorf("%d of 1,000 spent, %d denied before the first", spent, deniedBeforeFirst)
		}
	}
}
