package sidecar

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/testkit"
)

// A sidecar shuts down while a call waits because its service has no server. The call must be answered with a 503 and a Retry-After. In the fault
// that this test guards against, the connection ended with the process without a response, although the call had not run anywhere: in 8 of 25 seeds
// of TestSoak with only planned work, calls on open connections ended like that 0.76 to 1.27 s after their last byte, while the servers of their
// service were being replaced.
func TestShutdownAnswersWaitingCalls(t *testing.T) {
	x := startCallChain(t, 1)
	changed := *x.near.env.settings.Load()
	changed.Bounds.GraceS = settings.Seconds(2)
	x.near.Reload(changed)
	x.far[0].localServer.deregister(x.fakeServers[0].id)
	engine := x.near.pools.get("stock").pool.Engine()
	var caller *callerConn
	await(t, func() bool { // until the caller's sidecar has removed the server from its list
		caller = x.dial()
		caller.write(newAttemptID(), onceCall, testkit.Limit)
		await(t, func() bool { return engine.OpenCalls() > 0 || caller.hasAnswer() })
		return engine.OpenCalls() > 0 && !caller.hasAnswer()
	})
	x.terminateNear()
	assert.NilError(t, caller.c.SetReadDeadline(time.Now().Add(promptTimeout))) // far longer than the grace period
	answer := caller.readAnswer()
	assert.Equal(t, answer.Status, http.StatusServiceUnavailable)
	assert.Assert(t, answer.RetryAfter != "")
}
