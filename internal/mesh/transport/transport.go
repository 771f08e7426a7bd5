// Package transport provides the connections between the mesh's own processes: FlatBuffers frames (wire.fbs, package codec) over TCP, with
// heartbeats in both directions, a deadline for every write, and a time-out for silent peers. It owns the sockets that it dials or
// accepts, and the calls that wait for their reply.
//
// It must never act on the contents of messages, except for Hello and the replies to its own calls, and never reorder the frames of a
// connection. It promises no delivery: a message that was sent may be lost with its connection, and a call without a reply may have been
// carried out.
//
// A connection has one goroutine of its own, which writes; its owner receives on another. Everything else may be called from any goroutine.
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

// ProtocolVersion is announced by Hello and by a sidecar's record. Processes of all versions understand each other: fields are only ever
// added, and forms that only later versions can read are only sent to those. Version 2 packs headers (codec/header.go).
const ProtocolVersion = 2

// Times of a connection.
const (
	// DialTimeout bounds a dial, in addition to its context.
	DialTimeout = 400 * time.Millisecond
	// HeartbeatInterval is the time between heartbeats, while one side has something pending on the connection.
	HeartbeatInterval = 300 * time.Millisecond
	// PeerTimeout is how long the peer may be silent while one side has something pending.
	PeerTimeout = 1200 * time.Millisecond
	// IdleFactor is by how much both are multiplied while nothing is pending.
	IdleFactor = 5
)

// Limits of a connection.
const (
	maxFrameBytes  = 32 << 20 // of one frame, which may hold a snapshot
	maxQueuedBytes = 48 << 20 // waiting to be written; with more, the peer is assumed not to read
	// maxWriteBytes is how much is passed to the socket in one write, and writeTimeout how long that write may take. Writes are small so
	// that a slow link that makes progress does not time out.
	maxWriteBytes  = 64 << 10
	writeTimeout   = 2 * time.Second
	maxUnsentBytes = 128 << 10 // in the socket, not sent yet
	readBufferSize = 16 << 10
)

// Errors of this package. They are also among the reasons for which a connection ended.
const (
	// ErrClosed says that the connection has ended. Its user has to dial again.
	ErrClosed = errors.ConstError("the connection is closed")
	// ErrQueueFull says that the connection was closed because the peer does not read what is sent to it.
	ErrQueueFull = errors.ConstError("the peer does not read what is sent to it")
	// ErrPeerSilent says that nothing came from the peer for so long that it or the link must have failed.
	ErrPeerSilent = errors.ConstError("the peer is silent")
	// ErrNoHello says that whoever has dialled is none of the mesh's processes.
	ErrNoHello = errors.ConstError("the first message of the peer is not a hello")
)

// Dial opens a connection and sends hello, after setting its version. The context bounds the dial only. heartbeat makes the content of
// heartbeats, on a goroutine of the connection; if it is nil they have none. The caller has to receive on the connection, and to close it.
func Dial(ctx context.Context, addr string, hello *wire.HelloT, heartbeat func() *wire.HeartbeatT) (*Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout, Control: setSocketOptions, KeepAlive: -1}
	netConn, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Annotatef(err, "dial %s", addr)
	}
	conn := newConn(netConn, heartbeat)
	conn.Peer = hello
	hello.TransportVersion = ProtocolVersion
	_ = conn.Send(hello) // if it fails the connection has ended, which its next user finds
	return conn, nil
}

// Accept takes over an accepted connection and waits for the hello of the process that dialled. heartbeat is as in Dial. On an error the
// connection is closed.
func Accept(netConn net.Conn, heartbeat func() *wire.HeartbeatT) (*Conn, error) {
	if tcp, ok := netConn.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = setSocketOptions("", "", raw) // without them a dead connection is only detected later
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

// setSocketOptions makes a connection end soon after its peer has lost power, also while bytes are unacknowledged, and makes progress
// over a slow link visible early.
func setSocketOptions(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(PeerTimeout/time.Millisecond))
		// Without this a full buffer of megabytes only becomes writable when a third of it is sent, which takes seconds on a slow link.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}
