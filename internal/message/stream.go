package message

import (
	"context"
	"sync"
)

// Field is a field of a header or trailer section, with its name in lower case.
type Field struct{ Name, Value string }

// GRPC contains the additional properties of a gRPC request. All attempts of a call share it.
type GRPC struct {
	Idempotent bool // may run any number of times
	Streamed   bool // the response may be streamed

	mu            sync.Mutex
	failureStatus []Field
}

// Fail stores the status fields of a failed attempt, which the caller gets if no attempt has a better response.
func (g *GRPC) Fail(status []Field) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failureStatus = status
}

// Failed returns the last status fields stored by Fail, or nil if there are none.
func (g *GRPC) Failed() []Field {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failureStatus
}

// Stream is a body that is forwarded in chunks as they arrive, from one producer goroutine to one consumer goroutine. The
// producer does the flow control: it is notified of each consumed chunk and lets its peer send only as many bytes again,
// which bounds the buffered bytes.
type Stream struct {
	Status int // HTTP status; 0 means 200
	Header []Field
	// Length is the declared length of the complete body, in bytes; -1 means none. It is 0 for gRPC: the server may still be
	// working while a gRPC stream is open, rather than only transferring a finished result.
	Length int64
	// OnDiscarded is called with the number of bytes that Release discards, and of each chunk pushed after it; it may be nil.
	// It must be set before the first Push.
	OnDiscarded func(n int)

	onConsumed func(n int) // called for each consumed chunk, without the lock
	wake       chan struct{}

	mu       sync.Mutex
	chunks   [][]byte
	ended    bool
	released bool
	trailer  []Field
}

// NewStream returns a stream with this header section. onConsumed is called with the number of bytes of each consumed
// chunk.
func NewStream(header []Field, onConsumed func(n int)) *Stream {
	return &Stream{Header: header, onConsumed: onConsumed, wake: make(chan struct{}, 1)}
}

// Transfer reports whether the stream only transfers a finished result (see Length).
func (s *Stream) Transfer() bool { return s.Length != 0 }

// Push appends a chunk, which the caller must not use afterwards. It does not block.
func (s *Stream) Push(chunk []byte) {
	s.mu.Lock()
	released := s.released // the consumer is gone, and the attempt is about to be cancelled
	if !released {
		s.chunks = append(s.chunks, chunk)
	}
	s.mu.Unlock()
	if released && s.OnDiscarded != nil {
		s.OnDiscarded(len(chunk))
	}
	s.signal()
}

// Finish ends the stream: as truncated if trailer is nil, and as complete otherwise. Later calls have no effect.
func (s *Stream) Finish(trailer []Field) {
	s.mu.Lock()
	if !s.ended {
		s.ended, s.trailer = true, trailer
	}
	s.mu.Unlock()
	s.signal()
}

// signal wakes Next.
func (s *Stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// FinishComplete ends the stream as complete, with an empty trailer. It has no effect after the stream's end.
func (s *Stream) FinishComplete() { s.Finish([]Field{}) }

// FinishTruncated ends the stream as truncated. It has no effect after the stream's end.
func (s *Stream) FinishTruncated() { s.Finish(nil) }

// IsComplete reports whether the stream has ended and was not truncated.
func (s *Stream) IsComplete() bool { return s.Trailer() != nil }

// Next waits for the next chunk. It returns nil, nil at the end of the stream, and the cause of ctx if ctx is done first.
func (s *Stream) Next(ctx context.Context) ([]byte, error) {
	for {
		s.mu.Lock()
		if len(s.chunks) > 0 {
			chunk := s.chunks[0]
			s.chunks = s.chunks[1:]
			s.mu.Unlock()
			s.onConsumed(len(chunk))
			return chunk, nil
		}
		ended := s.ended
		s.mu.Unlock()
		if ended {
			return nil, nil
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// Drain consumes and returns all buffered chunks, without waiting for more.
func (s *Stream) Drain() (all []byte) {
	s.mu.Lock()
	for _, chunk := range s.chunks {
		all = append(all, chunk...)
	}
	s.chunks = nil
	s.mu.Unlock()
	if len(all) > 0 {
		s.onConsumed(len(all))
	}
	return all
}

// Trailer returns the trailer section passed to Finish. It is nil if the stream was truncated or has not ended.
func (s *Stream) Trailer() []Field {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trailer
}

// Buffered returns the number of bytes that were pushed and not consumed yet.
func (s *Stream) Buffered() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, chunk := range s.chunks {
		n += len(chunk)
	}
	return n
}

// Release discards all chunks that were not consumed, and all that are pushed later.
func (s *Stream) Release() {
	n := 0
	s.mu.Lock()
	for _, chunk := range s.chunks {
		n += len(chunk)
	}
	s.chunks, s.released = nil, true
	s.mu.Unlock()
	if n > 0 && s.OnDiscarded != nil {
		s.OnDiscarded(n)
	}
}
