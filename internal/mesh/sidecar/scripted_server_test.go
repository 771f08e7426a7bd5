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
	// promptly bounds what has to happen soon. It is well below the time-out of the chain's routes, and far longer than any of it takes.
	promptly = 5 * time.Second
	// maxScriptedArrivals is how many requests a scripted server can take that the test does not look at.
	maxScriptedArrivals = 256
)

// arrival is a request at a scripted server: its head was read, and its body was not.
type arrival struct {
	conn    net.Conn
	reader  *bufio.Reader
	request *http.Request
}

// attemptID returns the id that the request carries.
func (a *arrival) attemptID() string { return a.request.Header.Get(headerAttemptID) }

// readBody reads the rest of the request.
func (a *arrival) readBody() { _, _ = io.Copy(io.Discard, a.request.Body) }

// succeed answers the request completely.
func (a *arrival) succeed() { _, _ = io.WriteString(a.conn, answerAs("plain", a.attemptID(), "")) }

// beginChunks writes the head of a success whose body comes in chunks.
func (a *arrival) beginChunks() {
	fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		a.attemptID(), sealOf(a.attemptID()))
}

// writeChunk writes one chunk of a body. It returns false if the connection has ended.
func (a *arrival) writeChunk(data string) bool {
	_, err := fmt.Fprintf(a.conn, "%x\r\n%s\r\n", len(data), data)
	return err == nil
}

// awaitEnd reads until the other side ends the connection.
func (a *arrival) awaitEnd() { _, _ = io.Copy(io.Discard, a.reader) }

// attachServer puts a server in the place of the nth one, which calls serve for each request on a connection until that returns false. It never
// answers the calls of occupyUpstream.
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

// occupyingPath ends the path of a call that lasts until the test ends.
const occupyingPath = "/occupy"

// occupyUpstream makes a call that lasts until the test ends. Without any, the transport closes a connection on which only one side waits, which
// would end what the test wants to see cancelled by a message.
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

// heartbeatOf sends a heartbeat of another instance in the place of the nth server.
func (x *callChain) heartbeatOf(n int, id, addr, state string, sequence int64) {
	x.t.Helper()
	assert.NilError(x.t, x.far[n].localServer.heartbeat(id, Heartbeat{
		Address: addr, SystemInfo: SystemInfo{Service: "stock", SlotCount: 256},
		OperStatus: OperationalStatus{State: state, CallSeq: sequence},
	}))
}

// write writes a call and does not wait for its answer.
func (c *callerConn) write(attempt string, kind kindOfCall, budget time.Duration) {
	c.x.t.Helper()
	_, err := io.WriteString(c.c, requestText(attempt, kind, "plain", "", budget))
	assert.NilError(c.x.t, err)
}

// readHead reads the status line and the head of a response.
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

// awaitPromptly waits for a condition that the test requires to come about soon.
func awaitPromptly(t testing.TB, failure string, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(promptly); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal(failure)
		}
	}
}

// receivePromptly returns what is sent on a channel soon.
func receivePromptly[T any](t testing.TB, failure string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(promptly):
		t.Fatal(failure)
		panic("unreachable")
	}
}
