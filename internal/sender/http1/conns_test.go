package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/testkit"
)

// A connection is not reused immediately after a response, because surplus bytes of the server may still be on their way.
func TestConnectionSettles(t *testing.T) {
	t.Parallel()
	addr, _ := testkit.Stub(t, okResponse, false)
	s, ep := newTestSender(10), newEndpoint(addr)
	s.settleTime = time.Hour
	sendKeyed(t, s, ep)
	sendKeyed(t, s, ep)
	if open, idle := s.counts(); open != 2 || idle != 2 {
		t.Errorf("%d open, %d idle", open, idle)
	}
	s.settleTime = 0
	sendKeyed(t, s, ep)
	if open, idle := s.counts(); open != 2 || idle != 2 {
		t.Errorf("once settled: %d open, %d idle", open, idle)
	}
}

func TestRefusedConnection(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	s := newTestSender(10)
	if res := sendKeyed(t, s, newEndpoint(l.Addr().String())); res.ending != balancer.Unreachable {
		t.Errorf("ending %v", res.ending)
	}
	if open, _ := s.counts(); open != 0 {
		t.Errorf("%d connections are counted", open)
	}
}

// A server may close a connection at any time while it is idle; a request that is written to it then is lost.
func TestServerClosesIdleConnection(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{}, 10)
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if req, err := http.ReadRequest(r); err == nil {
			io.Copy(io.Discard, req.Body)
			io.WriteString(c, okResponse)
			c.Close()
			closed <- struct{}{}
		}
	})
	s, ep := newTestSender(10), newEndpoint(addr)
	for range 2 {
		if res := sendKeyed(t, s, ep); res.ending != balancer.Success {
			t.Fatalf("ending %v", res.ending)
		}
		testkit.Wait(t, closed)
	}
	// Sweep closes such connections, so that they do not hold descriptors.
	if open, idle := s.counts(); open != 1 || idle != 1 {
		t.Fatalf("%d open, %d idle", open, idle)
	}
	s.Sweep()
	if open, idle := s.counts(); open != 0 || idle != 0 {
		t.Errorf("after Sweep: %d open, %d idle", open, idle)
	}
}

// Bytes that arrive while a connection is idle must not be read as the response to the next request.
func TestBytesOnIdleConnectionAreNoResponse(t *testing.T) {
	t.Parallel()
	proceed, sent := make(chan struct{}), make(chan struct{})
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for i := 0; ; i++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			io.WriteString(c, okResponse)
			if i == 0 {
				if _, open := <-proceed; open {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
					close(sent)
				}
			}
		}
	})
	s, ep := newTestSender(10), newEndpoint(addr)
	sendKeyed(t, s, ep)
	proceed <- struct{}{}
	close(proceed)
	testkit.Wait(t, sent)
	if res := sendKeyed(t, s, ep); string(res.reply.Body) != "hi" {
		t.Errorf("body %q", res.reply.Body)
	}
}

// The connection used last is reused first. The sender closes idle connections earlier than the server would.
func TestIdleConnectionReuse(t *testing.T) {
	t.Parallel()
	addr, _ := testkit.Stub(t, okResponse, false)
	s, ep := newTestSender(10), newEndpoint(addr)
	ctx := context.Background()
	first, err := s.acquire(ctx, ep, false)
	if err != nil {
		t.Fatal(err)
	}
	second, err := s.acquire(ctx, ep, false)
	if err != nil {
		t.Fatal(err)
	}
	s.release(ep, first)
	s.release(ep, second)
	if c, _ := s.acquire(ctx, ep, false); c != second {
		t.Error("acquire did not return the connection that was used last")
	} else {
		s.release(ep, c)
	}
	for _, c := range []*conn{first, second} {
		c.idleSince = c.idleSince.Add(-s.idleTimeout)
	}
	if s.idleTimeout >= time.Minute {
		t.Errorf("idle time-out of %v, not less than the server's", s.idleTimeout)
	}
	if c, err := s.acquire(ctx, ep, false); err != nil || c == first || c == second {
		t.Errorf("a connection was reused that had been idle for too long; error %v", err)
	}
	if open, idle := s.counts(); open != 1 || idle != 0 {
		t.Errorf("%d open, %d idle", open, idle)
	}
}

// At the limit an idle connection is closed to make room; if there is none, the attempt fails without a dial.
func TestConnectionLimit(t *testing.T) {
	t.Parallel()
	addrA, _ := testkit.Stub(t, okResponse, false)
	addrB, _ := testkit.Stub(t, okResponse, false)
	s, epA, epB := newTestSender(1), newEndpoint(addrA), newEndpoint(addrB)
	for _, ep := range []*engine.Endpoint{epA, epB} {
		if res := sendKeyed(t, s, ep); res.ending != balancer.Success {
			t.Fatalf("ending %v", res.ending)
		}
	}
	c, err := s.acquire(context.Background(), epB, false) // the only one, now in use
	if err != nil {
		t.Fatal(err)
	}
	if res := sendKeyed(t, s, epA); res.ending != balancer.Unreachable {
		t.Errorf("over the limit: ending %v, want Unreachable", res.ending)
	}
	s.close(c)
	if res := sendKeyed(t, s, epA); res.ending != balancer.Success {
		t.Errorf("after a connection was closed: ending %v", res.ending)
	}
}

// None of the idle connections to a draining server is used, and a busy one is not kept.
func TestDropClosesIdleConnections(t *testing.T) {
	t.Parallel()
	addr, _ := testkit.Stub(t, okResponse, false)
	s, ep := newTestSender(10), newEndpoint(addr)
	sendKeyed(t, s, ep)
	busy, err := s.acquire(context.Background(), ep, false)
	if err != nil {
		t.Fatal(err)
	}
	sendKeyed(t, s, ep)
	ep.SetUsable(false)
	s.Drop(ep)
	s.release(ep, busy)
	if open, idle := s.counts(); open != 0 || idle != 0 {
		t.Errorf("%d open, %d idle", open, idle)
	}
}
