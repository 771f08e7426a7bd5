package conncheck

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"cranegrade/internal/testkit"
)

// connect returns the two ends of a TCP connection.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return client, server
}

func TestPeek(t *testing.T) {
	client, server := connect(t)
	if err := Peek(client); !errors.Is(err, syscall.EAGAIN) {
		t.Errorf("idle: %v", err)
	}
	if _, err := server.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "the byte does not come", func() bool { return Peek(client) == nil })
	var b [1]byte
	if _, err := io.ReadFull(client, b[:]); err != nil || b[0] != 'x' {
		t.Errorf("the byte after Peek: %q, %v", b, err)
	}
	server.Close()
	testkit.Eventually(t, "the end does not come", func() bool { return errors.Is(Peek(client), net.ErrClosed) })
	client.Close()
	if err := Peek(client); err == nil || errors.Is(err, syscall.EAGAIN) {
		t.Errorf("closed by itself: %v", err)
	}
}

// The end of a connection is seen behind bytes that have not been read, and those stay.
func TestHasEnded(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"closed":      (*net.TCPConn).Close,
		"half closed": (*net.TCPConn).CloseWrite,
		"reset":       func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
	} {
		t.Run(name, func(t *testing.T) {
			client, server := connect(t)
			if HasEnded(client) {
				t.Error("ended while it is idle")
			}
			if _, err := server.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			testkit.Eventually(t, "the byte does not come", func() bool { return Peek(client) == nil })
			if HasEnded(client) {
				t.Error("ended while a byte can be read")
			}
			if err := end(server.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			testkit.Eventually(t, "the end does not come", func() bool { return HasEnded(client) })
			var b [1]byte
			if _, err := io.ReadFull(client, b[:]); name != "reset" && (err != nil || b[0] != 'x') {
				t.Errorf("the byte before the end: %q, %v", b, err)
			}
			client.Close()
			if !HasEnded(client) {
				t.Error("not ended after it was closed here")
			}
		})
	}
}
