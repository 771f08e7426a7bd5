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

const limit = testkit.Limit

func newTestSender(most int64) *Sender {
	s := New(Config{Idle: time.Minute, Connect: limit, Connections: testkit.NewRoom(most), LongAnswers: testkit.NewRoom(1 << 40)})
	s.readTimeout, s.bufferTime, s.settleTime = limit, limit, 0 // a slow machine gets more, and no test waits for it
	return s
}

func newEndpoint(addr string) *engine.Endpoint { return engine.NewEndpoint(addr, addr) }

func keyed() *message.Request {
	return &message.Request{
		Method: "POST", URL: &url.URL{Path: "/send/1"}, Authority: "app.svc",
		Header: map[string][]string{"Idempotency-Key": {"k-1"}}, Body: []byte("body"),
	}
}

func try(t *testing.T, s *Sender, ep *engine.Endpoint) result {
	t.Helper()
	return send(t, s, ep, keyed())
}

func send(t *testing.T, s *Sender, ep *engine.Endpoint, m *message.Request) result {
	t.Helper()
	ctx, cancel := context.WithTimeoutCause(context.Background(), limit, engine.ErrTimedOut)
	defer cancel()
	return s.attempt(ctx, engine.NewAttempt(ep, m, limit, engine.Hooks{Began: func(r engine.Reply) { r.Release() }}))
}

const ok = testkit.OK

func (s *Sender) counts() (open, idle int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.idle {
		idle += len(l)
	}
	return s.open, idle
}

func yes() bool { return true }

func TestEndings(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		answer string
		ending balancer.Ending
		kept   bool
	}{
		"served":            {ok, balancer.Success, true},
		"interim first":     {"HTTP/1.1 100 Continue\r\n\r\n" + ok, balancer.Success, true},
		"chunked":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", balancer.Success, true},
		"empty":             {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", balancer.Success, true},
		"closes":            {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", balancer.Success, false},
		"leftover bytes":    {ok + "HTTP/1.1 200 OK", balancer.Success, false},
		"error":             {"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		"not found":         {"HTTP/1.1 404 E\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		"other success":     {"HTTP/1.1 204 No Content\r\n\r\n", balancer.Failure, true},
		"turned away":       {"HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balancer.Overloaded, true},
		"over already":      {"HTTP/1.1 504 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balancer.Overloaded, true},
		"503 that may run":  {"HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		"503 says 0":        {"HTTP/1.1 503 E\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		"500 unprocessed":   {"HTTP/1.1 500 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balancer.Failure, true},
		"nothing":           {"", balancer.Broken, false},
		"no HTTP":           {"hello\r\n\r\n", balancer.Broken, false},
		"half a header":     {"HTTP/1.1 200 OK\r\nContent-Le", balancer.Broken, false},
		"half a body":       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", balancer.Broken, false},
		"half the chunks":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", balancer.Broken, false},
		"unframed body":     {"HTTP/1.1 200 OK\r\n\r\nperhaps all", balancer.Broken, false},
		"body over 64 KiB":  {"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 300000), balancer.Success, true},
		"body over 1 MiB":   {"HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n" + strings.Repeat("x", 1048577), balancer.Success, true},
		"half a long body":  {"HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n" + strings.Repeat("x", 1048576), balancer.Broken, false},
		"long in chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("4000;x=y\r\n"+strings.Repeat("x", 0x4000)+"\r\n", 20) + "0\r\nT: v\r\n\r\n", balancer.Success, true},
		"ended by close":    {"HTTP/1.1 200 OK\r\nConnection: Close\r\n\r\nall", balancer.Success, false},
		"long, by close":    {"HTTP/1.1 200 OK\r\nConnection: x, close\r\n\r\n" + strings.Repeat("x", 300000), balancer.Success, false},
		"body of 64 KiB":    {"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", 65536), balancer.Success, true},
		"half an error":     {"HTTP/1.1 500 E\r\nContent-Length: 9\r\n\r\nhalf", balancer.Broken, false},
		"half turned away":  {"HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 9\r\n\r\nhalf", balancer.Broken, false},
		"two lengths":       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi", balancer.Broken, false},
		"many interim":      {strings.Repeat("HTTP/1.1 102 P\r\nA: b\r\n\r\n", 10) + ok, balancer.Success, true},
		"unframed and 1.0":  {"HTTP/1.0 200 OK\r\n\r\nall", balancer.Success, false},
		"1.0 with a length": {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi", balancer.Success, false},
	} {
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
		u := newTestSender(10)
		res := try(t, u, newEndpoint(addr))
		if res.ending != c.ending {
			t.Errorf("%s: ending %d, want %d", name, res.ending, c.ending)
		}
		want := 0
		if c.kept {
			want = 1
		}
		if open, idle := u.counts(); open != want || idle != want {
			t.Errorf("%s: %d connections open and %d idle, want %d", name, open, idle, want)
		}
		close(release)
	}
}

// Spoilt answers on connections that stay open end the attempt by themselves: it neither takes memory
// without bound nor waits for the rest of the request's time.
func TestSpoiltAnswerOnOpenConnection(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ answer, andOn string }{
		"noise":            {"\x00\x01\x02", ""},
		"noise on":         {"", "\x00\x01\x02"},
		"half a head":      {"HTTP/1.1 200 OK\r\nContent-Le", ""},
		"endless head":     {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"endless interim":  {"", "HTTP/1.1 102 P\r\nA: b\r\n\r\n"},
		"half a body":      {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", ""},
		"3 GB":             {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "x"},
		"endless chunks":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n"},
		"no length":        {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"half turned away": {"HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 9\r\n\r\nhalf", ""},
	} {
		addr := testkit.Listen(t, func(conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(conn, c.answer)
			for c.andOn != "" {
				if _, err := io.WriteString(conn, strings.Repeat(c.andOn, 1+1000/len(c.andOn))); err != nil {
					return
				}
			}
			io.Copy(io.Discard, r)
		})
		u := newTestSender(10)
		u.readTimeout = 50 * time.Millisecond
		if res := try(t, u, newEndpoint(addr)); res.ending != balancer.Broken {
			t.Errorf("%s: ending %d", name, res.ending)
		}
		if open, _ := u.counts(); open != 0 {
			t.Errorf("%s: %d connections open", name, open)
		}
	}
}

// The time for a whole answer begins with its first byte, and not with an interim one's.
func TestWorkAfterInterim(t *testing.T) {
	t.Parallel()
	work := make(chan struct{})
	addr := testkit.Listen(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n")
			<-work
			io.WriteString(conn, ok)
		}
	})
	u := newTestSender(10)
	u.readTimeout = 100 * time.Millisecond
	time.AfterFunc(3*u.readTimeout, func() { close(work) })
	if res := try(t, u, newEndpoint(addr)); res.ending != balancer.Success {
		t.Errorf("ending %d", res.ending)
	}
}

// A connection rests after an answer, for what comes right behind it may come after a look.
func TestConnectionSettles(t *testing.T) {
	t.Parallel()
	addr, _ := testkit.Stub(t, ok, false)
	u, s := newTestSender(10), newEndpoint(addr)
	u.settleTime = time.Hour
	try(t, u, s)
	try(t, u, s)
	if open, idle := u.counts(); open != 2 || idle != 2 {
		t.Errorf("%d open, %d idle", open, idle)
	}
	u.settleTime = 0
	try(t, u, s)
	if open, idle := u.counts(); open != 2 || idle != 2 {
		t.Errorf("once settled %d open, %d idle", open, idle)
	}
}

// A reused connection that breaks once the request is written is an attempt that may have run: it
// must not be sent again behind the module's back, GET or keyed though it be.
func TestNoHiddenResend(t *testing.T) {
	t.Parallel()
	var seen atomic.Int64
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for i := 0; ; i++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			seen.Add(1)
			if i == 1 {
				return // no answer to a connection's second request
			}
			io.WriteString(c, ok)
		}
	})
	u, s := newTestSender(10), newEndpoint(addr)
	if res := try(t, u, s); res.ending != balancer.Success {
		t.Fatalf("first: %d", res.ending)
	}
	if res := try(t, u, s); res.ending != balancer.Broken {
		t.Errorf("second: ending %d, want Broken", res.ending)
	}
	if n := seen.Load(); n != 2 {
		t.Errorf("the server saw %d requests of 2", n)
	}
}

func TestRefusedConnection(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	u := newTestSender(10)
	if res := try(t, u, newEndpoint(l.Addr().String())); res.ending != balancer.Unreachable {
		t.Errorf("ending %d", res.ending)
	}
	if open, _ := u.counts(); open != 0 {
		t.Errorf("%d connections counted", open)
	}
}

// A server may close a connection at any time while it is idle; a request written to it then is lost.
func TestServerClosesIdle(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{}, 10)
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if req, err := http.ReadRequest(r); err == nil {
			io.Copy(io.Discard, req.Body)
			io.WriteString(c, ok)
			c.Close()
			closed <- struct{}{}
		}
	})
	u, s := newTestSender(10), newEndpoint(addr)
	for range 2 {
		if res := try(t, u, s); res.ending != balancer.Success {
			t.Fatalf("ending %d", res.ending)
		}
		testkit.Wait(t, closed)
	}
	// Nor do such connections hold descriptors for long.
	if open, idle := u.counts(); open != 1 || idle != 1 {
		t.Fatalf("%d open, %d idle", open, idle)
	}
	u.Sweep()
	if open, idle := u.counts(); open != 0 || idle != 0 {
		t.Errorf("after the sweep %d open, %d idle", open, idle)
	}
}

// Bytes that come while a connection is idle would pass for the next request's answer.
func TestBytesWhileIdle(t *testing.T) {
	t.Parallel()
	more, sent := make(chan struct{}), make(chan struct{})
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for i := 0; ; i++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			io.WriteString(c, ok)
			if i == 0 {
				if _, open := <-more; open {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
					close(sent)
				}
			}
		}
	})
	u, s := newTestSender(10), newEndpoint(addr)
	try(t, u, s)
	more <- struct{}{}
	close(more)
	testkit.Wait(t, sent)
	if res := try(t, u, s); string(res.reply.Body) != "hi" {
		t.Errorf("got %q", res.reply.Body)
	}
}

// Ours are closed before the server would close them, and the one used last is used next.
func TestIdlePool(t *testing.T) {
	t.Parallel()
	addr, _ := testkit.Stub(t, ok, false)
	u, s := newTestSender(10), newEndpoint(addr)
	ctx := context.Background()
	a, err := u.acquire(ctx, s, false)
	if err != nil {
		t.Fatal(err)
	}
	b, err := u.acquire(ctx, s, false)
	if err != nil {
		t.Fatal(err)
	}
	u.release(s, a)
	u.release(s, b)
	if c, _ := u.acquire(ctx, s, false); c != b {
		t.Error("not the connection used last")
	} else {
		u.release(s, c)
	}
	for _, c := range []*conn{a, b} {
		c.idleSince = c.idleSince.Add(-u.idleTimeout)
	}
	if u.idleTimeout >= time.Minute {
		t.Errorf("connections idle for %v", u.idleTimeout)
	}
	if c, err := u.acquire(ctx, s, false); err != nil || c == a || c == b {
		t.Errorf("reused a connection idle for too long, or %v", err)
	}
	if open, idle := u.counts(); open != 1 || idle != 0 {
		t.Errorf("%d open, %d idle", open, idle)
	}
}

// A dial takes time: what has changed meanwhile is seen before the first byte.
func TestNothingWrittenAfterTheDial(t *testing.T) {
	t.Parallel()
	var bytes atomic.Int64
	eof := make(chan struct{}, 10)
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		n, _ := io.Copy(io.Discard, r)
		bytes.Add(n)
		eof <- struct{}{}
	})
	u, s := newTestSender(10), newEndpoint(addr)
	ctx := context.Background()
	if res := u.attempt(ctx, engine.NewAttempt(s, keyed(), limit, engine.Hooks{Finished: yes})); res.ending != balancer.NeverSent {
		t.Errorf("request finished: ending %d, want Void", res.ending)
	}
	if _, idle := u.counts(); idle != 1 {
		t.Error("the new connection was not kept for the next attempt")
	}
	gone := func() bool { s.SetUsable(false); return false }
	if res := u.attempt(ctx, engine.NewAttempt(s, keyed(), limit, engine.Hooks{Finished: gone})); res.ending != balancer.Unreachable {
		t.Errorf("server gone: ending %d, want Unreachable", res.ending)
	}
	testkit.Wait(t, eof)
	s.SetUsable(true)
	ctx, cancel := context.WithCancelCause(ctx)
	cancel(engine.ErrWithdrawn)
	if res := u.attempt(ctx, engine.NewAttempt(s, keyed(), limit, engine.Hooks{})); res.ending != balancer.NeverSent {
		t.Errorf("cancelled: ending %d, want Void", res.ending)
	}
	if n := bytes.Load(); n > 0 {
		t.Errorf("%d bytes written", n)
	}
}

// A timeout or a cancel ends the attempt and closes its connection.
func TestTimeoutAndCancelClose(t *testing.T) {
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
	u, s := newTestSender(10), newEndpoint(addr)
	for cause, want := range map[error]balancer.Ending{
		engine.ErrTimedOut: balancer.TimedOut, engine.ErrWithdrawn: balancer.Canceled,
	} {
		ctx, cancel := context.WithCancelCause(context.Background())
		go func() {
			<-began
			cancel(cause)
		}()
		if res := u.attempt(ctx, engine.NewAttempt(s, keyed(), limit, engine.Hooks{})); res.ending != want {
			t.Errorf("%v: ending %d, want %d", cause, res.ending, want)
		}
		testkit.Wait(t, eof)
	}
	if open, _ := u.counts(); open != 0 {
		t.Errorf("%d connections open", open)
	}
}

// With no descriptor left an idle connection makes room, else the attempt fails without a dial.
func TestConnectionBudget(t *testing.T) {
	t.Parallel()
	a, _ := testkit.Stub(t, ok, false)
	b, _ := testkit.Stub(t, ok, false)
	u, sa, sb := newTestSender(1), newEndpoint(a), newEndpoint(b)
	for _, s := range []*engine.Endpoint{sa, sb} {
		if res := try(t, u, s); res.ending != balancer.Success {
			t.Fatalf("ending %d", res.ending)
		}
	}
	c, err := u.acquire(context.Background(), sb, false) // the only one, busy
	if err != nil {
		t.Fatal(err)
	}
	if res := try(t, u, sa); res.ending != balancer.Unreachable {
		t.Errorf("over the budget: ending %d, want Unreachable", res.ending)
	}
	u.close(c)
	if res := try(t, u, sa); res.ending != balancer.Success {
		t.Errorf("with room again: ending %d", res.ending)
	}
}

// A server that drains gets none of its idle connections used, nor a busy one put back.
func TestDrainDropsIdle(t *testing.T) {
	t.Parallel()
	addr, _ := testkit.Stub(t, ok, false)
	u, s := newTestSender(10), newEndpoint(addr)
	try(t, u, s)
	busy, err := u.acquire(context.Background(), s, false)
	if err != nil {
		t.Fatal(err)
	}
	try(t, u, s)
	s.SetUsable(false)
	u.Drop(s)
	u.release(s, busy)
	if open, idle := u.counts(); open != 0 || idle != 0 {
		t.Errorf("%d open, %d idle", open, idle)
	}
}

func TestTimeLeft(t *testing.T) {
	for d, want := range map[time.Duration]string{0: "1u", time.Microsecond: "1u", 1500 * time.Millisecond: "1500000u"} {
		if got := message.TimeLeft(d); got != want {
			t.Errorf("%v: %s", d, got)
		}
	}
}

// A target goes out as it came, one that the library would take for an authority, too.
func TestTargetUnchanged(t *testing.T) {
	t.Parallel()
	addr, got := testkit.Stub(t, ok, false)
	for _, target := range []string{"/a%20b/?c", "//x/y?z=://", "/", "/%2F%2f//"} {
		m := &message.Request{Method: "POST", URL: &url.URL{Opaque: target}, Authority: "app.svc", Header: map[string][]string{}, Body: []byte("a ://b")}
		if res := send(t, newTestSender(10), newEndpoint(addr), m); res.ending != balancer.Success {
			t.Errorf("%s: ending %d", target, res.ending)
		}
		if r := testkit.Wait(t, got); r.RequestURI != target || r.Text != "a ://b" {
			t.Errorf("%s came as %s, with %q", target, r.RequestURI, r.Text)
		}
	}
}
