// Package conncheck looks at what has come on a TCP connection without reading it.
package conncheck

import (
	"net"
	"syscall"
)

// At looks at what has come on a connection, without waiting and beside a reader: nil for bytes,
// EAGAIN for nothing, else why nothing will.
func At(c net.Conn) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	var got int
	var failed error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		got, _, failed = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return err
	case failed != nil:
		return failed
	case got == 0:
		return net.ErrClosed
	}
	return nil
}
