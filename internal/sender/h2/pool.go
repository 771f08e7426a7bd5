package h2

import (
	"context"
	"errors"
	"time"

	"cranegrade/internal/engine"
)

// errConnectionLimit says that a limit allows no further connection.
var errConnectionLimit = errors.New("the limit of connections is reached")

// acquire reserves a stream on the connection to the endpoint that has the fewest of them in use, or on a new connection.
// The caller returns the stream by release.
func (s *Sender) acquire(ctx context.Context, ep *engine.Endpoint) (*conn, error) {
	s.mu.Lock()
	var leastUsed *conn
	conns := s.conns[ep]
	for _, c := range conns {
		if c.freeStreams() > 0 && (leastUsed == nil || c.reserved.Load() < leastUsed.reserved.Load()) {
			leastUsed = c
		}
	}
	if leastUsed != nil {
		leastUsed.reserved.Add(1)
		s.mu.Unlock()
		return leastUsed, nil
	}
	if len(conns) >= s.cfg.MaxConnsPerServer {
		s.mu.Unlock()
		return nil, errConnectionLimit
	}
	c := newConn(s, ep)
	c.reserved.Add(1)
	s.conns[ep] = append(conns, c)
	s.mu.Unlock()
	// Not bound to ctx, because other attempts may already be waiting for this connection.
	go c.run()
	select {
	case <-c.established:
		return c, nil
	case <-c.closing:
		return nil, c.err
	case <-ctx.Done():
		c.release()
		return nil, ctx.Err()
	}
}

// remove forgets a connection that has ended.
func (s *Sender) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := s.conns[c.endpoint]
	for i, other := range conns {
		if other == c {
			// A copy: Drop and Sweep may be reading the former slice.
			conns = append(conns[:i:i], conns[i+1:]...)
			break
		}
	}
	if s.conns[c.endpoint] = conns; len(conns) == 0 {
		delete(s.conns, c.endpoint)
		delete(s.dropped, c.endpoint)
	}
}

// Drop has the connections to an endpoint closed once they have no open stream.
func (s *Sender) Drop(ep *engine.Endpoint) {
	s.mu.Lock()
	conns := append([]*conn(nil), s.conns[ep]...)
	if len(conns) > 0 {
		s.dropped[ep] = true
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.closeAfterIdle(0)
	}
}

// Sweep closes connections that have been idle for too long, and those to endpoints that were dropped.
func (s *Sender) Sweep() {
	type candidate struct {
		conn      *conn
		idleLimit time.Duration
	}
	var candidates []candidate
	s.mu.Lock()
	for ep, conns := range s.conns {
		for _, c := range conns {
			// Well before the server closes it: a request that crosses the server's close is lost.
			idleLimit := s.cfg.ServerIdleTimeout * 3 / 4
			if s.dropped[ep] {
				idleLimit = 0
			}
			candidates = append(candidates, candidate{c, idleLimit})
		}
	}
	s.mu.Unlock()
	for _, candidate := range candidates {
		candidate.conn.closeAfterIdle(candidate.idleLimit)
	}
}

// CloseIdle closes up to n connections without an open stream, to return their part of the limit, and returns how many it
// has selected.
func (s *Sender) CloseIdle(n int) (selected int) {
	var idle []*conn
	s.mu.Lock()
	for _, conns := range s.conns {
		for _, c := range conns {
			if c.reserved.Load() == 0 && len(idle) < n {
				idle = append(idle, c)
			}
		}
	}
	s.mu.Unlock()
	for _, c := range idle {
		c.closeAfterIdle(0)
	}
	return len(idle)
}
