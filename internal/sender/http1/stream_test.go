package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/message"
	"cranegrade/internal/testkit"
)

// streamResponse sends a request, waits until its response is streamed, and returns the stream. ended gets how the attempt
// ended.
func streamResponse(
	ctx context.Context, t *testing.T, s *Sender, addr string, m *message.Request,
) (stream *message.Stream, ended chan result) {
	t.Helper()
	began := make(chan *message.Stream, 1)
	ended = make(chan result, 1)
	hooks := engine.Hooks{ResponseStarted: func(r engine.Reply) { began <- r.(*message.Stream) }}
	go func() { ended <- s.attempt(ctx, engine.NewAttempt(newEndpoint(addr), m, limit, hooks)) }()
	return testkit.Wait(t, began), ended
}

// A long response is forwarded as it comes. No more of it is read than may wait for the caller, and what it reserves of the
// shared limit is returned.
func TestLongResponseIsStreamed(t *testing.T) {
	t.Parallel()
	const size = 8 << 20
	written := make(chan int, 1)
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: %d\r\n\r\n", size)
			n, _ := io.Copy(c, io.LimitReader(zeros{}, size))
			written <- int(n)
		}
	})
	for _, limit := range []int64{1 << 30, chunkSize + minChunkSize, 0} {
		s := newTestSender(10)
		s.responseLimit = testkit.NewSharedLimit(limit)
		stream, ended := streamResponse(context.Background(), t, s, addr, keyedRequest())
		if stream.Length != size || stream.Header[0] != (message.Field{Name: "content-type", Value: "a/b"}) {
			t.Errorf("length %d, header %v", stream.Length, stream.Header)
		}
		received := 0
		for {
			if buffered := stream.Buffered(); buffered > maxUnread {
				t.Fatalf("%d bytes are buffered", buffered)
			}
			chunk, err := stream.Next(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if chunk == nil {
				break
			}
			received += len(chunk)
		}
		if res := testkit.Wait(t,
			ended); received != size || stream.Trailer() == nil || res.ending != balancer.Success || testkit.Wait(t, written) != size {
			t.Errorf("limit %d: %d bytes, ending %v", limit, received, res.ending)
		}
		if left := s.responseLimit.(*testkit.SharedLimit).Left(); left != limit {
			t.Errorf("limit %d: %d are left at the end", limit, left)
		}
	}
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// However a stream is interrupted, it returns what it has reserved of the shared limit.
func TestInterruptedStreamReleasesLimit(t *testing.T) {
	t.Parallel()
	for _, interruption := range []string{"connection ends", "released", "withdrawn", "connection is reset"} {
		proceed := make(chan struct{})
		addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			head := "Content-Length: 1000000"
			if interruption == "connection is reset" {
				head = "Connection: close" // the body ends with the connection, and a reset is no such end
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n\r\n"+strings.Repeat("x", 200000))
			<-proceed
			if interruption == "connection is reset" {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			} else if interruption != "connection ends" {
				io.Copy(io.Discard, c)
			}
		})
		s := newTestSender(10)
		s.responseLimit = testkit.NewSharedLimit(1 << 20)
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		stream, ended := streamResponse(ctx, t, s, addr, keyedRequest())
		if _, err := stream.Next(ctx); err != nil {
			t.Fatal(err)
		}
		want := balancer.Broken
		switch interruption {
		case "withdrawn":
			cancel(engine.ErrWithdrawn)
			want = balancer.Canceled
			stream.Release()
		case "released":
			stream.Release()
			cancel(engine.ErrWithdrawn) // as the engine does when the caller has gone
			want = balancer.Canceled
		}
		close(proceed)
		for chunk := []byte{0}; chunk != nil && want == balancer.Broken; {
			var err error
			if chunk, err = stream.Next(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		if res := testkit.Wait(t, ended); res.ending != want || stream.Trailer() != nil {
			t.Errorf("%s: ending %v, want %v; complete %v", interruption, res.ending, want, stream.Trailer() != nil)
		}
		if left := s.responseLimit.(*testkit.SharedLimit).Left(); left != 1<<20 {
			t.Errorf("%s: %d of the limit are left", interruption, left)
		}
		if open, _ := s.counts(); open != 0 {
			t.Errorf("%s: %d connections open", interruption, open)
		}
	}
}

// A response of unknown length is forwarded after a short time, even if it is short: a server may expect the caller to react.
func TestResponseOfUnknownLengthIsStreamedSoon(t *testing.T) {
	t.Parallel()
	proceed := make(chan struct{})
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n")
			<-proceed
			io.WriteString(c, "1\r\n!\r\n0\r\n\r\n")
			io.Copy(io.Discard, c)
		}
	})
	s := newTestSender(10)
	s.bufferTime = 0
	stream, ended := streamResponse(context.Background(), t, s, addr, keyedRequest())
	if chunk, err := stream.Next(context.Background()); string(chunk) != "hi" || err != nil || stream.Length >= 0 {
		t.Errorf("first chunk %q, %v, length %d", chunk, err, stream.Length)
	}
	close(proceed)
	if chunk, _ := stream.Next(context.Background()); string(chunk) != "!" {
		t.Errorf("second chunk %q", chunk)
	}
	if res := testkit.Wait(t, ended); res.ending != balancer.Success {
		t.Errorf("ending %v", res.ending)
	}
	if open, idle := s.counts(); open != 1 || idle != 1 {
		t.Errorf("%d open, %d idle", open, idle)
	}
}

// What limited streams reserve is returned exactly once, whatever the order of reads and releases.
func TestLimitedStreamProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := testkit.NewSharedLimit(5 * chunkSize)
		var streams [3]*limitedStream
		for i := range streams {
			streams[i] = newLimitedStream(limit, nil, 1)
		}
		ended, cancel := context.WithCancelCause(context.Background())
		cancel(errors.New("ended"))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			stream := streams[rapid.IntRange(0, 2).Draw(t, "stream")]
			if rapid.Bool().Draw(t, "read") {
				n, err := stream.reserve(ended) // does not wait
				if err != nil {
					if stream.unread == 0 {
						t.Fatal("a stream without unread bytes may always read")
					}
					continue
				}
				received := rapid.IntRange(0, n).Draw(t, "received")
				stream.release(n - received)
				if received > 0 {
					stream.Push(make([]byte, received))
				}
			} else if stream.Buffered() > 0 {
				stream.Next(context.Background())
			}
			var reserved int64
			for _, stream := range streams {
				if stream.reserved > stream.unread || stream.unread > maxUnread || stream.unread != stream.Buffered() {
					t.Fatalf("reserved %d, unread %d, buffered %d", stream.reserved, stream.unread, stream.Buffered())
				}
				reserved += int64(stream.reserved)
			}
			if reserved+limit.Left() != 5*chunkSize {
				t.Fatalf("%d reserved, %d left", reserved, limit.Left())
			}
		}
		for _, stream := range streams {
			stream.Release()
		}
		if limit.Left() != 5*chunkSize {
			t.Fatalf("%d left at the end", limit.Left())
		}
	})
}
