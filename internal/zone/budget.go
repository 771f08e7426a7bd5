package zone

import (
	"fmt"
	"slices"
	"time"
)

// Limit is the budget of a pair of zones. A limit of 0 is none. Bytes are those of the bodies of requests and responses.
type Limit struct {
	Pair                      Pair
	RequestsHour, RequestsDay int64
	BytesHour, BytesDay       int64
	ExemptClasses             []string // may cross when the budget is used up
	OutageShare               float64  // share of each limit that is granted on top while the client's zone has failed
	ResponseBytes             int64    // reserved for a response; default 64 KiB
}

// period is one of the calendar periods, in UTC, that limits hold for.
type period int

const (
	hour period = iota
	day
	periodCount
)

// periodLengths are the lengths of the periods.
var periodLengths = [periodCount]time.Duration{hour: time.Hour, day: 24 * time.Hour}

// defaultResponseBytes is reserved for a response by default: the longest body that the protocol allows.
const defaultResponseBytes = 64 << 10

// amount is a part of a budget.
type amount struct{ requests, bytes int64 }

// plus returns the sum of two amounts.
func (a amount) plus(b amount) amount {
	return amount{requests: a.requests + b.requests, bytes: a.bytes + b.bytes}
}

// minus returns the difference of two amounts.
func (a amount) minus(b amount) amount {
	return amount{requests: a.requests - b.requests, bytes: a.bytes - b.bytes}
}

// exceeds reports whether an amount is over a ceiling in a unit that the limit bounds.
func (a amount) exceeds(limit, ceiling amount) bool {
	return limit.requests > 0 && a.requests > ceiling.requests || limit.bytes > 0 && a.bytes > ceiling.bytes
}

// Budget keeps count of what a pair of zones may still send in this hour and this day. A request counts once for a pair,
// however many attempts it makes there; its bytes count for each attempt. Both are reserved before the request may cross:
// its body for each possible attempt, and one response of Limit.ResponseBytes. When the request has ended its reservation
// is settled. What is spent exceeds the limit only by longer responses and by exempt classes.
//
// Times are Unix times. A clock that goes back does not open a period again: the latest period that was seen goes on until the
// clock has passed it. A Budget is not safe for concurrent use; Accounting guards it.
type Budget struct {
	Limit
	current  [periodCount]int64 // number of the present periods since 1970
	spent    [periodCount]amount
	reserved [periodCount]amount

	// With leaseRequired only what a lease grants may be spent. A lease is saved before it is used, and what it grants
	// counts as spent after a crash, so that no number of crashes lets the limit be exceeded.
	leaseRequired bool
	leased        [periodCount]amount // of the present periods
	nextLeased    [periodCount]amount // of the periods after them
	nextSpent     [periodCount]amount // what an earlier process may have spent of the periods after them
	wanted        amount              // reserved, or denied for want of a lease, since the latest PrepareLease
}

// A lease grants at least this much beyond what is spent.
const (
	leaseDivisor     = 50 // a 50th of each limit,
	leaseMinRequests = 4  // and enough for a few requests
)

// NewBudget returns a budget of which nothing is spent.
func NewBudget(limit Limit) *Budget {
	if limit.ResponseBytes == 0 {
		limit.ResponseBytes = defaultResponseBytes
	}
	return &Budget{Limit: limit}
}

// Usage is what was spent of a budget, in the form in which it is stored over restarts: the names of its fields are stored
// data.
type Usage struct {
	Pair      Pair
	Hour, Day int64 // numbers of the periods since 1970
	// What was spent in the hour and the day, and what a lease lets be spent in them.
	Requests, Bytes [periodCount]int64
	// What a lease lets be spent in the next hour and day.
	NextRequests, NextBytes [periodCount]int64
}

// periods returns the numbers of the periods that the usage is of.
func (u Usage) periods() [periodCount]int64 { return [periodCount]int64{hour: u.Hour, day: u.Day} }

// amount returns what was spent, or is leased, in the period with index p.
func (u Usage) amount(p int) amount { return amount{requests: u.Requests[p], bytes: u.Bytes[p]} }

// nextAmount returns what is leased in the period after that.
func (u Usage) nextAmount(p int) amount {
	return amount{requests: u.NextRequests[p], bytes: u.NextBytes[p]}
}

// Usage is what is spent. Reservations count as spent: when a process dies its open requests were sent, as far as anybody can
// tell.
func (b *Budget) Usage() Usage {
	usage := Usage{Pair: b.Pair, Hour: b.current[hour], Day: b.current[day]}
	for p := range periodLengths {
		total := b.spent[p].plus(b.reserved[p])
		usage.Requests[p], usage.Bytes[p] = total.requests, total.bytes
	}
	return usage
}

// Restore adds what was spent before a restart. It is ignored for periods that are over.
func (b *Budget) Restore(usage Usage) {
	for p, number := range usage.periods() {
		switch {
		case number > b.current[p]:
			b.current[p] = number
			b.spent[p] = usage.amount(p)
			b.nextSpent[p] = usage.nextAmount(p)
		case number == b.current[p]:
			b.spent[p] = b.spent[p].plus(usage.amount(p))
		}
	}
}

// RequireLease lets only what ConfirmLease has granted be spent from here on.
func (b *Budget) RequireLease() { b.leaseRequired = true }

// PrepareLease returns what has to be saved to go on: what is spent and reserved, and a head start for what may be spent until
// the next call, which is twice what was wanted since the one before. Once it is saved, ConfirmLease grants it.
func (b *Budget) PrepareLease(now time.Duration) Usage {
	b.advancePeriods(now)
	lease := b.Usage()
	for p := range periodLengths {
		limit := b.limit(period(p), true)
		requests := max(limit.requests/leaseDivisor, 2*b.wanted.requests, leaseMinRequests)
		bytes := max(limit.bytes/leaseDivisor, 2*b.wanted.bytes, leaseMinRequests*b.ResponseBytes)
		lease.Requests[p] = max(lease.Requests[p], min(limit.requests, lease.Requests[p]+requests))
		lease.Bytes[p] = max(lease.Bytes[p], min(limit.bytes, lease.Bytes[p]+bytes))
		next := b.nextSpent[p]
		lease.NextRequests[p] = max(next.requests, min(limit.requests, next.requests+requests))
		lease.NextBytes[p] = max(next.bytes, min(limit.bytes, next.bytes+bytes))
	}
	b.wanted = amount{}
	return lease
}

// ConfirmLease grants a lease that PrepareLease returned and that has been saved since.
func (b *Budget) ConfirmLease(lease Usage) {
	for p, number := range lease.periods() {
		switch number {
		case b.current[p]:
			b.leased[p] = lease.amount(p)
			b.nextLeased[p] = lease.nextAmount(p)
		case b.current[p] - 1: // the period ended while the lease was being saved
			granted := lease.nextAmount(p)
			b.leased[p].requests = max(b.leased[p].requests, granted.requests)
			b.leased[p].bytes = max(b.leased[p].bytes, granted.bytes)
		}
	}
}

// advancePeriods begins new periods once the clock has passed the present ones. Reservations of a period that is over count as
// spent in that one.
func (b *Budget) advancePeriods(now time.Duration) {
	for p, length := range periodLengths {
		number := int64(now / length)
		if number <= b.current[p] {
			continue
		}
		if number > b.current[p]+1 { // what is known of the next period is not of this one
			b.nextSpent[p] = amount{}
			b.nextLeased[p] = amount{}
		}
		b.current[p] = number
		b.spent[p] = b.nextSpent[p]
		b.reserved[p] = amount{}
		b.leased[p] = b.nextLeased[p]
		b.nextSpent[p] = amount{}
		b.nextLeased[p] = amount{}
	}
}

// Reservation is a part of a budget that a request holds until it has ended. The zero value holds nothing.
type Reservation struct {
	periods [periodCount]int64 // that it counts in
	amount  amount
}

// Reserve reserves a request that may send so many bytes of bodies. It fails if the budget is used up. outage says that the
// client's zone has failed.
func (b *Budget) Reserve(now time.Duration, class string, size int64, outage bool) (Reservation, bool) {
	b.advancePeriods(now)
	reservation := Reservation{periods: b.current, amount: amount{requests: 1, bytes: size + b.ResponseBytes}}
	if !slices.Contains(b.ExemptClasses, class) && !b.permits(reservation.amount, outage) {
		return Reservation{}, false
	}
	for p := range periodLengths {
		b.reserved[p] = b.reserved[p].plus(reservation.amount)
	}
	b.wanted = b.wanted.plus(reservation.amount)
	return reservation, true
}

// permits reports whether an amount is within the limits and the lease. One that only the lease denies raises the next lease.
func (b *Budget) permits(needed amount, outage bool) bool {
	for p := range periodLengths {
		limit := b.limit(period(p), outage)
		total := b.spent[p].plus(b.reserved[p]).plus(needed)
		if total.exceeds(limit, limit) {
			return false
		}
		if b.leaseRequired && total.exceeds(limit, b.leased[p]) {
			b.wanted = b.wanted.plus(needed)
			return false
		}
	}
	return true
}

// limit is what a period allows, with what is granted during an outage. 0 means no limit.
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

// Settle ends a reservation with what was really spent on it. In periods that are over the reservation itself has been spent.
func (b *Budget) Settle(now time.Duration, reservation Reservation, requests, bytes int64) {
	if reservation.amount.requests == 0 {
		return
	}
	b.advancePeriods(now)
	for p := range periodLengths {
		if reservation.periods[p] == b.current[p] {
			b.reserved[p] = b.reserved[p].minus(reservation.amount)
			b.spent[p] = b.spent[p].plus(amount{requests: requests, bytes: bytes})
		}
	}
}

// Unlimited stands in Remaining where there is no limit.
const Unlimited = -1

// Remaining is what a budget still allows in the present hour and day.
type Remaining struct {
	RequestsHour, RequestsDay int64
	BytesHour, BytesDay       int64
}

// Remaining is what the budget still allows, without what is granted during an outage.
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

// String names the zones of the pair, for reports.
func (p Pair) String() string { return fmt.Sprintf("%s > %s", DisplayName(p.From), DisplayName(p.To)) }

// DisplayName is the name of a zone in reports.
func DisplayName(zone string) string {
	if zone == "" {
		return "(unknown)"
	}
	return zone
}
