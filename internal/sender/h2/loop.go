package h2

import (
	"errors"
	"time"

	"golang.org/x/net/http2"

	"cranegrade/balancer"
	"cranegrade/internal/grpc"
	"cranegrade/internal/h2/client"
	"cranegrade/internal/message"
)

// connLoop is the state that the goroutine of conn.run owns: the state machine, and the requests on its open streams.
type connLoop struct {
	conn     *conn
	machine  *client.Conn
	frames   *frameWriter
	requests map[uint32]*streamRequest // by stream id
}

// newConnLoop returns the loop of a connection that has just been established, and the first actions to perform.
func newConnLoop(c *conn) (*connLoop, []client.Action) {
	cfg := client.Config{MaxStreams: c.sender.cfg.MaxStreamsPerConn, MaxHeaderBytes: maxHeaderBytes}
	machine, opening := client.New(c.sender.now(), cfg)
	requests := map[uint32]*streamRequest{}
	return &connLoop{
		conn:     c,
		machine:  machine,
		frames:   newFrameWriter(c.netConn),
		requests: requests,
	}, opening
}

// handle handles one event; an error ends the connection.
func (l *connLoop) handle(e event) error {
	now := l.conn.sender.now()
	var actions []client.Action
	switch e := e.(type) {
	case *streamRequest:
		actions = l.open(now, e)
	case cancelRequest:
		if l.isOpen(e.request) {
			actions = l.machine.Cancel(now, e.request.stream)
		}
	case requestChunk:
		if l.isOpen(e.request) {
			actions = l.machine.Append(now, e.request.stream, e.bytes, e.last)
		}
	case consumedBytes:
		if l.isOpen(e.request) {
			actions = l.machine.Consumed(now, e.request.stream, e.n)
		}
	case closeIfIdle:
		if l.idleFor(now, e.idleFor) {
			l.frames.closeGracefully()
			return errClosed
		}
	case connectionLost:
		return e.err
	case client.Event:
		actions = l.machine.Handle(now, e)
	}
	err := l.perform(actions)
	if !l.machine.Closing() {
		l.conn.maxStreams.Store(int64(l.machine.StreamsAvailable() + l.machine.Open()))
	} else if l.conn.maxStreams.Store(0); l.machine.Open() == 0 && err == nil {
		err = errClosed
	}
	return err
}

// open sends a request on a new stream, unless it may no longer be sent.
func (l *connLoop) open(now time.Duration, r *streamRequest) []client.Action {
	if l.machine.StreamsAvailable() == 0 {
		// The server has lowered its limit or sent GOAWAY since the stream was reserved.
		r.finish(client.Done{Ending: client.NotWritten})
		return nil
	}
	if ending, ok := r.attempt.MayWrite(); !ok {
		r.reject(ending)
		return nil
	}
	m := r.message
	if m.BodyRest != nil && !m.Claim() {
		r.reject(balancer.Failure) // another attempt has the rest of the body
		return nil
	}
	var actions []client.Action
	if m.GRPC != nil && m.GRPC.Streamed {
		r.stream, actions = l.machine.RequestStreamed(now, r.fields, m.Body, mayHaveEffects(m), m.BodyRest != nil)
	} else {
		r.stream, actions = l.machine.Request(now, r.fields, m.Body, mayHaveEffects(m))
	}
	l.requests[r.stream] = r
	return actions
}

// isOpen reports whether the stream of a request has not ended.
func (l *connLoop) isOpen(r *streamRequest) bool { return l.requests[r.stream] == r }

// idleFor reports whether the connection has had no stream, open or reserved, for that long.
func (l *connLoop) idleFor(now, atLeast time.Duration) bool {
	return len(l.requests) == 0 && l.conn.reserved.Load() == 0 && now-time.Duration(l.conn.lastRelease.Load()) >= atLeast
}

// requestEnd is the position of the last byte of a request on the connection.
type requestEnd struct {
	stream   uint32
	position int64
}

// perform carries out the actions of the state machine. After a write that failed, a request counts as not written only if
// its last byte was in the batch and the connection has not accepted that byte.
func (l *connLoop) perform(actions []client.Action) error {
	var ends []requestEnd // of the requests whose last byte is in this batch
	var done []client.Done
	var failure error
	for _, action := range actions {
		switch a := action.(type) {
		case client.WriteHeaders:
			l.frames.writeHeaders(a)
			if a.End {
				ends = append(ends, requestEnd{a.Stream, l.frames.queued})
			}
		case client.WriteData:
			l.frames.writeData(a)
			if a.End {
				ends = append(ends, requestEnd{a.Stream, l.frames.queued})
			}
		case client.Began:
			l.beginReply(a)
		case client.BodyChunk:
			l.deliverChunk(a)
		case client.Sent:
			l.signalBodySent(a.Stream)
		case client.Done:
			done = append(done, a)
		case client.ConnectionError:
			l.frames.writeGoAway(http2.ErrCode(a.Code), a.Text)
			failure = errors.New(a.Text)
		default:
			l.frames.writeControl(a)
		}
	}
	if err := l.frames.flush(); err != nil {
		failure = err
		done = appendDone(done, l.machine.Close(l.unwritten(ends)...))
	}
	// Only now: until the flush it is not known whether the streams that ended were written.
	for _, d := range done {
		l.finish(d)
	}
	return failure
}

// unwritten returns the streams of requests whose last byte the connection has not accepted.
func (l *connLoop) unwritten(ends []requestEnd) (streams []uint32) {
	for _, end := range ends {
		if !l.frames.hasSent(end.position) {
			streams = append(streams, end.stream)
		}
	}
	return streams
}

// appendDone appends the ended streams among actions.
func appendDone(done []client.Done, actions []client.Action) []client.Done {
	for _, action := range actions {
		if d, is := action.(client.Done); is {
			done = append(done, d)
		}
	}
	return done
}

// finish ends the request of a stream that has ended.
func (l *connLoop) finish(d client.Done) {
	if r := l.requests[d.Stream]; r != nil {
		delete(l.requests, d.Stream)
		r.finish(d)
	}
}

// finishAll ends the requests that are left when the connection has ended.
func (l *connLoop) finishAll() {
	for _, d := range appendDone(nil, l.machine.Close()) {
		l.finish(d)
	}
}

// beginReply passes on a streamed reply, if it is a gRPC response.
func (l *connLoop) beginReply(a client.Began) {
	r := l.requests[a.Stream]
	if r == nil || !grpc.IsGRPCResponse(a.Response.Status, messageFields(a.Response.Header)) {
		return
	}
	c := l.conn
	r.reply = message.NewStream(messageFields(a.Response.Header), func(n int) { c.post(consumedBytes{r, n}) })
	r.attempt.ResponseStarted(r.reply)
}

// deliverChunk passes on a part of a streamed reply.
func (l *connLoop) deliverChunk(a client.BodyChunk) {
	r := l.requests[a.Stream]
	switch {
	case r == nil:
	case r.reply == nil:
		// It is no gRPC response. Its bytes are never consumed, so the stream's window stops the server.
		r.malformed = true
	default:
		r.malformed = r.replyMessages.Scan(a.Bytes) != nil || r.malformed
		r.reply.Push(a.Bytes)
	}
}

// signalBodySent lets upload pass on the next chunk of a request body.
func (l *connLoop) signalBodySent(stream uint32) {
	if r := l.requests[stream]; r != nil {
		select {
		case r.bodySent <- struct{}{}:
		default:
		}
	}
}
