// Package h2 sends attempts to servers over HTTP/2 (RFC 9113) without TLS and with prior knowledge (section 3.3), many at a
// time on each connection of a pool that it owns. What a connection does is decided by the state machine in package
// h2/client; this package is the I/O around it. One goroutine for each connection owns its state machine and all writes, and
// another one reads.
//
// It must never send a request a second time. golang.org/x/net/http2's Transport does so after GOAWAY or REFUSED_STREAM, and
// that would be an attempt that nobody counts, perhaps to a server that drains by then.
//
// Files: sender.go has the sender and the course of an attempt, pool.go the connections to each server, request.go the
// request of an attempt, outcome.go how an attempt ended, conn.go the life cycle of a connection, loop.go the goroutine that
// owns one, frames.go frames on the wire.
package h2

import (
	"cmp"
	"context"
	"sync"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/h2/client"
	"cranegrade/internal/message"
)

// Config holds the limits of a sender.
type Config struct {
	ServerIdleTimeout time.Duration      // time after which servers close idle connections; the sender closes them earlier
	ConnectTimeout    time.Duration      // time-out of establishing a connection
	Connections       engine.SharedLimit // limit on connections, with those being dialled
	MaxConnsPerServer int                // connections to one server; default 4
	MaxStreamsPerConn int                // concurrent streams of a connection, even if the server allows more; default 100
}

const (
	defaultConnsPerServer = 4
	defaultStreams        = 100
	// writeTimeout is the time-out of a write: a server that does not read delays all streams of its connection.
	writeTimeout = 2 * time.Second
)

// Sender makes attempts over a connection pool of its own. It implements engine.Sender; the payload is a *message.Request,
// the reply a *message.Reply. Its methods may be called from any goroutine.
type Sender struct {
	cfg   Config
	start time.Time // origin of the state machines' times

	mu      sync.Mutex // guards the maps, but not the connections in them
	conns   map[*engine.Endpoint][]*conn
	dropped map[*engine.Endpoint]bool // by Drop, with connections that still have open streams
}

var _ engine.Sender = (*Sender)(nil)

// New returns a sender with no connections.
func New(cfg Config) *Sender {
	cfg.MaxConnsPerServer = cmp.Or(cfg.MaxConnsPerServer, defaultConnsPerServer)
	cfg.MaxStreamsPerConn = cmp.Or(cfg.MaxStreamsPerConn, defaultStreams)
	return &Sender{
		cfg:     cfg,
		start:   time.Now(),
		conns:   map[*engine.Endpoint][]*conn{},
		dropped: map[*engine.Endpoint]bool{},
	}
}

// now is the time of the state machines.
func (s *Sender) now() time.Duration { return time.Since(s.start) }

// Start makes an attempt on a goroutine of its own, which ends with the attempt.
func (s *Sender) Start(ctx context.Context, a *engine.Attempt) {
	go func() {
		ending, reply := s.attempt(ctx, a)
		if reply == nil { // a nil *Reply in the interface would not be nil
			a.End(ending, nil)
			return
		}
		a.End(ending, reply)
	}()
}

// attempt sends the request of a once and waits for the response until ctx ends. The reply is nil unless the attempt
// succeeded with a response that was not streamed.
func (s *Sender) attempt(ctx context.Context, a *engine.Attempt) (balancer.Ending, *message.Reply) {
	m := a.Payload.(*message.Request)
	if m.Spent() {
		return balancer.Failure, nil // the rest of its body went to another server
	}
	c, err := s.acquire(ctx, a.Endpoint)
	switch {
	case err != nil && ctx.Err() == nil:
		return balancer.Unreachable, nil
	case err != nil:
		return balancer.NeverSent, nil
	}
	r := newStreamRequest(a, m)
	if !c.post(r) {
		c.release()
		return balancer.Unreachable, nil // the connection ended before anything of the request was written
	}
	if m.BodyRest != nil {
		uploading, stop := context.WithCancel(ctx)
		defer stop()
		go c.upload(uploading, r)
	}
	c.await(ctx, r)
	c.release()
	done := client.Done{Ending: client.NotWritten} // unless the connection's goroutine ended before it took the request
	select {
	case <-r.done:
		done = r.result
	default:
	}
	if r.rejected != nil {
		return *r.rejected, nil
	}
	if r.reply != nil {
		defer r.reply.Finish(nil) // has no effect if the stream is complete
	}
	return outcome(ctx, r, done)
}

// await returns once the request has ended, which it makes happen soon after the end of ctx, or once its connection has.
func (c *conn) await(ctx context.Context, r *streamRequest) {
	select {
	case <-r.done:
	case <-c.done:
	case <-ctx.Done():
		c.post(cancelRequest{r})
		select { // a response that crosses the cancellation counts
		case <-r.done:
		case <-c.done:
		}
	}
}

// upload passes on the rest of a request body, each chunk after the one before it was written. It ends soon after ctx does.
func (c *conn) upload(ctx context.Context, r *streamRequest) {
	for {
		select {
		case <-r.bodySent:
		case <-ctx.Done():
			return
		}
		chunk, err := r.message.BodyRest.Next(ctx)
		if err != nil {
			return
		}
		last := chunk == nil
		if last && r.message.BodyRest.Trailer() == nil {
			return // the caller broke off; the engine withdraws the attempt
		}
		if !c.post(requestChunk{r, chunk, last}) || last {
			return
		}
	}
}
