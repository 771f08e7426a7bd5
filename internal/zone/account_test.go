package zone

import (
	"testing"
	"time"
)

const dayLength = 24 * time.Hour

func accountKey() Key {
	return Key{Pair: Pair{"a", "b"}, Pool: "p", Class: "read", Customer: "acme"}
}

// twoDays returns an account of two days. The clock once stepped back from the second day to the first.
func twoDays() *Account {
	a := NewAccount()
	key := accountKey()
	a.Add(10*dayLength, key, Traffic{1, 10, 100})
	a.Add(10*dayLength+time.Hour, key, Traffic{1, 10, 100})
	a.Add(11*dayLength, key, Traffic{1, 1, 1})
	a.Add(10*dayLength, key, Traffic{1, 1, 1}) // counts for the later day: the totals of a past day never change
	return a
}

func TestAccountAddsUpByDay(t *testing.T) {
	a := twoDays()
	rows := a.Rows()
	if len(rows) != 2 || rows[0].Traffic != (Traffic{2, 20, 200}) || rows[1].Traffic != (Traffic{2, 2, 2}) {
		t.Errorf("rows %+v", rows)
	}
	if n := len(a.TakeChanges()); n != 2 || len(a.TakeChanges()) != 0 {
		t.Errorf("TakeChanges returned %d rows, want 2, and then none", n)
	}
}

func TestAccountIsRestored(t *testing.T) {
	a := NewAccount()
	a.Restore(twoDays().Rows())
	a.Add(11*dayLength, accountKey(), Traffic{1, 1, 1})
	if rows := a.Rows(); rows[1].Traffic != (Traffic{3, 3, 3}) || len(a.TakeChanges()) != 1 {
		t.Errorf("rows after a restart: %+v", rows)
	}
}

func TestAccountIsBounded(t *testing.T) {
	a := twoDays()
	key := accountKey()
	for i := range 10 * maxCustomers {
		key.Customer = "c" + time.Duration(i).String()
		a.Add(11*dayLength, key, Traffic{1, 0, 0})
	}
	if n := len(a.Rows()); n > maxCustomers+3 {
		t.Errorf("%d rows", n)
	}
	total := Aggregate(a.Rows(), func(k Key) Key { return Key{Day: k.Day} })
	if len(total) != 2 || total[1].Requests != 2+10*maxCustomers {
		t.Errorf("totals %+v", total)
	}
	a.Add((11+retentionDays)*dayLength, key, Traffic{1, 0, 0})
	if rows := a.Rows(); len(rows) != 1 {
		t.Errorf("%d rows after %d days", len(rows), retentionDays)
	}
}
