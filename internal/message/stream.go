package message

import (
	"context"
	"sync"
)

// Field is a field of a header or trailer section, with its name in lower case.
type Field struct{ Name, Value string }

// GRPC is what a gRPC request has in addition. All attempts of a call share it.
type GRPC struct {
	Idempotent bool // may run any number of times
	Streamed   bool // the response may be streamed

	mu     sync.Mutex
	failed []Field
}

// Fail keeps the status fields that came with a failure, for a caller that gets no better response.
func (g *GRPC) Fail(status []Field) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failed = status
}

// Failed is the last status that Fail kept, or nil if there is none.
func (g *GRPC) Failed() []Field {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failed
}

// Stream is a body that is passed on in chunks as it comes: one goroutine pushes and one takes. The pushing side does the
// flow control: it is notified of each chunk that was taken and lets its peer send no more than that, which bounds the bytes
// that are buffered.
type Stream struct {
	Status int // HTTP status; 0 means 200
	Header []Field
	// Length is the declared length of the complete body, in bytes; -1 means none. It is 0 for gRPC, whose streams may be the
	// work itself and not only the transfer of its result.
	Length int64
	// OnDiscarded is called with the bytes that Release discards and those that come after it; nil means not called. It must be
	// set before the first Push.
	OnDiscarded func(n int)

	onConsumed func(n int) // called without a lock for each chunk that is taken
	wake       chan struct{}

	mu       sync.Mutex
	chunks   [][]byte
	ended    bool
	released bool
	trailer  []Field
}

// NewStream returns a stream with its header section; onConsumed is called with the bytes of each chunk
// that is taken.
func NewStream(header []Field, onConsumed func(n int)) *Stream {
	return &Stream{Header: header, onConsumed: onConsumed, wake: make(chan struct{}, 1)}
}

// Transfer reports whether the stream only transfers a result, and is no work that goes on (see Length).
func (s *Stream) Transfer() bool { return s.Length != 0 }

// Push appends a chunk, which then belongs to the stream. It does not block.
func (s *Stream) Push(p []byte) {
	s.mu.Lock()
	released := s.released // nobody reads it any more, and the attempt is about to be cancelled
	if !released {
		s.chunks = append(s.chunks, p)
	}
	s.mu.Unlock()
	if released && s.OnDiscarded != nil {
		s.OnDiscarded(len(p))
	}
	s.signal()
}

// Finish ends the stream. A nil trailer says that it was cut off; otherwise it is complete. Later calls have no effect.
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

// FinishTruncated ends the stream as cut off. It has no effect after the stream's end.
func (s *Stream) FinishTruncated() { s.Finish(nil) }

// IsComplete reports whether the stream has ended and was not cut off.
func (s *Stream) IsComplete() bool { return s.Trailer() != nil }

// Next waits for the next chunk. It returns nil at the end of the stream, and the cause of ctx if that ends first.
func (s *Stream) Next(ctx context.Context) ([]byte, error) {
	for {
		s.mu.Lock()
		if len(s.chunks) > 0 {
			p := s.chunks[0]
			s.chunks = s.chunks[1:]
			s.mu.Unlock()
			s.onConsumed(len(p))
			return p, nil
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

// Drain takes all chunks that are there, without waiting.
func (s *Stream) Drain() (all []byte) {
	s.mu.Lock()
	for _, p := range s.chunks {
		all = append(all, p...)
	}
	s.chunks = nil
	s.mu.Unlock()
	if len(all) > 0 {
		s.onConsumed(len(all))
	}
	return all
}

// Trailer is the trailer section that Finish was given. It is nil if the stream was cut off or has not ended.
func (s *Stream) Trailer() []Field {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trailer
}

// Buffered is how many bytes were pushed and not taken yet.
func (s *Stream) Buffered() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.chunks {
		n += len(p)
	}
	return n
}

// Release discards all chunks that were not taken, and those that are still to come.
func (s *Stream) Release() {
	n := 0
	s.mu.Lock()
	for _, p := range s.chunks {
		n += len(p)
	}
	s.chunks, s.released = nil, true
	s.mu.Unlock()
	if n > 0 && s.OnDiscarded != nil {
		s.OnDiscarded(n)
	}
}
