// Package transport implements connections between the processes of the mesh: FlatBuffers frames (wire.fbs, package codec) over TCP, with
// heartbeats in both directions, a deadline for every write, and a timeout for silent peers. It manages the sockets that it dials or
// accepts, and the calls that wait for a reply.
//
// The package does not interpret messages, except for Hello and the replies to its own calls, and does not reorder the frames of a
// connection. Delivery is not guaranteed: a message that was sent may be lost if its connection fails, and a call without a reply may have
// been executed.
//
// Each connection starts one goroutine, which writes; the owner receives on another. Everything else is safe for concurrent use.
//
// The design follows HTTP/2 (RFC 9113) for frames, flow-control windows and PING as heartbeats, gRPC keepalive for closing a silent
// connection, and RFC 5482 for TCP_USER_TIMEOUT.
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

// ProtocolVersion is announced in Hello and in a sidecar's record. All versions are compatible: fields are added but never removed, and an
// encoding that older versions can't read is sent only to peers that announce a version with it. Version 2 packs headers (codec/header.go).
const ProtocolVersion = 2

// Timeouts and intervals of a connection.
const (
	// DialTimeout limits a dial, in addition to its context.
	DialTimeout = 400 * time.Millisecond
	// HeartbeatInterval is the time between heartbeats while replies are pending on the connection; see Conn.AddPending.
	HeartbeatInterval = 300 * time.Millisecond
	// PeerTimeout is how long the peer may be silent while replies are pending.
	PeerTimeout = 1200 * time.Millisecond
	// IdleFactor multiplies HeartbeatInterval and PeerTimeout while no replies are pending.
	IdleFactor = 5
)

// Limits of a connection.
const (
	maxFrameBytes  = 32 << 20 // of one frame, which may contain a snapshot
	maxQueuedBytes = 48 << 20 // of the write queue; when it is full, the peer is assumed not to read
	// maxWriteBytes is the maximum size of one write to the socket, and writeTimeout the maximum duration of that write. Writes are small
	// so that a slow link that makes progress does not time out.
	maxWriteBytes  = 64 << 10
	writeTimeout   = 2 * time.Second
	maxUnsentBytes = 128 << 10 // in the socket's send buffer, not sent yet
	readBufferSize = 16 << 10
)

// Errors of this package. Conn.Err may return them as the reason why a connection was closed.
const (
	// ErrClosed means that the connection is closed. To continue, the caller has to dial again.
	ErrClosed = errors.ConstError("the connection is closed")
	// ErrQueueFull means that the connection was closed because the peer does not read what is sent to it.
	ErrQueueFull = errors.ConstError("the peer does not read what is sent to it")
	// ErrPeerSilent means that nothing was received for so long that the peer or the link must have failed.
	ErrPeerSilent = errors.ConstError("the peer is silent")
	// ErrNoHello means that the process that dialled does not belong to the mesh: its first message is not a Hello.
	ErrNoHello = errors.ConstError("the first message of the peer is not a hello")
)

// Dial opens a connection, sets the version of hello and sends it. ctx applies to the dial only. heartbeat returns the content of each
// heartbeat, and is called on the writer goroutine of the connection; if it is nil, heartbeats are empty. The caller has to receive on the
// connection, and to close it.
func Dial(ctx context.Context, addr string, hello *wire.HelloT, heartbeat func() *wire.HeartbeatT) (*Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout, Control: setSocketOptions, KeepAlive: -1}
	netConn, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Annotatef(err, "dial %s", addr)
	}
	conn := newConn(netConn, heartbeat)
	conn.Peer = hello
	hello.TransportVersion = ProtocolVersion
	_ = conn.Send(hello) // if it fails, the connection is closed, and the next call on it returns the error
	return conn, nil
}

// Accept takes ownership of an accepted connection and waits for the hello of the process that dialled. heartbeat is as in Dial. On an
// error it closes the connection.
func Accept(netConn net.Conn, heartbeat func() *wire.HeartbeatT) (*Conn, error) {
	if tcp, ok := netConn.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = setSocketOptions("", "", raw) // if it fails, a dead connection is detected later
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

// setSocketOptions sets TCP_USER_TIMEOUT, so that the connection fails soon after the peer has lost power even while sent bytes are
// unacknowledged, and TCP_NOTSENT_LOWAT, so that progress on a slow link is noticed early.
func setSocketOptions(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(PeerTimeout/time.Millisecond))
		// Without TCP_NOTSENT_LOWAT, a full send buffer of megabytes becomes writable only once a third of it is sent, which takes seconds
		// on a slow link.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}
