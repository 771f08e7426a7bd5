package sidecar

import (
	"context"
	"sync"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/message"
)

// upstreamAttempt is an attempt as a stream on an upstream's connection. It ends once: by its response, the end of the connection, or
// its own time.
type upstreamAttempt struct {
	attempt    *engine.Attempt
	id         uint64 // of the stream
	attemptID  string // of the request: a response that names another one is not its own
	conn       *transport.Conn
	sendWindow flowWindow    // for the request's body
	done       chan struct{} // closed with the attempt's end
	ruleTrace  string        // what a streamed response is given besides

	mu             sync.Mutex      // guards below: the connection's reader and the attempt's own time may both end it
	responseStream *message.Stream // of a streamed response
	finished       bool
	keyNotGranted  bool // the control plane did not grant the key
	ending         balancer.Ending
	reply          *message.Reply
}

// finish ends the attempt, once.
func (a *upstreamAttempt) finish(ending balancer.Ending, reply *message.Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished {
		return
	}
	a.finished = true
	if a.responseStream != nil {
		if ending == balancer.Success {
			a.responseStream.Finish([]message.Field{})
		} else {
			a.responseStream.Finish(nil)
		}
	}
	a.ending, a.reply = ending, reply
	a.sendWindow.close()
	close(a.done)
}

// handleResponse takes a response as it came. One whose head can't be read is none, and so is one that names another request.
func (a *upstreamAttempt) handleResponse(response *wire.ResponseT) {
	if len(response.PackedHeader) > 0 {
		fields, err := codec.UnpackHeader(response.PackedHeader)
		if err != nil {
			a.finish(balancer.Broken, nil)
			return
		}
		response.HeaderFields = fields
	}
	for _, f := range response.HeaderFields {
		if f.Name == headerAttemptID && f.Value != a.attemptID {
			a.finish(balancer.Broken, nil)
			return
		}
	}
	a.applyResponse(response)
}

// applyResponse ends the attempt with a response, or begins its stream.
func (a *upstreamAttempt) applyResponse(response *wire.ResponseT) {
	if response.Ending == codeKeyNotGranted {
		a.mu.Lock()
		if !a.finished { // else the attempt may be looking at it
			a.keyNotGranted = true
		}
		a.mu.Unlock()
		a.finish(balancer.NeverSent, nil)
		return
	}
	ending, known := endingsByCode[response.Ending]
	if !known {
		ending = balancer.Broken
	}
	if response.MoreBody && ending == balancer.Success {
		a.beginStream(response)
		return
	}
	var reply *message.Reply
	if ending == balancer.Success || ending == balancer.Failure {
		reply = message.NewReply("", response.Body, nil)
		reply.Status, reply.Header = int(response.Status), messageFields(response.HeaderFields)
	}
	a.finish(ending, reply)
}

// beginStream has a response be streamed, unless the attempt has ended meanwhile: its end comes after its beginning. One that
// begins twice is broken.
func (a *upstreamAttempt) beginStream(head *wire.ResponseT) {
	stream := a.newStream(head)
	a.mu.Lock()
	if a.finished {
		a.mu.Unlock()
		_ = a.conn.Send(&wire.CancelT{Id: a.id})
		return
	}
	if a.responseStream != nil {
		a.mu.Unlock()
		a.finish(balancer.Broken, nil)
		return
	}
	defer a.mu.Unlock()
	a.responseStream = stream
	a.attempt.Began(stream)
}

// newStream is the stream of a response, which opens the other side's window as it is read.
func (a *upstreamAttempt) newStream(head *wire.ResponseT) *message.Stream {
	taken := 0
	fields := messageFields(head.HeaderFields)
	if a.ruleTrace != "" {
		fields = append(fields, message.Field{Name: headerRuleTrace, Value: a.ruleTrace})
	}
	stream := message.NewStream(fields, func(n int) {
		if taken += n; taken >= windowUpdateBytes {
			_ = a.conn.Send(&wire.WindowUpdateT{Id: a.id, Increment: uint32(taken)})
			taken = 0
		}
	})
	stream.Status, stream.Length = int(head.Status), head.ContentLength
	return stream
}

// handlePiece takes a piece of a streamed response.
func (a *upstreamAttempt) handlePiece(piece *wire.BodyChunkT) {
	a.mu.Lock()
	stream, finished := a.responseStream, a.finished
	a.mu.Unlock()
	if stream == nil || finished {
		return
	}
	if len(piece.Data) > 0 {
		stream.Push(piece.Data)
	}
	switch {
	case piece.Aborted:
		a.finish(balancer.Broken, nil)
	case piece.Last:
		a.finish(balancer.Success, nil)
	}
}

// uploadBody sends the pieces of a streamed request.
func (a *upstreamAttempt) uploadBody(ctx context.Context, m *message.Request) {
	for {
		piece, err := m.BodyRest.Next(ctx)
		if err != nil || piece == nil {
			_ = a.conn.Send(&wire.BodyChunkT{Id: a.id, Last: true, Aborted: err != nil || m.BodyRest.Trailer() == nil})
			return
		}
		if !a.sendWindow.acquire(ctx, len(piece)) {
			return
		}
		_ = a.conn.Send(&wire.BodyChunkT{Id: a.id, Data: piece})
	}
}
