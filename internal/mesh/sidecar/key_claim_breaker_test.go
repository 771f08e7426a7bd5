package sidecar

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/memberselection"
	"cranegrade/internal/mesh/transport/wire"
)

// Once no lease request has been answered for a while, all but a few fail at once, so that they do not occupy capacity. After the first response
// they may wait again.
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
	for at := range 20 { // in time: as many as come
		assert.Assert(t, admit(time.Duration(at)*10*ms))
	}
	b.finish(195*ms, false) // whose own time was short
	waiting--
	assert.Assert(t, admit(198*ms))
	assert.Assert(t, !admit(201*ms), "none was answered for a while")
	for ; waiting > 0; waiting-- {
		b.finish(400*ms, false)
	}
	assert.Assert(t, admit(500*ms) && admit(510*ms) && !admit(520*ms), "a few probe")
	b.finish(530*ms, true)
	for at := range 10 {
		assert.Assert(t, admit((540+time.Duration(at))*ms))
	}
	b.finish(740*ms, true) // answers come, slowly
	assert.Assert(t, admit(930*ms))
	assert.Assert(t, !admit(941*ms))
}

// A member that is silent while a lease request waits is left long before its connection would time out.
func TestSilentMemberIsLeftWhileClaimWaits(t *testing.T) {
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
	assert.ErrorContains(t, conn.Err(), "silent while requests wait for it")
	cancel()
	assert.ErrorIs(t, <-waited, context.Canceled)
}
