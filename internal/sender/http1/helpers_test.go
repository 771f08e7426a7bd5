package http1

import (
	"context"
	"net/url"
	"testing"
	"time"

	"cranegrade/internal/engine"
	"cranegrade/internal/message"
	"cranegrade/internal/testkit"
)

const (
	limit               = testkit.Limit
	okResponse          = testkit.OK
	unprocessedResponse = "HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
)

// newTestSender returns a sender whose time-outs are long enough for a slow machine, and which reuses connections at once.
func newTestSender(maxConns int64) *Sender {
	s := New(Config{
		ServerIdleTimeout: time.Minute,
		ConnectTimeout:    limit,
		Connections:       testkit.NewSharedLimit(maxConns),
		ResponseBuffers:   testkit.NewSharedLimit(1 << 40),
	})
	s.readTimeout, s.bufferTime, s.settleTime = limit, limit, 0
	return s
}

func newEndpoint(addr string) *engine.Endpoint { return engine.NewEndpoint(addr, addr) }

// keyedRequest is a request with an idempotency key.
func keyedRequest() *message.Request {
	return &message.Request{
		Method:    "POST",
		URL:       &url.URL{Path: "/send/1"},
		Authority: "app.svc",
		Header:    map[string][]string{"Idempotency-Key": {"k-1"}},
		Body:      []byte("body"),
	}
}

// atMostOnceRequest is a request that must not run twice, and whose responses name it by its id.
func atMostOnceRequest(id string) *message.Request {
	return &message.Request{
		Method:      "POST",
		URL:         &url.URL{Path: "/" + id},
		Authority:   "app.svc",
		Header:      map[string][]string{"Id": {id}},
		Idempotency: message.NotIdempotent,
	}
}

// sendKeyed makes one attempt of a keyed request.
func sendKeyed(t *testing.T, s *Sender, ep *engine.Endpoint) result {
	t.Helper()
	return send(t, s, ep, keyedRequest())
}

// send makes one attempt.
func send(t *testing.T, s *Sender, ep *engine.Endpoint, m *message.Request) result {
	t.Helper()
	ctx, cancel := context.WithTimeoutCause(context.Background(), limit, engine.ErrTimedOut)
	defer cancel()
	return s.attempt(ctx, engine.NewAttempt(ep, m, limit, engine.Hooks{ResponseStarted: func(r engine.Reply) { r.Release() }}))
}

// counts returns how many connections are open, and how many of those are idle.
func (s *Sender) counts() (open, idle int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.idle {
		idle += len(l)
	}
	return s.open, idle
}
