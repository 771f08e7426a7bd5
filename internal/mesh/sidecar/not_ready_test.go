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

// readinessStatus returns the status of a readiness check; 0: there was no answer.
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

// A sidecar that is told to shut down is not ready from then on, while it still runs and finishes a call.
func TestNotReadyFromTheSignalOn(t *testing.T) {
	x := startCallChain(t, 1)
	hold := make(chan struct{})
	x.fakeServers[0].hold.Store(&hold)
	s := x.newSidecar("shuts down", "caller")
	changed := *s.env.settings.Load()
	changed.Bounds.GraceS = 4 // of which 2 s are for callers to move on
	s.Reload(changed)
	ctx, signal := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Run(ctx)
	}()
	await(t, func() bool { return s.readinessStatus(t) == http.StatusOK })
	signal()
	awaitPromptly(t, "it is still ready", func() bool { return s.readinessStatus(t) == http.StatusServiceUnavailable })
	select {
	case <-ended:
		t.Error("it has ended already")
	default:
	}
	close(hold)
	testkit.Wait(t, ended)
}

// While no configuration is known, each request is rejected with 503 and Retry-After: none with a 4xx, which says that its route does not exist.
func TestNoConfigurationRejectsAsNotRun(t *testing.T) {
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
