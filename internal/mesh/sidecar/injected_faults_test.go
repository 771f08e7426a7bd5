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

// Injected: a stream ID is used again while the first attempt is in flight. The second attempt is not sent and fails, and the first gets its own
// response. Without the check the first response is lost, or goes to the second attempt.
func TestStreamIDReuseInjected(t *testing.T) {
	t.Parallel()
	for range 5 {
		x := startCallChain(t, 1)
		hold := make(chan struct{})
		x.fakeServers[0].hold.Store(&hold)
		first, second := newAttemptID(), newAttemptID()
		var all sync.WaitGroup
		all.Go(func() {
			if answer := x.callAs(first, onceCall, "plain", "", 5*time.Second); answer.Status != 200 {
				t.Errorf("the first: %+v", answer)
			}
		})
		await(t, func() bool { return x.history.runs(first) == 1 })
		x.near.upstreams.lastStreamID.Add(^uint64(0))
		if answer := x.callAs(second, onceCall, "plain", "", 5*time.Second); answer.Status != 503 {
			t.Errorf("the second: %+v", answer)
		}
		close(hold)
		all.Wait()
		x.assertNoViolations()
	}
}

// Injected: a sidecar assigns responses by the order of their requests instead of by stream ID. They count as broken, and no caller gets the
// response to another call.
func TestAnswersByOrderInjected(t *testing.T) {
	t.Parallel()
	x := startCallChain(t, 1)
	const pairs = 10
	for range pairs {
		hold := make(chan struct{})
		x.fakeServers[0].hold.Store(&hold)
		ids := []string{newAttemptID(), newAttemptID()}
		var mu sync.Mutex
		of := map[string]uint64{}
		x.upstreamRelays[0].mu.Lock()
		x.upstreamRelays[0].change = func(p relayedMessage) []byte {
			m, err := codec.Decode(p.raw[4:])
			a, is := m.Value.(*wire.ResponseT)
			if err != nil || !is {
				return p.raw
			}
			mu.Lock()
			defer mu.Unlock()
			if id, known := of[p.attempt]; known {
				a.Id = id
			}
			return codec.Encode(a)
		}
		x.upstreamRelays[0].mu.Unlock()
		var all sync.WaitGroup
		for _, id := range ids {
			all.Go(func() {
				if answer := x.callAs(id, onceCall, "plain", "", 5*time.Second); answer.Status != 502 {
					t.Errorf("%s: %+v", id, answer)
				}
			})
		}
		await(t, func() bool { return x.history.runs(ids[0])+x.history.runs(ids[1]) == 2 })
		numbers := map[string]uint64{}
		for _, to := range x.near.upstreams.byAddr {
			to.mu.Lock()
			for n, p := range to.attempts {
				numbers[p.attemptID] = n
			}
			to.mu.Unlock()
		}
		mu.Lock()
		of[ids[0]], of[ids[1]] = numbers[ids[1]], numbers[ids[0]]
		mu.Unlock()
		close(hold)
		all.Wait()
	}
	x.assertNoViolations()
}

// injectEnding makes a code stand for another ending until the test ends. The table is the package's, so no test runs in parallel meanwhile.
func injectEnding(t *testing.T, code byte, as balancer.Ending) {
	t.Helper()
	was := endingsByCode[code]
	endingsByCode[code] = as
	t.Cleanup(func() { endingsByCode[code] = was })
}

// countViolations returns the number of violations of a kind.
func (x *callChain) countViolations(kind string) (n int) {
	for _, v := range x.history.violations() {
		if len(v) >= len(kind) && v[:len(kind)] == kind {
			n++
		}
	}
	return n
}

// Injected: a call whose bytes were sent is retried, or reported as not executed. Each fault is found by cutting a response.
func TestRetriesInjected(t *testing.T) {
	for _, c := range []struct {
		name    string
		as      balancer.Ending
		servers int
		kind    string
	}{{"tried again", balancer.Unreachable, 2, "TWICE"}, {"called not run", balancer.Overloaded, 1, "REFUSED"}} {
		t.Run(c.name, func(t *testing.T) {
			injectEnding(t, codeBroken, c.as)
			x := startCallChain(t, c.servers)
			points := x.sweep(toServer, onceCall, cutReset, true, 0, 5)
			found := x.countViolations(c.kind)
			t.Logf("found in %d of %d cuts", found, points)
			if found == 0 {
				t.Error("not found")
			}
		})
	}
}

// Injected: the control plane grants a key to a second sidecar while the first holds its lease, as a member that lags might. The fault is found as
// a second run.
func TestLateGrantInjected(t *testing.T) {
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
	t.Logf("found for %d of %d keys", found, keys)
	if found == 0 {
		t.Error("not found")
	}
}
