package fake

import (
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// ReservedPort keeps a loopback port for a server that is stopped and started again at its address. While the server is down, connections
// are refused as usual, and no process is given the port for another listener or an outgoing connection.
//
// It is a socket that is bound and does not listen. Linux lets a listener with SO_REUSEADDR, which package net sets, share the address of
// such a socket if that one has the option, too.
type ReservedPort struct {
	socket int
	port   int
}

// ReservePort reserves a free port of 127.0.0.1.
func ReservePort() (*ReservedPort, error) { return reservePort(0) }

// reservePort reserves a port; 0: a free one. Nobody may listen on it, but for listenShared.
func reservePort(port int) (*ReservedPort, error) {
	socket, err := bindLoopback(port)
	if err != nil {
		return nil, fmt.Errorf("reserving port %d: %w", port, err)
	}
	name, err := unix.Getsockname(socket)
	if err != nil {
		_ = unix.Close(socket)
		return nil, fmt.Errorf("reserving port %d: %w", port, os.NewSyscallError("getsockname", err))
	}
	return &ReservedPort{socket: socket, port: name.(*unix.SockaddrInet4).Port}, nil
}

// Addr is the reserved address.
func (p *ReservedPort) Addr() string { return fmt.Sprintf("127.0.0.1:%d", p.port) }

// Close gives the port up. A listener that uses it goes on.
func (p *ReservedPort) Close() { _ = unix.Close(p.socket) }

// listenShared listens on a port, so that it can be reserved before the listener is closed (SO_REUSEPORT); 0: on a free one.
func listenShared(port int) (net.Listener, error) {
	socket, err := bindLoopback(port)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(socket), "listener")
	defer func() { _ = file.Close() }() // the listener has a copy
	if err := unix.Listen(socket, unix.SOMAXCONN); err != nil {
		return nil, os.NewSyscallError("listen", err)
	}
	return net.FileListener(file)
}

// bindLoopback makes a socket that is bound to a port of 127.0.0.1, or a free one if that is 0. Other sockets may share the port.
func bindLoopback(port int) (socket int, err error) {
	socket, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, os.NewSyscallError("socket", err)
	}
	for _, option := range []int{unix.SO_REUSEADDR, unix.SO_REUSEPORT} {
		if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, option, 1); err != nil {
			_ = unix.Close(socket)
			return 0, os.NewSyscallError("setsockopt", err)
		}
	}
	if err := unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}, Port: port}); err != nil {
		_ = unix.Close(socket)
		return 0, os.NewSyscallError("bind", err)
	}
	return socket, nil
}
