package message

import (
	"context"
	"sync"
)

// Field is a field of a header or trailer, its name in lower case.
type Field struct{ Name, Value string }

// GRPC is what a request of gRPC has beyond others. It is shared by all attempts of a call.
type GRPC struct {
	Safe     bool // may run any number of times
	Streamed bool // its answer may come in pieces

	mu     sync.Mutex
	failed []Field
}

// Fail keeps the status that a server gave with a failure, for a caller that gets no better answer.
func (g *GRPC) Fail(status []Field) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failed = status
}

// Failed is the last status that Fail kept; nil: none.
func (g *GRPC) Failed() []Field {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failed
}

// Stream is an answer that comes in pieces: a sender pushes, a front takes, and what is taken the sender may ask the
// server to send more of. So what is held is bounded by what the sender has allowed the server.
type Stream struct {
	Status int // of HTTP; 0: 200
	Header []Field
	// Length is how many bytes the body has of which it is the whole or the rest; -1: not told. 0 of gRPC, whose streams
	// may be worked on for as long as they last.
	Length int64
	// Dropped is told of what Release gives up, and of what comes after it; nil: nobody. Set before the first Push.
	Dropped func(n int)

	onConsumed func(n int) // told, outside of any lock, as pieces are taken
	wake       chan struct{}

	mu       sync.Mutex
	chunks   [][]byte
	ended    bool
	released bool
	trailer  []Field
}

// NewStream returns a stream with its header; consumed is told of what is taken.
func NewStream(header []Field, consumed func(n int)) *Stream {
	return &Stream{Header: header, onConsumed: consumed, wake: make(chan struct{}, 1)}
}

// Transfer says that it is one answer that takes long to pass on, and no work that goes on.
func (s *Stream) Transfer() bool { return s.Length != 0 }

// Push adds a piece, which is the stream's from then on. It does not wait.
func (s *Stream) Push(p []byte) {
	s.mu.Lock()
	released := s.released // nobody reads, and the attempt is about to be given up
	if !released {
		s.chunks = append(s.chunks, p)
	}
	s.mu.Unlock()
	if released && s.Dropped != nil {
		s.Dropped(len(p))
	}
	s.signal()
}

// Finish ends the stream; with a trailer it ended as it should. Calls but the first are ignored.
func (s *Stream) Finish(trailer []Field) {
	s.mu.Lock()
	if !s.ended {
		s.ended, s.trailer = true, trailer
	}
	s.mu.Unlock()
	s.signal()
}

func (s *Stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Next waits for the next piece; nil: it ended, or ctx did, with its error.
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

// Drain takes all that is there, without waiting.
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

// Trailer is what it ended with; nil: it broke off, or has not ended.
func (s *Stream) Trailer() []Field {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trailer
}

// Held is how many bytes wait to be taken.
func (s *Stream) Held() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.chunks {
		n += len(p)
	}
	return n
}

// Release gives up what has not been taken, and whatever comes.
func (s *Stream) Release() {
	n := 0
	s.mu.Lock()
	for _, p := range s.chunks {
		n += len(p)
	}
	s.chunks, s.released = nil, true
	s.mu.Unlock()
	if n > 0 && s.Dropped != nil {
		s.Dropped(n)
	}
}
