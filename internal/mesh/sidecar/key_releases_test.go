package sidecar

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

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
