package http1

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"cranegrade/internal/engine"
	"cranegrade/internal/message"
)

const (
	// chunkSize is how much is read at a time, and minChunkSize how much if the shared limit is used up. The latter is not
	// counted: otherwise responses that all wait for a part of the limit would block each other.
	chunkSize    = 16 << 10
	minChunkSize = 2 << 10
	// maxUnread is how many bytes of a response may wait for the caller to read them. It is over maxBody, so that one of
	// unknown length can be recognised as too long to be buffered.
	maxUnread = maxBody + chunkSize
)

var chunkBuffers = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// forwardBody forwards the body as it comes. A response of unknown length that is short and ends soon is buffered instead,
// and returned as the reply.
func (s *Sender) forwardBody(
	ctx context.Context, a *engine.Attempt, body io.Reader, resp *http.Response,
) (reply *message.Reply, size int64, err error) {
	status, header, contentType := s.protocol.ResponseHead(resp)
	stream := newLimitedStream(s.responseLimit, header, resp.ContentLength)
	stream.Status = status
	start := &streamStart{attempt: a, stream: stream}
	if resp.ContentLength < 0 {
		timer := time.AfterFunc(s.bufferTime, func() { start.now() })
		defer timer.Stop()
	}
	buf := chunkBuffers.Get().(*[chunkSize]byte)
	defer chunkBuffers.Put(buf)
	for {
		allowed, err := stream.reserve(ctx)
		if err != nil {
			start.end(false)
			return nil, size, err
		}
		n, err := body.Read(buf[:allowed])
		stream.release(allowed - n)
		if size += int64(n); n > 0 {
			stream.Push(append([]byte(nil), buf[:n]...))
		}
		if size > maxResponseBody {
			err = errTooLong
		}
		if err == io.EOF { //nolint:errorlint // a reader returns io.EOF itself at the end; a wrapped one is a failure
			if start.end(true) {
				return nil, size, nil
			}
			return withHead(message.NewReply(contentType, stream.Drain(), nil), status, header), size, nil
		}
		if err != nil {
			start.end(false)
			return nil, size, err
		}
		if size > maxBody || resp.ContentLength > maxBody && n > 0 {
			start.now()
		}
	}
}

// withHead adds the head to a reply, where a protocol forwards it.
func withHead(r *message.Reply, status int, header []message.Field) *message.Reply {
	if status != 0 {
		r.Status, r.Header = status, header
	}
	return r
}

// streamStart reports the start of a streamed response once, unless it has ended before.
type streamStart struct {
	attempt *engine.Attempt
	stream  *limitedStream

	mu           sync.Mutex // guards below
	begun, ended bool
}

// now reports the start, unless the response has begun or ended before.
func (s *streamStart) now() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begun && !s.ended {
		s.begun = true
		s.attempt.ResponseStarted(s.stream.Stream)
	}
}

// end ends the stream; it returns whether it had begun.
func (s *streamStart) end(complete bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	switch {
	case s.begun && complete:
		s.stream.Finish([]message.Field{})
	case s.begun:
		s.stream.Finish(nil)
	case !complete:
		s.stream.Release()
	}
	return s.begun
}

// limitedStream is a stream whose unread bytes count against a limit that all responses share.
type limitedStream struct {
	*message.Stream
	limit engine.SharedLimit
	wake  chan struct{}

	mu       sync.Mutex // guards below
	unread   int        // bytes that wait to be taken, or may be read now
	reserved int        // of those, the bytes that were taken from the limit
}

func newLimitedStream(limit engine.SharedLimit, header []message.Field, length int64) *limitedStream {
	s := &limitedStream{limit: limit, wake: make(chan struct{}, 1)}
	s.Stream = message.NewStream(header, s.release)
	s.Length, s.OnDiscarded = length, s.release
	return s
}

// reserve waits until more may be read, and returns how many bytes.
func (s *limitedStream) reserve(ctx context.Context) (int, error) {
	for {
		s.mu.Lock()
		switch {
		case s.unread+chunkSize <= maxUnread && s.limit.Take(chunkSize):
			s.unread += chunkSize
			s.reserved += chunkSize
			s.mu.Unlock()
			return chunkSize, nil
		case s.unread == 0:
			s.unread += minChunkSize
			s.mu.Unlock()
			return minChunkSize, nil
		}
		s.mu.Unlock()
		select {
		case <-s.wake:
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		}
	}
}

// release returns bytes that were taken or discarded downstream, or not read after all.
func (s *limitedStream) release(n int) {
	s.mu.Lock()
	s.unread -= n
	back := max(0, s.reserved-s.unread)
	s.reserved -= back
	s.mu.Unlock()
	if back > 0 {
		s.limit.Give(int64(back))
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
