package transport

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

func TestEveryMessageRoundTrips(t *testing.T) {
	for _, v := range []any{&wire.HelloT{Name: "n", Incarnation: 3}, &wire.HeartbeatT{QuorumContact: true}, &wire.RequestT{Id: 1, Body: []byte("b"), HeaderFields: []*wire.HeaderFieldT{{Name: "a", Value: "b"}}},
		&wire.ResponseT{Id: 1, Status: 200}, &wire.BodyChunkT{Last: true}, &wire.WindowUpdateT{Increment: 5}, &wire.CancelT{Id: 9}, &wire.RecordsT{}, &wire.ItemsT{Complete: true},
		&wire.MembersT{Index: 4}, &wire.RaftMessageT{Term: 8, Snapshot: &wire.SnapshotT{Index: 2}}, &wire.CallT{Kind: 1}, &wire.CallReplyT{Status: 503}} {
		frame := codec.Encode(v)
		m, err := codec.Decode(frame[4:])
		assert.NilError(t, err)
		assert.Equal(t, m.Type, codec.NewMessage(v).Type)
	}
}

// Whatever comes is read, or is a plain error.
func FuzzDecode(f *testing.F) {
	f.Add(codec.Encode(&wire.RequestT{Id: 1, Method: "GET", HeaderFields: []*wire.HeaderFieldT{{Name: "a"}}})[4:])
	f.Add(codec.Encode(&wire.RaftMessageT{Entries: []*wire.EntryT{{Index: 1}}})[4:])
	f.Fuzz(func(t *testing.T, p []byte) { codec.Decode(p) })
}

// A call is answered, by its connection alone; one whose connection ends is told so.
func TestReplyIsTakenFromItsConnectionOnly(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	accepted := make(chan *Conn, 2)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			c, err := Accept(nc, nil)
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	var calls Calls
	dial := func() *Conn {
		c, err := Dial(context.Background(), l.Addr().String(), &wire.HelloT{Name: "test"}, nil)
		assert.NilError(t, err)
		go func() {
			for {
				m, err := c.Receive()
				if err != nil {
					return
				}
				if reply, is := m.Value.(*wire.CallReplyT); is {
					calls.Deliver(c, reply)
				}
			}
		}()
		return c
	}
	one := dial()
	peer := <-accepted
	assert.Equal(t, peer.Peer.Name, "test")
	other := dial()
	stranger := <-accepted
	done := make(chan *wire.CallReplyT, 1)
	go func() {
		reply, _ := calls.Call(context.Background(), one, codec.CallReadIndex, []byte("q"))
		done <- reply
	}()
	m, err := peer.Receive()
	assert.NilError(t, err)
	call := m.Value.(*wire.CallT)
	assert.NilError(t, stranger.Send(&wire.CallReplyT{Id: call.Id, Status: 500}))
	assert.NilError(t, peer.Send(&wire.CallReplyT{Id: call.Id, Status: 200}))
	assert.Equal(t, (<-done).Status, uint16(200))
	failed := make(chan error, 1)
	go func() {
		_, err := calls.Call(context.Background(), other, codec.CallReadIndex, nil)
		failed <- err
	}()
	_, err = stranger.Receive()
	assert.NilError(t, err)
	stranger.Close(nil)
	assert.Assert(t, <-failed != nil)
}

// receiveMessage is Receive past the beats, which come whenever a machine is slow.
func receiveMessage(c *Conn) (codec.Message, error) {
	for {
		m, err := c.Receive()
		if err != nil || m.Type != wire.PayloadHeartbeat {
			return m, err
		}
	}
}

// What was said before a connection is finished is all read by the other side, however slowly it reads and whatever it still
// says itself; Finish returns once it has, or when its time is over.
func TestShutdownDeliversWhatWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	accepted := make(chan *Conn, 2)
	go func() {
		for range 2 {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			if c, err := Accept(nc, nil); err == nil {
				go func() { // it goes on receiving, as a line does
					for err == nil {
						_, err = c.Receive()
					}
				}()
				accepted <- c
			}
		}
	}()
	far, err := Dial(context.Background(), l.Addr().String(), &wire.HelloT{Name: "reader"}, nil)
	assert.NilError(t, err)
	near := <-accepted
	const pieces = 400
	var frames [pieces][]byte
	for n := range frames { // made before the first goes: the other side, which reads none yet, has the time of a write only
		frames[n] = codec.Encode(&wire.BodyChunkT{Id: uint64(n), Data: make([]byte, 64<<10)})
	}
	for _, f := range frames { // far more than the sockets hold
		assert.NilError(t, near.SendFrame(f))
	}
	finished := make(chan struct{})
	go func() { near.Shutdown(context.Background()); close(finished) }()
	for n := range pieces {
		far.Send(&wire.WindowUpdateT{Id: uint64(n)}) // on its way as the other side ends
		m, err := receiveMessage(far)
		assert.NilError(t, err, "piece %d", n)
		assert.Equal(t, m.Value.(*wire.BodyChunkT).Id, uint64(n))
	}
	_, err = receiveMessage(far)
	assert.Assert(t, err != nil)
	<-finished
	// One that never reads is not waited for beyond the time.
	silent, err := Dial(context.Background(), l.Addr().String(), &wire.HelloT{Name: "silent"}, nil)
	assert.NilError(t, err)
	defer silent.Close(nil)
	near = <-accepted
	ctx, cancel := context.WithCancel(context.Background())
	go func() { near.Shutdown(ctx); close(accepted) }()
	cancel()
	<-accepted
	assert.Assert(t, near.Err() != nil)
}

// A link that is slow and moves is no silence, however much waits to be written: the time for a write counts for each part. One
// that takes nothing ends the connection.
func TestSlowLinkIsNotSilence(t *testing.T) {
	const within, frames, frame = 500 * time.Millisecond, 16, 256 << 10
	var encoded [frames][]byte // before the first goes: the other side, which reads none yet, has the time of a write only
	for n := range encoded {
		encoded[n] = codec.Encode(&wire.BodyChunkT{Id: uint64(n), Data: make([]byte, frame)})
	}
	for _, moves := range []bool{true, false} {
		nc, far := net.Pipe()
		c := newConn(nc, nil)
		c.writeMu.Lock()
		c.writeTimeout = within
		c.writeMu.Unlock()
		began := time.Now()
		for n := range frames {
			if err := c.SendFrame(encoded[n]); moves {
				assert.NilError(t, err)
			}
		}
		if !moves {
			<-c.Done()
			far.Close()
			continue
		}
		// Slower than all of it in the time for one write, and each part well within it.
		pause := 2 * within / (frames * frame / maxWriteBytes)
		var got int
		for buf := make([]byte, maxWriteBytes); got < frames*frame; time.Sleep(pause) {
			n, err := far.Read(buf)
			assert.NilError(t, err, "after %d bytes", got)
			got += n
		}
		assert.Assert(t, time.Since(began) > within)
		assert.NilError(t, c.Err())
		c.Close(nil)
	}
}

// A frame that comes in parts is heard with each: whoever waits does not take it for silence.
func TestPartialFrameCountsAsReceived(t *testing.T) {
	nc, far := net.Pipe()
	c := newConn(nc, nil)
	defer c.Close(nil)
	got := make(chan error, 1)
	go func() {
		_, err := c.Receive()
		got <- err
	}()
	before := c.LastReceived()
	frame := codec.Encode(&wire.BodyChunkT{Id: 1, Data: make([]byte, 100<<10)})
	for len(frame) > 0 {
		n := min(len(frame), 30<<10)
		_, err := far.Write(frame[:n]) // returns once that is read
		assert.NilError(t, err)
		if frame = frame[n:]; len(frame) == 0 {
			assert.NilError(t, <-got)
		}
		for !c.LastReceived().After(before) { // the reader may be about to note it
			time.Sleep(time.Millisecond)
		}
		before = c.LastReceived()
	}
}
