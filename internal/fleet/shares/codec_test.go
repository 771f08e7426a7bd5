package shares

import (
	"testing"
	"time"
)

// TestEncodingIsCompatibleWithEarlierBuilds checks the exact bytes: members of two builds exchange heartbeats during an upgrade.
func TestEncodingIsCompatibleWithEarlierBuilds(t *testing.T) {
	got := string(Encode([]Demand{{1, 0.5}}, []Loan{{2, 0.25, time.Second}}))
	const want = "\x01\x01\x01" + "\x01\x00\x00\x00\xcc\x0c" + "\x02\x00\x00\x00\xff\x3f\xe8\x03"
	if got != want {
		t.Errorf("encoded as %x, want %x", got, want)
	}
}

// FuzzDecode checks that decoded demands and loans can be encoded and decoded again, and that a decoded loan is not used after its end.
func FuzzDecode(f *testing.F) {
	f.Add(Encode([]Demand{{1, 0.5}}, []Loan{{1, 0.25, time.Second}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		demands, loans, err := Decode(b)
		if err != nil {
			return
		}
		demandsAgain, loansAgain, err := Decode(Encode(demands, loans))
		if err != nil || len(demandsAgain) != len(demands) || len(loansAgain) != len(loans) {
			t.Fatalf("%x is decoded as %v %v; encoded and decoded again it is %v %v, %v", b, demands, loans, demandsAgain, loansAgain, err)
		}
		const evenShare = 0.5
		table := NewLoanTable(time.Second)
		table.Receive(10*time.Second, "x", demands, loans, 10*time.Second)
		for _, loan := range loans {
			share, until := table.Share(10*time.Second, loan.Quota, evenShare)
			if share > 1 || until > 11*time.Second && table.Borrowed(10*time.Second, loan.Quota) > 0 {
				t.Errorf("%+v gives a share of %v until %v", loan, share, until)
			}
			if share, _ := table.Share(12*time.Second, loan.Quota, evenShare); share != evenShare {
				t.Errorf("%+v: two seconds after the echoed heartbeat the share is %v, want the even share", loan, share)
			}
		}
	})
}
