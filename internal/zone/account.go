package zone

import (
	"cmp"
	"slices"
	"time"
)

// Key identifies a row of the account. The names of its fields are stored data.
type Key struct {
	Day      int64 // days since 1970-01-01 UTC
	Pair     Pair
	Pool     string
	Class    string
	Customer string // empty if not known
}

// Traffic counts the attempts whose request was written completely. The names of its fields are stored data.
type Traffic struct {
	Requests int64
	Out, In  int64 // body bytes of requests sent, and of responses received
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

// OtherCustomers stands for all further customers of a day once it has maxCustomers.
const OtherCustomers = "(others)"

// Bounds of an account. Customer names come from clients, so their number must be bounded; pools and classes are
// configured, and MaxZones bounds the zones.
const (
	maxCustomers  = 256
	retentionDays = 40
)

// Account adds up traffic by day, pair of zones, pool, class and customer. It is not safe for concurrent use; Accounting guards
// it.
type Account struct {
	rows      map[Key]*Traffic
	customers map[int64]map[string]bool // with rows of their own, by day
	changed   map[Key]bool              // rows changed since the last TakeChanges
	latestDay int64
}

// NewAccount returns an empty account.
func NewAccount() *Account {
	return &Account{rows: map[Key]*Traffic{}, customers: map[int64]map[string]bool{}, changed: map[Key]bool{}}
}

// DayOf returns the day of a Unix time, in days since 1970-01-01 UTC.
func DayOf(now time.Duration) int64 { return int64(now / (24 * time.Hour)) }

// Add adds traffic under a key, whose day it sets to that of now, a Unix time. If the clock has
// stepped back to an earlier day, the latest day seen is used, so that the totals of a past day never change.
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

// boundedCustomer returns the name under which a customer is accounted: its own, or OtherCustomers if the day has too many.
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

// OldestDay returns the first day that is retained.
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

// Rows returns all rows in report order.
func (a *Account) Rows() []Row { return sortedRows(a.rows) }

// TakeChanges returns the rows that changed since the last call, with their totals, in no particular order.
func (a *Account) TakeChanges() []Row {
	rows := make([]Row, 0, len(a.changed))
	for key := range a.changed {
		rows = append(rows, Row{Key: key, Traffic: *a.rows[key]})
	}
	clear(a.changed)
	return rows
}

// MarkChanged marks rows returned by TakeChanges as changed again. Rows that have expired since are ignored.
func (a *Account) MarkChanged(rows []Row) {
	for _, row := range rows {
		if a.rows[row.Key] != nil {
			a.changed[row.Key] = true
		}
	}
}

// sortedRows returns totals as rows in report order.
func sortedRows(totals map[Key]*Traffic) []Row {
	rows := make([]Row, 0, len(totals))
	for key, total := range totals {
		rows = append(rows, Row{Key: key, Traffic: *total})
	}
	SortRows(rows)
	return rows
}

// SortRows sorts rows into report order: by day, pool, pair of zones, class and customer.
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

// Aggregate adds up the rows whose keys group maps to the same key, and returns the sums in report order.
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
