package fake

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// assertRefused checks that nobody listens on an address.
func assertRefused(t *testing.T, addr string) {
	t.Helper()
	_, err := net.Dial("tcp", addr)
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
}

// Servers can listen on a reserved port again and again, and in between connections are refused.
func TestReservedPortIsListenedOnAgain(t *testing.T) {
	port, err := ReservePort()
	assert.NilError(t, err)
	defer port.Close()
	for range 3 {
		assertRefused(t, port.Addr())
		l, err := net.Listen("tcp", port.Addr())
		assert.NilError(t, err)
		c, err := net.Dial("tcp", port.Addr())
		assert.NilError(t, err)
		c.Close()
		l.Close()
	}
	assertRefused(t, port.Addr())
}

// A port whose listener was made by listenShared can be reserved before the listener is closed. Nobody is given it by chance then.
func TestReservedPortIsGivenToNobody(t *testing.T) {
	l, err := listenShared(0)
	assert.NilError(t, err)
	addr := l.Addr().(*net.TCPAddr)
	port, err := reservePort(addr.Port)
	assert.NilError(t, err)
	defer port.Close()
	l.Close()
	assertRefused(t, port.Addr())
	var taken []net.Listener
	for range 2000 {
		other, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		taken = append(taken, other)
		assert.Assert(t, other.Addr().(*net.TCPAddr).Port != addr.Port)
	}
	for _, other := range taken {
		other.Close()
	}
	again, err := listenShared(addr.Port)
	assert.NilError(t, err)
	again.Close()
}
