package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hollyspur"
)

const (
	// maxBody is the most that a body holds, either way.
	maxBody = 64 << 10
	// maxAnswer is the most that is taken of servers which do not keep to that, as long as there is
	// room for it: to the caller such an answer is as good, and all servers give the same.
	maxAnswer = 16 * maxBody
	// answersShare of the memory is for answers over maxBody.
	answersShare = 0.15
)

// Bounds of an answer, lest a spoilt one takes memory without end or the rest of its request's time.
const (
	maxHeads = 32 << 10    // bytes of the head and any interim ones before it
	maxWire  = 4 * maxBody // bytes of a body in chunks with their framing
	// wholeWithin is how long an answer takes from its first byte to its last: it is written at once.
	// One over maxBody has so long for each.
	wholeWithin = 500 * time.Millisecond
	// settled is how long a connection rests after an answer. What a server sends behind one comes
	// within that and is seen before the next request is written; it would pass for its answer.
	settled = 10 * time.Millisecond
)

// server is a listed server as the I/O sees it.
type server struct {
	id, addr string
	boot     time.Duration
	usable   atomic.Bool // ready by our list; cleared when the server drains or is gone
}

// Why an attempt's context ended.
var (
	errTimedOut  = errors.New("timed out")
	errWithdrawn = errors.New("withdrawn")
)

// result is how an attempt ended; body and contentType belong to a Success.
type result struct {
	ending      hollyspur.Ending
	body        []byte
	contentType string
}

// upstream makes attempts over connections of its own. http.Transport is no use here: it sends a
// request again by itself when a reused connection breaks, which would be an attempt that nobody
// counted, perhaps to a server that drains by then.
type upstream struct {
	idleFor        time.Duration // ours are closed after standing idle for so long
	connectTimeout time.Duration
	wholeWithin    time.Duration
	settled        time.Duration
	room           atomic.Int64 // bytes left for answers over maxBody

	mu   sync.Mutex
	idle map[*server][]*conn // the latest used last
	open int                 // connections there are, idle ones and dials among them
	most int                 // and may be
}

// conn is a connection to a server; it carries one request at a time.
type conn struct {
	net.Conn
	r     *bufio.Reader
	limit *io.LimitedReader // under r
	since time.Time         // idle since
}

func newUpstream(cfg Config, most int) *upstream {
	u := &upstream{
		// Clearly before the server closes it: a request that crosses the close is lost to a reset.
		idleFor:        cfg.Conns.Idle * 3 / 4,
		connectTimeout: cfg.Conns.ConnectWithin,
		wholeWithin:    wholeWithin,
		settled:        settled,
		idle:           map[*server][]*conn{},
		most:           most,
	}
	u.room.Store(math.MaxInt64)
	if cfg.MemoryMB > 0 {
		u.room.Store(int64(cfg.MemoryMB * answersShare * (1 << 20)))
	}
	return u
}

// attempt sends r to s once and waits for the answer until ctx ends. It writes nothing unless
// begin agrees at the moment of writing.
func (u *upstream) attempt(ctx context.Context, s *server, r *http.Request, begin func() bool) result {
	if r.Host == "" { // HTTP/1.0 callers need not name one, servers want one
		r.Host = s.addr
	}
	var message bytes.Buffer
	if err := r.Write(&message); err != nil {
		return result{ending: hollyspur.Void}
	}
	c, err := u.get(ctx, s)
	if ctx.Err() != nil || err == nil && !begin() {
		// The dial took the attempt's time or its reason away.
		if err == nil {
			u.put(s, c)
		}
		return result{ending: hollyspur.Void}
	}
	if err != nil {
		return result{ending: hollyspur.Unreachable}
	}
	if !s.usable.Load() {
		// The list named it draining or gone while the connection came up.
		u.close(c)
		return result{ending: hollyspur.Unreachable}
	}
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() }) // all that stops an exchange
	res, keep := u.exchange(ctx, c, r, message.Bytes())
	if stop() && keep {
		u.put(s, c)
	} else {
		u.close(c)
	}
	return res
}

// exchange writes one request and reads its answer. keep tells whether the connection can carry
// another.
func (u *upstream) exchange(ctx context.Context, c *conn, r *http.Request, message []byte) (res result, keep bool) {
	if _, err := c.Write(message); err != nil {
		// Not all of it was written, so it can't have run.
		if ctx.Err() != nil {
			return result{ending: hollyspur.Void}, false
		}
		return result{ending: hollyspur.Unreachable}, false
	}
	resp, body, err := u.read(c, r)
	if err != nil {
		return result{ending: endingOf(ctx)}, false
	}
	if resp.StatusCode != http.StatusOK {
		u.free(body)
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		res = result{hollyspur.Success, body, resp.Header.Get("Content-Type")}
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Unprocessed") == "1":
		res.ending = hollyspur.Overloaded
	default:
		res.ending = hollyspur.Failure
	}
	return res, !resp.Close && c.r.Buffered() == 0 && c.SetReadDeadline(time.Time{}) == nil
}

var (
	errUnframed = errors.New("the answer's length is not told")
	errTooLong  = errors.New("the answer is too long")
)

// read reads a whole answer. An error says that what came is none, whatever its head said of whether
// the request has run.
func (u *upstream) read(c *conn, r *http.Request) (*http.Response, []byte, error) {
	c.limit.N = maxHeads
	for {
		if _, err := c.r.Peek(1); err != nil {
			return nil, nil, err
		}
		if err := c.SetReadDeadline(time.Now().Add(u.wholeWithin)); err != nil {
			return nil, nil, err
		}
		resp, err := http.ReadResponse(c.r, r)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode < 200 { // an interim answer, after which the server may take its time
			if err := c.SetReadDeadline(time.Time{}); err != nil {
				return nil, nil, err
			}
			continue
		}
		body, err := u.readBody(c, resp)
		return resp, body, err
	}
}

func (u *upstream) readBody(c *conn, resp *http.Response) ([]byte, error) {
	n := resp.ContentLength
	switch {
	case n < 0 && len(resp.TransferEncoding) == 0:
		// Framed by the connection's end, it can't be told from one that was cut short.
		return nil, errUnframed
	case n < 0:
		c.limit.N = maxWire
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
		if err == nil && len(body) > maxBody {
			err = errTooLong
		}
		return body, err
	case n > maxAnswer:
		return nil, errTooLong
	case n > maxBody:
		if u.room.Add(-n) < 0 {
			u.room.Add(n)
			return nil, errTooLong
		}
		if err := c.SetReadDeadline(time.Now().Add(u.wholeWithin * time.Duration(1+n/maxBody))); err != nil {
			u.room.Add(n)
			return nil, err
		}
	}
	c.limit.N = n
	body := make([]byte, n)
	_, err := io.ReadFull(resp.Body, body)
	if err != nil {
		u.free(body)
	}
	return body, err
}

// free gives back the room of an answer that is written or that nobody wants.
func (u *upstream) free(body []byte) {
	if len(body) > maxBody {
		u.room.Add(int64(len(body)))
	}
}

// endingOf tells how an attempt ended that was written and got no whole answer.
func endingOf(ctx context.Context) hollyspur.Ending {
	switch context.Cause(ctx) {
	case nil:
		return hollyspur.Broken
	case errTimedOut:
		return hollyspur.TimedOut
	}
	return hollyspur.Withdrawn
}

var errNoRoom = errors.New("no descriptor left for another connection")

// get takes the settled connection used last, or dials.
func (u *upstream) get(ctx context.Context, s *server) (*conn, error) {
	for {
		c := u.takeIdle(s)
		if c == nil {
			break
		}
		if time.Since(c.since) < u.idleFor && c.alive() {
			return c, nil
		}
		u.close(c)
	}
	if !u.reserve() {
		return nil, errNoRoom
	}
	d := net.Dialer{Timeout: u.connectTimeout}
	nc, err := d.DialContext(ctx, "tcp", s.addr)
	if err != nil {
		u.release()
		return nil, err
	}
	limit := &io.LimitedReader{R: nc}
	return &conn{Conn: nc, r: bufio.NewReader(limit), limit: limit}, nil
}

func (u *upstream) takeIdle(s *server) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.idle[s]
	for i, c := range slices.Backward(l) {
		if time.Since(c.since) >= u.settled {
			u.idle[s] = slices.Delete(l, i, i+1)
			return c
		}
	}
	return nil
}

// reserve counts a connection to be dialled. With none left an idle one of any server makes room.
func (u *upstream) reserve() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open >= u.most {
		for s, l := range u.idle {
			if len(l) > 0 {
				l[0].Conn.Close()
				u.idle[s] = l[1:]
				return true
			}
		}
		return false
	}
	u.open++
	return true
}

func (u *upstream) release() {
	u.mu.Lock()
	u.open--
	u.mu.Unlock()
}

func (u *upstream) close(c *conn) {
	c.Conn.Close()
	u.release()
}

// put keeps a connection for the next attempt, unless the server has left meanwhile.
func (u *upstream) put(s *server, c *conn) {
	c.since = time.Now()
	u.mu.Lock()
	usable := s.usable.Load() // under the lock, so that dropIdle comes after or is seen here
	if usable {
		u.idle[s] = append(u.idle[s], c)
	}
	u.mu.Unlock()
	if !usable {
		u.close(c)
	}
}

// alive says that an idle connection is still open and holds no bytes: a server that closed it
// would reset the next request, and leftover bytes would pass for that request's answer.
func (c *conn) alive() bool { return peek(c.Conn) == syscall.EAGAIN }

// dropIdle closes the idle connections to a server.
func (u *upstream) dropIdle(s *server) {
	u.sweep(func(of *server, c *conn) bool { return of == s })
}

// sweepStale closes idle connections that are too old or that their server has closed, lest they
// hold descriptors until they would be used next.
func (u *upstream) sweepStale() {
	u.sweep(func(_ *server, c *conn) bool { return time.Since(c.since) >= u.idleFor || !c.alive() })
}

// sweep closes the idle connections that drop names.
func (u *upstream) sweep(drop func(*server, *conn) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for s, l := range u.idle {
		var keep []*conn
		for _, c := range l {
			if drop(s, c) {
				c.Conn.Close()
				u.open--
			} else {
				keep = append(keep, c)
			}
		}
		if keep == nil {
			delete(u.idle, s)
		} else {
			u.idle[s] = keep
		}
	}
}

// timeLeft words a duration for X-Time-Left.
func timeLeft(d time.Duration) string {
	return strconv.FormatInt(max(1, d.Microseconds()), 10) + "u"
}
