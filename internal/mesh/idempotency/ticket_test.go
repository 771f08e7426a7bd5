package idempotency

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All orders of a few claims of one key, repeated ones among them: no two holders are granted it but where the first gave
// it back or its ticket went on, and never once it is held by another within the window.
func TestAllOrdersOfRequests(t *testing.T) {
	claims := []LeaseRequest{
		{Key: "k", Token: "a", Attempt: 0, Holder: "x", Window: time.Minute},
		{Key: "k", Token: "a", Attempt: 0, Holder: "x", Window: time.Minute}, // asked again
		{Key: "k", Token: "b", Attempt: 0, Holder: "x", Window: time.Minute},
		{Key: "k", Token: "a", Attempt: 1, Holder: "y", Window: time.Minute},
		{Key: "k", Token: "b", Attempt: 0, Holder: "x", Release: true},
	}
	states := 0
	var try func(left []int, done []int)
	try = func(left, done []int) {
		if len(left) == 0 {
			b := New()
			var held *LeaseRequest
			for n, i := range done {
				c := claims[i]
				g := b.Apply(time.Duration(n)*time.Second, c)
				states++
				if c.Release {
					if held != nil && held.Token == c.Token && held.Attempt == c.Attempt {
						held = nil
					}
					continue
				}
				want := held == nil || held.Token == c.Token && (held.Attempt < c.Attempt || held.Attempt == c.Attempt && held.Holder == c.Holder)
				if g.Granted != want {
					t.Fatalf("%v: claim %d granted: %v", done, n, g.Granted)
				}
				if g.Granted {
					held = &c
				} else if g.Current.Token != held.Token || g.Current.Holder != held.Holder {
					t.Fatalf("%v: held by %v, told %v", done, held, g.Current)
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

func TestLeaseEndsWithItsWindow(t *testing.T) {
	b := New()
	assert.Assert(t, b.Apply(0, LeaseRequest{Key: "k", Token: "a", Holder: "x", Window: time.Minute}).Granted)
	assert.Assert(t, !b.Apply(time.Minute, LeaseRequest{Key: "k", Token: "b", Holder: "y", Window: time.Minute}).Granted)
	again := Restore(b.Leases())
	assert.Assert(t, !again.Apply(time.Minute, LeaseRequest{Key: "k", Token: "b", Holder: "y", Window: time.Minute}).Granted)
	assert.Assert(t, again.Apply(time.Minute+1, LeaseRequest{Key: "k", Token: "b", Holder: "y", Window: time.Minute}).Granted)
	for n := range 1000 {
		again.Apply(2*time.Minute+2, LeaseRequest{Key: fmt.Sprint(n), Token: "t", Window: time.Minute})
	}
	again.Apply(4*time.Minute, LeaseRequest{Key: "last", Token: "t", Window: time.Minute})
	assert.Equal(t, again.Len(), 1, "what is past its window is forgotten")
}

// Of one ticket the later attempt takes the key over from the earlier one, never the other way round, whoever holds it; and only
// the attempt that holds it gives it back.
func TestAttemptsOfOneToken(t *testing.T) {
	holds := LeaseRequest{Key: "k", Token: "a", Attempt: 1, Holder: "x", Window: time.Minute}
	for _, x := range []struct {
		name    string
		claim   LeaseRequest
		granted bool
		free    bool // afterwards
	}{
		{"asked again", LeaseRequest{Attempt: 1, Holder: "x"}, true, false},
		{"another holder", LeaseRequest{Attempt: 1, Holder: "y"}, false, false},
		{"an earlier attempt", LeaseRequest{Attempt: 0, Holder: "x"}, false, false},
		{"a later attempt", LeaseRequest{Attempt: 2, Holder: "y"}, true, false},
		{"release by the holder", LeaseRequest{Attempt: 1, Holder: "x", Release: true}, true, true},
		{"release by an earlier attempt", LeaseRequest{Attempt: 0, Holder: "x", Release: true}, true, false},
		{"release by a later attempt", LeaseRequest{Attempt: 2, Holder: "y", Release: true}, true, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			b := New()
			assert.Assert(t, b.Apply(0, holds).Granted)
			x.claim.Key, x.claim.Token, x.claim.Window = "k", "a", time.Minute
			assert.Equal(t, b.Apply(time.Second, x.claim).Granted, x.granted)
			assert.Equal(t, b.Apply(2*time.Second, LeaseRequest{Key: "k", Token: "b", Holder: "z", Window: time.Minute}).Granted, x.free)
		})
	}
}

// A claim that names no window, as earlier versions send it, holds its key for ten minutes, sweeps or not.
func TestDefaultWindow(t *testing.T) {
	b := New()
	assert.Assert(t, b.Apply(time.Second, LeaseRequest{Key: "k", Token: "a", Holder: "x"}).Granted)
	other := LeaseRequest{Key: "k", Token: "b", Holder: "y"}
	assert.Assert(t, b.Apply(2*time.Second, LeaseRequest{Key: "short", Token: "a", Holder: "x", Window: time.Second}).Granted)
	for now := 2 * time.Second; now <= defaultWindow+time.Second; now += 4 * time.Second {
		assert.Assert(t, !b.Apply(now, other).Granted, "at %v", now)
	}
	assert.Assert(t, b.Apply(defaultWindow+time.Second+1, other).Granted)
}

// A full book grants nothing, and says so by naming nobody; it is swept before it refuses.
func TestFullStoreGrantsNothing(t *testing.T) {
	b := New()
	for n := range MaxLeases {
		assert.Assert(t, b.Apply(time.Second, LeaseRequest{Key: fmt.Sprint(n), Token: "t", Holder: "x", Window: time.Second}).Granted)
	}
	one := LeaseRequest{Key: "one", Token: "t", Holder: "x", Window: time.Minute}
	assert.Equal(t, b.Apply(2*time.Second, one), LeaseResult{})
	assert.Assert(t, b.Apply(2*time.Second+1, one).Granted)
	assert.Equal(t, b.Len(), 1)
}
