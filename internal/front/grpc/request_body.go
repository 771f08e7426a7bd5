package grpc

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"cranegrade/internal/front/http1"
	"cranegrade/internal/grpc"
	"cranegrade/internal/message"
)

const (
	// halfCloseTimeout is how long after its first message a request of a streaming class is waited for to end
	// (END_STREAM). Most clients send one message and end the request with it. A request that has ended can be sent
	// again for a retry, one that goes on can't.
	halfCloseTimeout = 10 * time.Millisecond
	// readBufferBytes is the most that is read from a request at once.
	readBufferBytes = 16 << 10
)

var errFirstMessageTooLong = errors.New("the first message is too long")

// readRequest reads the request's messages as its class demands.
func (c *call) readRequest(w http.ResponseWriter, hr *http.Request) *http1.Rejection {
	request := c.request()
	if request.GRPC.Streamed {
		return c.readStreamingRequest(w, hr)
	}
	body, rejection := readUnaryRequest(w, hr)
	request.Body, c.Size = body, int64(len(body))
	return rejection
}

// readUnaryRequest reads the messages to the end of the request. It does not wait for ever: a client that keeps
// sending, or waits for an answer before it ends the request, needs a streaming class.
func readUnaryRequest(w http.ResponseWriter, hr *http.Request) ([]byte, *http1.Rejection) {
	controller := http.NewResponseController(w)
	limitReads(controller, time.Now().Add(http1.RequestReadTimeout))
	body, err := io.ReadAll(io.LimitReader(hr.Body, message.MaxBody+1))
	limitReads(controller, time.Time{})
	switch {
	case err != nil:
		return nil, &http1.Rejection{
			Status: http.StatusNotImplemented,
			Text:   "the request did not end in time: streams of requests are only for classes that are streams",
		}
	case len(body) > message.MaxBody:
		return nil, &http1.Rejection{Status: http.StatusRequestEntityTooLarge, Text: "the request is too long"}
	}
	if _, err := grpc.CountMessages(body); err != nil {
		return nil, badRequest(err.Error())
	}
	return body, nil
}

// limitReads sets the read deadline of a request; a zero time means none. HTTP/2 streams always support it, and on a closed
// connection the read itself fails.
func limitReads(controller *http.ResponseController, deadline time.Time) {
	_ = controller.SetReadDeadline(deadline)
}

// readStreamingRequest reads a request whose class allows streaming: to its end or, if that does not come within
// halfCloseTimeout, to the end of its first message. The rest is then read while the attempt runs.
func (c *call) readStreamingRequest(w http.ResponseWriter, hr *http.Request) *http1.Rejection {
	controller := http.NewResponseController(w)
	limitReads(controller, time.Now().Add(http1.RequestReadTimeout))
	reader := newRequestReader(hr)
	// It ends with the request body, which net/http closes when the handler returns.
	go reader.run()
	request := c.request()
	var err error
	select {
	case err = <-reader.ended:
	case <-reader.firstMessage:
		select {
		case err = <-reader.ended:
		case <-time.After(halfCloseTimeout):
			request.BodyRest = reader.chunks
		}
	}
	limitReads(controller, time.Time{})
	switch {
	case errors.Is(err, errFirstMessageTooLong):
		return &http1.Rejection{Status: http.StatusRequestEntityTooLarge, Text: err.Error()}
	case err != nil:
		return badRequest(err.Error())
	}
	request.Body = reader.chunks.Drain()
	c.Size = int64(len(request.Body))
	return nil
}

// requestReader reads the body of a request into a stream of chunks, ahead of the sender by message.MaxBody bytes at
// most.
type requestReader struct {
	ctx          context.Context // of the request
	body         io.Reader
	chunks       *message.Stream
	space        chan struct{} // capacity 1: the sender has consumed something
	firstMessage chan struct{} // closed once the first message is complete
	ended        chan error    // capacity 1: nil if the request ended at the end of a message
}

func newRequestReader(hr *http.Request) *requestReader {
	r := &requestReader{
		ctx:          hr.Context(),
		body:         hr.Body,
		space:        make(chan struct{}, 1),
		firstMessage: make(chan struct{}),
		ended:        make(chan error, 1),
	}
	r.chunks = message.NewStream(nil, func(int) {
		select {
		case r.space <- struct{}{}:
		default:
		}
	})
	return r
}

// run reads to the end of the request, or of its context.
func (r *requestReader) run() {
	var scanner grpc.Scanner
	hasFirstMessage := false
	buffer := make([]byte, readBufferBytes)
	for {
		ended, err := r.readChunk(&scanner, buffer)
		switch {
		case err != nil:
			r.chunks.Finish(nil) // without a trailer: incomplete
			r.ended <- err
			return
		case ended:
			r.chunks.Finish([]message.Field{})
			r.ended <- nil
			return
		}
		if scanner.Count > 0 && !hasFirstMessage {
			hasFirstMessage = true
			close(r.firstMessage)
		}
		if !r.awaitSpace() {
			r.chunks.Finish(nil)
			return
		}
	}
}

// readChunk reads what is there next; ended says that it was the last of a well-formed request.
func (r *requestReader) readChunk(scanner *grpc.Scanner, buffer []byte) (ended bool, err error) {
	n, err := r.body.Read(buffer)
	if n > 0 {
		if malformed := scanner.Scan(buffer[:n]); malformed != nil {
			err = malformed
		}
		r.chunks.Push(append([]byte(nil), buffer[:n]...))
	}
	switch {
	case errors.Is(err, io.EOF):
		err = scanner.End()
		return err == nil, err
	case err != nil:
		return false, err
	case scanner.Count == 0 && r.chunks.Buffered() >= message.MaxBody:
		return false, errFirstMessageTooLong
	}
	return false, nil
}

// awaitSpace waits until the sender has consumed enough of what was read. It returns false if the request's context
// ends first.
func (r *requestReader) awaitSpace() bool {
	for r.chunks.Buffered() >= message.MaxBody {
		select {
		case <-r.space:
		case <-r.ctx.Done():
		}
		if r.ctx.Err() != nil {
			return false
		}
	}
	return true
}
