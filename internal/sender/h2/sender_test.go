package h2

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/message"
	"cranegrade/internal/testkit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const limit = testkit.Limit

// newTestSender returns a sender whose connections are closed at the end of the test.
func newTestSender(t testing.TB, maxConns int64) *Sender {
	s := New(Config{
		ServerIdleTimeout: time.Minute,
		ConnectTimeout:    limit,
		Connections:       testkit.NewSharedLimit(maxConns),
	})
	t.Cleanup(func() {
		var open []*conn
		s.mu.Lock()
		for _, conns := range s.conns {
			open = append(open, conns...)
		}
		s.mu.Unlock()
		for _, c := range open {
			if c.netConn != nil {
				c.netConn.Close()
			}
			<-c.done
		}
	})
	return s
}

func getRequest() *message.Request {
	return &message.Request{
		Method:    "GET",
		URL:       &url.URL{Path: "/read/1"},
		Authority: "app.svc",
		Header:    map[string][]string{"X-Correlation-Id": {"1"}},
	}
}

func postRequest(bodySize int) *message.Request {
	return &message.Request{
		Method: "POST",
		URL:    &url.URL{Path: "/send/1"},
		Header: map[string][]string{"Idempotency-Key": {"k"}},
		Body:   []byte(strings.Repeat("x", bodySize)),
	}
}

// attempt makes one attempt, and returns its ending and the body of its reply.
func attempt(s *Sender, ep *engine.Endpoint, m *message.Request, timeout time.Duration) (balancer.Ending, string) {
	ctx, cancel := context.WithTimeoutCause(context.Background(), timeout, engine.ErrTimedOut)
	defer cancel()
	ending, reply := s.attempt(ctx, engine.NewAttempt(ep, m, timeout, engine.Hooks{}))
	if reply == nil {
		return ending, ""
	}
	return ending, string(reply.Body)
}

// startServer runs the HTTP/2 server of net/http until the end of the test.
func startServer(t testing.TB, handler http.HandlerFunc) *engine.Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, Protocols: new(http.Protocols)}
	server.Protocols.SetUnencryptedHTTP2(true)
	served := make(chan struct{})
	go func() {
		defer close(served)
		server.Serve(listener)
	}()
	t.Cleanup(func() {
		server.Close()
		<-served
	})
	return engine.NewEndpoint("s", listener.Addr().String())
}

// Many attempts share a connection, and each gets its own response.
func TestAttemptsShareOneConnection(t *testing.T) {
	s := newTestSender(t, 10)
	var clients sync.Map // remote addresses
	ep := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		clients.Store(r.RemoteAddr, true)
		body, _ := io.ReadAll(r.Body)
		switch r.URL.Path {
		case "/read/1":
			fmt.Fprintf(w, "%s %s %s", r.Proto, r.Host, r.Header.Get("X-Correlation-Id"))
		case "/send/1":
			fmt.Fprint(w, len(body), " ", r.Header.Get("Idempotency-Key"), " ", r.ContentLength)
		}
	})
	if ending, body := attempt(s, ep, getRequest(), limit); ending != balancer.Success || body != "HTTP/2.0 app.svc 1" {
		t.Fatalf("ending %v, body %q", ending, body)
	}
	var attempts sync.WaitGroup
	for range 60 {
		attempts.Go(func() {
			ending, body := attempt(s, ep, postRequest(60_000), limit)
			if ending != balancer.Success || body != "60000 k 60000" {
				t.Errorf("ending %v, body %q", ending, body)
			}
		})
	}
	attempts.Wait()
	conns := 0
	clients.Range(func(any, any) bool { conns++; return true })
	if conns != 1 {
		t.Errorf("%d connections, want 1", conns)
	}
}

// Status codes mean the same as over HTTP/1.1.
func TestStatuses(t *testing.T) {
	s := newTestSender(t, 10)
	ep := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("X-Correlation-Id") {
		case "unprocessed":
			w.Header().Set("X-Unprocessed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "503":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "500":
			w.WriteHeader(http.StatusInternalServerError)
		case "long":
			w.Write(make([]byte, 200_000))
		case "slow":
			<-r.Context().Done()
		}
	})
	for id, want := range map[string]balancer.Ending{
		"unprocessed": balancer.Overloaded,
		"503":         balancer.Failure,
		"500":         balancer.Failure,
		"long":        balancer.TimedOut,
		"slow":        balancer.TimedOut,
		"":            balancer.Success,
	} {
		t.Run(id, func(t *testing.T) {
			m := getRequest()
			m.Header["X-Correlation-Id"] = []string{id}
			timeout := limit
			if want == balancer.TimedOut {
				timeout = 100 * time.Millisecond
			}
			if ending, _ := attempt(s, ep, m, timeout); ending != want {
				t.Errorf("ending %v, want %v", ending, want)
			}
		})
	}
}

// An attempt of a call that is finished by the time there is a connection is not sent.
func TestFinishedCallIsNotSent(t *testing.T) {
	s := newTestSender(t, 10)
	ep := startServer(t, func(http.ResponseWriter, *http.Request) { t.Error("the server got a request") })
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	a := engine.NewAttempt(ep, getRequest(), limit, engine.Hooks{Finished: func() bool { return true }})
	if ending, _ := s.attempt(ctx, a); ending != balancer.NeverSent {
		t.Errorf("ending %v, want %v", ending, balancer.NeverSent)
	}
}

// An endpoint that was dropped finishes its open streams, and its connection is closed after that.
func TestDroppedEndpointFinishesOpenStreams(t *testing.T) {
	s := newTestSender(t, 10)
	proceed, received := make(chan struct{}), make(chan struct{}, 1)
	ep := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		received <- struct{}{}
		<-proceed
		w.Write([]byte("ok"))
	})
	ended := make(chan balancer.Ending, 1)
	go func() {
		ending, _ := attempt(s, ep, getRequest(), limit)
		ended <- ending
	}()
	testkit.Wait(t, received)
	s.Drop(ep)
	close(proceed)
	if ending := testkit.Wait(t, ended); ending != balancer.Success {
		t.Errorf("the open stream of a dropped endpoint: ending %v", ending)
	}
	testkit.Eventually(t, "the connection to a dropped endpoint is kept", func() bool {
		s.Sweep()
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) == 0 && len(s.dropped) == 0
	})
}

// BenchmarkAttempts measures attempts over one connection, by how many run at a time.
func BenchmarkAttempts(b *testing.B) {
	ep := startServer(b, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok")) })
	for _, parallelism := range []int{1, 4, 16} {
		b.Run(fmt.Sprint(parallelism), func(b *testing.B) {
			s := newTestSender(b, 10)
			b.SetParallelism(parallelism)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					attempt(s, ep, getRequest(), limit)
				}
			})
		})
	}
}
