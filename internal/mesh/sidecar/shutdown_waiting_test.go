package sidecar

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/testkit"
)

// A sidecar shuts down while a call waits, since there is no server for it. The call was read, and its connection ended with the process, without an
// answer, though it had not run anywhere: TestSoak, in eight of 25 seeds with nothing but planned work, saw calls on open connections end like that 0.76 to 1.27 s
// after their last byte, while the servers of their service were being replaced. It is answered 503, with a time to come back.
func TestShutdownAnswersWaitingCalls(t *testing.T) {
	x := startCallChain(t, 1)
	changed := *x.near.env.settings.Load()
	changed.Bounds.GraceS = settings.Seconds(2)
	x.near.Reload(changed)
	x.far[0].localServer.deregister(x.fakeServers[0].id)
	engine := x.near.pools.get("stock").pool.Engine()
	var caller *callerConn
	await(t, func() bool { // until the caller's sidecar knows that there is no server
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
