package zone

import (
	"cmp"
	"slices"
	"time"
)

// Key is what traffic is accounted by. The names of its fields are stored data.
type Key struct {
	Day      int64 // since 1970, UTC
	Pair     Pair
	Pool     string
	Class    string
	Customer string // empty if not known
}

// Traffic counts the attempts whose request was written completely. The names of its fields are stored data.
type Traffic struct {
	Requests int64
	Out, In  int64 // bytes of the bodies of requests that were sent, and of responses that were read
}

// add adds other traffic.
func (t *Traffic) add(other Traffic) {
	t.Requests += other.Requests
	t.Out += other.Out
	t.In += other.In
}

// Row is a line of an account.
type Row struct {
	Key
	Traffic
}

// OtherCustomers is accounted in place of further customers once a day has maxCustomers of them.
const OtherCustomers = "(others)"

// Bounds of an account. Customers come from clients, so their number needs a bound; pools and classes are the operator's, and
// zones are bounded by MaxZones.
const (
	maxCustomers  = 256
	retentionDays = 40
)

// Account adds up traffic by day, pair of zones, pool, class and customer. It is not safe for concurrent use; Accounting guards
// it.
type Account struct {
	rows      map[Key]*Traffic
	customers map[int64]map[string]bool // that are told apart, by day
	changed   map[Key]bool              // rows that were not taken since
	latestDay int64
}

// NewAccount returns an empty account.
func NewAccount() *Account {
	return &Account{rows: map[Key]*Traffic{}, customers: map[int64]map[string]bool{}, changed: map[Key]bool{}}
}

// DayOf is the day of a Unix time.
func DayOf(now time.Duration) int64 { return int64(now / (24 * time.Hour)) }

// Add adds traffic under a key, whose day it sets to that of now, a Unix time. If the clock has gone back past the end of a
// day it is the latest day that was seen, so that no day that was reported grows again.
func (a *Account) Add(now time.Duration, key Key, traffic Traffic) {
	key.Day = max(DayOf(now), a.latestDay)
	if key.Day > a.latestDay {
		a.latestDay = key.Day
		a.dropExpired()
	}
	a.add(key, traffic)
}

// add adds traffic under a key whose day is set, and marks the row as changed.
func (a *Account) add(key Key, traffic Traffic) {
	key.Customer = a.boundedCustomer(key.Day, key.Customer)
	total := a.rows[key]
	if total == nil {
		total = &Traffic{}
		a.rows[key] = total
	}
	total.add(traffic)
	a.changed[key] = true
}

// boundedCustomer is the name that a customer is accounted under: its own, or OtherCustomers if the day has too many.
func (a *Account) boundedCustomer(day int64, customer string) string {
	if customer == "" || customer == OtherCustomers {
		return customer
	}
	known := a.customers[day]
	if known == nil {
		known = map[string]bool{}
		a.customers[day] = known
	}
	if !known[customer] {
		if len(known) >= maxCustomers {
			return OtherCustomers
		}
		known[customer] = true
	}
	return customer
}

// OldestDay is the first day that is kept.
func (a *Account) OldestDay() int64 { return max(0, a.latestDay-retentionDays+1) }

// dropExpired drops the days before OldestDay.
func (a *Account) dropExpired() {
	for key := range a.rows {
		if key.Day <= a.latestDay-retentionDays {
			delete(a.rows, key)
			delete(a.changed, key)
		}
	}
	for day := range a.customers {
		if day <= a.latestDay-retentionDays {
			delete(a.customers, day)
		}
	}
}

// Restore adds rows that were saved before a restart. They do not count as changed.
func (a *Account) Restore(rows []Row) {
	for _, row := range rows {
		a.latestDay = max(a.latestDay, row.Day)
	}
	for _, row := range rows {
		if row.Day > a.latestDay-retentionDays {
			a.add(row.Key, row.Traffic)
		}
	}
	clear(a.changed)
}

// Rows are all rows in the order of reports.
func (a *Account) Rows() []Row { return sortedRows(a.rows) }

// TakeChanges returns the rows that changed since it was last called, with their totals, in no order.
func (a *Account) TakeChanges() []Row {
	rows := make([]Row, 0, len(a.changed))
	for key := range a.changed {
		rows = append(rows, Row{Key: key, Traffic: *a.rows[key]})
	}
	clear(a.changed)
	return rows
}

// MarkChanged makes rows that TakeChanges returned count as changed again. Rows that have expired since are ignored.
func (a *Account) MarkChanged(rows []Row) {
	for _, row := range rows {
		if a.rows[row.Key] != nil {
			a.changed[row.Key] = true
		}
	}
}

// sortedRows returns totals as rows in the order of reports.
func sortedRows(totals map[Key]*Traffic) []Row {
	rows := make([]Row, 0, len(totals))
	for key, total := range totals {
		rows = append(rows, Row{Key: key, Traffic: *total})
	}
	SortRows(rows)
	return rows
}

// SortRows puts rows into the order of reports.
func SortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(a.Day, b.Day),
			cmp.Compare(a.Pool, b.Pool),
			cmp.Compare(a.Pair.From, b.Pair.From),
			cmp.Compare(a.Pair.To, b.Pair.To),
			cmp.Compare(a.Class, b.Class),
			cmp.Compare(a.Customer, b.Customer),
		)
	})
}

// Aggregate adds up the rows whose keys group maps to the same key, and returns them in the order of reports.
func Aggregate(rows []Row, group func(Key) Key) []Row {
	totals := map[Key]*Traffic{}
	for _, row := range rows {
		key := group(row.Key)
		total := totals[key]
		if total == nil {
			total = &Traffic{}
			totals[key] = total
		}
		total.add(row.Traffic)
	}
	return sortedRows(totals)
}
