// Package conncheck reports, without consuming any bytes, whether a TCP connection has data to read or
// was closed by its peer. Connection pools use it, as database drivers do, so that they do not send another
// request on a connection that the peer has closed.
package conncheck

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Peek reports whether a TCP connection has data to read. It neither blocks nor consumes data, so it may run
// concurrently with a reader. It returns nil if bytes can be read, syscall.EAGAIN if none have arrived,
// net.ErrClosed if the peer has closed the connection, and otherwise the error of the connection. conn must be
// a *net.TCPConn.
func Peek(conn net.Conn) error {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	var received int
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		received, _, recvErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
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

// HasEnded reports whether a TCP connection was closed by its peer or has failed, even if bytes that arrived
// earlier are still unread. It neither blocks nor consumes data, so it may run concurrently with a reader. It
// returns false for connections that are not a *net.TCPConn.
func HasEnded(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	var events int16
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if _, err := unix.Poll(poll, 0); err == nil { // on an error such as EINTR, the next call of HasEnded polls again
			events = poll[0].Revents
		}
	})
	return err != nil || events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// Unacknowledged returns how many bytes were written to a TCP connection that its peer has not acknowledged yet, whether they
// were sent or not. The end of the connection's own side counts as one byte. It neither blocks nor consumes data. It returns 0
// for connections that are not a *net.TCPConn.
func Unacknowledged(conn net.Conn) (bytes int, err error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	var ioctlErr error
	err = raw.Control(func(fd uintptr) {
		bytes, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return bytes, errors.Join(err, ioctlErr)
}
