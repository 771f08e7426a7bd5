package http1

import (
	"cmp"
	"net"
	"net/http"
	"time"

	"cranegrade/internal/engine"
	"cranegrade/internal/message"
	"cranegrade/internal/pool"
)

// H2Limits are the limits of one HTTP/2 connection. A zero stands for the default.
type H2Limits struct {
	Streams int // concurrent streams; more are refused with REFUSED_STREAM (RFC 9113, section 5.1.2); default 250
	Window  int // flow-control window of the connection, in bytes; default 1 MiB
}

const (
	h2Streams     = 250
	h2Window      = 1 << 20
	h2FrameSize   = 16 << 10
	h2PingAfter   = 15 * time.Second // without a frame, then a PING checks the connection
	h2PingTimeout = 5 * time.Second
)

// NewH2 is New for callers that speak HTTP/2 without TLS, with prior knowledge (RFC 9113, section 3.3). Requests and answers
// have the same meaning as over HTTP/1.1; framing, flow control, GOAWAY and the limits against floods are those of net/http.
// A rejected request does not close the connection, since others share it.
func NewH2(l net.Listener, clock engine.Clock, routes Routes, unassigned *pool.Share, limits H2Limits) *Front {
	limits.Streams, limits.Window = cmp.Or(limits.Streams, h2Streams), cmp.Or(limits.Window, h2Window)
	f := New(l, clock, routes, unassigned)
	f.conns.scanHeads = false
	f.server.Protocols = new(http.Protocols)
	f.server.Protocols.SetUnencryptedHTTP2(true)
	f.server.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams:          limits.Streams,
		MaxReadFrameSize:              h2FrameSize,
		MaxReceiveBufferPerConnection: limits.Window,
		MaxReceiveBufferPerStream:     message.MaxBody,
		SendPingTimeout:               h2PingAfter,
		PingTimeout:                   h2PingTimeout,
		WriteByteTimeout:              WriteTimeout,
	}
	return f
}
