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

// listen accepts connections, which the channel gives, until the test ends.
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

// receiveAll receives until the connection ends, and passes replies on.
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

// receiveMessage is Receive past the heartbeats, which come whenever a machine is slow.
func receiveMessage(conn *Conn) (codec.Message, error) {
	for {
		m, err := conn.Receive()
		if err != nil || m.Type != wire.PayloadHeartbeat {
			return m, err
		}
	}
}

// A call only accepts a reply from its own connection, and fails when that ends.
func TestReplyIsTakenFromItsConnectionOnly(t *testing.T) {
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

// The peer reads everything that was sent before Shutdown, however slowly it reads and whatever it still sends itself. Shutdown returns
// once it has, or when its context ends.
func TestShutdownDeliversWhatWasSent(t *testing.T) {
	addr, accepted := listen(t)
	reader := dial(t, addr, "reader")
	conn := <-accepted
	go receiveAll(conn, &Calls{}) // it goes on receiving, as a sidecar does
	const chunks = 400
	var frames [chunks][]byte
	for n := range frames { // encoded before the first is sent: the peer, which reads none yet, has the time of a write only
		frames[n] = codec.Encode(&wire.BodyChunkT{Id: uint64(n), Data: make([]byte, 64<<10)})
	}
	for _, frame := range frames { // far more than the sockets hold
		assert.NilError(t, conn.SendFrame(frame))
	}
	finished := make(chan struct{})
	go func() {
		conn.Shutdown(context.Background())
		close(finished)
	}()
	for n := range chunks {
		_ = reader.Send(&wire.WindowUpdateT{Id: uint64(n)}) // on its way as the connection ends
		m, err := receiveMessage(reader)
		assert.NilError(t, err, "chunk %d", n)
		assert.Equal(t, m.Value.(*wire.BodyChunkT).Id, uint64(n))
	}
	_, err := receiveMessage(reader)
	assert.Assert(t, err != nil)
	<-finished

	// A peer that never reads is not waited for beyond the context.
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

// A link that is slow and moves is not silent, however much waits to be written: the time for a write counts for each part. One that
// takes nothing ends the connection.
func TestSlowLinkIsNotSilence(t *testing.T) {
	const timeout, frames, frameBytes = 500 * time.Millisecond, 16, 256 << 10
	var encoded [frames][]byte // before the first is sent: the peer, which reads none yet, has the time of a write only
	for n := range encoded {
		encoded[n] = codec.Encode(&wire.BodyChunkT{Id: uint64(n), Data: make([]byte, frameBytes)})
	}
	for _, c := range []struct {
		name  string
		moves bool
	}{{"slow", true}, {"stuck", false}} {
		t.Run(c.name, func(t *testing.T) {
			netConn, peer := net.Pipe()
			conn := newConn(netConn, nil)
			defer conn.Close(nil)
			conn.writeMu.Lock()
			conn.writeTimeout = timeout
			conn.writeMu.Unlock()
			began := time.Now()
			for n := range frames {
				err := conn.SendFrame(encoded[n])
				assert.Assert(t, err == nil || !c.moves, "%v", err)
			}
			if !c.moves {
				<-conn.Done()
				assert.NilError(t, peer.Close())
				return
			}
			// Slower than all of it in the time for one write, and each part well within it.
			pause := 2 * timeout / (frames * frameBytes / maxWriteBytes)
			received := 0
			for buf := make([]byte, maxWriteBytes); received < frames*frameBytes; time.Sleep(pause) {
				n, err := peer.Read(buf)
				assert.NilError(t, err, "after %d bytes", received)
				received += n
			}
			assert.Assert(t, time.Since(began) > timeout)
			assert.NilError(t, conn.Err())
		})
	}
}

// Each part of a frame counts as received: whoever waits does not take a long frame for silence.
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
		_, err := peer.Write(frame[:n]) // returns once that is read
		assert.NilError(t, err)
		if frame = frame[n:]; len(frame) == 0 {
			assert.NilError(t, <-received)
		}
		for !conn.LastReceived().After(before) { // the reader may be about to record it
			time.Sleep(time.Millisecond)
		}
		before = conn.LastReceived()
	}
}
