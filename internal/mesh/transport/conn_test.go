package transport

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// listen accepts connections until the test ends, and sends them to the channel accepted.
func listen(t *testing.T) (addr string, accepted <-chan *Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan *Conn, 2)
	go func() {
		for {
			netConn, err := l.Accept()
			if err != nil {
				return
			}
			if conn, err := Accept(netConn, nil); err == nil {
				conns <- conn
			}
		}
	}()
	return l.Addr().String(), conns
}

func dial(t *testing.T, addr, name string) *Conn {
	t.Helper()
	conn, err := Dial(t.Context(), addr, &wire.HelloT{Name: name}, nil)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close(nil) })
	return conn
}

// receiveAll receives until the connection is closed, and delivers replies to calls.
func receiveAll(conn *Conn, calls *Calls) {
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		if reply, ok := m.Value.(*wire.CallReplyT); ok {
			calls.Deliver(conn, reply)
		}
	}
}

// receiveMessage is like Receive, but skips heartbeats, which are sent if the test runs slowly.
func receiveMessage(conn *Conn) (codec.Message, error) {
	for {
		m, err := conn.Receive()
		if err != nil || m.Type != wire.PayloadHeartbeat {
			return m, err
		}
	}
}

// A call accepts a reply only from the connection on which it was sent, and fails when that is closed.
func TestReplyFromOtherConnectionIsDropped(t *testing.T) {
	addr, accepted := listen(t)
	var calls Calls
	one := dial(t, addr, "test")
	go receiveAll(one, &calls)
	peer := <-accepted
	assert.Equal(t, peer.Peer.Name, "test")
	other := dial(t, addr, "test")
	go receiveAll(other, &calls)
	otherPeer := <-accepted

	replied := make(chan *wire.CallReplyT, 1)
	go func() {
		reply, _ := calls.Call(context.Background(), one, codec.CallReadIndex, []byte("q"))
		replied <- reply
	}()
	m, err := peer.Receive()
	assert.NilError(t, err)
	call := m.Value.(*wire.CallT)
	assert.NilError(t, otherPeer.Send(&wire.CallReplyT{Id: call.Id, Status: 500}))
	assert.NilError(t, peer.Send(&wire.CallReplyT{Id: call.Id, Status: 200}))
	assert.Equal(t, (<-replied).Status, uint16(200))

	failed := make(chan error, 1)
	go func() {
		_, err := calls.Call(context.Background(), other, codec.CallReadIndex, nil)
		failed <- err
	}()
	_, err = otherPeer.Receive()
	assert.NilError(t, err)
	otherPeer.Close(nil)
	assert.Assert(t, errors.Is(<-failed, ErrClosed))
}

// Shutdown delivers everything that was sent before, even if the peer reads slowly and keeps sending. It returns once the peer has read
// everything, or when its context is cancelled.
func TestShutdownDeliversSentMessages(t *testing.T) {
	addr, accepted := listen(t)
	reader := dial(t, addr, "reader")
	conn := <-accepted
	go receiveAll(conn, &Calls{}) // keeps receiving during Shutdown, as a sidecar does
	const chunks = 400
	var frames [chunks][]byte
	for n := range frames { // encoded beforehand: until the peer reads, a blocked write times out after writeTimeout
		frames[n] = codec.Encode(&wire.BodyChunkT{Id: uint64(n), Data: make([]byte, 64<<10)})
	}
	for _, frame := range frames { // more than the socket buffers can store
		assert.NilError(t, conn.SendFrame(frame))
	}
	finished := make(chan struct{})
	go func() {
		conn.Shutdown(context.Background())
		close(finished)
	}()
	for n := range chunks {
		_ = reader.Send(&wire.WindowUpdateT{Id: uint64(n)}) // in transit while the connection shuts down
		m, err := receiveMessage(reader)
		assert.NilError(t, err, "chunk %d", n)
		assert.Equal(t, m.Value.(*wire.BodyChunkT).Id, uint64(n))
	}
	_, err := receiveMessage(reader)
	assert.Assert(t, err != nil)
	<-finished

	// Shutdown stops waiting for a peer that never reads when its context is cancelled.
	dial(t, addr, "silent")
	conn = <-accepted
	go receiveAll(conn, &Calls{})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		conn.Shutdown(ctx)
		close(ended)
	}()
	cancel()
	<-ended
	assert.Assert(t, conn.Err() != nil)
}

// A slow link that makes progress does not time out, however much is queued, because each part of up to maxWriteBytes has its own write
// deadline. A link without any progress closes the connection.
func TestSlowLinkDoesNotTimeOut(t *testing.T) {
	const timeout, frames, frameBytes = 500 * time.Millisecond, 16, 256 << 10
	var encoded [frames][]byte // encoded beforehand: until the peer reads, a blocked write times out
	for n := range encoded {
		encoded[n] = codec.Encode(&wire.BodyChunkT{Id: uint64(n), Data: make([]byte, frameBytes)})
	}
	for _, c := range []struct {
		name       string
		progresses bool
	}{{"slow", true}, {"stuck", false}} {
		t.Run(c.name, func(t *testing.T) {
			netConn, peer := net.Pipe()
			conn := newConn(netConn, nil)
			defer conn.Close(nil)
			conn.writeMu.Lock()
			conn.writeTimeout = timeout
			conn.writeMu.Unlock()
			start := time.Now()
			for n := range frames {
				err := conn.SendFrame(encoded[n])
				assert.Assert(t, err == nil || !c.progresses, "%v", err)
			}
			if !c.progresses {
				<-conn.Done()
				assert.NilError(t, peer.Close())
				return
			}
			// All parts together take twice the timeout, and each part takes well below it.
			pause := 2 * timeout / (frames * frameBytes / maxWriteBytes)
			received := 0
			for buf := make([]byte, maxWriteBytes); received < frames*frameBytes; time.Sleep(pause) {
				n, err := peer.Read(buf)
				assert.NilError(t, err, "after %d bytes", received)
				received += n
			}
			assert.Assert(t, time.Since(start) > timeout)
			assert.NilError(t, conn.Err())
		})
	}
}

// Each part of a frame updates LastReceived, so that a peer that sends a long frame does not count as silent.
func TestPartialFrameCountsAsReceived(t *testing.T) {
	netConn, peer := net.Pipe()
	conn := newConn(netConn, nil)
	defer conn.Close(nil)
	received := make(chan error, 1)
	go func() {
		_, err := conn.Receive()
		received <- err
	}()
	before := conn.LastReceived()
	frame := codec.Encode(&wire.BodyChunkT{Id: 1, Data: make([]byte, 100<<10)})
	for len(frame) > 0 {
		n := min(len(frame), 30<<10)
		_, err := peer.Write(frame[:n]) // returns once the connection has read it
		assert.NilError(t, err)
		if frame = frame[n:]; len(frame) == 0 {
			assert.NilError(t, <-received)
		}
		for !conn.LastReceived().After(before) { // the reader records the time after the read
			time.Sleep(time.Millisecond)
		}
		before = conn.LastReceived()
	}
}
