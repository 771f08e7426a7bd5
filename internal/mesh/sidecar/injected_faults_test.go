package sidecar

import (
	"sync"
	"testing"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/mesh/idempotency"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// Injected fault: the sidecar reuses a stream ID while the first attempt is in flight. The second attempt fails without being sent, and the first gets
// its own response. Without the check in upstream.add, the first response would be lost or go to the second attempt.
func TestStreamIDReuseInjected(t *testing.T) {
	t.Parallel()
	for range 5 {
		x := startCallChain(t, 1)
		hold := make(chan struct{})
		x.fakeServers[0].hold.Store(&hold)
		first, second := newAttemptID(), newAttemptID()
		var all sync.WaitGroup
		all.Go(func() {
			if answer := x.callWithID(first, onceCall, "plain", "", 5*time.Second); answer.Status != 200 {
				t.Errorf("unexpected response to the first call: %+v", answer)
			}
		})
		await(t, func() bool { return x.history.runs(first) == 1 })
		x.near.upstreams.lastStreamID.Add(^uint64(0))
		if answer := x.callWithID(second, onceCall, "plain", "", 5*time.Second); answer.Status != 503 {
			t.Errorf("unexpected response to the second call: %+v", answer)
		}
		close(hold)
		all.Wait()
		x.assertNoViolations()
	}
}

// Injected fault: two responses on an upstream are sent with each other's stream ID. Both attempts end as broken, and no caller gets the response to
// another call.
func TestSwappedStreamIDsInjected(t *testing.T) {
	t.Parallel()
	x := startCallChain(t, 1)
	const pairs = 10
	for range pairs {
		hold := make(chan struct{})
		x.fakeServers[0].hold.Store(&hold)
		ids := []string{newAttemptID(), newAttemptID()}
		var mu sync.Mutex
		swappedIDs := map[string]uint64{} // by Attempt-Id
		x.upstreamRelays[0].mu.Lock()
		x.upstreamRelays[0].change = func(p relayedMessage) []byte {
			m, err := codec.Decode(p.raw[4:])
			a, is := m.Value.(*wire.ResponseT)
			if err != nil || !is {
				return p.raw
			}
			mu.Lock()
			defer mu.Unlock()
			if id, isSwapped := swappedIDs[p.attempt]; isSwapped {
				a.Id = id
			}
			return codec.Encode(a)
		}
		x.upstreamRelays[0].mu.Unlock()
		var all sync.WaitGroup
		for _, id := range ids {
			all.Go(func() {
				if answer := x.callWithID(id, onceCall, "plain", "", 5*time.Second); answer.Status != 502 {
					t.Errorf("%s: %+v", id, answer)
				}
			})
		}
		await(t, func() bool { return x.history.runs(ids[0])+x.history.runs(ids[1]) == 2 })
		openStreamIDs := map[string]uint64{}
		for _, to := range x.near.upstreams.byAddr {
			to.mu.Lock()
			for n, p := range to.attempts {
				openStreamIDs[p.attemptID] = n
			}
			to.mu.Unlock()
		}
		mu.Lock()
		swappedIDs[ids[0]], swappedIDs[ids[1]] = openStreamIDs[ids[1]], openStreamIDs[ids[0]]
		mu.Unlock()
		close(hold)
		all.Wait()
	}
	x.assertNoViolations()
}

// injectEnding maps a wire code to another ending until the test ends. It changes a package variable, so the test must not run in parallel.
func injectEnding(t *testing.T, code byte, as balancer.Ending) {
	t.Helper()
	original := endingsByCode[code]
	endingsByCode[code] = as
	t.Cleanup(func() { endingsByCode[code] = original })
}

// countViolations returns the number of violations with a kind, the prefix of their text.
func (x *callChain) countViolations(kind string) (n int) {
	for _, v := range x.history.violations() {
		if len(v) >= len(kind) && v[:len(kind)] == kind {
			n++
		}
	}
	return n
}

// Injected faults: a call that was sent is retried, or is reported as not executed. The violations that cut responses cause must be detected.
func TestUnsafeRetriesInjected(t *testing.T) {
	for _, c := range []struct {
		name    string
		as      balancer.Ending
		servers int
		kind    string
	}{{"retried", balancer.Unreachable, 2, "TWICE"}, {"reported as not executed", balancer.Overloaded, 1, "REFUSED"}} {
		t.Run(c.name, func(t *testing.T) {
			injectEnding(t, codeBroken, c.as)
			x := startCallChain(t, c.servers)
			points := x.cutAtOffsets(toServer, onceCall, cutReset, true, 0, 5)
			found := x.countViolations(c.kind)
			t.Logf("violation detected in %d of %d cuts", found, points)
			if found == 0 {
				t.Error("the injected fault was not detected")
			}
		})
	}
}

// Injected fault: the control plane grants every lease request, also for a key that another sidecar has leased, as a stale member might. The second run
// of a key must be detected.
func TestDuplicateLeaseInjected(t *testing.T) {
	t.Parallel()
	x := startCallChain(t, 2)
	x.controlPlane.mu.Lock()
	x.controlPlane.overrideGrant = func(_ idempotency.LeaseRequest, _ idempotency.LeaseResult) idempotency.LeaseResult {
		return idempotency.LeaseResult{Granted: true}
	}
	x.controlPlane.mu.Unlock()
	const keys = 20
	for range keys {
		attempt := newAttemptID()
		key := "k-" + attempt
		for range 4 {
			x.call(keyedCall, "plain", key, 2*time.Second)
		}
	}
	found := x.countViolations("TWICE")
	t.Logf("violation detected for %d of %d keys", found, keys)
	if found == 0 {
		t.Error("the injected fault was not detected")
	}
}
