package http1

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testkit"
)

// acceptPair returns the two ends of a TCP connection, the second as the front has it.
func acceptPair(t *testing.T) (caller net.Conn, accepted *connection) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	caller, err = net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { caller.Close() })
	conn, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return caller, &connection{Conn: conn, owner: &connections{}}
}

// Where pipelined requests are not started early, net/http has got a byte of the next request and reads no more. A caller that leaves then was noticed
// only after the answer: its request's context still stood 20 s later. It ends soon, and only once the caller has left.
func TestEndIsNoticedBehindPipelinedByte(t *testing.T) {
	caller, accepted := acceptPair(t)
	ctx, cancel := context.WithCancel(t.Context())
	accepted.cancelRequests = cancel
	_, err := caller.Write([]byte("GET /next HTTP/1.1\r\n"))
	assert.NilError(t, err)
	n, err := accepted.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.Equal(t, n, 1)
	time.Sleep(2 * endCheckInterval)
	assert.NilError(t, ctx.Err(), "the caller has not left")
	caller.Close()
	testkit.Eventually(t, "the caller's end is not noticed", func() bool { return ctx.Err() != nil })
}

// Once net/http reads again it notices the end itself, and what comes before the end is still served.
func TestEndCheckStopsAtNextRead(t *testing.T) {
	caller, accepted := acceptPair(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	accepted.cancelRequests = cancel
	_, err := caller.Write([]byte("GET /next HTTP/1.1\r\n"))
	assert.NilError(t, err)
	_, err = accepted.Read(make([]byte, 1))
	assert.NilError(t, err)
	_, err = accepted.Read(make([]byte, 4096))
	assert.NilError(t, err)
	caller.Close()
	time.Sleep(3 * endCheckInterval)
	assert.NilError(t, ctx.Err())
}
