// Package shares divides quotas unevenly where demand is uneven: a member that uses little of its share of a quota lends of it to members
// that want more.
//
// What a member may use of a quota is its even share (one part in the fleet's divisor, see package membership), less what it has lent,
// plus what it has borrowed. A loan is carried by a heartbeat that echoes one of the borrower's. For the borrower it ends a fixed time
// after the borrower sent the echoed heartbeat; the lender counts it as lent for the same time from when it sent the loan, which is later.
// So a loan is never used by both, however late messages come, and it ends by itself once nothing more is heard. A loan never outlasts the
// lender's own share (membership.Share.Until): whoever takes over the lender's share does so later. Therefore the shares of all members
// stay within the whole as long as their even shares do. docs/design/subsets.md has the alternatives.
//
// The package is pure: time is an argument, and a LoanTable is not safe for concurrent use.
package shares

import (
	"cmp"
	"slices"
	"time"
)

// QuotaID identifies a quota that members lend shares of.
type QuotaID uint32

// Bounds of what one message carries.
const (
	MaxDemands = 16
	MaxLoans   = 16
)

// maxDemand is the most that a member asks for, as a multiple of the whole quota.
const maxDemand = 10

// Demand is what a member would use of a quota, as a share of the whole: over 1 if the whole is not enough.
type Demand struct {
	Quota QuotaID
	Share float64
}

// Loan is a share of a quota that is lent for a time.
type Loan struct {
	Quota QuotaID
	Share float64 // of the whole, 0 to 1
	For   time.Duration
}

const (
	reservedFraction = 0.1  // of its even share that a member never lends, so that new demand there can begin at once
	headroom         = 1.25 // a member keeps this multiple of its own demand
	minLoan          = 0.01 // the least share that is worth lending
	demandLifetime   = 4    // how long a demand is remembered, as a multiple of the longest loan
	clockDrift       = 0.05 // by which two clocks may differ over a loan
	shortLoanDivisor = 4    // a loan of less than this part of the longest time is not worth its messages
)

// maxBorrowedQuotas bounds the quotas that loans are accepted of.
const maxBorrowedQuotas = 64 * MaxLoans

// LoanTable holds one member's demands and loans, and the demands of the others.
type LoanTable struct {
	maxLoan  time.Duration
	demands  map[QuotaID]float64
	peers    map[string]*peerDemands
	lent     map[QuotaID]map[string]loanTerm // by borrower
	borrowed map[QuotaID]map[string]loanTerm // by lender
}

// peerDemands is what another member demanded in its latest message.
type peerDemands struct {
	at      time.Duration
	demands []Demand
}

// of returns the demand for a quota, the last if the message has several. It returns 0 if it has none.
func (p *peerDemands) of(quota QuotaID) (share float64) {
	for _, d := range p.demands {
		if d.Quota == quota {
			share = d.Share
		}
	}
	return share
}

// loanTerm is the share that is lent or borrowed, and when that ends.
type loanTerm struct {
	share float64
	until time.Duration
}

// remaining returns what is lent at a time.
func (t loanTerm) remaining(now time.Duration) float64 {
	if now < t.until {
		return t.share
	}
	return 0
}

// NewLoanTable returns an empty table. maxLoan is the longest time of a loan; it must be the same at all members.
func NewLoanTable(maxLoan time.Duration) *LoanTable {
	return &LoanTable{
		maxLoan:  maxLoan,
		demands:  map[QuotaID]float64{},
		peers:    map[string]*peerDemands{},
		lent:     map[QuotaID]map[string]loanTerm{},
		borrowed: map[QuotaID]map[string]loanTerm{},
	}
}

// SetDemand sets what this member would use of a quota, as a share of the whole.
func (t *LoanTable) SetDemand(quota QuotaID, share float64) {
	if !(share > 0) { // also if it is no number
		delete(t.demands, quota)
		return
	}
	t.demands[quota] = min(share, maxDemand)
}

// Demands returns this member's demands, for its heartbeats: the largest MaxDemands of them.
func (t *LoanTable) Demands() (demands []Demand) {
	for quota, share := range t.demands {
		demands = append(demands, Demand{Quota: quota, Share: share})
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Quota, b.Quota))
	})
	return demands[:min(len(demands), MaxDemands)]
}

// Receive records another member's demands, and what it lends to this one. echoedAt is when this member sent the heartbeat that the
// message echoes. It is zero if the message echoes none, and then its loans do not count.
func (t *LoanTable) Receive(now time.Duration, from string, demands []Demand, loans []Loan, echoedAt time.Duration) {
	p := t.peers[from]
	if p == nil {
		p = &peerDemands{}
		t.peers[from] = p
	}
	p.at = now
	p.demands = demands
	if echoedAt == 0 {
		return
	}
	for _, loan := range loans {
		if loan.Share > 0 && loan.Share <= 1 && loan.For > 0 && loan.For <= t.maxLoan {
			t.borrow(from, loan, echoedAt)
		}
	}
}

// borrow records a loan of a member, whose term begins at echoedAt.
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

// Expire forgets loans that have ended, and the demands of members that are unknown or have been silent for long.
func (t *LoanTable) Expire(now time.Duration, isKnown func(name string) bool) {
	for name, p := range t.peers {
		if !isKnown(name) || now-p.at > demandLifetime*t.maxLoan {
			delete(t.peers, name)
		}
	}
	for _, byQuota := range []map[QuotaID]map[string]loanTerm{t.lent, t.borrowed} {
		for quota, terms := range byQuota {
			for name, term := range terms {
				if now >= term.until {
					delete(terms, name)
				}
			}
			if len(terms) == 0 {
				delete(byQuota, quota)
			}
		}
	}
}

// noEnd is the end of a share that does not change by itself.
const noEnd = time.Duration(1 << 62)

// Share returns the share of a quota that this member may use, and until when that holds if no message comes. evenShare is this member's
// part in the divisor. It is 0 if its share is not valid, and then it may use nothing of what it has borrowed either.
func (t *LoanTable) Share(now time.Duration, quota QuotaID, evenShare float64) (share float64, until time.Duration) {
	share = max(0, evenShare-t.Lent(now, quota))
	until = noEnd
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

// Lend decides what this member lends to another one in its next heartbeat, and counts that as lent. evenShare is this member's part in
// the divisor and until the end of its share; isCounted reports whether the divisor counts a member.
func (t *LoanTable) Lend(
	now time.Duration, to string, evenShare float64, until time.Duration, isCounted func(name string) bool,
) (loans []Loan) {
	borrower := t.peers[to]
	duration := min(t.maxLoan, until-now)
	if borrower == nil || evenShare <= 0 || duration <= t.maxLoan/shortLoanDivisor || now-borrower.at > t.maxLoan || !isCounted(to) {
		return nil
	}
	for _, demand := range borrower.demands {
		if demand.Share <= evenShare || len(loans) == MaxLoans {
			continue
		}
		share := t.loanShare(now, demand, evenShare, isCounted)
		share = min(share, evenShare-(t.Lent(now, demand.Quota)-t.lent[demand.Quota][to].remaining(now)))
		if share < minLoan {
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

// loanShare is what this member should lend to one that has a demand. All members that can spare something give as much of it as is
// demanded, in proportion to what they can spare.
func (t *LoanTable) loanShare(now time.Duration, demand Demand, evenShare float64, isCounted func(name string) bool) float64 {
	ownSpare := spareShare(evenShare, t.demands[demand.Quota])
	lacking, spare := 0.0, ownSpare // of all members
	for name, p := range t.peers {
		if now-p.at > t.maxLoan || !isCounted(name) {
			continue
		}
		theirs := p.of(demand.Quota)
		lacking += max(0, theirs-evenShare)
		spare += spareShare(evenShare, theirs)
	}
	if ownSpare <= 0 || lacking <= 0 {
		return 0
	}
	return ownSpare * min(1, lacking/spare) * (demand.Share - evenShare) / lacking
}

// recordLoan counts a loan as lent. A smaller loan does not take back what a larger one before it gave: that one runs out first.
func (t *LoanTable) recordLoan(now time.Duration, to string, quota QuotaID, term loanTerm) {
	borrowers := t.lent[quota]
	if borrowers == nil {
		borrowers = map[string]loanTerm{}
		t.lent[quota] = borrowers
	}
	term.share = max(term.share, borrowers[to].remaining(now))
	borrowers[to] = term
}

// spareShare is what a member with this even share and this demand can lend.
func spareShare(evenShare, demand float64) float64 {
	return max(0, evenShare-max(reservedFraction*evenShare, headroom*demand))
}

// Lent returns the share of a quota that this member has lent.
func (t *LoanTable) Lent(now time.Duration, quota QuotaID) float64 {
	return sumRemaining(now, t.lent[quota])
}

// Borrowed returns the share of a quota that this member has borrowed.
func (t *LoanTable) Borrowed(now time.Duration, quota QuotaID) float64 {
	return sumRemaining(now, t.borrowed[quota])
}

// sumRemaining adds up the shares of the terms that have not ended.
func sumRemaining(now time.Duration, terms map[string]loanTerm) (sum float64) {
	for _, term := range terms {
		sum += term.remaining(now)
	}
	return sum
}
