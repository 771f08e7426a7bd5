package testkit

import (
	"errors"
	"syscall"
)

// LimitReceiveBuffer returns a net.Dialer.Control for connections that receive about this many bytes ahead of their reader,
// so that most of a long answer waits at its sender.
func LimitReceiveBuffer(bytes int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
		})
		return errors.Join(controlErr, err)
	}
}
