package idempotency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAllOrdersOfRequests applies a few requests for one key, including a duplicate, in all orders: the lease passes to another holder
// only after it was released, or when a later attempt of the same request asks for it.
func TestAllOrdersOfRequests(t *testing.T) {
	requests := []LeaseRequest{
		{Key: "k", Token: "a", Attempt: 0, Holder: "x", Window: time.Minute},
		{Key: "k", Token: "a", Attempt: 0, Holder: "x", Window: time.Minute}, // duplicate
		{Key: "k", Token: "b", Attempt: 0, Holder: "x", Window: time.Minute},
		{Key: "k", Token: "a", Attempt: 1, Holder: "y", Window: time.Minute},
		{Key: "k", Token: "b", Attempt: 0, Holder: "x", Release: true},
	}
	steps := 0
	for _, order := range permutations([]int{0, 1, 2, 3, 4}) {
		store := New()
		var holder *LeaseRequest // expected holder
		for step, i := range order {
			request := requests[i]
			result := store.Apply(time.Duration(step)*time.Second, request)
			steps++
			if request.Release {
				if holder != nil && holder.Token == request.Token && holder.Attempt == request.Attempt {
					holder = nil
				}
				continue
			}
			want := holder == nil || holder.Token == request.Token &&
				(holder.Attempt < request.Attempt || holder.Attempt == request.Attempt && holder.Holder == request.Holder)
			assert.Equal(t, result.Granted, want, "request %d of %v", step, order)
			if result.Granted {
				holder = &request
				continue
			}
			assert.Equal(t, result.Current.Token, holder.Token, "request %d of %v", step, order)
			assert.Equal(t, result.Current.Holder, holder.Holder, "request %d of %v", step, order)
		}
	}
	assert.Equal(t, steps, 5*4*3*2*len(requests))
}

// permutations returns all orders of a list.
func permutations(list []int) (orders [][]int) {
	if len(list) == 0 {
		return [][]int{nil}
	}
	for i, first := range list {
		for _, rest := range permutations(slices.Delete(slices.Clone(list), i, i+1)) {
			orders = append(orders, append([]int{first}, rest...))
		}
	}
	return orders
}

// A lease expires after its window, also in a restored store, and expired leases are removed.
func TestLeaseExpiresAfterItsWindow(t *testing.T) {
	other := LeaseRequest{Key: "k", Token: "b", Holder: "y", Window: time.Minute}
	store := New()
	assert.Assert(t, store.Apply(0, LeaseRequest{Key: "k", Token: "a", Holder: "x", Window: time.Minute}).Granted)
	assert.Assert(t, !store.Apply(time.Minute, other).Granted)
	restored := Restore(store.Leases())
	assert.Assert(t, !restored.Apply(time.Minute, other).Granted)
	assert.Assert(t, restored.Apply(time.Minute+1, other).Granted)
	for n := range 1000 {
		restored.Apply(2*time.Minute+2, LeaseRequest{Key: fmt.Sprint(n), Token: "t", Window: time.Minute})
	}
	restored.Apply(4*time.Minute, LeaseRequest{Key: "last", Token: "t", Window: time.Minute})
	assert.Equal(t, restored.Len(), 1, "expired leases are removed")
}

// TestAttemptsOfOneToken checks that a later attempt takes over the lease of an earlier one but not the reverse, whichever holder asks,
// and that only the attempt that has the lease can release it.
func TestAttemptsOfOneToken(t *testing.T) {
	lease := LeaseRequest{Key: "k", Token: "a", Attempt: 1, Holder: "x", Window: time.Minute}
	for _, test := range []struct {
		name    string
		request LeaseRequest
		granted bool
		free    bool // whether another request gets the key afterwards
	}{
		{"repeated by the holder", LeaseRequest{Attempt: 1, Holder: "x"}, true, false},
		{"another holder", LeaseRequest{Attempt: 1, Holder: "y"}, false, false},
		{"an earlier attempt", LeaseRequest{Attempt: 0, Holder: "x"}, false, false},
		{"a later attempt", LeaseRequest{Attempt: 2, Holder: "y"}, true, false},
		{"release by the holder", LeaseRequest{Attempt: 1, Holder: "x", Release: true}, true, true},
		{"release by an earlier attempt", LeaseRequest{Attempt: 0, Holder: "x", Release: true}, true, false},
		{"release by a later attempt", LeaseRequest{Attempt: 2, Holder: "y", Release: true}, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := New()
			assert.Assert(t, store.Apply(0, lease).Granted)
			test.request.Key, test.request.Token, test.request.Window = lease.Key, lease.Token, lease.Window
			assert.Equal(t, store.Apply(time.Second, test.request).Granted, test.granted)
			other := LeaseRequest{Key: lease.Key, Token: "b", Holder: "z", Window: time.Minute}
			assert.Equal(t, store.Apply(2*time.Second, other).Granted, test.free)
		})
	}
}

// TestDefaultWindow checks that a request without a window, as earlier versions send it, gets a lease of defaultWindow, whether or not
// the store is swept in the meantime.
func TestDefaultWindow(t *testing.T) {
	store := New()
	assert.Assert(t, store.Apply(time.Second, LeaseRequest{Key: "k", Token: "a", Holder: "x"}).Granted)
	assert.Assert(t, store.Apply(2*time.Second, LeaseRequest{Key: "short", Token: "a", Holder: "x", Window: time.Second}).Granted)
	other := LeaseRequest{Key: "k", Token: "b", Holder: "y"}
	for now := 2 * time.Second; now <= defaultWindow+time.Second; now += 4 * time.Second {
		assert.Assert(t, !store.Apply(now, other).Granted, "at %v", now)
	}
	assert.Assert(t, store.Apply(defaultWindow+time.Second+1, other).Granted)
}

// TestFullStoreGrantsNothing checks that a full store is swept before it refuses a request, and that the refusal names no lease.
func TestFullStoreGrantsNothing(t *testing.T) {
	store := New()
	for n := range MaxLeases {
		assert.Assert(t, store.Apply(time.Second, LeaseRequest{Key: fmt.Sprint(n), Token: "t", Holder: "x", Window: time.Second}).Granted)
	}
	request := LeaseRequest{Key: "one", Token: "t", Holder: "x", Window: time.Minute}
	assert.Equal(t, store.Apply(2*time.Second, request), LeaseResult{})
	assert.Assert(t, store.Apply(2*time.Second+1, request).Granted)
	assert.Equal(t, store.Len(), 1)
}
