// Package shares adapts the division of quotas to uneven demand: a member that uses little of its share of a quota lends a part of it to
// members with more demand.
//
// A member's share of a quota is its even share (1/divisor of the fleet, see package membership), minus what it has lent, plus what it has
// borrowed. A heartbeat carries a loan and echoes an earlier heartbeat of the borrower. The borrower counts the loan's duration from when
// it sent the echoed heartbeat. The lender counts the same duration, plus a margin for clock drift, from when it sent the loan, which is
// later. So they never use the same share at the same time, however long messages are delayed, and the loan expires without further
// messages. A loan also ends no later than the lender's own share (membership.Share.Until): other members take over the lender's share only
// after that. Therefore the shares of all members add up to at most the whole quota as long as their even shares do.
// docs/design/subsets.md describes the alternatives.
//
// The package is pure: time is an argument, and a LoanTable is not safe for concurrent use.
package shares

import (
	"cmp"
	"slices"
	"time"
)

// QuotaID identifies a quota whose shares members lend to each other.
type QuotaID uint32

// Maximum numbers of demands and loans in one message.
const (
	MaxDemands = 16
	MaxLoans   = 16
)

// maxDemand is the largest demand that a member reports, as a multiple of the whole quota.
const maxDemand = 10

// Demand is the share of a quota that a member would use if it could. It exceeds 1 if the whole quota is not enough.
type Demand struct {
	Quota QuotaID
	Share float64
}

// Loan is a share of a quota that one member lends to another for a limited time.
type Loan struct {
	Quota QuotaID
	Share float64 // of the whole quota, 0 to 1
	For   time.Duration
}

const (
	reservedFraction       = 0.1  // fraction of its even share that a member never lends, so that it can serve new demand at once
	headroom               = 1.25 // multiple of its own demand that a member keeps
	minLoanShare           = 0.01 // smallest share of a quota that is lent
	demandLifetime         = 4    // how long a peer's demands are kept, as a multiple of the maximum loan duration
	clockDrift             = 0.05 // largest relative difference between the rates of two clocks
	minLoanDurationDivisor = 4    // loans of up to 1/4 of the maximum duration are not worth their messages
)

// maxBorrowedQuotas is the maximum number of quotas of which shares are borrowed at the same time.
const maxBorrowedQuotas = 64 * MaxLoans

// LoanTable holds the demands and loans of one member, and the demands of the other members.
type LoanTable struct {
	maxLoanDuration time.Duration
	demands         map[QuotaID]float64
	peers           map[string]*peerDemands
	lent            map[QuotaID]map[string]loanTerm // by borrower
	borrowed        map[QuotaID]map[string]loanTerm // by lender
}

// peerDemands are the demands in another member's latest message.
type peerDemands struct {
	receivedAt time.Duration
	demands    []Demand
}

// demandFor returns the demand for a quota, the last one if the message has several, or 0 if it has none.
func (p *peerDemands) demandFor(quota QuotaID) (share float64) {
	for _, d := range p.demands {
		if d.Quota == quota {
			share = d.Share
		}
	}
	return share
}

// loanTerm is a share that is lent or borrowed, and the time at which the loan ends.
type loanTerm struct {
	share float64
	until time.Duration
}

// remaining returns the share while the loan lasts, and 0 afterwards.
func (t loanTerm) remaining(now time.Duration) float64 {
	if now < t.until {
		return t.share
	}
	return 0
}

// NewLoanTable returns an empty table. maxLoanDuration must be the same at all members.
func NewLoanTable(maxLoanDuration time.Duration) *LoanTable {
	return &LoanTable{
		maxLoanDuration: maxLoanDuration,
		demands:         map[QuotaID]float64{},
		peers:           map[string]*peerDemands{},
		lent:            map[QuotaID]map[string]loanTerm{},
		borrowed:        map[QuotaID]map[string]loanTerm{},
	}
}

// SetDemand sets the share of a quota that this member would use if it could. A share that is not positive removes the demand.
func (t *LoanTable) SetDemand(quota QuotaID, share float64) {
	if !(share > 0) { // also true for NaN
		delete(t.demands, quota)
		return
	}
	t.demands[quota] = min(share, maxDemand)
}

// Demands returns the MaxDemands largest demands of this member, to be sent with its heartbeats.
func (t *LoanTable) Demands() (demands []Demand) {
	for quota, share := range t.demands {
		demands = append(demands, Demand{Quota: quota, Share: share})
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Quota, b.Quota))
	})
	return demands[:min(len(demands), MaxDemands)]
}

// Receive records the demands of another member and its loans to this one. echoedAt is when this member sent the heartbeat that the message
// echoes. It is zero if the message echoes none, and then the loans are ignored.
func (t *LoanTable) Receive(now time.Duration, from string, demands []Demand, loans []Loan, echoedAt time.Duration) {
	p := t.peers[from]
	if p == nil {
		p = &peerDemands{}
		t.peers[from] = p
	}
	p.receivedAt = now
	p.demands = demands
	if echoedAt == 0 {
		return
	}
	for _, loan := range loans {
		if loan.Share > 0 && loan.Share <= 1 && loan.For > 0 && loan.For <= t.maxLoanDuration {
			t.borrow(from, loan, echoedAt)
		}
	}
}

// borrow records a loan from a member. Its duration counts from echoedAt.
func (t *LoanTable) borrow(from string, loan Loan, echoedAt time.Duration) {
	lenders := t.borrowed[loan.Quota]
	if lenders == nil {
		if len(t.borrowed) >= maxBorrowedQuotas {
			return
		}
		lenders = map[string]loanTerm{}
		t.borrowed[loan.Quota] = lenders
	}
	lenders[from] = loanTerm{share: loan.Share, until: echoedAt + loan.For}
}

// Expire removes loans that have ended, and the demands of members that are unknown or were last received too long ago.
func (t *LoanTable) Expire(now time.Duration, isKnown func(name string) bool) {
	for name, p := range t.peers {
		if !isKnown(name) || now-p.receivedAt > demandLifetime*t.maxLoanDuration {
			delete(t.peers, name)
		}
	}
	for _, loansByQuota := range []map[QuotaID]map[string]loanTerm{t.lent, t.borrowed} {
		for quota, terms := range loansByQuota {
			for name, term := range terms {
				if now >= term.until {
					delete(terms, name)
				}
			}
			if len(terms) == 0 {
				delete(loansByQuota, quota)
			}
		}
	}
}

// noExpiry is the end of a share that is valid until a message changes it.
const noExpiry = time.Duration(1 << 62)

// Share returns the share of a quota that this member may use, and when that share changes if no message arrives. evenShare is 1/divisor,
// or 0 if this member's own share is not valid. Without a valid share of its own it may not use borrowed shares either.
func (t *LoanTable) Share(now time.Duration, quota QuotaID, evenShare float64) (share float64, until time.Duration) {
	share = max(0, evenShare-t.Lent(now, quota))
	until = noExpiry
	if evenShare > 0 {
		for _, term := range t.borrowed[quota] {
			if now < term.until {
				share += term.share
				until = min(until, term.until)
			}
		}
	}
	return min(1, share), until
}

// Lend returns the loans to send to another member with the next heartbeat, and records them as lent. evenShare is 1/divisor, or 0 if this
// member's share is not valid, and until is the end of that share. isCounted reports whether the divisor includes a member.
func (t *LoanTable) Lend(
	now time.Duration, to string, evenShare float64, until time.Duration, isCounted func(name string) bool,
) (loans []Loan) {
	borrower := t.peers[to]
	duration := min(t.maxLoanDuration, until-now)
	if borrower == nil || evenShare <= 0 || duration <= t.maxLoanDuration/minLoanDurationDivisor ||
		now-borrower.receivedAt > t.maxLoanDuration || !isCounted(to) {
		return nil
	}
	for _, demand := range borrower.demands {
		if demand.Share <= evenShare || len(loans) == MaxLoans {
			continue
		}
		share := t.loanShare(now, demand, evenShare, isCounted)
		share = min(share, evenShare-(t.Lent(now, demand.Quota)-t.lent[demand.Quota][to].remaining(now)))
		if share < minLoanShare {
			continue
		}
		t.recordLoan(now, to, demand.Quota, loanTerm{
			share: share,
			until: now + duration + time.Duration(clockDrift*float64(duration)),
		})
		loans = append(loans, Loan{Quota: demand.Quota, Share: share, For: duration})
	}
	return loans
}

// loanShare returns the share that this member should lend for a demand. The members with a spare share together cover the demands beyond
// the even share as far as possible, each in proportion to its spare share.
func (t *LoanTable) loanShare(now time.Duration, demand Demand, evenShare float64, isCounted func(name string) bool) float64 {
	ownSpareShare := spareShare(evenShare, t.demands[demand.Quota])
	totalShortfall, totalSpareShare := 0.0, ownSpareShare
	for name, p := range t.peers {
		if now-p.receivedAt > t.maxLoanDuration || !isCounted(name) {
			continue
		}
		peerDemand := p.demandFor(demand.Quota)
		totalShortfall += max(0, peerDemand-evenShare)
		totalSpareShare += spareShare(evenShare, peerDemand)
	}
	if ownSpareShare <= 0 || totalShortfall <= 0 {
		return 0
	}
	return ownSpareShare * min(1, totalShortfall/totalSpareShare) * (demand.Share - evenShare) / totalShortfall
}

// recordLoan records a loan as lent. A smaller loan does not reduce an earlier, larger one that the borrower may still use.
func (t *LoanTable) recordLoan(now time.Duration, to string, quota QuotaID, term loanTerm) {
	borrowers := t.lent[quota]
	if borrowers == nil {
		borrowers = map[string]loanTerm{}
		t.lent[quota] = borrowers
	}
	term.share = max(term.share, borrowers[to].remaining(now))
	borrowers[to] = term
}

// spareShare returns the share that a member with this even share and this demand can lend.
func spareShare(evenShare, demand float64) float64 {
	return max(0, evenShare-max(reservedFraction*evenShare, headroom*demand))
}

// Lent returns the share of a quota that this member has lent to others now.
func (t *LoanTable) Lent(now time.Duration, quota QuotaID) float64 {
	return sumRemaining(now, t.lent[quota])
}

// Borrowed returns the share of a quota that this member has borrowed from others now.
func (t *LoanTable) Borrowed(now time.Duration, quota QuotaID) float64 {
	return sumRemaining(now, t.borrowed[quota])
}

// sumRemaining returns the sum of the shares of the loans that have not ended.
func sumRemaining(now time.Duration, terms map[string]loanTerm) (sum float64) {
	for _, term := range terms {
		sum += term.remaining(now)
	}
	return sum
}
