package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"regexp"
	"sync"
	"time"

	"cranegrade/internal/engine"
	"cranegrade/internal/message"
)

// Bounds of an answer, lest a spoilt one takes memory without end or the rest of its request's time.
const (
	// maxBody is the most that is kept whole, so that an answer which turns out spoilt can be followed by another attempt.
	// What is longer goes on as it comes.
	maxBody = message.MaxBody
	// maxAnswer is the most that is passed on of one answer.
	maxAnswer      = 64 << 20
	maxHeaderBytes = 32 << 10 // bytes of the head and any interim ones before it
	// readTimeout is how long a server that has begun an answer which is kept whole may say nothing.
	readTimeout = 500 * time.Millisecond
	// streamReadTimeout is the same for one that is passed on as it comes: nothing can take its place.
	streamReadTimeout = 10 * time.Second
	// bufferTime is how long an answer of untold length is kept back, in case it is short: longer would hold back what the
	// server gives.
	bufferTime = 100 * time.Millisecond
)

var (
	errUnframed = errors.New("the answer's length is not told")
	errStray    = errors.New("the answer is another request's")
	errTooLong  = errors.New("the answer is too long")
)

// answer is what came back. Its reply is nil if what came was passed on, or said nothing that a caller wants.
type answer struct {
	resp     *http.Response
	reply    *message.Reply
	size     int64 // bytes of its body
	sawStray bool  // another's came before it
}

// read reads an answer, and passes a long one on as it comes. An error says that what came is none, whatever its head
// said of whether the request has run.
func (s *Sender) read(ctx context.Context, a *engine.Attempt, c *conn, r *http.Request) (answer, error) {
	stray := false
	c.readLimit.N = maxHeaderBytes
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return answer{}, err
		}
		if err := c.SetReadDeadline(time.Now().Add(s.readTimeout)); err != nil {
			return answer{}, err
		}
		close := announcesClose(c.reader)
		resp, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return answer{}, err
		}
		if resp.StatusCode < 200 { // an interim answer, after which the server may take its time
			if err := c.SetReadDeadline(time.Time{}); err != nil {
				return answer{}, err
			}
			continue
		}
		match := s.speech.Matches(a.Payload.(*message.Request), resp)
		c.hadUnnamedAnswer = c.hadUnnamedAnswer || match == Unnamed
		if match == OfAnother {
			// A second answer to an earlier request, which came late; ours may be behind it.
			c.readLimit.N = maxAnswer / 64
			if _, err := io.Copy(io.Discard, timedReader{c, resp.Body, s.readTimeout}); err != nil || stray || resp.Close {
				return answer{}, errors.Join(errStray, err)
			}
			stray, c.readLimit.N = true, maxHeaderBytes
			if err := c.SetReadDeadline(time.Time{}); err != nil {
				return answer{}, err
			}
			continue
		}
		got, err := s.readBody(ctx, a, c, resp, close)
		got.sawStray = stray
		return got, err
	}
}

// timedReader reads a body from a server that may not rest for longer than so long.
type timedReader struct {
	c       *conn
	body    io.Reader
	timeout time.Duration
}

func (q timedReader) Read(p []byte) (int, error) {
	if err := q.c.SetReadDeadline(time.Now().Add(q.timeout)); err != nil {
		return 0, err
	}
	return q.body.Read(p)
}

func (s *Sender) readBody(ctx context.Context, a *engine.Attempt, c *conn, resp *http.Response, close bool) (answer, error) {
	n := resp.ContentLength
	if n < 0 && len(resp.TransferEncoding) == 0 && !close && resp.ProtoAtLeast(1, 1) {
		// Framed by the connection's end without a word of that, it can't be told from one that was cut short.
		return answer{}, errUnframed
	}
	if n > maxAnswer {
		return answer{}, errTooLong
	}
	var body io.Reader = timedReader{c, resp.Body, s.readTimeout}
	if n >= 0 && int64(c.reader.Buffered()) >= n {
		body = resp.Body // it is here
	}
	_, wanted := s.speech.Ending(resp)
	switch {
	case !wanted:
		c.readLimit.N = maxAnswer / 64
		size, err := io.Copy(io.Discard, body)
		return answer{resp: resp, size: size}, err
	case n >= 0 && n <= maxBody:
		c.readLimit.N = n
		whole := make([]byte, n)
		_, err := io.ReadFull(body, whole)
		status, header, ct := s.speech.Word(resp)
		return answer{resp: resp, reply: withHead(message.NewReply(ct, whole, nil), status, header), size: n}, err
	}
	c.readLimit.N = 2 * maxAnswer // of a body in chunks with their framing
	reply, size, err := s.forwardBody(ctx, a, timedReader{c, resp.Body, s.streamReadTimeout}, resp)
	return answer{resp: resp, reply: reply, size: size}, err
}

// announcesClose says that the head which comes announces that the connection is closed behind the answer. The library drops
// that word, and says the same of an answer whose length is told nowhere. A head over the reader's buffer announces nothing.
func announcesClose(r *bufio.Reader) bool {
	for n := 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			return false
		}
		head, _ := r.Peek(r.Buffered())
		if end := bytes.Index(head, headEnd); end >= 0 {
			head = head[:end+2]
			return !bytes.Contains(head, contentLength) && connectionClose.Match(head)
		}
	}
}

// contentLength is how most servers tell a length, which spares the search: then nobody asks.
var contentLength = []byte("\nContent-Length: ")

var connectionClose = regexp.MustCompile(`(?i)\nconnection:(?:[^\n]*,)?[ \t]*close[ \t]*(?:,[^\n]*)?\r\n`)

const (
	// chunkSize is how much is read at a time, and least so much where the room for answers is used up: less than all of them
	// can go on with together would be a deadlock.
	chunkSize    = 16 << 10
	minChunkSize = 2 << 10
	// maxUnread is how much of an answer may wait for its caller: over maxBody, or one of untold length could not be told to
	// be longer.
	maxUnread = maxBody + chunkSize
)

var chunkBuffers = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// forwardBody hands the body on as it comes. An answer of untold length that ends soon and is short is kept whole instead,
// and is the reply.
func (s *Sender) forwardBody(ctx context.Context, a *engine.Attempt, body io.Reader, resp *http.Response) (reply *message.Reply, size int64, err error) {
	status, h, ct := s.speech.Word(resp)
	f := newLimitedStream(s.answerLimit, h, resp.ContentLength)
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
		if size > maxAnswer {
			err = errTooLong
		}
		if err == io.EOF {
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

// withHead gives a reply the head that goes with it, where all of it is passed on.
func withHead(r *message.Reply, status int, header []message.Field) *message.Reply {
	if status != 0 {
		r.Status, r.Header = status, header
	}
	return r
}

// streamStart says once that a streamed answer begins, unless it has ended before.
type streamStart struct {
	a *engine.Attempt
	f *limitedStream

	mu           sync.Mutex // guards below
	begun, ended bool
}

func (b *streamStart) now() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.begun && !b.ended {
		b.begun = true
		b.a.Began(b.f.Stream)
	}
}

// end ends the answer; true if it had begun.
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

// limitedStream is a stream whose pieces take room of a budget that all share.
type limitedStream struct {
	*message.Stream
	limit engine.SharedLimit
	wake  chan struct{}

	mu       sync.Mutex // guards below
	unread   int        // bytes that wait to be taken, or are about to be read
	reserved int        // of those, what the budget gave
}

func newLimitedStream(room engine.SharedLimit, header []message.Field, length int64) *limitedStream {
	f := &limitedStream{limit: room, wake: make(chan struct{}, 1)}
	f.Stream = message.NewStream(header, f.release)
	f.Stream.Length, f.Stream.Dropped = length, f.release
	return f
}

// reserve waits until more may be read, and says how much.
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

// release gives back what has been taken or dropped, or was not read after all.
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
