package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/message"
	"cranegrade/internal/testkit"
)

// uploadRequest returns a request whose body continues after first, and the stream to which the test pushes the rest.
func uploadRequest(length int64, first string) (*message.Request, *message.Stream) {
	m := &message.Request{
		Method:    "POST",
		URL:       &url.URL{Path: "/order/1"},
		Authority: "app.svc",
		Header:    map[string][]string{},
		Body:      []byte(first),
	}
	m.BodyRest = message.NewStream(nil, func(int) {})
	m.BodyRest.Length = length
	return m, m.BodyRest
}

// A long body is forwarded as it comes, with a declared length or in chunks. Another attempt of it is not possible.
func TestUpload(t *testing.T) {
	t.Parallel()
	addr, got := testkit.Stub(t, okResponse, false)
	for _, length := range []int64{11, -1} {
		s := newTestSender(10)
		for range 2 { // the second one on a reused connection
			m, rest := uploadRequest(length, "hello")
			go func() {
				rest.Push([]byte(" wor"))
				rest.Push([]byte("ld"))
				rest.Finish([]message.Field{})
			}()
			if res := send(t, s, newEndpoint(addr), m); res.ending != balancer.Success || !m.Spent() {
				t.Errorf("length %d: ending %v, spent %v", length, res.ending, m.Spent())
			}
			if r := testkit.Wait(t, got); r.Text != "hello world" || r.ContentLength != length {
				t.Errorf("the server got the body %q with the length %d", r.Text, r.ContentLength)
			}
			if res := send(t, s, newEndpoint(addr), m); res.ending != balancer.NeverSent {
				t.Errorf("second attempt: ending %v", res.ending)
			}
		}
	}
}

// However an upload ends before its last byte, the request has not run.
func TestInterruptedUploadHasNotRun(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		serve           func(c net.Conn, r *bufio.Reader)
		callerBreaksOff bool
		want            balancer.Ending
	}{
		"caller breaks off": {func(c net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) }, true, balancer.NeverSent},
		"503, unprocessed": {func(c net.Conn, r *bufio.Reader) {
			http.ReadRequest(r)
			io.WriteString(c, "HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, r)
		}, false, balancer.Overloaded},
		"500 before the end": {func(c net.Conn, r *bufio.Reader) {
			http.ReadRequest(r)
			io.WriteString(c, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, r)
		}, false, balancer.Failure},
		"connection ends": {func(c net.Conn, r *bufio.Reader) { http.ReadRequest(r) }, false, balancer.Unreachable},
		"connection is reset": {func(c net.Conn, r *bufio.Reader) {
			http.ReadRequest(r)
			c.(*net.TCPConn).SetLinger(0)
		}, false, balancer.Unreachable},
	} {
		t.Run(name, func(t *testing.T) {
			addr := testkit.Listen(t, c.serve)
			s := newTestSender(10)
			m, rest := uploadRequest(1<<20, "hello")
			if c.callerBreaksOff {
				rest.Finish(nil)
			}
			if res := send(t, s, newEndpoint(addr), m); res.ending != c.want {
				t.Errorf("ending %v, want %v", res.ending, c.want)
			}
			if open, _ := s.counts(); open != 0 {
				t.Errorf("%d connections open", open)
			}
		})
	}
}

func TestWithdrawnUploadHasNotRun(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancelCause(context.Background())
	m, _ := uploadRequest(1<<20, "hello")
	read := make(chan struct{})
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		close(read)
		io.Copy(io.Discard, r)
	})
	go func() {
		<-read
		cancel(engine.ErrWithdrawn)
	}()
	res := newTestSender(10).attempt(ctx, engine.NewAttempt(newEndpoint(addr), m, limit, engine.Hooks{}))
	if res.ending != balancer.NeverSent {
		t.Errorf("ending %v, want NeverSent", res.ending)
	}
}

// A server that has every byte of a request may run it, whatever happens to the caller or the attempt after that. If the attempt
// were reported as not run, the request would be sent again.
func TestCompleteUploadMayHaveRun(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		after func(rest *message.Stream, cancel context.CancelCauseFunc)
		want  balancer.Ending
	}{
		"the caller breaks off": {
			after: func(rest *message.Stream, _ context.CancelCauseFunc) { rest.Finish(nil) },
			want:  balancer.Broken,
		},
		"timed out": {
			after: func(_ *message.Stream, cancel context.CancelCauseFunc) { cancel(engine.ErrTimedOut) },
			want:  balancer.TimedOut,
		},
		"withdrawn": {
			after: func(_ *message.Stream, cancel context.CancelCauseFunc) { cancel(engine.ErrWithdrawn) },
			want:  balancer.Canceled,
		},
	} {
		t.Run(name, func(t *testing.T) {
			ran, proceed := make(chan struct{}), make(chan struct{})
			addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
				if req, err := http.ReadRequest(r); err == nil {
					io.ReadAll(req.Body)
					close(ran)
					<-proceed
				}
			})
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			m, rest := uploadRequest(11, "hello")
			go func() {
				rest.Push([]byte(" world"))
				testkit.Wait(t, ran)
				c.after(rest, cancel)
				close(proceed)
			}()
			got := newTestSender(10).attempt(ctx, engine.NewAttempt(newEndpoint(addr), m, limit, engine.Hooks{}))
			if got.ending != c.want {
				t.Errorf("ending %v, want %v", got.ending, c.want)
			}
		})
	}
}

// Bytes beyond the declared length are not sent: the server would read them as another request.
func TestUploadOverItsLength(t *testing.T) {
	t.Parallel()
	received := make(chan string, 1)
	addr := testkit.Listen(t, func(_ net.Conn, r *bufio.Reader) {
		all, _ := io.ReadAll(r) // until the sender closes the connection
		received <- string(all)
	})
	m, rest := uploadRequest(11, "hello")
	rest.Push([]byte(" worldGET /other HTTP/1.1\r\nHost: a\r\n\r\n"))
	rest.Finish([]message.Field{})
	if res := send(t, newTestSender(10), newEndpoint(addr), m); res.ending != balancer.NeverSent {
		t.Errorf("ending %v", res.ending)
	}
	got := testkit.Wait(t, received)
	if !strings.HasPrefix(got, "POST /order/1 ") || !strings.HasSuffix(got, "\r\n\r\nhello") {
		t.Errorf("the server got %q, want the head and the 5 bytes before the excess", got)
	}
}

// earlyProtocol is a protocol whose servers may begin to process a request before its end, as the mesh's do.
type earlyProtocol struct{ platformProtocol }

func (earlyProtocol) MayRunIncomplete() bool { return true }

// Guards against a request that is taken for one that has not run, and so runs twice, because it was not written completely: a server may have begun to
// process it, and certainly has if it has begun to respond.
func TestIncompleteUploadMayHaveRun(t *testing.T) {
	t.Parallel()
	readHead := func(r *bufio.Reader) { http.ReadRequest(r) }
	breaksOff := func(c net.Conn, r *bufio.Reader) {
		readHead(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\na part of it")
	}
	for name, c := range map[string]struct {
		protocol Protocol
		serve    func(c net.Conn, r *bufio.Reader)
		caller   func(rest *message.Stream, cancel context.CancelCauseFunc) // once the server has the head; nil for nothing
		want     balancer.Ending
	}{
		"the response is broken off":                             {protocol: earlyProtocol{}, serve: breaksOff, want: balancer.Broken},
		"the response of a server of the platform is broken off": {protocol: platformProtocol{}, serve: breaksOff, want: balancer.Broken},
		"the connection ends":                                    {protocol: earlyProtocol{}, serve: func(_ net.Conn, r *bufio.Reader) { readHead(r) }, want: balancer.Broken},
		"the connection is reset": {protocol: earlyProtocol{}, serve: func(c net.Conn, r *bufio.Reader) {
			readHead(r)
			c.(*net.TCPConn).SetLinger(0)
		}, want: balancer.Broken},
		"the response says that it has not run": {protocol: earlyProtocol{}, serve: func(c net.Conn, r *bufio.Reader) {
			readHead(r)
			io.WriteString(c, unprocessedResponse)
			io.Copy(io.Discard, r)
		}, want: balancer.Overloaded},
		"the caller breaks off": {
			protocol: earlyProtocol{}, serve: func(_ net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) },
			caller: func(rest *message.Stream, _ context.CancelCauseFunc) { rest.Finish(nil) },
			want:   balancer.Canceled,
		},
		"the caller sends more than it declared": {
			protocol: earlyProtocol{}, serve: func(_ net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) },
			caller: func(rest *message.Stream, _ context.CancelCauseFunc) { rest.Push(make([]byte, 2<<20)) },
			want:   balancer.Canceled,
		},
		"withdrawn": {
			protocol: earlyProtocol{}, serve: func(_ net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) },
			caller: func(_ *message.Stream, cancel context.CancelCauseFunc) { cancel(engine.ErrWithdrawn) },
			want:   balancer.Canceled,
		},
		"timed out": {
			protocol: earlyProtocol{}, serve: func(_ net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) },
			caller: func(_ *message.Stream, cancel context.CancelCauseFunc) { cancel(engine.ErrTimedOut) },
			want:   balancer.TimedOut,
		},
	} {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan struct{})
			addr := testkit.Listen(t, func(conn net.Conn, r *bufio.Reader) {
				r.Peek(1)
				close(arrived)
				c.serve(conn, r)
			})
			s := newTestSender(10)
			s.protocol = c.protocol
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			m, rest := uploadRequest(1<<20, "hello")
			if c.caller != nil {
				go func() {
					<-arrived
					c.caller(rest, cancel)
				}()
			}
			got := s.attempt(ctx, engine.NewAttempt(newEndpoint(addr), m, limit, engine.Hooks{}))
			if got.ending != c.want {
				t.Errorf("ending %v, want %v", got.ending, c.want)
			}
			if open, _ := s.counts(); open != 0 {
				t.Errorf("%d connections open", open)
			}
		})
	}
}

// An upload of which nothing could be written has not run at any server.
func TestUploadWithoutConnectionHasNotRun(t *testing.T) {
	t.Parallel()
	s := newTestSender(10)
	s.protocol = earlyProtocol{}
	m, _ := uploadRequest(1<<20, "hello")
	if res := send(t, s, newEndpoint("127.0.0.1:1"), m); res.ending != balancer.Unreachable {
		t.Errorf("ending %v, want Unreachable", res.ending)
	}
	if m.Spent() {
		t.Error("the body counts as sent")
	}
}
