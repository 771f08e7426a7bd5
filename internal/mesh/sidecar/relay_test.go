package sidecar

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// cutMode is how a connection is cut.
type cutMode string

const (
	cutReset  cutMode = "reset"  // both sides see a reset
	cutClose  cutMode = "close"  // both see an end
	cutSilent cutMode = "silent" // nothing passes any more, until the cut is repaired: then both see a reset
	cutLate   cutMode = "late"   // nothing passes until the cut is repaired, and then all that was held back
)

// cut is where to cut: after a number of bytes of a call's request or response. It takes effect once.
type cut struct {
	mode     cutMode
	answer   bool
	after    int
	frames   int           // of the call that pass before those bytes
	of       int           // bytes that it has in all, where struck
	taken    atomic.Bool   // by the relay where it strikes; others may have it planned, too
	struck   chan struct{} // closed when it strikes
	mended   chan struct{} // closed to repair it
	released chan struct{} // closed when all that was held back has been passed on
}

func newCut(mode cutMode, answer bool, after int) *cut {
	return &cut{
		mode: mode, answer: answer, after: after,
		struck: make(chan struct{}), mended: make(chan struct{}), released: make(chan struct{}),
	}
}

// relayedMessage is a frame or an HTTP message that passes the relay, with the call that it belongs to; "": none.
type relayedMessage struct {
	raw     []byte
	attempt string
	answer  bool
}

// framing finds the messages on one connection.
type framing interface {
	// begin is for a new connection; each reads one direction's next message, in its own goroutine.
	begin() (request, answer func(r *bufio.Reader) (relayedMessage, error))
}

// relay forwards the connections of a hop, and cuts calls at a byte.
type relay struct {
	to, addr string
	framing  framing

	mu   sync.Mutex // guards below
	cuts map[string]*cut
	// change is what passes in place of an answer; nil: itself
	change func(relayedMessage) []byte
}

func startRelay(t testing.TB, to string, f framing) *relay {
	t.Helper()
	r := &relay{to: to, framing: f, cuts: map[string]*cut{}}
	r.addr = listenAndServe(t, r.pass)
	return r
}

// plan plans a cut of a call.
func (r *relay) plan(attempt string, c *cut) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[attempt] = c
}

// take returns the cut that is planned for a message, if there is one, and removes it.
func (r *relay) take(m relayedMessage) *cut {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.cuts[m.attempt]
	if m.attempt == "" || c == nil || c.answer != m.answer {
		return nil
	}
	if c.frames--; c.frames >= 0 {
		return nil
	}
	delete(r.cuts, m.attempt)
	if !c.taken.CompareAndSwap(false, true) {
		return nil
	}
	return c
}

func (r *relay) pass(near net.Conn) {
	far, err := net.Dial("tcp4", r.to)
	if err != nil {
		resetConn(near)
		return
	}
	request, answer := r.framing.begin()
	var both sync.WaitGroup
	both.Go(func() { r.copy(near, far, request) })
	both.Go(func() { r.copy(far, near, answer) })
	both.Wait()
	near.Close()
	far.Close()
}

// copy forwards one direction until it ends or is cut.
func (r *relay) copy(from, to net.Conn, next func(*bufio.Reader) (relayedMessage, error)) {
	in := bufio.NewReader(from)
	for {
		m, err := next(in)
		if err != nil {
			to.Write(m.raw) // as far as it came
			closeWrite(to)
			return
		}
		raw := m.raw
		r.mu.Lock()
		change := r.change
		r.mu.Unlock()
		if change != nil && m.answer {
			raw = change(m)
		}
		c := r.take(m)
		if c == nil {
			if _, err := to.Write(raw); err != nil {
				resetConn(from)
				return
			}
			continue
		}
		c.of = len(raw)
		n := min(c.after, len(raw))
		close(c.struck)
		to.Write(raw[:n])
		switch c.mode {
		case cutReset:
			resetConn(from)
			resetConn(to)
			return
		case cutClose:
			from.Close()
			to.Close()
			return
		case cutSilent:
			<-c.mended
			resetConn(from)
			resetConn(to)
			return
		case cutLate:
			<-c.mended
			to.Write(raw[n:])
			close(c.released)
		}
	}
}

func closeWrite(c net.Conn) {
	if t, is := c.(*net.TCPConn); is {
		t.CloseWrite()
	}
}

func resetConn(c net.Conn) {
	if t, is := c.(*net.TCPConn); is {
		t.SetLinger(0)
	}
	c.Close()
}

// upstreamFraming is the framing between sidecars.
type upstreamFraming struct{}

func (upstreamFraming) begin() (request, answer func(*bufio.Reader) (relayedMessage, error)) {
	var mu sync.Mutex
	names := map[uint64]string{}
	frame := func(r *bufio.Reader) ([]byte, codec.Message, error) {
		var head [4]byte
		if n, err := io.ReadFull(r, head[:]); err != nil {
			return head[:n], codec.Message{}, err
		}
		raw := make([]byte, 4+binary.LittleEndian.Uint32(head[:]))
		copy(raw, head[:])
		if n, err := io.ReadFull(r, raw[4:]); err != nil {
			return raw[:4+n], codec.Message{}, err
		}
		m, err := codec.Decode(raw[4:])
		return raw, m, err
	}
	request = func(r *bufio.Reader) (relayedMessage, error) {
		raw, m, err := frame(r)
		p := relayedMessage{raw: raw}
		mu.Lock()
		defer mu.Unlock()
		switch v := m.Value.(type) {
		case *wire.RequestT:
			names[v.Id] = v.AttemptId
			p.attempt = v.AttemptId
		case *wire.BodyChunkT:
			p.attempt = names[v.Id]
		}
		return p, err
	}
	answer = func(r *bufio.Reader) (relayedMessage, error) {
		raw, m, err := frame(r)
		p := relayedMessage{raw: raw, answer: true}
		mu.Lock()
		defer mu.Unlock()
		switch v := m.Value.(type) {
		case *wire.ResponseT:
			p.attempt = names[v.Id]
		case *wire.BodyChunkT:
			p.attempt = names[v.Id]
		}
		return p, err
	}
	return request, answer
}

// httpFraming is the framing between a sidecar and its server: one request at a time, and its response.
type httpFraming struct{}

func (httpFraming) begin() (request, answer func(*bufio.Reader) (relayedMessage, error)) {
	waiting := make(chan string, 1)
	readComplete := func(r *bufio.Reader, read func(*bufio.Reader) (http.Header, io.ReadCloser, error)) (relayedMessage, http.Header, error) {
		var raw bytes.Buffer
		tee := bufio.NewReaderSize(io.TeeReader(byteReader{r}, &raw), 16)
		head, body, err := read(tee)
		if err == nil {
			_, err = io.ReadAll(body)
		}
		return relayedMessage{raw: raw.Bytes()}, head, err
	}
	request = func(r *bufio.Reader) (relayedMessage, error) {
		p, head, err := readComplete(r, func(r *bufio.Reader) (http.Header, io.ReadCloser, error) {
			q, err := http.ReadRequest(r)
			if err != nil {
				return nil, nil, err
			}
			return q.Header, q.Body, nil
		})
		if err == nil {
			p.attempt = head.Get(headerAttemptID)
			waiting <- p.attempt
		}
		return p, err
	}
	answer = func(r *bufio.Reader) (relayedMessage, error) {
		p, _, err := readComplete(r, func(r *bufio.Reader) (http.Header, io.ReadCloser, error) {
			a, err := http.ReadResponse(r, nil)
			if err != nil {
				return nil, nil, err
			}
			return a.Header, a.Body, nil
		})
		p.answer = true
		if err == nil {
			select {
			case p.attempt = <-waiting:
			default: // nobody asked for it
			}
		}
		return p, err
	}
	return request, answer
}

// byteReader reads a byte at a time, so that a reader over it reads nothing ahead of what it needs.
type byteReader struct{ r io.Reader }

func (b byteReader) Read(p []byte) (int, error) { return b.r.Read(p[:min(1, len(p))]) }
