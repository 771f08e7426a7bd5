package http1

import (
	"bytes"
	"context"
	"errors"
	"net"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
)

// probe writes the head of the request but for its last byte, on this connection or, if that proves to be broken, on a new
// one. If it returns false the request has not run, and the connection is closed.
func (s *Sender) probe(
	ctx context.Context, a *engine.Attempt, active exchangeConn, text []byte,
) (exchangeConn, balancer.Ending, bool) {
	var err error
	active.unsent, err = active.probe(text, s.minProbeWait)
	if err != nil && ctx.Err() == nil {
		// No server has a complete request yet, so using another connection makes no second attempt of it.
		s.recordExchange(active.conn, true)
		active.stop()
		s.close(active.conn)
		if active.conn, err = s.dial(ctx, a.Endpoint); err != nil {
			return active, balancer.Unreachable, false
		}
		if !a.Endpoint.Usable() {
			s.close(active.conn)
			return active, balancer.Unreachable, false
		}
		active.stop = closeAtEnd(ctx, active.conn)
		active.unsent, err = active.probe(text, s.minProbeWait)
	}
	if err == nil {
		return active, 0, true
	}
	s.recordExchange(active.conn, ctx.Err() == nil)
	active.stop()
	s.close(active.conn)
	if ctx.Err() != nil {
		return active, balancer.NeverSent, false
	}
	return active, balancer.Unreachable, false
}

// Limits of the wait between the two parts of a request.
const (
	minProbeWait = 500 * time.Microsecond
	maxProbeWait = 20 * time.Millisecond
)

// probe writes the head of a request but for its last byte, and waits for as long as a reset would take to come back. No
// server processes a request whose header section is not complete (RFC 9112, section 2.1), so an error proves that it
// never ran. rest is what is still to be written.
func (c *conn) probe(text []byte, least time.Duration) (rest []byte, err error) {
	n := bytes.Index(text, headEnd)
	if n < 0 {
		return text, nil
	}
	n += len(headEnd) - 1
	if _, err := c.Write(text[:n]); err != nil {
		return nil, err
	}
	c.readLimit.N = maxHeaderBytes
	if err := c.SetReadDeadline(time.Now().Add(max(min(2*c.dialTime, maxProbeWait), least))); err != nil {
		return nil, err
	}
	_, err = c.reader.Peek(1)
	var timeout net.Error
	if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
		return nil, errors.Join(errors.New("a response, or the end of the connection, before the request was written"), err)
	}
	return text[n:], c.SetReadDeadline(time.Time{})
}
