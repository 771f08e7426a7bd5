package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/testkit"
)

// blockedAnswerBytes is the length of a response that is several times as long as its window, and longer than what
// is added to the window at once.
const blockedAnswerBytes = 5 * shutdownWindowBytes / 2

// A long response waits at the server's sidecar, since the caller has pipelined its call behind one that is not answered yet. When that sidecar shuts
// down, the response must still arrive whole. In the fault that this test guards against it was cut after the 256 KiB of its window, although the server
// had sent all of it: in 3 of 65 seeds of TestSoak, with the responses behind it.
func TestShutdownSendsAnswerBehindWaitingCall(t *testing.T) {
	x := startCallChain(t, 1)
	changed := *x.far[0].env.settings.Load()
	changed.Bounds.GraceS = settings.Seconds(4)
	x.far[0].Reload(changed)
	body := strings.Repeat("x", blockedAnswerBytes)
	answered := make(chan struct{})
	x.attachServer(0, func(a *arrival) bool {
		if !strings.HasSuffix(a.request.URL.Path, "/long") {
			a.awaitEnd() // it is answered in its server's place once its budget is used up
			return false
		}
		_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nContent-Length: %d\r\n\r\n%s",
			a.attemptID(), sealOf(a.attemptID()), len(body), body)
		close(answered)
		return false
	})
	const budget = 5 * time.Second // longer than the shutdown of the server's sidecar
	waiting := strings.Replace(getText(), "\r\n\r\n", fmt.Sprintf("\r\nTime-Budget: %d\r\n\r\n", budget.Milliseconds()), 1)
	caller := x.dial()
	_, err := io.WriteString(caller.c, waiting+longGetText())
	assert.NilError(t, err)
	await(t, func() bool { // until the window of the long response is exhausted
		for _, request := range x.far[0].inbound.listRequests() {
			if !request.sendWindow.hasCapacity() {
				return true
			}
		}
		return false
	})
	x.terminateFar[0]()
	receivePromptly(t, "the server can't send its whole response", answered)
	assert.NilError(t, caller.c.SetReadDeadline(time.Now().Add(testkit.Limit)))
	assert.Assert(t, caller.readAnswer().Status >= http.StatusInternalServerError, "the call ahead is answered, too")
	answer := caller.readAnswer()
	assert.Equal(t, answer.Status, http.StatusOK, "the response is cut")
	assert.Assert(t, answer.Body == body, "%d bytes of %d", len(answer.Body), len(body))
}

// Windows are enlarged while they are exhausted, at most by the bound in all, and not after their requests have ended.
func TestShutdownWindowsAreBounded(t *testing.T) {
	conn := &inboundConn{requests: map[uint64]*inboundRequest{1: {}, 2: {}, 3: {}}}
	server := &inboundServer{conns: map[*inboundConn]bool{conn: true}}
	conn.requests[2].sendWindow.add(1)
	conn.requests[3].sendWindow.close()
	for n := range maxShutdownWindowBytes / shutdownWindowBytes {
		assert.Equal(t, server.enlargeWindows(maxShutdownWindowBytes-n*shutdownWindowBytes), maxShutdownWindowBytes-(n+1)*shutdownWindowBytes)
		assert.Equal(t, server.enlargeWindows(maxShutdownWindowBytes), maxShutdownWindowBytes, "it is not exhausted")
		assert.Assert(t, conn.requests[1].sendWindow.acquire(t.Context(), shutdownWindowBytes))
	}
	assert.Equal(t, server.enlargeWindows(0), 0)
	assert.Assert(t, !conn.requests[1].sendWindow.hasCapacity())
	assert.Assert(t, conn.requests[3].sendWindow.isClosed())
	assert.Equal(t, conn.requests[2].sendWindow.available, 1)
}
