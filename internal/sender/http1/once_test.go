package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/message"
	"cranegrade/internal/testkit"
)

// A server that has every byte of a long request may run it, whatever befalls its caller behind the last one: the word that
// no more will come is lost, or the attempt's time ends. Called not run it would be sent again.
func TestUploadWholeMayRun(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		after func(more *message.Stream, cancel context.CancelCauseFunc)
		want  balancer.Ending
	}{
		"the caller breaks off": {func(more *message.Stream, _ context.CancelCauseFunc) { more.Finish(nil) }, balancer.Broken},
		"timed out":             {func(_ *message.Stream, cancel context.CancelCauseFunc) { cancel(engine.ErrTimedOut) }, balancer.TimedOut},
		"withdrawn":             {func(_ *message.Stream, cancel context.CancelCauseFunc) { cancel(engine.ErrWithdrawn) }, balancer.Canceled},
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
			m, more := upload(11, "hello")
			go func() {
				more.Push([]byte(" world"))
				testkit.Wait(t, ran)
				c.after(more, cancel)
				close(proceed)
			}()
			got := newTestSender(10).attempt(ctx, engine.NewAttempt(newEndpoint(addr), m, limit, engine.Hooks{}))
			if got.ending != c.want {
				t.Errorf("ending %d, want %d", got.ending, c.want)
			}
		})
	}
}

// Bytes beyond a body's length never go out, where they would pass for another request.
func TestUploadBeyondItsLength(t *testing.T) {
	t.Parallel()
	addr, got := testkit.Stub(t, ok, false)
	m, more := upload(11, "hello")
	more.Push([]byte(" worldGET /other HTTP/1.1\r\nHost: a\r\n\r\n"))
	more.Finish([]message.Field{})
	if res := send(t, newTestSender(10), newEndpoint(addr), m); res.ending != balancer.NeverSent {
		t.Errorf("ending %d", res.ending)
	}
	if len(got) > 0 {
		t.Errorf("a server got %v", (<-got).URL)
	}
}

// named is a Speech whose answers name their requests in a header, as the mesh's do.
type named struct {
	platformProtocol
	anyOrder bool // planted: answers are matched by their order
}

func (s named) Matches(m *message.Request, resp *http.Response) Match {
	switch got := resp.Header.Get("Id"); {
	case s.anyOrder || got == m.Header["Id"][0]:
		return OfRequest
	case got == "" && resp.StatusCode/100 != 2:
		return Unnamed
	}
	return OfAnother
}

func once(id string) *message.Request {
	return &message.Request{Method: "POST", URL: &url.URL{Path: "/" + id}, Authority: "app.svc", Header: map[string][]string{"Id": {id}}, Runs: message.RunsOnce}
}

func namedSender(anyOrder bool) *Sender {
	s := New(Config{Idle: testkit.Limit, Connect: limit, Connections: testkit.NewRoom(10), LongAnswers: testkit.NewRoom(1 << 40), Speech: named{anyOrder: anyOrder}})
	s.readTimeout, s.settleTime = limit, 0
	return s
}

const shed = "HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"

// A refusal that names no request comes twice, the second time in place of the next request's answer. Taken for that, it would
// say of a request that runs that it does not; so what must not run twice goes over another connection.
func TestRefusalThatNamesNoRequest(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for first := true; ; first = false {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if req.URL.Path == "/a" {
				io.WriteString(c, shed)
				continue
			}
			runs.Add(1)
			if !first {
				io.WriteString(c, shed) // the late copy
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
		}
	})
	s, ep := namedSender(false), newEndpoint(addr)
	s.trust.kept.n = 10 * trustPrior // else no kept connection is trusted with it
	if res := send(t, s, ep, once("a")); res.ending != balancer.Overloaded {
		t.Fatalf("the first: ending %d", res.ending)
	}
	if res := send(t, s, ep, once("b")); res.ending != balancer.Success || runs.Load() != 1 {
		t.Errorf("ending %d after %d runs", res.ending, runs.Load())
	}
}

// A connection on which an attempt timed out is never used again. Planted, one that is: the late answer to the first is told
// from the second's by the request that it names; where answers are matched by their order it goes to the wrong caller.
func TestStaleConnectionPlanted(t *testing.T) {
	t.Parallel()
	read := make(chan struct{}, 10)
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		var late string
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("Id")
			if read <- struct{}{}; id == "a" {
				late = id // its answer comes with the next
				continue
			}
			for _, id := range []string{late, id} {
				if id != "" {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
				}
			}
		}
	})
	for _, c := range []struct {
		stale, anyOrder bool // planted
		want            string
	}{{false, false, "b"}, {false, true, "b"}, {true, false, "b"}, {true, true, "a"}} {
		s, ep := namedSender(c.anyOrder), newEndpoint(addr)
		ctx, cancel := context.WithCancelCause(context.Background())
		a := engine.NewAttempt(ep, once("a"), limit, engine.Hooks{})
		if c.stale {
			x, err := s.dial(ctx, ep)
			if err != nil {
				t.Fatal(err)
			}
			text, _ := wireText(s.outgoing(a), a.Payload.(*message.Request))
			x.Write(text)
			testkit.Wait(t, read)
			s.release(ep, x)
		} else {
			go func() { <-read; cancel(engine.ErrTimedOut) }()
			if res := s.attempt(ctx, a); res.ending != balancer.TimedOut {
				t.Fatalf("the first: ending %d", res.ending)
			}
		}
		m := once("b")
		m.Runs = message.RunsOften // over a kept connection, if there is one
		res := send(t, s, ep, m)
		<-read
		if res.reply == nil || string(res.reply.Body) != c.want {
			t.Errorf("stale %v, by order %v: %+v, want %q", c.stale, c.anyOrder, res, c.want)
		}
		cancel(nil)
	}
}
