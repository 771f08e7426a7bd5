package sidecar

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/idempotency"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// nextReleases receives the next call that releases key leases at the member, and returns it with its keys.
func nextReleases(t *testing.T, far *transport.Conn) (call *wire.CallT, keys []string) {
	t.Helper()
	for {
		m, err := far.Receive()
		assert.NilError(t, err)
		call, is := m.Value.(*wire.CallT)
		if !is || call.Kind != codec.CallLeaseKeys {
			continue
		}
		for _, release := range wire.GetRootAsKeyLeaseRequests(call.Body, 0).UnPack().List {
			assert.Assert(t, release.Release)
			keys = append(keys, release.Key)
		}
		return call, keys
	}
}

// Releases are sent in order, and again until a member has acknowledged them.
func TestReleasesAreSentUntilAcknowledged(t *testing.T) {
	s, _, far := newFollowingSidecar(t)
	s.releases.add(&wire.KeyLeaseRequestT{Key: "a", Release: true})
	s.releases.add(&wire.KeyLeaseRequestT{Key: "b", Release: true})
	go s.releases.run()
	call, keys := nextReleases(t, far)
	assert.DeepEqual(t, keys, []string{"a", "b"})
	s.releases.add(&wire.KeyLeaseRequestT{Key: "c", Release: true})
	far.Send(&wire.CallReplyT{Id: call.Id, Status: http.StatusServiceUnavailable})
	call, keys = nextReleases(t, far)
	assert.DeepEqual(t, keys, []string{"a", "b"})
	far.Send(&wire.CallReplyT{Id: call.Id, Status: http.StatusOK})
	_, keys = nextReleases(t, far)
	assert.DeepEqual(t, keys, []string{"c"})
}

func TestReleaseQueueIsBounded(t *testing.T) {
	q := newReleaseQueue(nil, nil)
	for range maxPendingReleases + 1 {
		q.add(&wire.KeyLeaseRequestT{})
	}
	assert.Equal(t, len(q.takePending()), maxPendingReleases)
	assert.Equal(t, len(q.takePending()), 0)
}

// Guards against a key that counts as lost though its request never ran. A sidecar had stopped waiting for the key's lease and answered 503; the lease was
// granted later, and until its release was committed, a repeat of the key found the sidecar itself as the holder and got 502.
func TestRepeatBeforeReleaseOfOwnLease(t *testing.T) {
	x := startCallChain(t, 1)
	x.controlPlane.mu.Lock()
	x.controlPlane.overrideGrant = func(claim idempotency.LeaseRequest, granted idempotency.LeaseResult) idempotency.LeaseResult {
		if claim.Release {
			return granted
		}
		earlier := idempotency.LeaseRequest{Key: claim.Key, Token: "earlier", Holder: x.far[0].env.leaseHolder()}
		x.controlPlane.store.Apply(time.Second, idempotency.LeaseRequest{Key: claim.Key, Token: claim.Token, Holder: claim.Holder, Release: true})
		return idempotency.LeaseResult{Current: idempotency.Lease{LeaseRequest: earlier}}
	}
	x.controlPlane.mu.Unlock()
	answer := x.call(keyedCall, "plain", "k-1", time.Second)
	assert.Equal(t, answer.Status, http.StatusServiceUnavailable, "%+v", answer)
	x.controlPlane.mu.Lock()
	x.controlPlane.overrideGrant = nil
	x.controlPlane.mu.Unlock()
	await(t, func() bool { return x.call(keyedCall, "plain", "k-1", time.Second).Status == http.StatusOK })
	x.assertNoViolations()
}
