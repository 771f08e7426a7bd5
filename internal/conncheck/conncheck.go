// Package conncheck tells whether bytes have come on a TCP connection, or its end, without reading
// them. Database drivers have such a check as well: a connection that its peer has closed must
// not be used for another request.
package conncheck

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Peek looks at what has come on a TCP connection. It neither waits nor takes anything away, so it may run
// beside a reader. It returns nil if bytes can be read, syscall.EAGAIN if none have come, net.ErrClosed if
// the peer has closed the connection, or else why nothing will come. conn must be a *net.TCPConn.
func Peek(conn net.Conn) error {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	var received int
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		received, _, recvErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return err
	case recvErr != nil:
		return recvErr
	case received == 0:
		return net.ErrClosed
	}
	return nil
}

// HasEnded reports whether the peer has closed a TCP connection, or it has failed, also while bytes that came before have not been read. It
// neither waits nor takes anything away, so it may run beside a reader. It returns false for other connections than a *net.TCPConn.
func HasEnded(conn net.Conn) bool {
	tcp, is := conn.(*net.TCPConn)
	if !is {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	var events int16
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if _, err := unix.Poll(poll, 0); err == nil { // interrupted: asked again at the next call
			events = poll[0].Revents
		}
	})
	return err != nil || events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
