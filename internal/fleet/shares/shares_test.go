package shares

import (
	"math"
	"testing"
	"time"
)

const (
	testQuota       = QuotaID(1)
	maxLoanDuration = time.Second
	start           = 10 * time.Second
	evenShare       = 0.5 // with two members
)

func everyoneIsCounted(string) bool { return true }

// newTestTable returns the table of a member with ownDemand that has just received otherDemand from the member "other".
func newTestTable(ownDemand, otherDemand float64) *LoanTable {
	t := NewLoanTable(maxLoanDuration)
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

// TestIdleMemberLendsAllButItsReserve checks that the shares of lender and borrower add up to the whole, and that the loan ends at the
// borrower before it ends at the lender.
func TestIdleMemberLendsAllButItsReserve(t *testing.T) {
	lender, borrower := newTestTable(0, 2), NewLoanTable(maxLoanDuration)
	loans := lender.Lend(start, "other", evenShare, start+time.Minute, everyoneIsCounted)
	if len(loans) != 1 || loans[0].For != maxLoanDuration {
		t.Fatalf("the loans are %+v, want one for %v", loans, maxLoanDuration)
	}
	const reserve = reservedFraction * evenShare
	wantShare(t, lender, start, reserve)
	borrower.Receive(start, "lender", nil, loans, start)
	wantShare(t, borrower, start, 1-reserve)

	wantShare(t, borrower, start+maxLoanDuration, evenShare)
	wantShare(t, lender, start+maxLoanDuration, reserve)
	wantShare(t, lender, start+2*maxLoanDuration, evenShare)
}

// TestSmallerLoanDoesNotReduceLargerOne guards against use of the same share by both members: the borrower may still use the larger loan
// after the lender has sent a smaller one.
func TestSmallerLoanDoesNotReduceLargerOne(t *testing.T) {
	lender := newTestTable(0, 2)
	lender.Lend(start, "other", evenShare, start+time.Minute, everyoneIsCounted)
	lent := lender.Lent(start, testQuota)
	lender.SetDemand(testQuota, 0.3)
	lender.Lend(start, "other", evenShare, start+time.Minute, everyoneIsCounted)
	if got := lender.Lent(start, testQuota); got != lent {
		t.Errorf("%v is lent after a smaller loan, want %v", got, lent)
	}
}

func TestNoLoanIsGiven(t *testing.T) {
	for name, c := range map[string]struct {
		ownDemand, otherDemand float64
		evenShare              float64
		until                  time.Duration
		isCounted              bool
	}{
		"no demand beyond the even share": {otherDemand: evenShare, evenShare: evenShare, until: start + time.Minute, isCounted: true},
		"own demand":                      {ownDemand: 1, otherDemand: 2, evenShare: evenShare, until: start + time.Minute, isCounted: true},
		"no valid share":                  {otherDemand: 2, until: start + time.Minute, isCounted: true},
		"share about to expire":           {otherDemand: 2, evenShare: evenShare, until: start + maxLoanDuration/8, isCounted: true},
		"borrower not counted":            {otherDemand: 2, evenShare: evenShare, until: start + time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			lender := newTestTable(c.ownDemand, c.otherDemand)
			if loans := lender.Lend(start, "other", c.evenShare, c.until, func(string) bool { return c.isCounted }); len(loans) > 0 {
				t.Errorf("the member lends %+v, want no loans", loans)
			}
		})
	}
}

// TestLoanWithoutEchoDoesNotCount checks that a loan without an echo is ignored: its end at the borrower would not be known to precede
// its end at the lender.
func TestLoanWithoutEchoDoesNotCount(t *testing.T) {
	borrower := NewLoanTable(maxLoanDuration)
	borrower.Receive(start, "lender", nil, []Loan{{testQuota, 0.25, maxLoanDuration}}, 0)
	wantShare(t, borrower, start, evenShare)
}

// TestBorrowedShareNeedsOwnShare checks that a member whose own share has expired may not use borrowed shares.
func TestBorrowedShareNeedsOwnShare(t *testing.T) {
	borrower := NewLoanTable(maxLoanDuration)
	borrower.Receive(start, "lender", nil, []Loan{{testQuota, 0.25, maxLoanDuration}}, start)
	wantShare(t, borrower, start, evenShare+0.25)
	if got, _ := borrower.Share(start, testQuota, 0); got != 0 {
		t.Errorf("without a valid share of its own the member may use %v, want 0", got)
	}
}
