package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testkit"
)

// These tests guard against an answer that is cut by a reset of its connection. The sidecar had written the whole answer and closed its socket at once;
// bytes of the caller that were unread, or arrived later, made the kernel reset the connection and drop what was not sent yet.

const (
	// slowReceiveBuffer is the receive buffer of a caller, in bytes, so that most of a long answer waits in the kernel of the sidecar.
	slowReceiveBuffer = 4 << 10
	// streamedBytes is the length of a response that is passed on as it comes.
	streamedBytes = 150_000
	// answerWriteTime is far longer than the sidecar takes to write an answer and to close the connection behind it.
	answerWriteTime = 500 * time.Millisecond
)

// dialSlow opens a connection of a caller that receives little before it reads.
func (x *callChain) dialSlow() *callerConn {
	x.t.Helper()
	dialer := net.Dialer{Control: testkit.LimitReceiveBuffer(slowReceiveBuffer)}
	c, err := dialer.Dial("tcp4", x.outbound())
	assert.NilError(x.t, err)
	x.t.Cleanup(func() { c.Close() })
	return &callerConn{x: x, c: c, r: bufio.NewReader(c)}
}

// send writes text, which the sidecar has acted on when it returns.
func (c *callerConn) send(text string) {
	c.x.t.Helper()
	_, err := io.WriteString(c.c, text)
	assert.NilError(c.x.t, err)
	time.Sleep(answerWriteTime)
}

// longGetText returns the text of an idempotent call with a long answer.
func longGetText() string { return strings.Replace(getText(), "/plain ", "/long ", 1) }

// assertLongAnswer reads an answer, which must be a whole long one.
func (c *callerConn) assertLongAnswer() {
	c.x.t.Helper()
	assert.NilError(c.x.t, c.c.SetReadDeadline(time.Now().Add(testkit.Limit)))
	answer := c.readAnswer()
	assert.Equal(c.x.t, answer.Status, http.StatusOK, "the answer is not whole")
	assert.Assert(c.x.t, strings.HasSuffix(answer.Body, "xxx"))
}

// A call that is sent before its caller can see that an answer closes the connection does not cut that answer.
func TestPipelinedCallDoesNotCutClosingAnswer(t *testing.T) {
	x := startCallChain(t, 1)
	x.near.outbound.drain(true)
	caller := x.dialSlow()
	caller.send(longGetText())
	caller.send(getText())
	caller.assertLongAnswer()
	assert.Assert(t, caller.mustRedial)
}

// More calls than are read ahead do not cut the answer that closes their connection.
func TestUnreadCallsDoNotCutClosingAnswer(t *testing.T) {
	x := startCallChain(t, 1)
	x.near.outbound.drain(true)
	caller := x.dialSlow()
	caller.send(longGetText() + strings.Repeat(getText(), 1000))
	caller.assertLongAnswer()
}

// The answer to a pipelined call with a chunked body, which closes the connection in calm times, too, is not cut by the next call.
func TestCallDoesNotCutAnswerToPipelinedChunks(t *testing.T) {
	x := startCallChain(t, 1)
	caller := x.dialSlow()
	caller.send(longGetText() + fmt.Sprintf("POST /%s/long HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxx\r\n0\r\n\r\n",
		onceCall, chainHost, newAttemptID()))
	caller.send(getText())
	caller.assertLongAnswer()
	caller.assertLongAnswer()
}

// A connection that is idle while its last answer is still on its way is not cut when idle connections are closed.
func TestIdleCloseDoesNotCutLastAnswer(t *testing.T) {
	x := startCallChain(t, 1)
	caller := x.dialSlow()
	caller.send(longGetText())
	x.near.outbound.drain(true)
	x.near.outbound.closeIdle()
	caller.send(getText())
	caller.assertLongAnswer()
}

// An answer that breaks off does not cut the whole answer before it on its connection.
func TestBrokenAnswerDoesNotCutAnswerBefore(t *testing.T) {
	x := startCallChain(t, 1)
	x.attachServer(0, func(a *arrival) bool {
		if strings.HasSuffix(a.request.URL.Path, "/long") {
			_, err := io.WriteString(a.conn, scriptedResponse("long", a.attemptID(), ""))
			return err == nil
		}
		a.beginChunks()
		a.writeChunk(strings.Repeat("x", streamedBytes))
		return false
	})
	caller := x.dialSlow()
	caller.send(longGetText())
	caller.send(getText())
	caller.assertLongAnswer()
	assert.Equal(t, caller.readAnswer().Status, 0, "an answer that broke off is taken for a whole one")
}
