package sidecar

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testkit"
)

// readinessStatus returns the status of a readiness check, or 0 if it was not answered.
func (s *Sidecar) readinessStatus(t testing.TB) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.readinessListener.Addr().String()+"/v1/readiness", nil)
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// A sidecar is not ready from the moment when it begins to shut down, although it still runs for the grace period.
func TestNotReadyDuringShutdown(t *testing.T) {
	x := startCallChain(t, 1)
	hold := make(chan struct{})
	x.fakeServers[0].hold.Store(&hold)
	s := x.newSidecar("shuts down", "caller")
	changed := *s.env.settings.Load()
	changed.Bounds.GraceS = 4 // 2 s of it are for callers to switch to other sidecars
	s.Reload(changed)
	ctx, signal := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Run(ctx)
	}()
	await(t, func() bool { return s.readinessStatus(t) == http.StatusOK })
	signal()
	awaitPromptly(t, "the sidecar is still ready", func() bool { return s.readinessStatus(t) == http.StatusServiceUnavailable })
	select {
	case <-ended:
		t.Error("the sidecar has already ended")
	default:
	}
	close(hold)
	testkit.Wait(t, ended)
}

// Before the first configuration has arrived, all requests are rejected with 503 and Retry-After, not with a 4xx status, which would mean that the
// route does not exist.
func TestRequestsRejectedWithoutConfiguration(t *testing.T) {
	x := startCallChain(t, 1)
	s := x.newSidecar("without a control plane", "caller")
	unreachable := *s.env.settings.Load()
	unreachable.SeedNodes = []string{"127.0.0.1:1"}
	unreachable.InternalPortRange = []int{1, 2}
	s.Reload(unreachable)
	runSidecar(t, s)
	caller := &callChain{t: t, history: x.history, near: s}
	await(t, func() bool { return s.outbound.front.Load() != nil })
	for _, kind := range []kindOfCall{onceCall, keyedCall, repeatableCall, "unknown"} {
		for _, how := range []string{"plain", "upload"} {
			conn := caller.dial()
			_ = conn.c.SetDeadline(time.Now().Add(testkit.Limit))
			_, err := io.WriteString(conn.c, requestText(newAttemptID(), kind, how, "", time.Second))
			assert.NilError(t, err)
			answer := conn.readAnswer()
			assert.Assert(t, answer.Status == http.StatusServiceUnavailable && answer.RetryAfter != "", "%s %s: %+v", kind, how, answer)
			conn.c.Close()
		}
	}
	assert.Equal(t, s.readinessStatus(t), http.StatusServiceUnavailable)
}
