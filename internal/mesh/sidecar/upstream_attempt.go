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

// upstreamAttempt is an attempt to run a request at another sidecar: a stream on the connection of an upstream. It ends
// once: by its response, by the end of the connection or by its timeout.
type upstreamAttempt struct {
	attempt    *engine.Attempt
	id         uint64 // of the stream
	attemptID  string // of the request; a response with another Attempt-Id does not belong to this attempt
	conn       *transport.Conn
	sendWindow flowWindow    // for the request's body
	done       chan struct{} // closed when the attempt ends
	ruleTrace  string        // value of headerRuleTrace in a streamed response; empty for no such header

	mu             sync.Mutex      // guards below, since both the connection's reader and the timeout may end the attempt
	responseStream *message.Stream // nil until a streamed response begins
	finished       bool
	keyNotGranted  bool // the control plane did not grant the key
	ending         balancer.Ending
	reply          *message.Reply
}

// finish ends the attempt. Only the first call has an effect. A streamed response ends as complete if the ending is a
// success, and otherwise as truncated.
func (a *upstreamAttempt) finish(ending balancer.Ending, reply *message.Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished {
		return
	}
	a.finished = true
	if a.responseStream != nil {
		if ending == balancer.Success {
			a.responseStream.FinishComplete()
		} else {
			a.responseStream.FinishTruncated()
		}
	}
	a.ending = ending
	a.reply = reply
	a.sendWindow.close()
	close(a.done)
}

// handleResponse handles a response. The attempt ends as broken if the header of the response can't be decoded, or if
// it has the Attempt-Id of another request.
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

// applyResponse ends the attempt with a response, or begins to stream the response if more of its body follows.
func (a *upstreamAttempt) applyResponse(response *wire.ResponseT) {
	if response.Ending == codeKeyNotGranted {
		a.mu.Lock()
		if !a.finished { // otherwise wait may be reading keyNotGranted without the lock
			a.keyNotGranted = true
		}
		a.mu.Unlock()
		a.finish(balancer.NeverSent, nil)
		return
	}
	ending, isKnownCode := endingsByCode[response.Ending]
	if !isKnownCode {
		ending = balancer.Broken
	}
	if response.MoreBody && ending == balancer.Success {
		a.beginStream(response)
		return
	}
	var reply *message.Reply
	if ending == balancer.Success || ending == balancer.Failure {
		reply = message.NewReply("", response.Body, nil)
		reply.Status = int(response.Status)
		reply.Header = messageFields(response.HeaderFields)
	}
	a.finish(ending, reply)
}

// beginStream begins a streamed response, unless the attempt has ended meanwhile. It holds mu while it notifies the
// engine, so that the engine sees the start of the response before the end of the attempt. If a response begins twice,
// the attempt ends as broken.
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
	a.attempt.ResponseStarted(stream)
}

// newStream returns the stream of a response, which sends window updates to the peer as it is read.
func (a *upstreamAttempt) newStream(head *wire.ResponseT) *message.Stream {
	unreportedBytes := 0 // bytes read since the last window update
	fields := messageFields(head.HeaderFields)
	if a.ruleTrace != "" {
		fields = append(fields, message.Field{Name: headerRuleTrace, Value: a.ruleTrace})
	}
	stream := message.NewStream(fields, func(n int) {
		unreportedBytes += n
		if unreportedBytes >= windowUpdateBytes {
			_ = a.conn.Send(&wire.WindowUpdateT{Id: a.id, Increment: uint32(unreportedBytes)})
			unreportedBytes = 0
		}
	})
	stream.Status = int(head.Status)
	stream.Length = head.ContentLength
	return stream
}

// handleBodyChunk handles a chunk of a streamed response.
func (a *upstreamAttempt) handleBodyChunk(chunk *wire.BodyChunkT) {
	a.mu.Lock()
	stream, finished := a.responseStream, a.finished
	a.mu.Unlock()
	if stream == nil || finished {
		return
	}
	if len(chunk.Data) > 0 {
		stream.Push(chunk.Data)
	}
	switch {
	case chunk.Aborted:
		a.finish(balancer.Broken, nil)
	case chunk.Last:
		a.finish(balancer.Success, nil)
	}
}

// wait waits until the attempt has ended or ctx ends. When ctx ends, a keyed or non-idempotent request is left running at
// the peer, so that its response is stored for a repeat. An idempotent request is cancelled at the peer, and so is any
// request with a streamed body or a streamed response, because streamed responses are not stored.
func (a *upstreamAttempt) wait(
	ctx context.Context, request *message.Request, routed *routedRequest,
) (balancer.Ending, *message.Reply) {
	select {
	case <-a.done:
	case <-ctx.Done():
		a.finish(engine.EndingOf(ctx), nil) // before isStreaming, so that beginStream cancels a response that begins later
		if request.Idempotency != message.NotIdempotent || request.BodyRest != nil || a.isStreaming() {
			_ = a.conn.Send(&wire.CancelT{Id: a.id})
		}
	}
	// The attempt has finished. Nothing writes keyNotGranted, ending and reply any more, so they are read without mu.
	if a.keyNotGranted {
		routed.keyNotGranted.Store(true)
		return balancer.NeverSent, nil
	}
	if a.ending == balancer.Failure && a.reply != nil {
		request.Fail(a.reply)
		return a.ending, nil
	}
	return a.ending, a.reply
}

// isStreaming reports whether a streamed response has begun.
func (a *upstreamAttempt) isStreaming() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.responseStream != nil
}

// uploadBody sends the chunks of a streamed request body. It returns when the body or the attempt has ended.
func (a *upstreamAttempt) uploadBody(ctx context.Context, request *message.Request) {
	for {
		chunk, err := request.BodyRest.Next(ctx)
		if err != nil || chunk == nil {
			_ = a.conn.Send(&wire.BodyChunkT{
				Id:      a.id,
				Last:    true,
				Aborted: err != nil || !request.BodyRest.IsComplete(),
			})
			return
		}
		if !a.sendWindow.acquire(ctx, len(chunk)) {
			return
		}
		_ = a.conn.Send(&wire.BodyChunkT{Id: a.id, Data: chunk})
	}
}
