package sidecar

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/memberselection"
	"cranegrade/internal/mesh/transport/wire"
)

// If no lease request has been answered for claimStallTimeout, all but maxProbingClaims fail immediately, so that they do not occupy capacity. After
// the first response, all may wait again.
func TestClaimBreaker(t *testing.T) {
	const ms = time.Millisecond
	var b claimBreaker
	waiting := 0
	admit := func(at time.Duration) bool {
		ok := b.admit(at)
		if ok {
			waiting++
		}
		return ok
	}
	for at := range 20 { // before the time-out any number may wait
		assert.Assert(t, admit(time.Duration(at)*10*ms))
	}
	b.finish(195*ms, false) // its own time-out was shorter than claimStallTimeout
	waiting--
	assert.Assert(t, admit(198*ms))
	assert.Assert(t, !admit(201*ms), "none was answered within claimStallTimeout")
	for ; waiting > 0; waiting-- {
		b.finish(400*ms, false)
	}
	assert.Assert(t, admit(500*ms) && admit(510*ms) && !admit(520*ms), "only maxProbingClaims may wait while the breaker is open")
	b.finish(530*ms, true)
	for at := range 10 {
		assert.Assert(t, admit((540+time.Duration(at))*ms))
	}
	b.finish(740*ms, true) // a slow response keeps the breaker closed, and starts claimStallTimeout anew
	assert.Assert(t, admit(930*ms))
	assert.Assert(t, !admit(941*ms))
}

// If the followed member is silent while a lease request waits, the sidecar closes the connection long before it would time out.
func TestSilentMemberIsAbandonedWhileClaimWaits(t *testing.T) {
	t.Parallel()
	s, conn, _ := newFollowingSidecar(t)
	ctx, cancel := context.WithCancel(context.Background())
	waited := make(chan error, 1)
	go func() {
		_, err := s.claims.claim(ctx, &wire.KeyLeaseRequestT{Key: "k"})
		waited <- err
	}()
	<-conn.Done()
	assert.ErrorIs(t, conn.Err(), memberselection.SilentWhileRequestsWait)
	assert.ErrorContains(t, conn.Err(), "the member sent no message while requests were waiting for its answer")
	cancel()
	assert.ErrorIs(t, <-waited, context.Canceled)
}
