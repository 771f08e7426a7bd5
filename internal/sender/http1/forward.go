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
	status, h, ct := s.protocol.ResponseHead(resp)
	f := newLimitedStream(s.responseLimit, h, resp.ContentLength)
	f.Status = status
	begin := &streamStart{a: a, f: f}
	if resp.ContentLength < 0 {
		timer := time.AfterFunc(s.bufferTime, func() { begin.now() })
		defer timer.Stop()
	}
	buf := chunkBuffers.Get().(*[chunkSize]byte)
	defer chunkBuffers.Put(buf)
	for {
		room, err := f.reserve(ctx)
		if err != nil {
			begin.end(false)
			return nil, size, err
		}
		n, err := body.Read(buf[:room])
		f.release(room - n)
		if size += int64(n); n > 0 {
			f.Push(append([]byte(nil), buf[:n]...))
		}
		if size > maxResponseBody {
			err = errTooLong
		}
		if err == io.EOF { //nolint:errorlint // a reader returns io.EOF itself at the end; a wrapped one is a failure
			if begin.end(true) {
				return nil, size, nil
			}
			return withHead(message.NewReply(ct, f.Drain(), nil), status, h), size, nil
		}
		if err != nil {
			begin.end(false)
			return nil, size, err
		}
		if size > maxBody || resp.ContentLength > maxBody && n > 0 {
			begin.now()
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
	a *engine.Attempt
	f *limitedStream

	mu           sync.Mutex // guards below
	begun, ended bool
}

// now reports the start, unless the response has begun or ended before.
func (b *streamStart) now() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.begun && !b.ended {
		b.begun = true
		b.a.Began(b.f.Stream)
	}
}

// end ends the stream; it returns whether it had begun.
func (b *streamStart) end(whole bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	switch {
	case b.begun && whole:
		b.f.Finish([]message.Field{})
	case b.begun:
		b.f.Finish(nil)
	case !whole:
		b.f.Release()
	}
	return b.begun
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

func newLimitedStream(room engine.SharedLimit, header []message.Field, length int64) *limitedStream {
	f := &limitedStream{limit: room, wake: make(chan struct{}, 1)}
	f.Stream = message.NewStream(header, f.release)
	f.Length, f.OnDiscarded = length, f.release
	return f
}

// reserve waits until more may be read, and returns how many bytes.
func (f *limitedStream) reserve(ctx context.Context) (int, error) {
	for {
		f.mu.Lock()
		switch {
		case f.unread+chunkSize <= maxUnread && f.limit.Take(chunkSize):
			f.unread += chunkSize
			f.reserved += chunkSize
			f.mu.Unlock()
			return chunkSize, nil
		case f.unread == 0:
			f.unread += minChunkSize
			f.mu.Unlock()
			return minChunkSize, nil
		}
		f.mu.Unlock()
		select {
		case <-f.wake:
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		}
	}
}

// release returns bytes that were taken or dropped downstream, or not read after all.
func (f *limitedStream) release(n int) {
	f.mu.Lock()
	f.unread -= n
	back := max(0, f.reserved-f.unread)
	f.reserved -= back
	f.mu.Unlock()
	if back > 0 {
		f.limit.Give(int64(back))
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
