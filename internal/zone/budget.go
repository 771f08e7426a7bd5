package zone

import (
	"fmt"
	"slices"
	"time"
)

// Limit is the budget of a pair of zones. A limit of 0 means unlimited. Bytes count the bodies of requests and
// responses.
type Limit struct {
	Pair                      Pair
	RequestsHour, RequestsDay int64
	BytesHour, BytesDay       int64
	ExemptClasses             []string // may cross even when the budget is exhausted
	OutageShare               float64  // share of each limit that is added to it while the client's zone has failed
	ResponseBytes             int64    // reserved for a response; default 64 KiB
}

// period is a calendar period in UTC to which limits apply.
type period int

const (
	hour period = iota
	day
	periodCount
)

// periodLengths are the lengths of the periods.
var periodLengths = [periodCount]time.Duration{hour: time.Hour, day: 24 * time.Hour}

// defaultResponseBytes is the default reservation for a response: the longest body that the protocol allows.
const defaultResponseBytes = 64 << 10

// amount is a number of requests and body bytes.
type amount struct{ requests, bytes int64 }

// plus returns the sum of two amounts.
func (a amount) plus(b amount) amount {
	return amount{requests: a.requests + b.requests, bytes: a.bytes + b.bytes}
}

// minus returns the difference of two amounts.
func (a amount) minus(b amount) amount {
	return amount{requests: a.requests - b.requests, bytes: a.bytes - b.bytes}
}

// exceeds reports whether an amount is over a ceiling, in requests or bytes. A unit without a limit is not checked.
func (a amount) exceeds(limit, ceiling amount) bool {
	return limit.requests > 0 && a.requests > ceiling.requests || limit.bytes > 0 && a.bytes > ceiling.bytes
}

// Budget limits the traffic of a pair of zones in the current hour and day. A request counts once for a pair, however many
// attempts it makes there; its bytes count for each attempt. Both are reserved before the request may cross:
// its body for each possible attempt, and one response of Limit.ResponseBytes. The reservation is
// settled when the request ends. Only longer responses and exempt classes can exceed the limit.
//
// Times are Unix times. If the clock steps back, an earlier period is not reopened: the latest period seen stays current
// until the clock has passed it. A Budget is not safe for concurrent use; Accounting guards it.
type Budget struct {
	Limit
	currentPeriods [periodCount]int64 // numbers of the current periods since 1970
	spent          [periodCount]amount
	reserved       [periodCount]amount

	// If leaseRequired is set, only leased amounts may be spent. A lease is saved before it is used, and all of it counts
	// as spent after a crash, so the limit is never exceeded, however often the process crashes.
	leaseRequired bool
	leased        [periodCount]amount // for the current periods
	nextLeased    [periodCount]amount // for the periods after them
	nextSpent     [periodCount]amount // what an earlier process may have spent in the periods after them
	demand        amount              // reserved, or denied by the lease alone, since the latest PrepareLease
}

// Lower bounds of what a lease grants beyond what is already spent.
const (
	leaseDivisor     = 50 // a 50th of each limit,
	leaseMinRequests = 4  // and at least a few requests
)

// NewBudget returns an unspent budget.
func NewBudget(limit Limit) *Budget {
	if limit.ResponseBytes == 0 {
		limit.ResponseBytes = defaultResponseBytes
	}
	return &Budget{Limit: limit}
}

// Usage is the stored form of what was spent or leased of a budget. The names of its fields are stored data.
type Usage struct {
	Pair      Pair
	Hour, Day int64 // numbers of the periods since 1970
	// Spent, or leased, in that hour and day.
	Requests, Bytes [periodCount]int64
	// Leased for the next hour and day.
	NextRequests, NextBytes [periodCount]int64
}

// periods returns the numbers of the hour and day of the usage.
func (u Usage) periods() [periodCount]int64 { return [periodCount]int64{hour: u.Hour, day: u.Day} }

// amount returns what was spent or is leased in period p, hour or day.
func (u Usage) amount(p int) amount { return amount{requests: u.Requests[p], bytes: u.Bytes[p]} }

// nextAmount returns what is leased for the period that follows.
func (u Usage) nextAmount(p int) amount {
	return amount{requests: u.NextRequests[p], bytes: u.NextBytes[p]}
}

// Usage returns what is spent. Reservations count as spent, since the open requests of a process that dies may have been
// sent.
func (b *Budget) Usage() Usage {
	usage := Usage{Pair: b.Pair, Hour: b.currentPeriods[hour], Day: b.currentPeriods[day]}
	for p := range periodLengths {
		total := b.spent[p].plus(b.reserved[p])
		usage.Requests[p], usage.Bytes[p] = total.requests, total.bytes
	}
	return usage
}

// Restore adds what was spent before a restart. Usage of past periods is ignored.
func (b *Budget) Restore(usage Usage) {
	for p, number := range usage.periods() {
		switch {
		case number > b.currentPeriods[p]:
			b.currentPeriods[p] = number
			b.spent[p] = usage.amount(p)
			b.nextSpent[p] = usage.nextAmount(p)
		case number == b.currentPeriods[p]:
			b.spent[p] = b.spent[p].plus(usage.amount(p))
		}
	}
}

// RequireLease restricts spending to the lease granted by ConfirmLease from now on.
func (b *Budget) RequireLease() { b.leaseRequired = true }

// PrepareLease returns a lease that the caller has to save and pass to ConfirmLease: what is spent and reserved, plus an
// allowance until the next call. The allowance is twice the demand since the previous call, within bounds.
func (b *Budget) PrepareLease(now time.Duration) Usage {
	b.advancePeriods(now)
	lease := b.Usage()
	for p := range periodLengths {
		limit := b.limit(period(p), true)
		requests := max(limit.requests/leaseDivisor, 2*b.demand.requests, leaseMinRequests)
		bytes := max(limit.bytes/leaseDivisor, 2*b.demand.bytes, leaseMinRequests*b.ResponseBytes)
		lease.Requests[p] = max(lease.Requests[p], min(limit.requests, lease.Requests[p]+requests))
		lease.Bytes[p] = max(lease.Bytes[p], min(limit.bytes, lease.Bytes[p]+bytes))
		next := b.nextSpent[p]
		lease.NextRequests[p] = max(next.requests, min(limit.requests, next.requests+requests))
		lease.NextBytes[p] = max(next.bytes, min(limit.bytes, next.bytes+bytes))
	}
	b.demand = amount{}
	return lease
}

// ConfirmLease grants a lease that PrepareLease returned. The caller must have saved it.
func (b *Budget) ConfirmLease(lease Usage) {
	for p, number := range lease.periods() {
		switch number {
		case b.currentPeriods[p]:
			b.leased[p] = lease.amount(p)
			b.nextLeased[p] = lease.nextAmount(p)
		case b.currentPeriods[p] - 1: // the period ended while the lease was being saved
			granted := lease.nextAmount(p)
			b.leased[p].requests = max(b.leased[p].requests, granted.requests)
			b.leased[p].bytes = max(b.leased[p].bytes, granted.bytes)
		}
	}
}

// advancePeriods starts new periods once the clock has passed the current ones. Reservations made in a past period count
// as spent in that period.
func (b *Budget) advancePeriods(now time.Duration) {
	for p, length := range periodLengths {
		number := int64(now / length)
		if number <= b.currentPeriods[p] {
			continue
		}
		if number > b.currentPeriods[p]+1 { // a period was skipped: the amounts for the next one don't apply
			b.nextSpent[p] = amount{}
			b.nextLeased[p] = amount{}
		}
		b.currentPeriods[p] = number
		b.spent[p] = b.nextSpent[p]
		b.reserved[p] = amount{}
		b.leased[p] = b.nextLeased[p]
		b.nextSpent[p] = amount{}
		b.nextLeased[p] = amount{}
	}
}

// Reservation is the part of a budget that is set aside for a request until it ends. The zero value reserves nothing.
type Reservation struct {
	periods [periodCount]int64 // numbers of the hour and day in which it counts
	amount  amount
}

// Reserve reserves budget for a request that sends up to size body bytes. It fails if the budget is exhausted. outage tells
// that the client's zone has failed.
func (b *Budget) Reserve(now time.Duration, class string, size int64, outage bool) (Reservation, bool) {
	b.advancePeriods(now)
	reservation := Reservation{periods: b.currentPeriods, amount: amount{requests: 1, bytes: size + b.ResponseBytes}}
	if !slices.Contains(b.ExemptClasses, class) && !b.permits(reservation.amount, outage) {
		return Reservation{}, false
	}
	for p := range periodLengths {
		b.reserved[p] = b.reserved[p].plus(reservation.amount)
	}
	b.demand = b.demand.plus(reservation.amount)
	return reservation, true
}

// permits reports whether an amount is within the limits and the lease. An amount denied by
// the lease alone adds to the demand, which raises the next lease.
func (b *Budget) permits(needed amount, outage bool) bool {
	for p := range periodLengths {
		limit := b.limit(period(p), outage)
		total := b.spent[p].plus(b.reserved[p]).plus(needed)
		if total.exceeds(limit, limit) {
			return false
		}
		if b.leaseRequired && total.exceeds(limit, b.leased[p]) {
			b.demand = b.demand.plus(needed)
			return false
		}
	}
	return true
}

// limit returns the limit of a period, with the extra share during an outage. 0 means unlimited.
func (b *Budget) limit(p period, outage bool) amount {
	limit := amount{requests: b.RequestsHour, bytes: b.BytesHour}
	if p == day {
		limit = amount{requests: b.RequestsDay, bytes: b.BytesDay}
	}
	if outage {
		limit.requests += int64(b.OutageShare * float64(limit.requests))
		limit.bytes += int64(b.OutageShare * float64(limit.bytes))
	}
	return limit
}

// Settle replaces a reservation by the traffic that was actually used. In past periods the reservation itself stays spent.
func (b *Budget) Settle(now time.Duration, reservation Reservation, requests, bytes int64) {
	if reservation.amount.requests == 0 {
		return
	}
	b.advancePeriods(now)
	for p := range periodLengths {
		if reservation.periods[p] == b.currentPeriods[p] {
			b.reserved[p] = b.reserved[p].minus(reservation.amount)
			b.spent[p] = b.spent[p].plus(amount{requests: requests, bytes: bytes})
		}
	}
}

// Unlimited is the value of a field of Remaining without a limit.
const Unlimited = -1

// Remaining is what a budget still allows in the current hour and day.
type Remaining struct {
	RequestsHour, RequestsDay int64
	BytesHour, BytesDay       int64
}

// Remaining returns what the budget still allows, without the extra share during an outage.
func (b *Budget) Remaining(now time.Duration) Remaining {
	b.advancePeriods(now)
	inHour, inDay := b.remaining(hour), b.remaining(day)
	return Remaining{
		RequestsHour: inHour.requests,
		RequestsDay:  inDay.requests,
		BytesHour:    inHour.bytes,
		BytesDay:     inDay.bytes,
	}
}

// remaining returns what is left of a period, Unlimited where there is no limit.
func (b *Budget) remaining(p period) amount {
	limit, used := b.limit(p, false), b.spent[p].plus(b.reserved[p])
	remaining := amount{requests: Unlimited, bytes: Unlimited}
	if limit.requests > 0 {
		remaining.requests = max(0, limit.requests-used.requests)
	}
	if limit.bytes > 0 {
		remaining.bytes = max(0, limit.bytes-used.bytes)
	}
	return remaining
}

// String formats the pair for reports.
func (p Pair) String() string { return fmt.Sprintf("%s > %s", DisplayName(p.From), DisplayName(p.To)) }

// DisplayName returns the name of a zone in reports.
func DisplayName(zone string) string {
	if zone == "" {
		return "(unknown)"
	}
	return zone
}
