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

const (
	// promptTimeout bounds the wait for events that must happen without waiting for any time-out. It is well below the time-out of the routes of a
	// callChain, and far longer than such events take.
	promptTimeout = 5 * time.Second
	// maxScriptedArrivals is the capacity of channels to which scripted servers send what arrives, so that they do not block if the test does not receive.
	maxScriptedArrivals = 256
)

// arrival is a request at a scripted server that has read its head, but not its body.
type arrival struct {
	conn    net.Conn
	reader  *bufio.Reader
	request *http.Request
}

// attemptID returns the Attempt-Id of the request.
func (a *arrival) attemptID() string { return a.request.Header.Get(headerAttemptID) }

// readBody reads and discards the body of the request.
func (a *arrival) readBody() { _, _ = io.Copy(io.Discard, a.request.Body) }

// succeed sends a complete successful response.
func (a *arrival) succeed() {
	_, _ = io.WriteString(a.conn, scriptedResponse("plain", a.attemptID(), ""))
}

// beginChunks writes the head of a successful response with chunked transfer coding.
func (a *arrival) beginChunks() {
	fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		a.attemptID(), sealOf(a.attemptID()))
}

// writeChunk writes one chunk of a body. It returns false if the connection has ended.
func (a *arrival) writeChunk(data string) bool {
	_, err := fmt.Fprintf(a.conn, "%x\r\n%s\r\n", len(data), data)
	return err == nil
}

// awaitEnd reads until the peer closes the connection.
func (a *arrival) awaitEnd() { _, _ = io.Copy(io.Discard, a.reader) }

// attachServer replaces the nth server by a scripted one. It calls serve for each request on a connection until that returns false, and then closes
// the connection. It does not pass the calls of occupyUpstream to serve, and never answers them.
func (x *callChain) attachServer(n int, serve func(*arrival) (more bool)) {
	x.t.Helper()
	x.heartbeat(n, x.scriptedServer(serve), "ready", 2)
}

// scriptedServer starts a server for attachServer, and returns its address.
func (x *callChain) scriptedServer(serve func(*arrival) (more bool)) (addr string) {
	x.t.Helper()
	testEnds := make(chan struct{})
	x.t.Cleanup(func() { close(testEnds) })
	return testkit.Listen(x.t, func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if strings.HasSuffix(request.URL.Path, occupyingPath) {
				<-testEnds
				return
			}
			if !serve(&arrival{conn: c, reader: r, request: request}) {
				return
			}
		}
	})
}

// occupyingPath is the end of the path of calls that last until the test ends.
const occupyingPath = "/occupy"

// occupyUpstream makes a call that lasts until the test ends. Without one, the transport would close a connection on which only one side waits. That
// would end requests that the test expects to be cancelled by a message.
func (x *callChain) occupyUpstream() {
	x.t.Helper()
	caller := x.dial()
	x.t.Cleanup(func() { caller.c.Close() })
	text := requestText(newAttemptID(), repeatableCall, strings.TrimPrefix(occupyingPath, "/"), "", testkit.Limit)
	_, err := io.WriteString(caller.c, text)
	assert.NilError(x.t, err)
	await(x.t, func() bool { return x.far[0].inbound.openRequests.Load() == 1 })
}

// heartbeat sends a heartbeat of the nth server.
func (x *callChain) heartbeat(n int, addr, state string, sequence int64) {
	x.t.Helper()
	x.heartbeatOf(n, x.fakeServers[n].id, addr, state, sequence)
}

// heartbeatOf sends a heartbeat of any instance to the sidecar of the nth server.
func (x *callChain) heartbeatOf(n int, id, addr, state string, sequence int64) {
	x.t.Helper()
	assert.NilError(x.t, x.far[n].localServer.heartbeat(id, Heartbeat{
		Address: addr, SystemInfo: SystemInfo{Service: "stock", SlotCount: 256},
		OperStatus: OperationalStatus{State: state, CallSeq: sequence},
	}))
}

// write sends a call without waiting for its response.
func (c *callerConn) write(attempt string, kind kindOfCall, budget time.Duration) {
	c.x.t.Helper()
	_, err := io.WriteString(c.c, requestText(attempt, kind, "plain", "", budget))
	assert.NilError(c.x.t, err)
}

// readHead reads the status line and the header of a response.
func (c *callerConn) readHead() string {
	c.x.t.Helper()
	assert.NilError(c.x.t, c.c.SetReadDeadline(time.Now().Add(testkit.Limit)))
	var head strings.Builder
	for !strings.HasSuffix(head.String(), httpHeadEnd) {
		line, err := c.r.ReadString('\n')
		assert.NilError(c.x.t, err, "after %q", head.String())
		head.WriteString(line)
	}
	return head.String()
}

// awaitPromptly waits for a condition, and fails the test with failure after promptTimeout.
func awaitPromptly(t testing.TB, failure string, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(promptTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal(failure)
		}
	}
}

// receivePromptly returns the next value of a channel, and fails the test with failure after promptTimeout.
func receivePromptly[T any](t testing.TB, failure string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(promptTimeout):
		t.Fatal(failure)
		panic("unreachable")
	}
}
