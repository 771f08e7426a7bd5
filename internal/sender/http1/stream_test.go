package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/message"
	"cranegrade/internal/testkit"
)

// long sends a request and gives the stream that begins, and then how the attempt ended.
func long(t *testing.T, u *Sender, ctx context.Context, addr string, m *message.Request) (*message.Stream, chan result) {
	t.Helper()
	began, ended := make(chan *message.Stream, 1), make(chan result, 1)
	go func() {
		ended <- u.attempt(ctx, engine.NewAttempt(newEndpoint(addr), m, limit, engine.Hooks{Began: func(r engine.Reply) { began <- r.(*message.Stream) }}))
	}()
	return testkit.Wait(t, began), ended
}

// A long answer is passed on as it comes, and no more of it is read than may wait for its caller; what it takes of the
// room for answers is given back however it ends.
func TestLongAnswer(t *testing.T) {
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
	for _, room := range []int64{1 << 30, chunkSize + minChunkSize, 0} {
		u := newTestSender(10)
		u.answerLimit = testkit.NewRoom(room)
		st, ended := long(t, u, context.Background(), addr, keyed())
		if st.Length != size || st.Header[0] != (message.Field{Name: "content-type", Value: "a/b"}) {
			t.Errorf("%d, %v", st.Length, st.Header)
		}
		got := 0
		for {
			if h := st.Held(); h > maxUnread {
				t.Fatalf("%d bytes wait", h)
			}
			p, err := st.Next(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if p == nil {
				break
			}
			got += len(p)
		}
		if res := testkit.Wait(t, ended); got != size || st.Trailer() == nil || res.ending != balancer.Success || testkit.Wait(t, written) != size {
			t.Errorf("room %d: %d bytes, ending %d", room, got, res.ending)
		}
		if left := u.answerLimit.(*testkit.Room).Left(); left != room {
			t.Errorf("room %d: %d is left", room, left)
		}
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// A caller that leaves, a server that breaks off and an attempt that is withdrawn all give the room back.
func TestLongAnswerBreaks(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"breaks", "released", "withdrawn", "reset"} {
		stop := make(chan struct{})
		addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			head := "Content-Length: 1000000"
			if how == "reset" {
				head = "Connection: close" // ended by close, and a reset is none
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n\r\n"+strings.Repeat("x", 200000))
			<-stop
			if how == "reset" {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			} else if how != "breaks" {
				io.Copy(io.Discard, c)
			}
		})
		u := newTestSender(10)
		u.answerLimit = testkit.NewRoom(1 << 20)
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		st, ended := long(t, u, ctx, addr, keyed())
		if _, err := st.Next(ctx); err != nil {
			t.Fatal(err)
		}
		want := balancer.Broken
		switch how {
		case "withdrawn":
			cancel(engine.ErrWithdrawn)
			want = balancer.Canceled
			st.Release()
		case "released":
			st.Release()
			cancel(engine.ErrWithdrawn) // the engine hears that its caller has gone
			want = balancer.Canceled
		}
		close(stop)
		for p := []byte{0}; p != nil && want == balancer.Broken; {
			var err error
			if p, err = st.Next(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		if res := testkit.Wait(t, ended); res.ending != want || st.Trailer() != nil {
			t.Errorf("%s: ending %d, want %d; whole %v", how, res.ending, want, st.Trailer() != nil)
		}
		if left := u.answerLimit.(*testkit.Room).Left(); left != 1<<20 {
			t.Errorf("%s: %d of room is left", how, left)
		}
		if open, _ := u.counts(); open != 0 {
			t.Errorf("%s: %d connections open", how, open)
		}
	}
}

// An answer of untold length goes on soon, short or not: holding back what a server gives loses the request.
func TestAnswerOfUntoldLength(t *testing.T) {
	t.Parallel()
	goOn := make(chan struct{})
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n")
			<-goOn
			io.WriteString(c, "1\r\n!\r\n0\r\n\r\n")
			io.Copy(io.Discard, c)
		}
	})
	u := newTestSender(10)
	u.bufferTime = 0
	st, ended := long(t, u, context.Background(), addr, keyed())
	if p, err := st.Next(context.Background()); string(p) != "hi" || err != nil || st.Length >= 0 {
		t.Errorf("%q, %v, length %d", p, err, st.Length)
	}
	close(goOn)
	if p, _ := st.Next(context.Background()); string(p) != "!" {
		t.Errorf("then %q", p)
	}
	if res := testkit.Wait(t, ended); res.ending != balancer.Success {
		t.Errorf("ending %d", res.ending)
	}
	if open, idle := u.counts(); open != 1 || idle != 1 {
		t.Errorf("%d open, %d idle", open, idle)
	}
}

// upload makes a request with more to come, of which the test sends the rest.
func upload(length int64, first string) (*message.Request, *message.Stream) {
	m := &message.Request{Method: "POST", URL: &url.URL{Path: "/order/1"}, Authority: "app.svc", Header: map[string][]string{}, Body: []byte(first)}
	m.More = message.NewStream(nil, func(int) {})
	m.More.Length = length
	return m, m.More
}

// A long body goes out as it comes, in either framing; it is an attempt only once it has come to its end.
func TestUpload(t *testing.T) {
	t.Parallel()
	addr, got := testkit.Stub(t, ok, false)
	for _, length := range []int64{11, -1} {
		u := newTestSender(10)
		for range 2 { // the second on a kept connection
			m, more := upload(length, "hello")
			go func() {
				more.Push([]byte(" wor"))
				more.Push([]byte("ld"))
				more.Finish([]message.Field{})
			}()
			if res := send(t, u, newEndpoint(addr), m); res.ending != balancer.Success || !m.Spent() {
				t.Errorf("length %d: ending %d, spent %v", length, res.ending, m.Spent())
			}
			if r := testkit.Wait(t, got); r.Text != "hello world" || r.ContentLength != length {
				t.Errorf("the server got %q of %d", r.Text, r.ContentLength)
			}
			if res := send(t, u, newEndpoint(addr), m); res.ending != balancer.NeverSent {
				t.Errorf("sent again: ending %d", res.ending)
			}
		}
	}
}

// However an upload ends before its last byte, the attempt has not run: its caller breaks off, the server answers early
// or breaks, or takes nothing.
func TestUploadBreaks(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		serve func(c net.Conn, r *bufio.Reader)
		off   bool // the caller breaks off
		want  balancer.Ending
	}{
		"caller": {func(c net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) }, true, balancer.NeverSent},
		"turned away": {func(c net.Conn, r *bufio.Reader) {
			http.ReadRequest(r)
			io.WriteString(c, "HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, r)
		}, false, balancer.Overloaded},
		"failed early": {func(c net.Conn, r *bufio.Reader) {
			http.ReadRequest(r)
			io.WriteString(c, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, r)
		}, false, balancer.Failure},
		"breaks": {func(c net.Conn, r *bufio.Reader) { http.ReadRequest(r) }, false, balancer.Unreachable},
		"resets": {func(c net.Conn, r *bufio.Reader) {
			http.ReadRequest(r)
			c.(*net.TCPConn).SetLinger(0)
		}, false, balancer.Unreachable},
	} {
		addr := testkit.Listen(t, c.serve)
		u := newTestSender(10)
		m, more := upload(1<<20, "hello")
		if c.off {
			more.Finish(nil)
		}
		if res := send(t, u, newEndpoint(addr), m); res.ending != c.want {
			t.Errorf("%s: ending %d, want %d", name, res.ending, c.want)
		}
		if open, _ := u.counts(); open != 0 {
			t.Errorf("%s: %d connections open", name, open)
		}
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	m, _ := upload(1<<20, "hello")
	read := make(chan struct{})
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) { http.ReadRequest(r); close(read); io.Copy(io.Discard, r) })
	go func() { <-read; cancel(engine.ErrWithdrawn) }()
	if res := newTestSender(10).attempt(ctx, engine.NewAttempt(newEndpoint(addr), m, limit, engine.Hooks{})); res.ending != balancer.NeverSent {
		t.Errorf("withdrawn: ending %d", res.ending)
	}
}

// The budget's arithmetic: nothing is given back twice or lost, whoever comes first.
func TestFlowProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := testkit.NewRoom(5 * chunkSize)
		var flows [3]*limitedStream
		for i := range flows {
			flows[i] = newLimitedStream(room, nil, 1)
		}
		over, cancel := context.WithCancelCause(context.Background())
		cancel(errors.New("over"))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			f := flows[rapid.IntRange(0, 2).Draw(t, "flow")]
			if rapid.Bool().Draw(t, "read") {
				n, err := f.reserve(over) // does not wait
				if err != nil {
					if f.unread == 0 {
						t.Fatal("one that holds nothing can't go on")
					}
					continue
				}
				got := rapid.IntRange(0, n).Draw(t, "got")
				f.release(n - got)
				if got > 0 {
					f.Push(make([]byte, got))
				}
			} else if f.Held() > 0 {
				f.Next(context.Background())
			}
			var taken int64
			for _, f := range flows {
				if f.reserved > f.unread || f.unread > maxUnread || f.unread != f.Held() {
					t.Fatalf("taken %d, held %d of %d", f.reserved, f.unread, f.Held())
				}
				taken += int64(f.reserved)
			}
			if taken+room.Left() != 5*chunkSize {
				t.Fatalf("%d taken, %d left", taken, room.Left())
			}
		}
		for _, f := range flows {
			f.Release()
		}
		if room.Left() != 5*chunkSize {
			t.Fatalf("%d left in the end", room.Left())
		}
	})
}
