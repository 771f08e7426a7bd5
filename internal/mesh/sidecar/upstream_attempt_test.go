package sidecar

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/message"
)

// prefixedConn is a connection whose reads return the bytes of first before those of the connection.
type prefixedConn struct {
	net.Conn
	first *bytes.Reader
}

func (p prefixedConn) Read(b []byte) (int, error) {
	if p.first.Len() > 0 {
		return p.first.Read(b)
	}
	return p.Conn.Read(b)
}

// newDiscardingConn returns a connection whose peer reads everything and sends nothing.
func newDiscardingConn(t *testing.T) *transport.Conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close() })
	go io.Copy(io.Discard, far)
	hello := codec.Encode(&wire.HelloT{TransportVersion: transport.ProtocolVersion})
	conn, err := transport.Accept(prefixedConn{near, bytes.NewReader(hello)}, nil)
	assert.NilError(t, err)
	return conn
}

// newTestAttempt returns an attempt that is open on a connection. It calls began with each response stream that starts.
func newTestAttempt(conn *transport.Conn, began func(*message.Stream)) *upstreamAttempt {
	hooks := engine.Hooks{ResponseStarted: func(r engine.Reply) { began(r.(*message.Stream)) }}
	return &upstreamAttempt{conn: conn, id: 1, done: make(chan struct{}), attempt: engine.NewAttempt(nil, nil, time.Second, hooks)}
}

// The frames of a streamed response and the timeout of its attempt arrive in all orders. Every stream that starts also ends, as truncated if it is not
// complete. No stream starts after the timeout; the peer is sent a cancellation instead.
func TestResponseAndTimeoutInAllOrders(t *testing.T) {
	conn := newDiscardingConn(t)
	var permute func(left, steps string)
	permute = func(left, steps string) {
		if left == "" {
			checkResponseAndTimeout(t, conn, steps)
			return
		}
		for i, step := range left {
			permute(left[:i]+left[i+1:], steps+string(step))
		}
	}
	permute("aplt", "")
}

// checkResponseAndTimeout applies a response's head (a), a chunk (p), the last chunk (l) and the timeout (t) in the order of steps.
func checkResponseAndTimeout(t *testing.T, conn *transport.Conn, steps string) {
	t.Helper()
	var stream *message.Stream
	attempt := newTestAttempt(conn, func(s *message.Stream) { stream = s })
	for _, step := range steps {
		switch step {
		case 'a':
			attempt.applyResponse(&wire.ResponseT{Id: 1, Status: 200, MoreBody: true, ContentLength: -1})
		case 'p':
			attempt.handleBodyChunk(&wire.BodyChunkT{Id: 1, Data: []byte("x")})
		case 'l':
			attempt.handleBodyChunk(&wire.BodyChunkT{Id: 1, Last: true})
		case 't':
			attempt.finish(balancer.TimedOut, nil)
		}
	}
	at := func(step rune) int { return strings.IndexRune(steps, step) }
	assert.Equal(t, stream != nil, at('a') < at('t'), steps)
	complete := at('a') < at('l') && at('l') < at('t')
	assert.Equal(t, attempt.ending == balancer.Success, complete, steps)
	if stream == nil {
		return
	}
	assert.Equal(t, stream.Trailer() != nil, complete, steps)
	for stream.Buffered() > 0 {
		_, err := stream.Next(context.Background())
		assert.NilError(t, err)
	}
	chunk, err := stream.Next(context.Background()) // does not block, because the stream has ended
	assert.Assert(t, chunk == nil && err == nil, steps)
}

// If a response starts twice, the attempt ends as broken. The first stream ends, and later chunks are not added to it.
func TestResponseStartedTwice(t *testing.T) {
	var streams []*message.Stream
	attempt := newTestAttempt(newDiscardingConn(t), func(s *message.Stream) { streams = append(streams, s) })
	attempt.applyResponse(&wire.ResponseT{Id: 1, Status: 200, MoreBody: true, ContentLength: -1})
	attempt.applyResponse(&wire.ResponseT{Id: 1, Status: 200, MoreBody: true, ContentLength: -1})
	attempt.handleBodyChunk(&wire.BodyChunkT{Id: 1, Data: []byte("x")})
	<-attempt.done
	assert.Equal(t, len(streams), 1)
	assert.Equal(t, attempt.ending, balancer.Broken)
	assert.Assert(t, streams[0].Buffered() == 0 && streams[0].Trailer() == nil)
	body, err := streams[0].Next(context.Background()) // does not block, because the stream has ended
	assert.Assert(t, body == nil && err == nil)
}
