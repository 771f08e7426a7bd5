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

// cutMode is the way in which a connection is cut.
type cutMode string

const (
	cutReset  cutMode = "reset"  // both sides see a reset
	cutClose  cutMode = "close"  // both sides see an orderly close
	cutSilent cutMode = "silent" // no bytes pass until the cut is repaired; then both sides see a reset
	cutLate   cutMode = "late"   // no bytes pass until the cut is repaired; then the delayed bytes are passed on
)

// cut is a planned cut after a number of bytes of a call's request or response. It takes effect once.
type cut struct {
	mode       cutMode
	answer     bool          // cut the response instead of the request
	after      int           // bytes of the message that pass before the cut
	skipFrames int           // earlier frames of the call that pass unchanged
	totalBytes int           // length of the message that was cut; set before applied is closed
	claimed    atomic.Bool   // by the relay that applies the cut; other relays may have scheduled it, too
	applied    chan struct{} // closed when the cut is applied
	repaired   chan struct{} // closed by the test to repair the cut
	released   chan struct{} // closed when all delayed bytes have been passed on
}

func newCut(mode cutMode, answer bool, after int) *cut {
	return &cut{
		mode: mode, answer: answer, after: after,
		applied: make(chan struct{}), repaired: make(chan struct{}), released: make(chan struct{}),
	}
}

// relayedMessage is a frame or an HTTP message that passes a relay.
type relayedMessage struct {
	raw     []byte
	attempt string // Attempt-Id of the call that the message belongs to, or ""
	answer  bool   // the message is a response or a part of one
}

// framing splits the bytes of a connection into messages.
type framing interface {
	// begin returns the functions that read the next message of each direction of a new connection. They run on separate goroutines.
	begin() (request, answer func(r *bufio.Reader) (relayedMessage, error))
}

// relay forwards the connections of a hop, and cuts them as scheduled.
type relay struct {
	to, addr string
	framing  framing

	mu   sync.Mutex      // guards below
	cuts map[string]*cut // by Attempt-Id
	// change returns the bytes that are passed on instead of a response; nil to pass on responses unchanged
	change func(relayedMessage) []byte
}

// startRelay starts a relay to an address.
func startRelay(t testing.TB, to string, f framing) *relay {
	t.Helper()
	r := &relay{to: to, framing: f, cuts: map[string]*cut{}}
	r.addr = listenAndServe(t, r.pass)
	return r
}

// scheduleCut schedules a cut of a call.
func (r *relay) scheduleCut(attempt string, c *cut) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[attempt] = c
}

// claimCut returns the cut that is to be applied to a message and removes it, or returns nil if there is none.
func (r *relay) claimCut(m relayedMessage) *cut {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.cuts[m.attempt]
	if m.attempt == "" || c == nil || c.answer != m.answer {
		return nil
	}
	if c.skipFrames--; c.skipFrames >= 0 {
		return nil
	}
	delete(r.cuts, m.attempt)
	if !c.claimed.CompareAndSwap(false, true) {
		return nil
	}
	return c
}

// pass forwards a connection in both directions until it ends.
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
			to.Write(m.raw) // the part of the message that was received
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
		c := r.claimCut(m)
		if c == nil {
			if _, err := to.Write(raw); err != nil {
				resetConn(from)
				return
			}
			continue
		}
		c.totalBytes = len(raw)
		n := min(c.after, len(raw))
		close(c.applied)
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
			<-c.repaired
			resetConn(from)
			resetConn(to)
			return
		case cutLate:
			<-c.repaired
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

// upstreamFraming is the framing of the transport between sidecars.
type upstreamFraming struct{}

func (upstreamFraming) begin() (request, answer func(*bufio.Reader) (relayedMessage, error)) {
	var mu sync.Mutex
	attemptIDs := map[uint64]string{}
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
			attemptIDs[v.Id] = v.AttemptId
			p.attempt = v.AttemptId
		case *wire.BodyChunkT:
			p.attempt = attemptIDs[v.Id]
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
			p.attempt = attemptIDs[v.Id]
		case *wire.BodyChunkT:
			p.attempt = attemptIDs[v.Id]
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
			default: // a response without a request
			}
		}
		return p, err
	}
	return request, answer
}

// byteReader reads one byte at a time, so that a buffered reader on top of it does not read ahead.
type byteReader struct{ r io.Reader }

func (b byteReader) Read(p []byte) (int, error) { return b.r.Read(p[:min(1, len(p))]) }
