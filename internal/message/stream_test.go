package message

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// Next returns the chunks in the order in which they were pushed, and reports each as consumed.
func TestStreamProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var consumed atomic.Int64
		s := NewStream(nil, func(n int) { consumed.Add(int64(n)) })
		chunks := rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 1, 20)).Draw(t, "chunks")
		go func() {
			for _, p := range chunks {
				s.Push(p)
			}
			s.Finish([]Field{{"a", "b"}})
			s.Finish(nil)
		}()
		total := 0
		for i := 0; ; i++ {
			p, err := s.Next(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if p == nil {
				if i != len(chunks) || len(s.Trailer()) != 1 {
					t.Fatalf("ended after %d of %d chunks, with the trailer %v", i, len(chunks), s.Trailer())
				}
				break
			}
			if string(p) != string(chunks[i]) {
				t.Fatalf("chunk %d: %v", i, p)
			}
			total += len(p)
		}
		if consumed.Load() != int64(total) {
			t.Fatalf("%d bytes reported as consumed, Next returned %d", consumed.Load(), total)
		}
	})
}

// After Release, the stream buffers nothing and reports nothing as consumed.
func TestReleasedStreamBuffersNothing(t *testing.T) {
	s := NewStream(nil, func(int) { t.Error("bytes that Next never returned are reported as consumed") })
	s.Push([]byte("abc"))
	if s.Buffered() != 3 {
		t.Errorf("%d bytes are buffered", s.Buffered())
	}
	s.Release()
	s.Push([]byte("abc"))
	if s.Buffered() != 0 {
		t.Errorf("%d bytes are buffered", s.Buffered())
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	cause := errors.New("cause")
	cancel(cause)
	if _, err := s.Next(ctx); !errors.Is(err, cause) {
		t.Errorf("Next with a cancelled context: %v", err)
	}
	if s.Finish(nil); s.Trailer() != nil {
		t.Errorf("a truncated stream has the trailer %v", s.Trailer())
	}
}
