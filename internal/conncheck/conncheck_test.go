package conncheck

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"cranegrade/internal/testkit"
)

// connect returns both ends of a TCP connection over the loopback interface.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	server, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return client, server
}

func TestPeek(t *testing.T) {
	client, server := connect(t)
	if err := Peek(client); !errors.Is(err, syscall.EAGAIN) {
		t.Errorf("idle connection: %v", err)
	}
	if _, err := server.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "the byte does not arrive", func() bool { return Peek(client) == nil })
	var b [1]byte
	if _, err := io.ReadFull(client, b[:]); err != nil || b[0] != 'x' {
		t.Errorf("the byte after Peek: %q, %v", b, err)
	}
	server.Close()
	testkit.Eventually(t, "the close does not arrive", func() bool { return errors.Is(Peek(client), net.ErrClosed) })
	client.Close()
	if err := Peek(client); err == nil || errors.Is(err, syscall.EAGAIN) {
		t.Errorf("closed locally: %v", err)
	}
}

// HasEnded detects the end of a connection while bytes before it are unread, and does not consume them.
func TestHasEnded(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"closed":      (*net.TCPConn).Close,
		"half closed": (*net.TCPConn).CloseWrite,
		"reset":       func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
	} {
		t.Run(name, func(t *testing.T) {
			client, server := connect(t)
			if HasEnded(client) {
				t.Error("an idle connection is reported as ended")
			}
			if _, err := server.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			testkit.Eventually(t, "the byte does not arrive", func() bool { return Peek(client) == nil })
			if HasEnded(client) {
				t.Error("a connection with a byte to read is reported as ended")
			}
			if err := end(server.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			testkit.Eventually(t, "the close does not arrive", func() bool { return HasEnded(client) })
			var b [1]byte
			if _, err := io.ReadFull(client, b[:]); name != "reset" && (err != nil || b[0] != 'x') {
				t.Errorf("the byte before the end: %q, %v", b, err)
			}
			client.Close()
			if !HasEnded(client) {
				t.Error("a locally closed connection is not reported as ended")
			}
		})
	}
}

// Unacknowledged counts bytes until the peer's side has taken them, and what a peer that reads nothing can't take.
func TestUnacknowledged(t *testing.T) {
	client, server := connect(t)
	unacknowledged := func() int {
		bytes, err := Unacknowledged(client)
		if err != nil {
			t.Fatal(err)
		}
		return bytes
	}
	if bytes := unacknowledged(); bytes != 0 {
		t.Errorf("%d bytes of an idle connection", bytes)
	}
	if err := client.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	const moreThanAllBuffers = 64 << 20
	written, err := client.Write(make([]byte, moreThanAllBuffers))
	if err == nil {
		t.Fatal("the peer takes everything without reading")
	}
	if bytes := unacknowledged(); bytes == 0 || bytes > written {
		t.Errorf("%d of %d bytes", bytes, written)
	}
	go func() { _, _ = io.Copy(io.Discard, server) }()
	testkit.Eventually(t, "what the peer has read stays unacknowledged", func() bool { return unacknowledged() == 0 })
	client.Close()
	if _, err := Unacknowledged(client); err == nil {
		t.Error("no error after the close")
	}
}
