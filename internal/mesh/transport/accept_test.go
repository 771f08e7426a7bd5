package transport

import (
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// failingListener fails the first accept, as when the process has no free file descriptor.
type failingListener struct {
	net.Listener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// AcceptEach serves all connections after a failed accept, and returns when it is stopped and the listener is closed.
func TestAcceptEach(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	stopped, ended, served := make(chan struct{}), make(chan struct{}), make(chan net.Conn)
	go func() {
		defer close(ended)
		AcceptEach(&failingListener{Listener: listener}, stopped, func(accepted net.Conn) { served <- accepted })
	}()
	for range 2 {
		dialed, err := net.DialTimeout("tcp4", listener.Addr().String(), 5*time.Second)
		assert.NilError(t, err)
		accepted := <-served
		assert.Equal(t, accepted.RemoteAddr().String(), dialed.LocalAddr().String())
		assert.NilError(t, accepted.Close())
		assert.NilError(t, dialed.Close())
	}
	close(stopped)
	assert.NilError(t, listener.Close())
	<-ended
}
