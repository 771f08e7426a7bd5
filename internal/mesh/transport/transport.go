// Package transport is the connections between the mesh's own processes: frames of FlatBuffers (wire.fbs, package codec) over TCP,
// heartbeats both ways, a deadline on every write, and an end as soon as the peer is silent for too long. It owns the sockets that it
// dials or accepts, and calls that wait for their reply.
//
// It must never decide anything by what a message says, but for Hello and the replies to its own calls, nor reorder the frames of a
// connection.
//
// Sources: HTTP/2 (RFC 9113) for frames, flow-control windows and PING as heartbeats; gRPC keepalive for the end of a silent
// connection; RFC 5482 for TCP_USER_TIMEOUT.
package transport

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"cranegrade/internal/mesh/transport/wire"
)

// ProtocolVersion is what Hello and a sidecar's record announce. A process talks to every other version: fields are only ever added,
// and what only a later version reads is sent to those alone. 2: headers are packed (codec/header.go).
const ProtocolVersion = 2

// Times of a connection.
const (
	// DialTimeout bounds a dial, besides its context.
	DialTimeout = 400 * time.Millisecond
	// HeartbeatInterval is the time between heartbeats, while one side has something pending on the connection.
	HeartbeatInterval = 300 * time.Millisecond
	// PeerTimeout is how long the peer may be silent, while one side has something pending.
	PeerTimeout = 1200 * time.Millisecond
	// IdleFactor is by how much both are longer while nothing is pending.
	IdleFactor = 5
)

// Limits of a connection.
const (
	maxFrameBytes  = 32 << 20 // of one frame: a snapshot may be one
	maxQueuedBytes = 48 << 20 // that wait to be written; with more the peer counts as not reading
	// maxWriteBytes are given to the socket at a time, and writeTimeout is how long the peer may take none of them: a slow link that
	// moves is not silent.
	maxWriteBytes  = 64 << 10
	writeTimeout   = 2 * time.Second
	maxUnsentBytes = 128 << 10 // that wait in the socket to be sent
	readBufferSize = 16 << 10
)

// Errors of this layer, as reasons for which a connection ended among others.
const (
	ErrClosed     = errors.ConstError("the connection is closed")
	ErrQueueFull  = errors.ConstError("the peer does not read what is sent to it")
	ErrPeerSilent = errors.ConstError("the peer is silent")
	ErrNoHello    = errors.ConstError("the first message of the peer is no hello")
)

// Dial opens a connection and sends hello, whose version it sets. The context bounds the dial only. heartbeat makes the
// heartbeats; nil: they say only that the process is alive.
func Dial(ctx context.Context, addr string, hello *wire.HelloT, heartbeat func() *wire.HeartbeatT) (*Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout, Control: setSocketOptions, KeepAlive: -1}
	netConn, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Annotatef(err, "dial %s", addr)
	}
	conn := newConn(netConn, heartbeat)
	conn.Peer = hello
	hello.TransportVersion = ProtocolVersion
	_ = conn.Send(hello) // whoever uses the connection next finds its end
	return conn, nil
}

// Accept takes a connection over and waits for the hello of the process that dialled. heartbeat is as in Dial. On an error the
// connection is closed.
func Accept(netConn net.Conn, heartbeat func() *wire.HeartbeatT) (*Conn, error) {
	if tcp, ok := netConn.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = setSocketOptions("", "", raw) // without them the connection only ends later
		}
		_ = tcp.SetKeepAlive(false)
	}
	conn := newConn(netConn, heartbeat)
	m, err := conn.Receive()
	if err == nil {
		if conn.Peer, _ = m.Value.(*wire.HelloT); conn.Peer == nil {
			err = ErrNoHello
		}
	}
	if err != nil {
		conn.Close(err)
		return nil, errors.Annotatef(err, "accept %s", netConn.RemoteAddr())
	}
	return conn, nil
}

// setSocketOptions has a connection whose peer lost power end soon, also while bytes are under way, and one over a slow link show soon
// that it moves.
func setSocketOptions(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(PeerTimeout/time.Millisecond))
		// Otherwise a full buffer of megabytes has room again only when a third of it is sent, which takes seconds on a slow link.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}
