package stand2

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Link is the network between clients and one node: a proxy with the delay of the deployment's links and with small windows. A window is
// what may be on its way at once, so that answers are taken from the node at a window for each round trip; the rest waits in the node's
// kernel, as it would on a real link. An end or a reset of one side is passed on to the other, after all bytes that came before.
type Link struct {
	Addr     string
	listener net.Listener
	to       string
	delay    time.Duration // one way
	window   int

	mu    sync.Mutex // guards conns
	conns map[net.Conn]bool
}

// NewLink starts a link to a node on an address of the loopback range.
func NewLink(to string, delay time.Duration, window int) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{Addr: listener.Addr().String(), listener: listener, to: to, delay: delay, window: window, conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.Close()
	}
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(client)
	}
}

// serve carries one connection.
func (l *Link) serve(client net.Conn) {
	dialer := net.Dialer{Timeout: callTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBuffer)
		})
	}}
	node, err := dialer.Dial("tcp", l.to)
	if err != nil {
		client.Close()
		return
	}
	l.mu.Lock()
	l.conns[client], l.conns[node] = true, true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.carry(node, client, true) })  // answers
	both.Go(func() { l.carry(client, node, false) }) // requests
	both.Wait()
	client.Close()
	node.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, client)
	delete(l.conns, node)
}

// socketBuffer is the receive buffer of the link's connection to the node, in bytes. It is small, so that what is on its way is what the link has
// taken.
const socketBuffer = 4 << 10

// parcel is what is on its way: bytes, or the end of its side.
type parcel struct {
	bytes []byte
	err   error
	due   time.Time
}

// carry takes bytes from one side, if paced no more than a window for each round trip, and delivers them to the other after the delay.
func (l *Link) carry(from, to net.Conn, paced bool) {
	const queued = 4096
	way := make(chan parcel, queued)
	go func() {
		defer close(way)
		buf := make([]byte, l.window)
		taken, began := 0, time.Now()
		for {
			n, err := from.Read(buf)
			if wait := time.Since(began); wait > 2*l.delay { // the link was idle
				taken, began = 0, time.Now()
			}
			way <- parcel{bytes: bytes.Clone(buf[:n]), err: err, due: time.Now().Add(l.delay)}
			if err != nil {
				return
			}
			if paced {
				taken += n
				time.Sleep(time.Until(began.Add(time.Duration(taken) * 2 * l.delay / time.Duration(l.window))))
			}
		}
	}()
	for p := range way {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.bytes); err != nil {
			from.Close()
		}
		if p.err != nil {
			end(to, p.err)
		}
	}
}

// end passes the end of one side on to the other.
func end(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	switch {
	case !ok:
	case errors.Is(err, io.EOF):
		_ = tcp.CloseWrite() // fails only if the connection has ended
	case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
		to.Close()
	default:
		_ = tcp.SetLinger(0) // a reset; fails only if the connection has ended
		to.Close()
	}
}
