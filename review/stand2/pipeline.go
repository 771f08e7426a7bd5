package stand2

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Sent is a request of a client and what became of it.
type Sent struct {
	ID             string
	At             time.Time // when its last byte was sent
	Status         int       // of the answer, once that is complete; 0: there is none
	Ended          time.Time // when the answer was complete, or the connection ended without one
	Received, Size int       // bytes of the answer's body, and how many its head declares
	Err            error     // how the connection ended, if there is no complete answer
	Foreign        string    // what is wrong with the answer: it belongs to another request, or is not the server's
}

// Pipeliner is a client that sends a further request before the first gets an answer, on connections that it keeps.
type Pipeliner struct {
	Addr, Host, Path string
	Budget           time.Duration
	MaxPause         time.Duration // before a further request
	Record           *Record
	Stop             *atomic.Bool // no new work

	lastID atomic.Uint64
	mu     sync.Mutex // guards sent
	sent   []*Sent
}

// Sent returns all requests. It is called once Run has returned.
func (p *Pipeliner) Sent() []*Sent { return p.sent }

// Run uses one connection after the other until Stop is set.
func (p *Pipeliner) Run(name string) {
	for !p.Stop.Load() {
		conn, err := net.DialTimeout("tcp", p.Addr, callTimeout)
		if err != nil {
			return
		}
		c := &pipelined{client: p, name: name, conn: conn}
		go c.send()
		c.receive()
		conn.Close()
	}
}

// pipelined is one connection of a Pipeliner.
type pipelined struct {
	client *Pipeliner
	name   string
	conn   net.Conn

	mu       sync.Mutex // guards below
	open     []*Sent    // unanswered, in order
	arriving bool       // the answer to the first of them has begun to arrive
	closing  bool       // nothing more may be sent
}

// maxOpen is how many requests of a connection may be unanswered.
const maxOpen = 2

// send sends requests: one when none is unanswered, and a further one before an answer has begun to arrive.
func (c *pipelined) send() {
	for !c.client.Stop.Load() {
		if !c.sendOne() {
			return
		}
		time.Sleep(rand.N(c.client.MaxPause))
	}
}

// sendOne sends a request if it may. It returns false once the connection takes no more.
func (c *pipelined) sendOne() (more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || len(c.open) > 0 && (c.arriving || len(c.open) >= maxOpen) {
		return !c.closing
	}
	p := c.client
	s := &Sent{ID: fmt.Sprintf("%s-%d", c.name, p.lastID.Add(1))}
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Budget: %d\r\n\r\n", p.Path, p.Host, s.ID, p.Budget.Milliseconds())
	s.At = time.Now()
	if _, err := c.conn.Write([]byte(head)); err != nil {
		return false
	}
	p.Record.Add("client sends %s, behind %d others", s.ID, len(c.open))
	c.open = append(c.open, s)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, s)
	return true
}

// receive reads answers until the connection ends or an answer announces its end.
func (c *pipelined) receive() {
	reader := bufio.NewReader(c.conn)
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(2 * c.client.Budget)) // fails only if the connection has ended
		_, err := reader.Peek(1)
		c.mu.Lock()
		c.arriving = true
		var s *Sent
		if len(c.open) > 0 {
			s = c.open[0]
		}
		c.mu.Unlock()
		if err != nil || s == nil {
			c.ended(err)
			return
		}
		ends, err := c.receiveAnswer(reader, s)
		if err != nil {
			c.ended(err)
			return
		}
		c.mu.Lock()
		c.open, c.arriving, c.closing = c.open[1:], false, c.closing || ends
		done := c.closing || c.client.Stop.Load() && len(c.open) == 0
		c.mu.Unlock()
		if done {
			return // requests behind an answer that ends its connection count as not read
		}
	}
}

// receiveAnswer reads one answer. It reports whether the answer ends the connection.
func (c *pipelined) receiveAnswer(reader *bufio.Reader, s *Sent) (ends bool, err error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	s.Size = int(response.ContentLength)
	var body bytes.Buffer
	_, err = io.Copy(&body, response.Body)
	s.Received = body.Len()
	if err != nil {
		return false, err
	}
	s.Status, s.Ended = response.StatusCode, time.Now()
	if s.Status == http.StatusOK {
		if got := response.Header.Get("Server-Seal"); got != Seal(s.ID, body.Bytes()) {
			s.Foreign = "seal " + got
		}
	}
	c.client.Record.Add("client has the answer %d to %s, %d bytes, connection ends: %t", s.Status, s.ID, s.Received, response.Close)
	return response.Close, nil
}

// ended notes that the connection has ended without an answer to the requests that are unanswered.
func (c *pipelined) ended(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for _, s := range c.open {
		s.Ended, s.Err = time.Now(), err
		c.client.Record.Add("client: the connection of %s ends with %d of %d bytes of its answer: %v", s.ID, s.Received, s.Size, err)
	}
}
