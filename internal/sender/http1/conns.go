package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"cranegrade/internal/conncheck"
	"cranegrade/internal/engine"
)

// settleTime is how long a connection stays unused after a response. Surplus bytes of the server arrive within that time
// and are seen before the next request is written; otherwise they would be read as its response.
const settleTime = 10 * time.Millisecond

// connectionPool owns the connections to servers. Its methods may be called from any goroutine.
type connectionPool struct {
	idleTimeout    time.Duration // idle connections are closed after that
	connectTimeout time.Duration
	settleTime     time.Duration
	limit          engine.SharedLimit

	start time.Time // origin of trust's times

	minProbeWait time.Duration

	mu    sync.Mutex                   // guards all below
	idle  map[*engine.Endpoint][]*conn // the most recently used one last
	open  int                          // connections, with idle ones and those being dialled
	trust reuseTrust
}

// conn is a connection to a server; it carries one request at a time.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	readLimit *io.LimitedReader // under reader
	idleSince time.Time
	reused    bool // it carried a request before
	// hadUnnamedResponse: a response on it was MatchUnnamed, so a duplicate of it could not be distinguished from the next
	// response.
	hadUnnamedResponse bool
	dialTime           time.Duration // how long it took to connect: at least one round trip
}

var errConnectionLimit = errors.New("the limit of connections is reached")

// acquire takes the settled connection that was used last, or dials. A request that must run at most once gets a reused
// connection only where these rarely break.
func (p *connectionPool) acquire(ctx context.Context, ep *engine.Endpoint, atMostOnce bool) (*conn, error) {
	p.mu.Lock()
	trusted := p.trust.mayReuse(time.Since(p.start), atMostOnce)
	p.mu.Unlock()
	for {
		c := p.takeIdle(ep, atMostOnce)
		if c == nil {
			break
		}
		if trusted && time.Since(c.idleSince) < p.idleTimeout && c.alive() {
			c.reused = true
			return c, nil
		}
		p.close(c)
		if !trusted {
			break // the connection that is dialled replaces it
		}
	}
	return p.dial(ctx, ep)
}

// dial establishes a connection.
func (p *connectionPool) dial(ctx context.Context, ep *engine.Endpoint) (*conn, error) {
	if !p.reserveSlot() {
		return nil, errConnectionLimit
	}
	began := time.Now()
	d := net.Dialer{Timeout: p.connectTimeout}
	nc, err := d.DialContext(ctx, "tcp", ep.Addr)
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	limit := &io.LimitedReader{R: nc}
	return &conn{Conn: nc, reader: bufio.NewReader(limit), readLimit: limit, dialTime: time.Since(began)}, nil
}

// needsProbe reports whether a request that must run at most once is to be written in two parts on this connection; see probe.
func (p *connectionPool) needsProbe(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trust.needsProbe(time.Since(p.start), c.reused)
}

// takeIdle takes the most recently used settled connection that may carry the request, or nil if there is none.
func (p *connectionPool) takeIdle(ep *engine.Endpoint, atMostOnce bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[ep]
	for i, c := range slices.Backward(l) {
		if time.Since(c.idleSince) >= p.settleTime && (!atMostOnce || !c.hadUnnamedResponse) {
			p.idle[ep] = slices.Delete(l, i, i+1)
			return c
		}
	}
	return nil
}

// reserveSlot counts a connection to be dialled. At the limit, an idle one to any server is closed in its place.
func (p *connectionPool) reserveSlot() bool {
	if p.limit.Take(1) {
		p.mu.Lock()
		p.open++
		p.mu.Unlock()
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.oldestOfAny()
	if c != nil {
		c.Close()
	}
	return c != nil
}

// oldestOfAny takes the oldest idle connection to some server, or nil if there is none. The caller holds mu.
func (p *connectionPool) oldestOfAny() *conn {
	for ep, l := range p.idle {
		if len(l) > 0 {
			p.idle[ep] = l[1:]
			return l[0]
		}
	}
	return nil
}

// CloseIdle closes up to n idle connections, to return their part of the limit, and returns how many.
func (p *connectionPool) CloseIdle(n int) (given int) {
	for ; given < n; given++ {
		p.mu.Lock()
		c := p.oldestOfAny()
		p.mu.Unlock()
		if c == nil {
			break
		}
		p.close(c)
	}
	return given
}

func (p *connectionPool) releaseSlot() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	p.limit.Give(1)
}

func (p *connectionPool) close(c *conn) {
	c.Close()
	p.releaseSlot()
}

// release keeps a connection for the next attempt, or closes it if the endpoint is no longer usable.
func (p *connectionPool) release(ep *engine.Endpoint, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	usable := ep.Usable() // under the lock, so that a concurrent Drop either comes later or is seen here
	if usable {
		p.idle[ep] = append(p.idle[ep], c)
	}
	p.mu.Unlock()
	if !usable {
		p.close(c)
	}
}

// recordExchange records whether the connection broke during an exchange, which decides on the reuse of connections.
func (p *connectionPool) recordExchange(c *conn, broke bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trust.record(time.Since(p.start), c.reused, broke)
}

// alive reports whether an idle connection is still open and has no unread bytes: a server that has closed it would reset the
// next request, and surplus bytes would be read as its response.
func (c *conn) alive() bool { return errors.Is(conncheck.Peek(c.Conn), syscall.EAGAIN) }

// Drop closes the idle connections to an endpoint.
func (p *connectionPool) Drop(ep *engine.Endpoint) {
	p.mu.Lock()
	l := p.idle[ep]
	delete(p.idle, ep)
	p.mu.Unlock()
	for _, c := range l {
		p.close(c)
	}
}

// Sweep closes idle connections that are too old or that their server has closed, so that they do not hold descriptors
// until their next use.
func (p *connectionPool) Sweep() {
	var drop []*conn
	p.mu.Lock()
	for ep, l := range p.idle {
		keep := slices.DeleteFunc(l, func(c *conn) bool {
			stale := time.Since(c.idleSince) >= p.idleTimeout || !c.alive()
			if stale {
				drop = append(drop, c)
			}
			return stale
		})
		if len(keep) == 0 {
			delete(p.idle, ep)
		} else {
			p.idle[ep] = keep
		}
	}
	p.mu.Unlock()
	for _, c := range drop {
		p.close(c)
	}
}
