package node

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	_ "google.golang.org/grpc/encoding/gzip"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"cranegrade/internal/testkit"
)

// TestGRPCUnaryCalls makes unary calls through a node, with grpc-go as caller and server: messages, metadata, compression, status,
// idempotency keys, limits and the health service.
func TestGRPCUnaryCalls(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	c, _ := grpcNode(t, grpcServer(t, func(method string, s grpc.ServerStream) error {
		switch method {
		case "/t.S/Missing":
			return status.Error(codes.NotFound, "no such thing: 100%")
		case "/t.S/Send", "/t.S/Down":
			runs.Add(1)
			return status.Error(codes.Unavailable, "down")
		}
		return echo(method, s)
	}))
	var head, tail metadata.MD
	got, err := invoke(within(t, 5*time.Second, "x-mine", "a", "x-mine", "b"), c, "/t.S/Get", "hello", grpc.Header(&head), grpc.Trailer(&tail))
	if err != nil || got != "re: hello" || strings.Join(head.Get("x-saw"), "") != "a,b" || strings.Join(tail.Get("x-end"), "") != "bye" ||
		strings.Join(tail.Get("x-raw-bin"), "") != "\x00\xff" {
		t.Errorf("%q, %v, %v, %v", got, err, head, tail)
	}
	// Compressed messages pass as they are: 200 KiB fit into the limit of 64 KiB.
	long := strings.Repeat("squeeze ", 25_000)
	if got, err := invoke(within(t, 5*time.Second), c, "/t.S/Get", long, grpc.UseCompressor("gzip")); err != nil || got != "re: "+long {
		t.Errorf("compressed: %d bytes, %v", len(got), err)
	}
	if got, err := invoke(within(t, 5*time.Second), c, "/t.S/Get", ""); err != nil || got != "re: " { // an empty message
		t.Errorf("%q, %v", got, err)
	}
	for _, x := range []struct {
		method string
		code   codes.Code
		text   string
		md     []string
	}{
		{"/t.S/Missing", codes.NotFound, "no such thing: 100%", nil},
		{"/t.S/Send", codes.Unavailable, "down", nil}, // the status of the server
		{"/t.S/Key", codes.InvalidArgument, "idempotency-key", nil},
		{"/u.S/Get", codes.Unimplemented, "no route", nil},
	} {
		_, err := invoke(within(t, 5*time.Second, x.md...), c, x.method, "x")
		if s := status.Convert(err); s.Code() != x.code || !strings.Contains(s.Message(), x.text) {
			t.Errorf("%s: %v", x.method, err)
		}
	}
	if runs.Load() != 1 {
		t.Errorf("an unsafe call ran %d times", runs.Load())
	}
	if got, err := invoke(within(t, 5*time.Second, "idempotency-key", "k-1"), c, "/t.S/Key", "x"); err != nil || got != "re: x" {
		t.Errorf("%q, %v", got, err)
	}
	if _, err := invoke(within(t, 5*time.Second), c, "/t.S/Get", strings.Repeat("x", 70<<10)); status.Code(err) != codes.ResourceExhausted {
		t.Errorf("a message of 70 KiB: %v", err)
	}
	// The health service is the node's own.
	hc, err := grpc.NewClient(c.Target(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer hc.Close()
	health := healthpb.NewHealthClient(hc)
	for name, want := range map[string]codes.Code{"": codes.OK, "p": codes.OK, "q": codes.NotFound} {
		r, err := health.Check(within(t, 5*time.Second), &healthpb.HealthCheckRequest{Service: name})
		if status.Code(err) != want || err == nil && r.Status != healthpb.HealthCheckResponse_SERVING {
			t.Errorf("health of %q: %v, %v", name, r, err)
		}
	}
	if w, err := health.Watch(within(t, 5*time.Second), &healthpb.HealthCheckRequest{}); err == nil {
		if _, err = w.Recv(); status.Code(err) != codes.Unimplemented {
			t.Errorf("Watch: %v", err)
		}
	}
}

// A rejected call ends with UNAVAILABLE and RetryInfo at once, an expired one with DEADLINE_EXCEEDED, and an unsafe one
// whose server dies with INTERNAL: callers may retry after UNAVAILABLE by themselves.
func TestGRPCStatusOfFailures(t *testing.T) {
	t.Parallel()
	t.Run("rejected", testGRPCRejected)
	t.Run("expired", testGRPCExpired)
	t.Run("server dies", testGRPCServerDies)
}

// testGRPCRejected has a server that rejects everything, and says that it has processed nothing.
func testGRPCRejected(t *testing.T) {
	t.Parallel()
	const (
		atOnce = time.Second // far below the deadlines of the class and of the caller
		tries  = 5           // a busy machine can delay one call; a node that waits delays all of them
	)
	c, _ := grpcNode(t, grpcServer(t, func(_ string, s grpc.ServerStream) error {
		s.SetTrailer(metadata.Pairs("x-unprocessed", "1"))
		return status.Error(codes.ResourceExhausted, "full")
	}))
	for _, method := range []string{"/t.S/Get", "/t.S/Send", "/t.S/Watch"} {
		fastest := limit
		for i := 0; i < tries && fastest > atOnce; i++ {
			start := time.Now()
			_, err := invoke(within(t, limit), c, method, "x")
			fastest = min(fastest, time.Since(start))
			s := status.Convert(err)
			if s.Code() != codes.Unavailable || len(s.Details()) != 1 {
				t.Errorf("%s, rejected: %v, %v", method, err, s.Details())
			} else if info, is := s.Details()[0].(*errdetails.RetryInfo); !is || info.RetryDelay.AsDuration() <= 0 {
				t.Errorf("details %v", s.Details())
			}
		}
		if fastest > atOnce {
			t.Errorf("%s is rejected after %v at the soonest", method, fastest)
		}
	}
}

// testGRPCExpired has a server that never answers. A safe call may be retried after it. An unsafe one may not, once it has reached the
// server; on a busy machine its time may be up before that.
func testGRPCExpired(t *testing.T) {
	t.Parallel()
	const timeLeft = 300 * time.Millisecond
	var reached sync.Map // numbers of calls
	c, stop := grpcNode(t, grpcServer(t, func(_ string, s grpc.ServerStream) error {
		md, _ := metadata.FromIncomingContext(s.Context())
		reached.Store(strings.Join(md.Get("x-mine"), ""), true)
		<-s.Context().Done()
		return nil
	}))
	if _, err := invoke(within(t, timeLeft), c, "/t.S/Get", "x"); status.Code(err) != codes.Unavailable && status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("safe: %v", err)
	}
	errs := map[string]error{} // of the unsafe calls, by number
	testkit.Eventually(t, "no unsafe call reaches the server", func() bool {
		number := strconv.Itoa(len(errs))
		_, errs[number] = invoke(within(t, timeLeft, "x-mine", number), c, "/t.S/Send", "x")
		_, hasReached := reached.Load(number)
		return hasReached
	})
	stop() // no call reaches the server later
	for number, err := range errs {
		_, hasReached := reached.Load(number)
		mayRetry := status.Code(err) == codes.Unavailable && !hasReached
		if status.Code(err) != codes.DeadlineExceeded && !mayRetry {
			t.Errorf("unsafe call %s, which reached the server: %v: %v", number, hasReached, err)
		}
	}
}

// testGRPCServerDies has a server that closes the connection once it has the header of an unsafe call, or all of it.
func testGRPCServerDies(t *testing.T) {
	t.Parallel()
	for name, hasAll := range map[string]func(http2.Frame) bool{
		"after the header": func(f http2.Frame) bool { return f.Header().Type == http2.FrameHeaders },
		"after the body": func(f http2.Frame) bool {
			return f.Header().Type == http2.FrameData && f.Header().Flags.Has(http2.FlagDataEndStream)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			broken := make(chan struct{}, 100)
			c, _ := grpcNode(t, testkit.Listen(t, func(nc net.Conn, r *bufio.Reader) {
				framer := http2.NewFramer(nc, r)
				framer.WriteSettings()
				if _, err := io.CopyN(io.Discard, r, int64(len(http2.ClientPreface))); err != nil {
					return
				}
				for {
					f, err := framer.ReadFrame()
					if err != nil {
						return
					}
					if hasAll(f) {
						broken <- struct{}{}
						return
					}
				}
			}))
			if _, err := invoke(within(t, limit), c, "/t.S/Send", strings.Repeat("x", 300)); status.Code(err) != codes.Internal {
				t.Errorf("a server that dies: %v", err)
			}
			if len(broken) != 1 {
				t.Errorf("an unsafe call was written %d times", len(broken))
			}
		})
	}
}

// A server that resets a stream after the headers and before any data: a safe call is retried at another server, an unsafe
// one fails and has run once.
func TestGRPCResetByServer(t *testing.T) {
	t.Parallel()
	var resets atomic.Int64
	resetting := h2Server(t, func(w http.ResponseWriter, r *http.Request) {
		resets.Add(1)
		w.Header().Set("Content-Type", "application/grpc")
		w.WriteHeader(http.StatusOK)
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	c, _ := grpcNode(t, resetting, grpcServer(t, echo))
	for _, method := range []string{"/t.S/Get", "/t.S/Watch"} {
		for i := range 20 {
			if got, err := invoke(within(t, 5*time.Second), c, method, "x"); err != nil || got != "re: x" {
				t.Errorf("%s %d: %q, %v", method, i, got, err)
			}
		}
	}
	if resets.Load() == 0 {
		t.Error("no call reached the server that resets")
	}
	c, _ = grpcNode(t, resetting)
	for _, method := range []string{"/t.S/Send", "/t.S/Order"} {
		resets.Store(0)
		if _, err := invoke(within(t, 5*time.Second), c, method, "x"); status.Code(err) != codes.Internal || resets.Load() != 1 {
			t.Errorf("%s: %v after %d runs", method, err, resets.Load())
		}
	}
}

// A call whose time is up on arrival is answered at once, and reaches no server. When a caller leaves, its attempt ends.
func TestGRPCExpiredAndCancelledCalls(t *testing.T) {
	t.Parallel()
	took, left := make(chan struct{}, 10), make(chan struct{}, 10)
	c, _ := grpcNode(t, grpcServer(t, func(_ string, s grpc.ServerStream) error {
		took <- struct{}{}
		<-s.Context().Done()
		left <- struct{}{}
		return nil
	}))
	transport := h2Transport()
	t.Cleanup(transport.CloseIdleConnections)
	for timeout, want := range map[string]string{"0n": "4", "soon": "3", "123456789S": "3"} {
		r, _ := http.NewRequest("POST", "http://"+c.Target()+"/t.S/Send", bytes.NewReader([]byte{0, 0, 0, 0, 0}))
		r.Header.Set("Content-Type", "application/grpc")
		r.Header.Set("Grpc-Timeout", timeout)
		resp, err := transport.RoundTrip(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if got := resp.Header.Get("Grpc-Status"); got != want {
			t.Errorf("grpc-timeout %s: status %q", timeout, got)
		}
	}
	if len(took) != 0 {
		t.Error("a call whose time was up reached a server")
	}
	for _, method := range []string{"/t.S/Send", "/t.S/Watch"} {
		ctx, cancel := context.WithCancel(within(t, 20*time.Second))
		done := make(chan error, 1)
		go func() { _, err := invoke(ctx, c, method, "x"); done <- err }()
		testkit.Wait(t, took)
		cancel()
		testkit.Wait(t, done)
		testkit.Wait(t, left) // long before the deadline
	}
}

// When a caller resets a call that runs, its attempt ends at the server, and the call has run once.
func TestGRPCResetByCaller(t *testing.T) {
	t.Parallel()
	var ran atomic.Int64
	took, left := make(chan struct{}, 1), make(chan struct{}, 1)
	h := func(_ string, s grpc.ServerStream) error {
		ran.Add(1)
		took <- struct{}{}
		<-s.Context().Done()
		left <- struct{}{}
		return nil
	}
	c, stop := grpcNode(t, grpcServer(t, h), grpcServer(t, h))
	ctx, cancel := context.WithCancel(within(t, 20*time.Second, "idempotency-key", "k"))
	done := make(chan error, 1)
	go func() { _, err := invoke(ctx, c, "/t.S/Key", "x"); done <- err }()
	testkit.Wait(t, took)
	cancel()
	testkit.Wait(t, done)
	testkit.Wait(t, left)
	stop() // no retry until the node has stopped
	if n := ran.Load(); n != 1 {
		t.Errorf("it ran %d times", n)
	}
}
