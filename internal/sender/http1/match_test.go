package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/message"
	"cranegrade/internal/testkit"
)

// namingProtocol is a protocol whose responses name their requests by the header field Id, as the mesh's do.
type namingProtocol struct {
	platformProtocol
	byOrder bool // mutation: responses are matched by their order alone
}

func (p namingProtocol) Matches(m *message.Request, resp *http.Response) Match {
	switch id := resp.Header.Get("Id"); {
	case p.byOrder || id == m.Header["Id"][0]:
		return MatchRequest
	case id == "" && resp.StatusCode/100 != 2:
		return MatchUnnamed
	}
	return MatchOther
}

func newNamingSender(byOrder bool) *Sender {
	s := New(Config{
		ServerIdleTimeout: testkit.Limit,
		ConnectTimeout:    limit,
		Connections:       testkit.NewSharedLimit(10),
		ResponseBuffers:   testkit.NewSharedLimit(1 << 40),
		Protocol:          namingProtocol{byOrder: byOrder},
	})
	s.readTimeout, s.settleTime = limit, 0
	return s
}

// A rejection that names no request comes twice, the second time in place of the response to the next request. It would say
// of a request that runs that it did not run, so a request that must not run twice goes over another connection.
func TestUnnamedResponseEndsReuseForAtMostOnceRequests(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for first := true; ; first = false {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if req.URL.Path == "/a" {
				io.WriteString(c, unprocessedResponse)
				continue
			}
			runs.Add(1)
			if !first {
				io.WriteString(c, unprocessedResponse) // the late duplicate
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
		}
	})
	s, ep := newNamingSender(false), newEndpoint(addr)
	s.trust.reused.n = 10 * trustPrior // otherwise no reused connection is trusted with it
	if res := send(t, s, ep, atMostOnceRequest("a")); res.ending != balancer.Overloaded {
		t.Fatalf("first request: ending %v", res.ending)
	}
	if res := send(t, s, ep, atMostOnceRequest("b")); res.ending != balancer.Success || runs.Load() != 1 {
		t.Errorf("second request: ending %v after %d runs", res.ending, runs.Load())
	}
}

// A connection on which an attempt timed out is never used again. In the mutation that reuses it, the late response is told
// from the next one by the request that it names; matched by order it would go to the wrong caller.
func TestLateResponseReachesNoOtherCaller(t *testing.T) {
	t.Parallel()
	received := make(chan struct{}, 10)
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) { respondLate(c, r, received) })
	for name, c := range map[string]struct {
		reuse, byOrder bool // mutations
		want           string
	}{
		"no mutation":         {false, false, "b"},
		"by order":            {false, true, "b"},
		"reused":              {true, false, "b"},
		"reused and by order": {true, true, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			s, ep := newNamingSender(c.byOrder), newEndpoint(addr)
			a := engine.NewAttempt(ep, atMostOnceRequest("a"), limit, engine.Hooks{})
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			if c.reuse {
				abandonAndReuse(ctx, t, s, a)
				testkit.Wait(t, received)
			} else {
				go func() {
					<-received
					cancel(engine.ErrTimedOut)
				}()
				if res := s.attempt(ctx, a); res.ending != balancer.TimedOut {
					t.Fatalf("first attempt: ending %v", res.ending)
				}
			}
			m := atMostOnceRequest("b")
			m.Idempotency = message.Idempotent // so that it uses an idle connection, if there is one
			res := send(t, s, ep, m)
			<-received
			if res.reply == nil || string(res.reply.Body) != c.want {
				t.Errorf("%+v, want the body %q", res, c.want)
			}
		})
	}
}

// respondLate is a server that responds to request a of a connection only together with the next one.
func respondLate(c net.Conn, r *bufio.Reader, received chan<- struct{}) {
	var late string
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Id")
		received <- struct{}{}
		if id == "a" {
			late = id
			continue
		}
		for _, id := range []string{late, id} {
			if id != "" {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
			}
		}
	}
}

// abandonAndReuse writes the request of an attempt, and puts its connection among the idle ones without a response.
func abandonAndReuse(ctx context.Context, t *testing.T, s *Sender, a *engine.Attempt) {
	t.Helper()
	c, err := s.dial(ctx, a.Endpoint)
	if err != nil {
		t.Fatal(err)
	}
	text, err := wireText(s.outgoing(a), a.Payload.(*message.Request))
	if err != nil {
		t.Fatal(err)
	}
	c.Write(text)
	s.release(a.Endpoint, c)
}
