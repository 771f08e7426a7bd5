// Package http1 sends attempts to servers over HTTP/1.1 (RFC 9112), one at a time on each connection of a pool that it
// owns. It is the one place that decides whether an attempt can have run. It must never send an attempt a second time:
// http.Transport does so when a reused connection breaks, and that would be an attempt that nobody counts, perhaps to a
// server that drains by then.
//
// Files: http1.go has the sender and the course of an attempt, protocol.go what the platform's and the mesh's protocols
// add, conns.go the connection pool, trust.go when a connection may be reused, probe.go the request in two parts,
// write.go requests, read.go responses, forward.go long response bodies.
package http1

import (
	"cmp"
	"context"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/message"
)

// Config holds the limits of a sender.
type Config struct {
	ServerIdleTimeout time.Duration      // time after which servers close idle connections; the sender closes them earlier
	ConnectTimeout    time.Duration      // time-out of connecting
	Connections       engine.SharedLimit // limit on connections, with idle ones and those being dialled
	ResponseBuffers   engine.SharedLimit // limit on buffered bytes of responses that are forwarded as they come
	Protocol          Protocol           // nil means the platform's protocol
	ReadTimeout       time.Duration      // time-out of each read of a response; 0 means readTimeout, for one that can be retried
}

// Sender makes attempts over a connection pool of its own. It implements engine.Sender; the payload is a
// *message.Request, the reply a *message.Reply. Its methods may be called from any goroutine.
type Sender struct {
	connectionPool
	responseLimit     engine.SharedLimit
	readTimeout       time.Duration
	streamReadTimeout time.Duration
	bufferTime        time.Duration
	protocol          Protocol
}

var _ engine.Sender = (*Sender)(nil)

// New returns a sender with no connections.
func New(cfg Config) *Sender {
	if cfg.Protocol == nil {
		cfg.Protocol = platformProtocol{}
	}
	return &Sender{
		connectionPool: connectionPool{
			// Well before the server closes it: a request that crosses the close is lost to a reset (RFC 9112, section 9.5).
			idleTimeout:    cfg.ServerIdleTimeout * 3 / 4,
			connectTimeout: cfg.ConnectTimeout,
			settleTime:     settleTime,
			start:          time.Now(),
			minProbeWait:   minProbeWait,
			idle:           map[*engine.Endpoint][]*conn{},
			limit:          cfg.Connections,
		},
		responseLimit:     cfg.ResponseBuffers,
		readTimeout:       cmp.Or(cfg.ReadTimeout, readTimeout),
		streamReadTimeout: max(cfg.ReadTimeout, streamReadTimeout),
		bufferTime:        bufferTime,
		protocol:          cfg.Protocol,
	}
}

// Start makes an attempt on a goroutine of its own, which ends with the attempt.
func (s *Sender) Start(ctx context.Context, a *engine.Attempt) {
	go func() {
		res := s.attempt(ctx, a)
		if res.reply == nil { // a nil *Reply in the interface would not be nil
			a.End(res.ending, nil)
			return
		}
		a.End(res.ending, res.reply)
	}()
}

// result is how an attempt ended; reply belongs to a Success.
type result struct {
	ending balancer.Ending
	reply  *message.Reply
}

// exchangeConn is a connection during an exchange.
type exchangeConn struct {
	*conn
	stop   func() bool // ends closeAtEnd; it returns false if ctx has ended and the connection is being closed
	unsent []byte      // what is still to be written of the request's text
}

// closeAtEnd closes the connection when ctx ends, which is the only way to interrupt an exchange.
func closeAtEnd(ctx context.Context, c *conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { c.Close() })
}

// attempt sends the request of a once and waits for the response until ctx ends. It writes nothing unless a.MayWrite
// agrees immediately before.
func (s *Sender) attempt(ctx context.Context, a *engine.Attempt) result {
	m := a.Payload.(*message.Request)
	if m.Spent() {
		return result{ending: balancer.NeverSent} // the rest of its body went to another server
	}
	r := s.outgoing(a)
	text, err := wireText(r, m)
	if err != nil {
		return result{ending: balancer.NeverSent}
	}
	// A body that can be sent only once needs the same care as a request that may run only once.
	atMostOnce := mustRunAtMostOnce(m) || m.BodyRest != nil
	c, err := s.acquire(ctx, a.Endpoint, atMostOnce)
	switch {
	case err != nil && ctx.Err() == nil:
		return result{ending: balancer.Unreachable}
	case err != nil:
		return result{ending: balancer.NeverSent}
	case ctx.Err() != nil:
		// The attempt timed out or was withdrawn while the connection was being established.
		s.release(a.Endpoint, c)
		return result{ending: balancer.NeverSent}
	}
	if ending, ok := a.MayWrite(); !ok {
		s.release(a.Endpoint, c) // closes it if the endpoint is no longer usable
		return result{ending: ending}
	}
	active := exchangeConn{conn: c, stop: closeAtEnd(ctx, c), unsent: text}
	if atMostOnce && s.needsProbe(c) || m.BodyRest != nil && c.reused {
		var ending balancer.Ending
		var ok bool
		if active, ending, ok = s.probe(ctx, a, active, text); !ok {
			return result{ending: ending}
		}
	}
	res, keep := s.exchange(ctx, a, active.conn, r, active.unsent)
	if ctx.Err() == nil { // otherwise it was not the connection that ended it
		s.recordExchange(active.conn, res.ending == balancer.Broken || res.ending == balancer.Unreachable)
	}
	if active.stop() && keep {
		s.release(a.Endpoint, active.conn)
	} else {
		s.close(active.conn)
	}
	return res
}
