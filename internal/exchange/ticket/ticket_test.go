package ticket

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All orders of a few claims of one key, repeated ones among them: no two holders are granted it but where the first gave
// it back or its ticket went on, and never once it is held by another within the window.
func TestAllOrders(t *testing.T) {
	claims := []Claim{
		{Key: "k", Ticket: "a", Nth: 0, Holder: "x", Window: time.Minute},
		{Key: "k", Ticket: "a", Nth: 0, Holder: "x", Window: time.Minute}, // asked again
		{Key: "k", Ticket: "b", Nth: 0, Holder: "x", Window: time.Minute},
		{Key: "k", Ticket: "a", Nth: 1, Holder: "y", Window: time.Minute},
		{Key: "k", Ticket: "b", Nth: 0, Holder: "x", Release: true},
	}
	states := 0
	var try func(left []int, done []int)
	try = func(left, done []int) {
		if len(left) == 0 {
			b := New()
			var held *Claim
			for n, i := range done {
				c := claims[i]
				g := b.Take(time.Duration(n)*time.Second, c)
				states++
				if c.Release {
					if held != nil && held.Ticket == c.Ticket && held.Nth == c.Nth {
						held = nil
					}
					continue
				}
				want := held == nil || held.Ticket == c.Ticket && (held.Nth < c.Nth || held.Nth == c.Nth && held.Holder == c.Holder)
				if g.Granted != want {
					t.Fatalf("%v: claim %d granted: %v", done, n, g.Granted)
				}
				if g.Granted {
					held = &c
				} else if g.Held.Ticket != held.Ticket || g.Held.Holder != held.Holder {
					t.Fatalf("%v: held by %v, told %v", done, held, g.Held)
				}
			}
			return
		}
		for n := range left {
			rest := append(append([]int(nil), left[:n]...), left[n+1:]...)
			try(rest, append(append([]int(nil), done...), left[n]))
		}
	}
	try([]int{0, 1, 2, 3, 4}, nil)
	t.Logf("%d steps", states)
}

func TestWindow(t *testing.T) {
	b := New()
	assert.Assert(t, b.Take(0, Claim{Key: "k", Ticket: "a", Holder: "x", Window: time.Minute}).Granted)
	assert.Assert(t, !b.Take(time.Minute, Claim{Key: "k", Ticket: "b", Holder: "y", Window: time.Minute}).Granted)
	again := Load(b.All())
	assert.Assert(t, !again.Take(time.Minute, Claim{Key: "k", Ticket: "b", Holder: "y", Window: time.Minute}).Granted)
	assert.Assert(t, again.Take(time.Minute+1, Claim{Key: "k", Ticket: "b", Holder: "y", Window: time.Minute}).Granted)
	for n := range 1000 {
		again.Take(2*time.Minute+2, Claim{Key: fmt.Sprint(n), Ticket: "t", Window: time.Minute})
	}
	again.Take(4*time.Minute, Claim{Key: "last", Ticket: "t", Window: time.Minute})
	assert.Equal(t, again.Len(), 1, "what is past its window is forgotten")
}

// Of one ticket the later attempt takes the key over from the earlier one, never the other way round, whoever holds it; and only
// the attempt that holds it gives it back.
func TestAttemptsOfOneToken(t *testing.T) {
	holds := Claim{Key: "k", Ticket: "a", Nth: 1, Holder: "x", Window: time.Minute}
	for _, x := range []struct {
		name    string
		claim   Claim
		granted bool
		free    bool // afterwards
	}{
		{"asked again", Claim{Nth: 1, Holder: "x"}, true, false},
		{"another holder", Claim{Nth: 1, Holder: "y"}, false, false},
		{"an earlier attempt", Claim{Nth: 0, Holder: "x"}, false, false},
		{"a later attempt", Claim{Nth: 2, Holder: "y"}, true, false},
		{"release by the holder", Claim{Nth: 1, Holder: "x", Release: true}, true, true},
		{"release by an earlier attempt", Claim{Nth: 0, Holder: "x", Release: true}, true, false},
		{"release by a later attempt", Claim{Nth: 2, Holder: "y", Release: true}, true, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			b := New()
			assert.Assert(t, b.Take(0, holds).Granted)
			x.claim.Key, x.claim.Ticket, x.claim.Window = "k", "a", time.Minute
			assert.Equal(t, b.Take(time.Second, x.claim).Granted, x.granted)
			assert.Equal(t, b.Take(2*time.Second, Claim{Key: "k", Ticket: "b", Holder: "z", Window: time.Minute}).Granted, x.free)
		})
	}
}

// A claim that names no window, as earlier versions send it, holds its key for ten minutes, sweeps or not.
func TestDefaultWindow(t *testing.T) {
	b := New()
	assert.Assert(t, b.Take(time.Second, Claim{Key: "k", Ticket: "a", Holder: "x"}).Granted)
	other := Claim{Key: "k", Ticket: "b", Holder: "y"}
	assert.Assert(t, b.Take(2*time.Second, Claim{Key: "short", Ticket: "a", Holder: "x", Window: time.Second}).Granted)
	for now := 2 * time.Second; now <= unnamed+time.Second; now += 4 * time.Second {
		assert.Assert(t, !b.Take(now, other).Granted, "at %v", now)
	}
	assert.Assert(t, b.Take(unnamed+time.Second+1, other).Granted)
}

// A full book grants nothing, and says so by naming nobody; it is swept before it refuses.
func TestFullStoreGrantsNothing(t *testing.T) {
	b := New()
	for n := range MostHeld {
		assert.Assert(t, b.Take(time.Second, Claim{Key: fmt.Sprint(n), Ticket: "t", Holder: "x", Window: time.Second}).Granted)
	}
	one := Claim{Key: "one", Ticket: "t", Holder: "x", Window: time.Minute}
	assert.Equal(t, b.Take(2*time.Second, one), Grant{})
	assert.Assert(t, b.Take(2*time.Second+1, one).Granted)
	assert.Equal(t, b.Len(), 1)
}
