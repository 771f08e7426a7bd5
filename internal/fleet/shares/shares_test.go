package shares

import (
	"math"
	"testing"
	"time"
)

const (
	testQuota = QuotaID(1)
	maxLoan   = time.Second
	start     = 10 * time.Second
	evenShare = 0.5 // of each of two members
)

func counted(string) bool { return true }

// newTestTable returns the table of a member with a demand that has just received another one's demand.
func newTestTable(ownDemand, otherDemand float64) *LoanTable {
	t := NewLoanTable(maxLoan)
	t.SetDemand(testQuota, ownDemand)
	t.Receive(start, "other", []Demand{{testQuota, otherDemand}}, nil, 0)
	return t
}

func wantShare(t *testing.T, table *LoanTable, now time.Duration, want float64) {
	t.Helper()
	if got, _ := table.Share(now, testQuota, evenShare); math.Abs(got-want) > 1e-9 {
		t.Errorf("at %v the share is %v, want %v", now, got, want)
	}
}

// TestIdleMemberLendsAllButItsReserve: the lender's and the borrower's shares add up to the whole, and the loan ends at the borrower first.
func TestIdleMemberLendsAllButItsReserve(t *testing.T) {
	lender, borrower := newTestTable(0, 2), NewLoanTable(maxLoan)
	loans := lender.Lend(start, "other", evenShare, start+time.Minute, counted)
	if len(loans) != 1 || loans[0].For != maxLoan {
		t.Fatalf("the loans are %+v, want one for %v", loans, maxLoan)
	}
	const reserve = reservedFraction * evenShare
	wantShare(t, lender, start, reserve)
	borrower.Receive(start, "lender", nil, loans, start)
	wantShare(t, borrower, start, 1-reserve)

	wantShare(t, borrower, start+maxLoan, evenShare)
	wantShare(t, lender, start+maxLoan, reserve)
	wantShare(t, lender, start+2*maxLoan, evenShare)
}

// TestSmallerLoanDoesNotTakeBackLargerOne: the borrower may still use the first loan, so that the lender must not.
func TestSmallerLoanDoesNotTakeBackLargerOne(t *testing.T) {
	lender := newTestTable(0, 2)
	lender.Lend(start, "other", evenShare, start+time.Minute, counted)
	lent := lender.Lent(start, testQuota)
	lender.SetDemand(testQuota, 0.3)
	lender.Lend(start, "other", evenShare, start+time.Minute, counted)
	if got := lender.Lent(start, testQuota); got != lent {
		t.Errorf("%v is lent after a smaller loan, want %v", got, lent)
	}
}

func TestNothingIsLent(t *testing.T) {
	for name, c := range map[string]struct {
		ownDemand, otherDemand float64
		evenShare              float64
		until                  time.Duration
		isCounted              bool
	}{
		"no demand beyond the even share": {otherDemand: evenShare, evenShare: evenShare, until: start + time.Minute, isCounted: true},
		"own demand":                      {ownDemand: 1, otherDemand: 2, evenShare: evenShare, until: start + time.Minute, isCounted: true},
		"no valid share":                  {otherDemand: 2, until: start + time.Minute, isCounted: true},
		"share about to expire":           {otherDemand: 2, evenShare: evenShare, until: start + maxLoan/8, isCounted: true},
		"borrower not counted":            {otherDemand: 2, evenShare: evenShare, until: start + time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			lender := newTestTable(c.ownDemand, c.otherDemand)
			if loans := lender.Lend(start, "other", c.evenShare, c.until, func(string) bool { return c.isCounted }); len(loans) > 0 {
				t.Errorf("it lends %+v", loans)
			}
		})
	}
}

// TestLoanWithoutEchoDoesNotCount: without an echo nobody knows when the lender counts it as ended.
func TestLoanWithoutEchoDoesNotCount(t *testing.T) {
	borrower := NewLoanTable(maxLoan)
	borrower.Receive(start, "lender", nil, []Loan{{testQuota, 0.25, maxLoan}}, 0)
	wantShare(t, borrower, start, evenShare)
}

// TestBorrowedShareNeedsOwnShare: a member whose own share has expired uses nothing, borrowed or not.
func TestBorrowedShareNeedsOwnShare(t *testing.T) {
	borrower := NewLoanTable(maxLoan)
	borrower.Receive(start, "lender", nil, []Loan{{testQuota, 0.25, maxLoan}}, start)
	wantShare(t, borrower, start, evenShare+0.25)
	if got, _ := borrower.Share(start, testQuota, 0); got != 0 {
		t.Errorf("without a valid share of its own it may use %v", got)
	}
}
