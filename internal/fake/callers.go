package fake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cranegrade/internal/conncheck"
)

const (
	// resendGrace is how long a new connection may be idle before a node may close it to make room. A request that meets such a close
	// is resent, as on a reused connection. On a busy machine it takes so long until the request is written.
	resendGrace        = 50 * time.Millisecond
	callersDialTimeout = 2 * time.Second
	maxResponseBytes   = 1 << 21
)

// Callers are clients of one node. They keep connections with one request at a time on each, and open more when all are busy. All
// methods but SetProcess may be called from any goroutine.
type Callers struct {
	recorder    *Recorder
	addr        string
	answerGrace time.Duration // how long after the deadline a response is still waited for
	process     string        // in the records; "": not named

	mu     sync.Mutex // guards the fields below
	rng    *rand.Rand
	idle   []*callerConnection
	nextID uint64
	unsent map[string]int // by stream
}

// callerConnection is a connection of Callers with its read buffer.
type callerConnection struct {
	net.Conn
	reader      *bufio.Reader
	openedAt    time.Time
	hasBeenUsed bool
}

// NewCallers returns callers of the node at addr, who wait for responses until answerGrace after the deadline.
func NewCallers(recorder *Recorder, addr string, seed uint64, answerGrace time.Duration) *Callers {
	return &Callers{
		recorder: recorder, addr: addr, answerGrace: answerGrace, unsent: map[string]int{},
		rng: rand.New(rand.NewPCG(seed, 0xca11)), nextID: seed << 32,
	}
}

// SetProcess has the records name the process that these callers call. Call it before the first request.
func (c *Callers) SetProcess(name string) { c.process = name }

// Unsent is the number of requests of a stream that were not sent because too many were open.
func (c *Callers) Unsent(stream string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsent[stream]
}

// Run sends the requests of the streams and returns once all of them have ended.
func (c *Callers) Run(ctx context.Context, streams ...Stream) {
	c.mu.Lock()
	seed := c.rng.Uint64()
	c.mu.Unlock()
	unsent := func(s Stream) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.unsent[s.Name]++
	}
	RunStreams(ctx, seed, func(s Stream) { c.Do(s) }, unsent, streams...)
}

// Do sends one request of a stream, waits for its end, and records it.
func (c *Callers) Do(s Stream) Exchange {
	c.mu.Lock()
	c.nextID++
	id := strconv.FormatUint(c.nextID, 36)
	c.mu.Unlock()
	x := &Exchange{ID: id, Class: s.Class.Name, Stream: s.name(), Process: c.process}
	if s.Class.Effect == Keyed {
		x.Key = "k-" + id
	}
	c.sendOrResend(x, requestText(s, x), s.Class.Deadline)
	c.recorder.recordExchange(x)
	return *x
}

// requestText is a request as it is written.
func requestText(s Stream, x *Exchange) string {
	method, headers, body := "GET", "", ""
	if s.Class.Effect != Safe {
		if x.Key != "" {
			headers = "Idempotency-Key: " + x.Key + "\r\n"
		}
		method, body = "POST", string(make([]byte, s.BodyBytes))
		headers += fmt.Sprintf("Content-Length: %d\r\n", s.BodyBytes)
	}
	if s.Account != "" {
		headers += "X-Account: " + s.Account + "\r\n"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\nX-Time-Left: %dm\r\n%s\r\n%s",
		method, s.path(x.ID), s.Host, x.ID, s.Class.Deadline.Milliseconds(), headers, body)
}

// sendOrResend sends a request, and a second time on a new connection if the kept one had been closed meanwhile.
func (c *Callers) sendOrResend(x *Exchange, text string, deadline time.Duration) {
	for {
		connection, err := c.connection(x.Resent)
		x.SentAt = c.recorder.Now()
		x.Deadline = x.SentAt + deadline
		if err != nil {
			x.Err = err
			return
		}
		x.Connected = true
		if resend := c.roundTrip(connection, x, text, deadline); !resend || x.Resent {
			return
		}
		x.Resent = true
	}
}

// roundTrip sends a request on a connection and reads the response. resend: the connection had been used before and was closed before
// any byte of the response arrived, so the request may have met a close that the node had decided on before.
func (c *Callers) roundTrip(connection *callerConnection, x *Exchange, text string, deadline time.Duration) (resend bool) {
	reusable := false
	defer func() {
		if reusable {
			c.release(connection)
		} else {
			connection.Close()
		}
	}()
	_ = connection.SetDeadline(time.Now().Add(deadline + c.answerGrace)) // a failure shows when writing
	mayBeClosed := connection.hasBeenUsed || time.Since(connection.openedAt) > resendGrace
	connection.hasBeenUsed = true
	if _, err := io.WriteString(connection, text); err != nil {
		x.Err = fmt.Errorf("writing the request: %w", err)
		return mayBeClosed
	}
	if _, err := connection.reader.Peek(1); err != nil {
		x.Err = fmt.Errorf("waiting for the response: %w", err)
		var netErr net.Error
		timedOut := errors.As(err, &netErr) && netErr.Timeout()
		return mayBeClosed && !timedOut
	}
	reusable = c.readResponse(connection, x)
	return false
}

// readResponse reads a response whose first byte has arrived, and reports whether the connection can carry another request.
func (c *Callers) readResponse(connection *callerConnection, x *Exchange) (reusable bool) {
	response, err := http.ReadResponse(connection.reader, nil)
	if err != nil {
		x.Err = fmt.Errorf("reading the response's header: %w", err)
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		x.Err = fmt.Errorf("reading the response's body: %w", err)
		return false
	}
	x.AnsweredAt, x.Status, x.Err = c.recorder.Now(), response.StatusCode, nil
	x.RetryAfter = response.Header.Get("Retry-After") != ""
	x.ForeignBody = x.Status == http.StatusOK && string(body) != ResponseBody(x.ID)
	x.SurplusBytes = connection.reader.Buffered() > 0
	return !response.Close && !x.SurplusBytes
}

// connection takes an idle connection that has not been closed meanwhile, or opens one. fresh: it always opens one.
func (c *Callers) connection(fresh bool) (*callerConnection, error) {
	for !fresh {
		idle := c.takeIdle()
		if idle == nil {
			break
		}
		if errors.Is(conncheck.Peek(idle.Conn), syscall.EAGAIN) { // open, and nothing to read
			return idle, nil
		}
		idle.Close()
	}
	conn, err := net.DialTimeout("tcp", c.addr, callersDialTimeout)
	if err != nil {
		return nil, err
	}
	return &callerConnection{Conn: conn, reader: bufio.NewReader(conn), openedAt: time.Now()}, nil
}

// takeIdle returns the connection that was used last, or nil if none is idle.
func (c *Callers) takeIdle() *callerConnection {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle)
	if n == 0 {
		return nil
	}
	last := c.idle[n-1]
	c.idle = c.idle[:n-1]
	return last
}

func (c *Callers) release(connection *callerConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, connection)
}

// Close closes the idle connections.
func (c *Callers) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.idle {
		connection.Close()
	}
	c.idle = nil
}
