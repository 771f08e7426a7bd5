package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/message"
	"cranegrade/internal/testkit"
)

// What a response, or the lack of one, says about the attempt, and whether its connection is kept.
func TestEndings(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		answer string
		ending balancer.Ending
		kept   bool
	}{
		"success": {
			answer: okResponse,
			ending: balancer.Success,
			kept:   true,
		},
		"interim first": {
			answer: "HTTP/1.1 100 Continue\r\n\r\n" + okResponse,
			ending: balancer.Success,
			kept:   true,
		},
		"chunked": {
			answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
			ending: balancer.Success,
			kept:   true,
		},
		"empty": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
			ending: balancer.Success,
			kept:   true,
		},
		"connection closes": {
			answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
			ending: balancer.Success,
			kept:   false,
		},
		"leftover bytes": {
			answer: okResponse + "HTTP/1.1 200 OK",
			ending: balancer.Success,
			kept:   false,
		},
		"error": {
			answer: "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n",
			ending: balancer.Failure,
			kept:   true,
		},
		"not found": {
			answer: "HTTP/1.1 404 E\r\nContent-Length: 0\r\n\r\n",
			ending: balancer.Failure,
			kept:   true,
		},
		"204": {
			answer: "HTTP/1.1 204 No Content\r\n\r\n",
			ending: balancer.Failure,
			kept:   true,
		},
		"503, unprocessed": {
			answer: "HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
			ending: balancer.Overloaded,
			kept:   true,
		},
		"504, unprocessed": {
			answer: "HTTP/1.1 504 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
			ending: balancer.Overloaded,
			kept:   true,
		},
		"503 without a field": {
			answer: "HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n",
			ending: balancer.Failure,
			kept:   true,
		},
		"503, unprocessed: 0": {
			answer: "HTTP/1.1 503 E\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n",
			ending: balancer.Failure,
			kept:   true,
		},
		"500, unprocessed": {
			answer: "HTTP/1.1 500 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
			ending: balancer.Failure,
			kept:   true,
		},
		"no response": {
			answer: "",
			ending: balancer.Broken,
			kept:   false,
		},
		"not HTTP": {
			answer: "hello\r\n\r\n",
			ending: balancer.Broken,
			kept:   false,
		},
		"half a header": {
			answer: "HTTP/1.1 200 OK\r\nContent-Le",
			ending: balancer.Broken,
			kept:   false,
		},
		"half a body": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
			ending: balancer.Broken,
			kept:   false,
		},
		"half the chunks": {
			answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
			ending: balancer.Broken,
			kept:   false,
		},
		"unframed body": {
			answer: "HTTP/1.1 200 OK\r\n\r\nperhaps all",
			ending: balancer.Broken,
			kept:   false,
		},
		"body over 64 KiB": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 300000),
			ending: balancer.Success,
			kept:   true,
		},
		"body over 1 MiB": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n" + strings.Repeat("x", 1048577),
			ending: balancer.Success,
			kept:   true,
		},
		"half a long body": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n" + strings.Repeat("x", 1048576),
			ending: balancer.Broken,
			kept:   false,
		},
		"long in chunks": {
			answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
				strings.Repeat("4000;x=y\r\n"+strings.Repeat("x", 0x4000)+"\r\n", 20) + "0\r\nT: v\r\n\r\n",
			ending: balancer.Success,
			kept:   true,
		},
		"ended by close": {
			answer: "HTTP/1.1 200 OK\r\nConnection: Close\r\n\r\nall",
			ending: balancer.Success,
			kept:   false,
		},
		"long, by close": {
			answer: "HTTP/1.1 200 OK\r\nConnection: x, close\r\n\r\n" + strings.Repeat("x", 300000),
			ending: balancer.Success,
			kept:   false,
		},
		"body of 64 KiB": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", 65536),
			ending: balancer.Success,
			kept:   true,
		},
		"half an error": {
			answer: "HTTP/1.1 500 E\r\nContent-Length: 9\r\n\r\nhalf",
			ending: balancer.Broken,
			kept:   false,
		},
		"half of an unprocessed 503": {
			answer: "HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 9\r\n\r\nhalf",
			ending: balancer.Broken,
			kept:   false,
		},
		"two lengths": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
			ending: balancer.Broken,
			kept:   false,
		},
		"many interim": {
			answer: strings.Repeat("HTTP/1.1 102 P\r\nA: b\r\n\r\n", 10) + okResponse,
			ending: balancer.Success,
			kept:   true,
		},
		"unframed and 1.0": {
			answer: "HTTP/1.0 200 OK\r\n\r\nall",
			ending: balancer.Success,
			kept:   false,
		},
		"1.0 with a length": {
			answer: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi",
			ending: balancer.Success,
			kept:   false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			addr := testkit.Listen(t, func(conn net.Conn, r *bufio.Reader) {
				if req, err := http.ReadRequest(r); err == nil {
					io.Copy(io.Discard, req.Body)
					io.WriteString(conn, c.answer)
					if c.kept {
						<-release
					}
				}
			})
			s := newTestSender(10)
			res := sendKeyed(t, s, newEndpoint(addr))
			if res.ending != c.ending {
				t.Errorf("ending %v, want %v", res.ending, c.ending)
			}
			want := 0
			if c.kept {
				want = 1
			}
			if open, idle := s.counts(); open != want || idle != want {
				t.Errorf("%d connections open and %d idle, want %d", open, idle, want)
			}
			close(release)
		})
	}
}

// A malformed response on a connection that stays open ends the attempt: it neither uses unlimited memory nor all the time
// that the request has.
func TestMalformedResponseEndsAttempt(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ response, repeated string }{
		"no HTTP": {
			response: "\x00\x01\x02",
			repeated: "",
		},
		"endless, no HTTP": {
			response: "",
			repeated: "\x00\x01\x02",
		},
		"half a head": {
			response: "HTTP/1.1 200 OK\r\nContent-Le",
			repeated: "",
		},
		"endless head": {
			response: "HTTP/1.1 200 OK\r\n",
			repeated: "A: b\r\n",
		},
		"endless interim": {
			response: "",
			repeated: "HTTP/1.1 102 P\r\nA: b\r\n\r\n",
		},
		"half a body": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
			repeated: "",
		},
		"declared length of 3 GB": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
			repeated: "x",
		},
		"endless chunks": {
			response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
			repeated: "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n",
		},
		"endless, no length": {
			response: "HTTP/1.1 200 OK\r\n\r\n",
			repeated: "x",
		},
		"half of an unprocessed 503": {
			response: "HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 9\r\n\r\nhalf",
			repeated: "",
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr := testkit.Listen(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				io.WriteString(conn, c.response)
				for c.repeated != "" {
					if _, err := io.WriteString(conn, strings.Repeat(c.repeated, 1+1000/len(c.repeated))); err != nil {
						return
					}
				}
				io.Copy(io.Discard, r)
			})
			s := newTestSender(10)
			s.readTimeout = 50 * time.Millisecond
			if res := sendKeyed(t, s, newEndpoint(addr)); res.ending != balancer.Broken {
				t.Errorf("ending %v", res.ending)
			}
			if open, _ := s.counts(); open != 0 {
				t.Errorf("%d connections open", open)
			}
		})
	}
}

// The read time-out counts from the first byte of the final response, not from that of an interim one.
func TestReadTimeoutStartsAfterInterimResponse(t *testing.T) {
	t.Parallel()
	proceed := make(chan struct{})
	addr := testkit.Listen(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n")
			<-proceed
			io.WriteString(conn, okResponse)
		}
	})
	s := newTestSender(10)
	s.readTimeout = 100 * time.Millisecond
	time.AfterFunc(3*s.readTimeout, func() { close(proceed) })
	if res := sendKeyed(t, s, newEndpoint(addr)); res.ending != balancer.Success {
		t.Errorf("ending %v", res.ending)
	}
}

// If a reused connection breaks after the request was written, the attempt may have run. The sender must not send it again by
// itself, even if it is idempotent.
func TestNoHiddenResend(t *testing.T) {
	t.Parallel()
	var received atomic.Int64
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for i := 0; ; i++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			received.Add(1)
			if i == 1 {
				return // the second request of a connection gets no response
			}
			io.WriteString(c, okResponse)
		}
	})
	s, ep := newTestSender(10), newEndpoint(addr)
	if res := sendKeyed(t, s, ep); res.ending != balancer.Success {
		t.Fatalf("first attempt: ending %v", res.ending)
	}
	if res := sendKeyed(t, s, ep); res.ending != balancer.Broken {
		t.Errorf("second attempt: ending %v, want Broken", res.ending)
	}
	if n := received.Load(); n != 2 {
		t.Errorf("the server got %d requests, want 2", n)
	}
}

// Dialling takes time. What has changed meanwhile is noticed before the first byte is written.
func TestNothingIsWrittenIfAttemptEndsDuringDial(t *testing.T) {
	t.Parallel()
	var received atomic.Int64
	eof := make(chan struct{}, 10)
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		n, _ := io.Copy(io.Discard, r)
		received.Add(n)
		eof <- struct{}{}
	})
	s, ep := newTestSender(10), newEndpoint(addr)
	ctx := context.Background()
	if res := s.attempt(
		ctx,
		engine.NewAttempt(ep, keyedRequest(), limit, engine.Hooks{Finished: func() bool { return true }}),
	); res.ending != balancer.NeverSent {
		t.Errorf("finished call: ending %v, want NeverSent", res.ending)
	}
	if _, idle := s.counts(); idle != 1 {
		t.Error("the new connection is not kept for the next attempt")
	}
	drain := func() bool { ep.SetUsable(false); return false }
	if res := s.attempt(
		ctx,
		engine.NewAttempt(ep, keyedRequest(), limit, engine.Hooks{Finished: drain}),
	); res.ending != balancer.Unreachable {
		t.Errorf("unusable endpoint: ending %v, want Unreachable", res.ending)
	}
	testkit.Wait(t, eof)
	ep.SetUsable(true)
	ctx, cancel := context.WithCancelCause(ctx)
	cancel(engine.ErrWithdrawn)
	if res := s.attempt(ctx, engine.NewAttempt(ep, keyedRequest(), limit, engine.Hooks{})); res.ending != balancer.NeverSent {
		t.Errorf("cancelled: ending %v, want NeverSent", res.ending)
	}
	if n := received.Load(); n > 0 {
		t.Errorf("%d bytes written", n)
	}
}

// A time-out or a cancellation ends the attempt and closes its connection.
func TestTimeoutAndCancelCloseConnection(t *testing.T) {
	t.Parallel()
	began, eof := make(chan struct{}, 10), make(chan struct{}, 10)
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			began <- struct{}{}
			io.Copy(io.Discard, r)
			eof <- struct{}{}
		}
	})
	s, ep := newTestSender(10), newEndpoint(addr)
	for cause, want := range map[error]balancer.Ending{
		engine.ErrTimedOut:  balancer.TimedOut,
		engine.ErrWithdrawn: balancer.Canceled,
	} {
		ctx, cancel := context.WithCancelCause(context.Background())
		go func() {
			<-began
			cancel(cause)
		}()
		if res := s.attempt(ctx, engine.NewAttempt(ep, keyedRequest(), limit, engine.Hooks{})); res.ending != want {
			t.Errorf("%v: ending %v, want %v", cause, res.ending, want)
		}
		testkit.Wait(t, eof)
	}
	if open, _ := s.counts(); open != 0 {
		t.Errorf("%d connections open", open)
	}
}

// The request target is sent as the caller wrote it, even one that net/http would take for an authority.
func TestRequestTargetIsUnchanged(t *testing.T) {
	t.Parallel()
	addr, got := testkit.Stub(t, okResponse, false)
	for _, target := range []string{"/a%20b/?c", "//x/y?z=://", "/", "/%2F%2f//"} {
		m := &message.Request{
			Method:    "POST",
			URL:       &url.URL{Opaque: target},
			Authority: "app.svc",
			Header:    map[string][]string{},
			Body:      []byte("a ://b"),
		}
		if res := send(t, newTestSender(10), newEndpoint(addr), m); res.ending != balancer.Success {
			t.Errorf("%s: ending %v", target, res.ending)
		}
		if r := testkit.Wait(t, got); r.RequestURI != target || r.Text != "a ://b" {
			t.Errorf("%s arrived as %s, with the body %q", target, r.RequestURI, r.Text)
		}
	}
}
