// Package http1 is the front for downstream callers that speak HTTP/1.1 (RFC 9112), or with NewH2 the same protocol over
// HTTP/2 (RFC 9113). It checks requests, submits them to the engine of the pool that the routes name, and writes the one
// answer. It must never decide anything but whether a request is valid and whether there is capacity to accept it.
//
// Files: front.go has the listener's life cycle, h2.go the limits of HTTP/2, protocol.go what the platform's and the
// mesh's protocols add, platform.go the platform's, request.go the course of a request, call.go its side towards the
// engine, body.go long bodies, connections.go the listener and its limit, connection.go one downstream connection,
// linger.go its end, pipeline.go pipelined requests, head.go what net/http drops of a header section.
package http1

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cranegrade/internal/engine"
	"cranegrade/internal/pool"
)

const (
	// ProxyOverhead is the part of a caller's time that is kept for the node's own work and the way back, so that the answer
	// is there before the caller times out.
	ProxyOverhead = 20 * time.Millisecond
	// RequestReadTimeout is how long a request may take from its first byte, or on a new connection from its start, to its last.
	RequestReadTimeout = 2500 * time.Millisecond
	idleTimeout        = 30 * time.Second
	// WriteTimeout is the time-out of writing an answer that is not streamed.
	WriteTimeout = 5 * time.Second
	maxHeader    = 16 << 10
	// maxBody is the limit on a request body, in bytes.
	maxBody = 64 << 20
)

// Front serves downstream callers on one listener. Its methods may be called from any goroutine, but for those that say
// "before Serve".
type Front struct {
	// Dialect is set before Serve; nil means none.
	Dialect Dialect
	// Protocol is set before Serve; nil means the platform's.
	Protocol Protocol

	clock              engine.Clock
	routes             Routes
	conns              *connections
	server             *http.Server
	draining           atomic.Bool   // callers are to go elsewhere
	unready            atomic.Bool   // /health/ready answers 503
	listenerHandedOver atomic.Bool   // the listener belongs to another process now
	giveUp             chan struct{} // closed by AbandonBlockedPipelines
}

// New returns a front that accepts connections from l once Serve is called. A connection counts against the share of the
// pool of its last request. It counts against unassigned before its first request, and as long as no pool has a share.
func New(l net.Listener, clock engine.Clock, routes Routes, unassigned *pool.Share) *Front {
	f := &Front{
		clock:  clock,
		routes: routes,
		conns:  newConnections(l, unassigned),
		giveUp: make(chan struct{}),
	}
	f.conns.scanHeads = true
	f.server = &http.Server{
		Handler:                      f,
		ReadHeaderTimeout:            headTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeader,
		DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			ctx, c.(*connection).cancelRequests = context.WithCancel(ctx)
			return context.WithValue(ctx, connectionKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateIdle {
				c.(*connection).endRequest()
			}
		},
	}
	return f
}

// Addr is the address that the front listens on.
func (f *Front) Addr() net.Addr { return f.conns.Addr() }

// StartPipelinedEarly has pipelined requests started as they come. It is called before Serve.
func (f *Front) StartPipelinedEarly() { f.conns.front = f }

// SetMaxHeaderBytes sets the limit on a request's header section, in bytes. It is called before Serve.
func (f *Front) SetMaxHeaderBytes(n int) { f.server.MaxHeaderBytes = n }

// Time-outs of net/http once SetIdleTimeout and SetHeaderTimeout set those in force; these are upper limits on them.
const (
	libraryIdle = 10 * time.Minute
	libraryHead = 2 * time.Minute
)

// OverrideLibraryTimeouts has SetIdleTimeout and SetHeaderTimeout alone set the time-outs of idle connections and of header
// sections, up to 10 and 2 minutes. Without it those of New are upper limits. It is called before Serve.
func (f *Front) OverrideLibraryTimeouts() {
	f.server.IdleTimeout, f.server.ReadHeaderTimeout = libraryIdle, libraryHead
	f.conns.ownTimes = true
	f.conns.idleTimeout.CompareAndSwap(0, int64(idleTimeout))
	f.SetHeaderTimeout(0)
}

// SetIdleTimeout sets the time-out of idle connections. It may be called while the front serves.
func (f *Front) SetIdleTimeout(d time.Duration) { f.conns.idleTimeout.Store(int64(d)) }

// SetHeaderTimeout sets the time-out of a request's header section, from its first byte; 0 means that of New, which is
// the upper limit without OverrideLibraryTimeouts. It may be called while the front serves.
func (f *Front) SetHeaderTimeout(d time.Duration) {
	if d == 0 && f.conns.ownTimes {
		d = headTimeout
	}
	f.conns.headTimeout.Store(int64(d))
}

// Serve serves until Shutdown, and then returns http.ErrServerClosed.
func (f *Front) Serve() error {
	if f.Protocol == nil {
		f.Protocol = platformProtocol{}
	}
	err := f.server.Serve(f.conns)
	if f.listenerHandedOver.Load() {
		return http.ErrServerClosed
	}
	return err
}

// SetDraining begins or ends draining: answers close their connections (RFC 9112, section 9.6), and CloseIdleIfDraining closes
// idle ones.
// Requests that still come are served.
func (f *Front) SetDraining(on bool) { f.draining.Store(on) }

// SetUnready has GET /health/ready answered with 503, or with 200 again.
func (f *Front) SetUnready(on bool) { f.unready.Store(on) }

// CloseIdleIfDraining closes connections without a request, if the front is draining.
func (f *Front) CloseIdleIfDraining() {
	if f.draining.Load() {
		f.conns.closeIdle()
	}
}

// HandOverListener stops accepting, for a hot restart, and continues to serve the connections that are open. Those that are
// not accepted yet are left to the process that shares the listening socket.
func (f *Front) HandOverListener() {
	f.listenerHandedOver.Store(true)
	f.conns.Close()
}

// OpenConnections returns how many downstream connections are open.
func (f *Front) OpenConnections() int { return f.conns.open() }

// closeIfDraining announces the end of the connection after this answer. Over HTTP/2 net/http turns it into GOAWAY.
func (f *Front) closeIfDraining(w http.ResponseWriter, from *connection) {
	// Of pipelined requests the last one closes the connection.
	if f.draining.Load() && (from == nil || from.pipeline == nil || !from.pipeline.hasStarted()) {
		w.Header().Set("Connection", "close")
	}
}

// AbandonBlockedPipelines fails idempotent requests that hold up the answers of pipelined ones: the process is about to end,
// and those answers would be lost. It is called once.
func (f *Front) AbandonBlockedPipelines() { close(f.giveUp) }

// Shutdown stops accepting and waits until every accepted request is answered and every connection is closed, or ctx ends.
func (f *Front) Shutdown(ctx context.Context) error {
	if err := f.server.Shutdown(ctx); err != nil {
		return err
	}
	return f.conns.awaitLingering(ctx)
}

// Close closes the listener and all connections at once.
func (f *Front) Close() error {
	f.conns.closeLingering()
	return f.server.Close()
}

type connectionKey struct{}

// connectionOf is the downstream connection of a request, which New puts into the context of its connections.
func connectionOf(hr *http.Request) *connection {
	return hr.Context().Value(connectionKey{}).(*connection)
}

// Clock is the node's clock.
func (f *Front) Clock() engine.Clock { return f.clock }
