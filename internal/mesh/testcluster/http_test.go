package testcluster

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testfleet"
)

// dialOutbound connects to a sidecar as a caller does. The connection has a deadline, and is closed at the end of the test.
func (x *Machine) dialOutbound(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", x.Addr("Outbound"))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return conn
}

// readRequest returns a read, as the nth of those whose attempts begin with a name.
func readRequest(name string, n, budgetMS int) string {
	return fmt.Sprintf("GET /read/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s-%d\r\nTime-Budget: %d\r\n\r\n", n, Host, name, n, budgetMS)
}

// writeRead writes a read to a connection; see readRequest.
func writeRead(t *testing.T, conn net.Conn, name string, n, budgetMS int) {
	t.Helper()
	_, err := io.WriteString(conn, readRequest(name, n, budgetMS))
	assert.NilError(t, err)
}

// Pipelined requests that come together on a connection run concurrently, and are answered in order: the server answers none until it has
// received all.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	runParallel(t)
	m := startCluster(t, "stock", "orders")
	caller := m.Sidecars[1]
	caller.awaitServed(t, "GET", "/read/", "")
	m.Sidecars[0].App.HoldUntilConcurrent(4)
	conn := caller.dialOutbound(t)
	var pipelined strings.Builder
	for n := range 4 {
		pipelined.WriteString(readRequest("behind", n, 3000))
	}
	_, err := io.WriteString(conn, pipelined.String())
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	for n := range 4 {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Assert(t, response.StatusCode == 200 && response.Header.Get("Attempt-Id") == fmt.Sprint("behind-", n), "%v %s", response, text)
		assert.Assert(t, strings.HasPrefix(string(text), fmt.Sprintf("GET /read/%d ", n)))
	}
	m.assertNoViolations(t)
}

// A sidecar shuts down while the first of several pipelined requests still runs: the answers of the others, which are complete, are not
// lost.
func TestShutdownKeepsPipelinedResponses(t *testing.T) {
	runParallel(t)
	m := startCluster(t, "stock", "orders")
	server, caller := m.Sidecars[0], m.Sidecars[1]
	caller.awaitServed(t, "GET", "/read/", "")
	conn := caller.dialOutbound(t)
	awaitRun := func(attempt string) {
		t.Helper()
		assert.Assert(t, testfleet.Await(testTimeout, func() bool { return len(m.Recorder.Runs(attempt)) == 1 }))
	}
	server.App.SetServiceTime(20 * time.Second)
	writeRead(t, conn, "ends", 0, 30000)
	awaitRun("ends-0")
	server.App.SetServiceTime(time.Millisecond)
	writeRead(t, conn, "ends", 1, 30000)
	writeRead(t, conn, "ends", 2, 30000)
	awaitRun("ends-2")
	assert.NilError(t, caller.Process.Cmd.Process.Signal(syscall.SIGTERM))
	reader := bufio.NewReader(conn)
	for n, want := range []int{502, 200, 200} {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, "answer %d", n)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err, "answer %d", n)
		assert.Equal(t, response.Header.Get("Attempt-Id"), fmt.Sprint("ends-", n))
		assert.Equal(t, response.StatusCode, want)
	}
}

// sendPieces sends a request in pieces on a new connection, and returns the status of the answer; 0: there is none.
func (x *Machine) sendPieces(t *testing.T, requestLine string, pieces ...string) (status int) {
	t.Helper()
	conn := x.dialOutbound(t)
	head := fmt.Sprintf("%s\r\nHost: %s\r\nAttempt-Id: l%d\r\nTime-Budget: 3000\r\n", requestLine, Host, x.cluster.attempts.Add(1))
	for _, piece := range append([]string{head}, pieces...) {
		io.WriteString(conn, piece) // whether it is accepted is told by the answer
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// The active Limits apply to heads and to bodies with a length or in chunks; requests within the limits are served.
func TestLimitsBoundRequests(t *testing.T) {
	runParallel(t)
	m := startCluster(t, "stock", "orders")
	m.awaitAcknowledged(t, m.Members[:1], EncodeCall(map[string]any{"Upsert": map[string]any{"Limits": map[string]any{
		"MaxHeaderBytes": 2000, "MaxBodyBytes": 100000, "HeaderTimeoutS": 0.3, "IdleTimeoutS": 60, "ConfigVersion": 2,
	}}}))
	x := m.Sidecars[0]
	longHeader := "X: " + strings.Repeat("y", 2000) + "\r\n\r\n"
	assert.Assert(t, testfleet.Await(testTimeout, func() bool { return x.sendPieces(t, "GET /read/ HTTP/1.1", longHeader) == 431 }))
	const chunked, lastChunk = "Transfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n"
	chunk := "8000\r\n" + strings.Repeat("z", 0x8000) + "\r\n"
	for _, test := range []struct {
		name     string
		pieces   []string
		accepted func(status int) bool
	}{
		{"a length beyond the limit", []string{"Content-Length: 100001\r\n\r\n"}, func(status int) bool { return status == 413 }},
		{"98,304 bytes in chunks", []string{chunked, chunk, chunk, chunk, lastChunk}, func(status int) bool { return status == 200 }},
		{"131,072 bytes in chunks", []string{chunked, chunk, chunk, chunk, chunk, lastChunk}, func(status int) bool { return status/100 != 2 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			status := x.sendPieces(t, "POST /read/ HTTP/1.1", test.pieces...)
			assert.Assert(t, test.accepted(status), "answered %d", status)
		})
	}
	m.assertNoViolations(t)
}
