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

// Stream is an open stream of requests: they come at random times, whatever became of those before.
type Stream struct {
	Name          string // in the records; by default the class's
	Host          string
	Class         Class
	Rate          float64       // requests a second
	Duration      time.Duration // how long they come
	MaxOpen       int           // requests that may be open at a time; those beyond are not sent, and counted. 0: 1,000
	BodyBytes     int           // bytes, of classes that are not safe
	Path          string        // "": /CLASS/NUMBER
	BurstInterval time.Duration // if set, they come all at once, every so often

	Account string // the tenant they are of, as X-Account; "": not told
}

// Callers are clients of one node: they keep connections, one request at a time on each, and open more
// when all are busy.
type Callers struct {
	recorder    *Recorder
	addr        string
	rng         *rand.Rand
	answerGrace time.Duration // how long over its deadline an answer is still waited for
	process     string

	mu     sync.Mutex // guards all below
	idle   []*callerConnection
	nextID uint64
	unsent map[string]int
}

type callerConnection struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time // it came up, or its last answer came
	used      bool
}

// restless is how long a new connection may say nothing before a node may close it for room: a request
// that crosses that is sent once more, as on a kept one. On a busy machine it takes so long to write.
const resendGrace = 50 * time.Millisecond

// NewCallers returns callers of the node at addr. They wait for answers until slow after the deadline.
func NewCallers(rec *Recorder, addr string, seed uint64, slow time.Duration) *Callers {
	return &Callers{
		recorder: rec, addr: addr, answerGrace: slow, unsent: map[string]int{}, rng: rand.New(rand.NewPCG(seed, 0xca11)),
		nextID: seed << 32,
	}
}

// Through has the records name the process that these callers ask. It is called before the first request.
func (c *Callers) SetProcess(via string) { c.process = via }

// Unsent is how many requests of a stream were not sent, for too many were open.
func (c *Callers) Unsent(stream string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsent[stream]
}

// Run sends the streams' requests and returns once all are answered or given up.
func (c *Callers) Run(ctx context.Context, streams ...Stream) {
	c.mu.Lock()
	seed := c.rng.Uint64()
	c.mu.Unlock()
	RunStreams(ctx, seed, func(s Stream) { c.Do(s) }, func(s Stream) {
		c.mu.Lock()
		c.unsent[s.Name]++
		c.mu.Unlock()
	}, streams...)
}

// Drive has do called for each request of the streams as it comes, on a goroutine of its own, and
// unsent for each that can't be sent, for too many are open. It returns once all have ended.
func RunStreams(ctx context.Context, seed uint64, do, unsent func(Stream), streams ...Stream) {
	rng := rand.New(rand.NewPCG(seed, 0xd21e))
	var all sync.WaitGroup
	for _, s := range streams {
		if s.Name == "" {
			s.Name = s.Class.Name
		}
		of := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		all.Go(func() { runStream(ctx, s, of, do, unsent) })
	}
	all.Wait()
}

func runStream(ctx context.Context, s Stream, rng *rand.Rand, do, unsent func(Stream)) {
	most := s.MaxOpen
	if most == 0 {
		most = 1000
	}
	open := make(chan struct{}, most)
	var all sync.WaitGroup
	defer all.Wait()
	start := time.Now()
	due := start
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if s.BurstInterval > 0 {
			due = due.Add(s.BurstInterval)
		} else {
			due = due.Add(time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second)))
		}
		if due.Sub(start) > s.Duration {
			return
		}
		timer.Reset(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		n := 1
		if s.BurstInterval > 0 {
			n = max(1, int(s.Rate*s.BurstInterval.Seconds()))
		}
		for range n {
			select {
			case open <- struct{}{}:
				all.Go(func() {
					do(s)
					<-open
				})
			default:
				unsent(s)
			}
		}
	}
}

// Do sends one request of a stream and waits for its end.
func (c *Callers) Do(s Stream) Exchange {
	c.mu.Lock()
	c.nextID++
	id := strconv.FormatUint(c.nextID, 36)
	c.mu.Unlock()
	name := s.Name
	if name == "" {
		name = s.Class.Name
	}
	x := &Exchange{ID: id, Class: s.Class.Name, Stream: name, Process: c.process}
	path := s.Path
	if path == "" {
		path = "/" + s.Class.Name + "/" + id
	}
	method, more, body := "GET", "", ""
	if s.Class.Effect != Safe {
		if s.Class.Effect == Keyed {
			x.Key = "k-" + id
			more = "Idempotency-Key: " + x.Key + "\r\n"
		}
		method, body = "POST", string(make([]byte, s.BodyBytes))
		more += fmt.Sprintf("Content-Length: %d\r\n", s.BodyBytes)
	}
	if s.Account != "" {
		more += "X-Account: " + s.Account + "\r\n"
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\nX-Time-Left: %dm\r\n%s\r\n%s",
		method, path, s.Host, id, s.Class.Deadline.Milliseconds(), more, body)
	c.sendOrResend(x, text, s.Class.Deadline)
	c.recorder.recordExchange(x)
	return *x
}

// ask sends a request, once more on a new connection if it crossed the close of a kept one.
func (c *Callers) sendOrResend(x *Exchange, text string, deadline time.Duration) {
	for {
		conn, err := c.connection(x.Resent)
		x.SentAt = c.recorder.Now()
		x.Deadline = x.SentAt + deadline
		if err != nil {
			x.Err = err
			return
		}
		x.Connected = true
		again := c.roundTrip(conn, x, text, deadline)
		if !again {
			return
		}
		if x.Resent {
			return // a second time in a row
		}
		x.Resent = true
	}
}

// exchange sends a request on a connection and reads the answer; again: the connection had been used
// before and was closed before any byte came.
func (c *Callers) roundTrip(conn *callerConnection, x *Exchange, text string, deadline time.Duration) (again bool) {
	keep := false
	defer func() {
		if keep {
			c.release(conn)
		} else {
			conn.Close()
		}
	}()
	conn.SetDeadline(time.Now().Add(deadline + c.answerGrace))
	used := conn.used || time.Since(conn.idleSince) > resendGrace
	conn.used = true
	if _, err := io.WriteString(conn, text); err != nil {
		x.Err = fmt.Errorf("writing: %w", err)
		return used
	}
	if _, err := conn.reader.Peek(1); err != nil {
		x.Err = fmt.Errorf("before an answer: %w", err)
		var timeout net.Error
		return used && !(errors.As(err, &timeout) && timeout.Timeout())
	}
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		x.Err = fmt.Errorf("the answer's head: %w", err)
		return false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<21))
	if err != nil {
		x.Err = fmt.Errorf("the answer's body: %w", err)
		return false
	}
	x.AnsweredAt, x.Status, x.Err = c.recorder.Now(), resp.StatusCode, nil
	x.RetryAfter = resp.Header.Get("Retry-After") != ""
	x.ForeignBody = x.Status == http.StatusOK && string(body) != ResponseBody(x.ID)
	x.SurplusBytes = conn.reader.Buffered() > 0
	keep = !resp.Close && !x.SurplusBytes
	return false
}

// get takes an idle connection that has not been closed meanwhile, or a new one.
func (c *Callers) connection(fresh bool) (*callerConnection, error) {
	for !fresh {
		c.mu.Lock()
		n := len(c.idle)
		if n == 0 {
			c.mu.Unlock()
			break
		}
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		if conncheck.At(conn.Conn) == syscall.EAGAIN {
			return conn, nil
		}
		conn.Close()
	}
	nc, err := net.DialTimeout("tcp", c.addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &callerConnection{Conn: nc, reader: bufio.NewReader(nc), idleSince: time.Now()}, nil
}

func (c *Callers) release(conn *callerConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// Close closes what is idle.
func (c *Callers) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}
