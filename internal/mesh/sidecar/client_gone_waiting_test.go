package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testkit"
)

// These tests guard against two faults in which a server went on running a call after its caller had disconnected.
//
// Pipelined requests: while net/http serves a request it reads one byte ahead to detect the end of the connection. Once it has received a byte of a
// pipelined request it stops reading, so the front has to read on in its place. It did so only once, and did not act on the end of the connection
// that it saw: of two calls in two segments, the server still ran both 5 s after their caller had closed the connection. The same happened if more
// bytes were pipelined than are buffered, and while a body waits to be read by the server, since then nothing reads the connection.
//
// Streamed responses: the wait for a flow-control window ignored the cancellation of the request. The sidecar beside the server still counted the
// request 5 s after its caller had closed the connection (inbound.openRequests was 2 instead of 1).

// startHangingCalls returns a chain whose server never responds. Each call that the server receives is sent on running, and ended receives a value
// when the server sees the end of its connection.
func startHangingCalls(t *testing.T) (x *callChain, running chan *arrival, ended chan bool) {
	x = startCallChain(t, 1)
	running, ended = make(chan *arrival, maxScriptedArrivals), make(chan bool, maxScriptedArrivals)
	x.attachServer(0, func(a *arrival) bool {
		running <- a
		a.awaitEnd()
		ended <- true
		return false
	})
	x.occupyUpstream()
	return x, running, ended
}

// getText returns the HTTP/1.1 text of an idempotent call without a body, which may be pipelined.
func getText() string {
	return fmt.Sprintf("GET /%s/plain HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n\r\n", repeatableCall, chainHost, newAttemptID())
}

// Calls that are pipelined one by one behind a running call start as they arrive, and all are cancelled when the caller disconnects.
func TestClientGoneCancelsCallsPipelinedOneByOne(t *testing.T) {
	const calls = 3 // with five, one of the later calls did not start within 5 s; the cause is unknown
	x, running, ended := startHangingCalls(t)
	caller := x.dial()
	for range calls {
		_, err := io.WriteString(caller.c, getText())
		assert.NilError(t, err)
		receivePromptly(t, "a pipelined call did not start before the responses to earlier calls", running)
	}
	caller.c.Close()
	for range calls {
		receivePromptly(t, "the server still runs a call whose caller has disconnected", ended)
	}
	x.awaitOpenCalls(1)
}

// A caller pipelines more bytes behind a running call than are buffered, and then disconnects: the running calls are cancelled.
func TestClientGoneWithFullPipelineBuffer(t *testing.T) {
	x, running, ended := startHangingCalls(t)
	caller := x.dial()
	_, err := io.WriteString(caller.c, getText())
	assert.NilError(t, err)
	receivePromptly(t, "the call did not reach the server", running)
	_, err = io.WriteString(caller.c, strings.Repeat(getText(), 1000))
	assert.NilError(t, err)
	time.Sleep(flowControlStallTime)
	caller.c.Close()
	receivePromptly(t, "the server still runs a call whose caller has disconnected", ended)
	x.awaitOpenCalls(1)
}

// A caller resets its connection while the rest of its long body is blocked, because the server does not read it: the call is cancelled. A reset is
// used because an orderly close would only arrive behind the blocked bytes.
func TestClientGoneWhileUploadIsBlocked(t *testing.T) {
	x := startCallChain(t, 1)
	running, ended := make(chan *arrival, maxScriptedArrivals), make(chan bool, maxScriptedArrivals)
	callerGone := make(chan bool)
	x.attachServer(0, func(a *arrival) bool {
		running <- a
		<-callerGone
		a.awaitEnd()
		ended <- true
		return false
	})
	x.occupyUpstream()
	caller := x.dial()
	const bodyBytes = 64 << 20 // more than all buffers on the path can store
	_, err := fmt.Fprintf(caller.c, "POST /%s/plain HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n",
		repeatableCall, chainHost, newAttemptID(), bodyBytes)
	assert.NilError(t, err)
	assert.NilError(t, caller.c.SetWriteDeadline(time.Now().Add(flowControlStallTime)))
	_, err = io.Copy(caller.c, strings.NewReader(strings.Repeat("x", bodyBytes)))
	assert.Assert(t, err != nil, "the sidecars accepted the whole body although the server does not read it")
	receivePromptly(t, "the call did not reach the server", running)
	assert.NilError(t, caller.c.(*net.TCPConn).SetLinger(0))
	caller.c.Close()
	x.awaitOpenCalls(1)
	close(callerGone)
	receivePromptly(t, "the server still waits for the body of a caller that has disconnected", ended)
}

// The connection between the sidecars ends during a pause of a streamed response: the connection to the server is closed, also for a call that may
// run only once.
func TestUpstreamGoneCancelsStream(t *testing.T) {
	for _, kind := range []kindOfCall{repeatableCall, onceCall} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			x := startCallChain(t, 1)
			ended := make(chan bool, maxScriptedArrivals)
			x.attachServer(0, func(a *arrival) bool {
				a.readBody()
				a.beginChunks()
				a.writeChunk("one piece")
				a.awaitEnd()
				ended <- true
				return false
			})
			caller := x.dial()
			caller.write(newAttemptID(), kind, testkit.Limit)
			caller.readHead()
			x.near.upstreams.get(x.upstreamRelays[0].addr).close()
			receivePromptly(t, "the server still streams although the connection between the sidecars has ended", ended)
			awaitPromptly(t, "the request is still open at the server's sidecar", func() bool { return x.far[0].inbound.openRequests.Load() == 0 })
			assert.NilError(t, caller.c.SetReadDeadline(time.Now().Add(testkit.Limit)))
			_, err := io.Copy(io.Discard, caller.c)
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the caller still waits for the rest of the response")
		})
	}
}
