package admin

import (
	"bufio"
	"container/list"
	"errors"
	"io"
	"log"
	"net"
	"strings"
	"sync"
	"time"
)

// Handler carries out a call and words the answer. An error is a no, with its text.
type Handler func(Call) (text string, err error)

// Port listens for operators' calls.
type Port struct {
	listener net.Listener
	handle   Handler
	most     int

	mu    sync.Mutex // guards all below
	quiet *list.List // of net.Conn: callers whose line has not come, the longest silent first
	open  int
	done  bool
}

const (
	// Callers is how many connections are kept at once: beyond it the one that has been silent longest is closed.
	Callers = 16
	// lineWithin is how long a caller may take for its line.
	lineWithin = 5 * time.Second
	// answerWithin is how long an answer may take to be written.
	answerWithin = time.Second
	acceptPause  = 20 * time.Millisecond
)

// New listens at addr, host:port. Serve answers.
func New(addr string, handle Handler) (*Port, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Port{listener: l, handle: handle, most: Callers, quiet: list.New()}, nil
}

// Addr is where it listens.
func (p *Port) Addr() net.Addr { return p.listener.Addr() }

// Serve answers calls until Close.
func (p *Port) Serve() {
	for {
		c, err := p.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			log.Printf("operators' port: accept: %v", err)
			time.Sleep(acceptPause)
			continue
		}
		if e := p.enter(c); e != nil {
			go p.serve(c, e)
		}
	}
}

// Close closes the listener and all that is connected.
func (p *Port) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done = true
	for e := p.quiet.Front(); e != nil; e = e.Next() {
		e.Value.(net.Conn).Close()
	}
}

// enter keeps a connection, in place of the longest silent if there are too many.
func (p *Port) enter(c net.Conn) *list.Element {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done {
		c.Close()
		return nil
	}
	if p.open++; p.open > p.most {
		if e := p.quiet.Front(); e != nil {
			e.Value.(net.Conn).Close() // its goroutine counts it off
			p.quiet.Remove(e)
		}
	}
	return p.quiet.PushBack(c)
}

// heard moves a caller that has said something behind the silent ones; took takes it from among those that may be closed.
func (p *Port) heard(e *list.Element) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quiet.MoveToBack(e) // does nothing to one that was closed
}

func (p *Port) took(e *list.Element) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quiet.Remove(e)
}

func (p *Port) serve(c net.Conn, e *list.Element) {
	defer func() {
		p.took(e)
		c.Close()
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
	}()
	c.SetReadDeadline(time.Now().Add(lineWithin))
	line, err := readLine(c, func() { p.heard(e) })
	if err != nil && err != ErrLong {
		return // it said nothing whole, and is owed nothing
	}
	p.took(e)
	var text string
	var call Call
	if err == nil {
		call, err = Parse(line)
	}
	if err == nil {
		text, err = p.handle(call)
	}
	answer := "200 " + text + "\n"
	if err != nil {
		answer = "400 " + err.Error() + "\n"
	}
	c.SetWriteDeadline(time.Now().Add(answerWithin))
	io.WriteString(c, answer)
	if t, is := c.(*net.TCPConn); is {
		// What the caller sent beyond its line is read, or the answer might be lost to a reset.
		t.CloseWrite()
		c.SetReadDeadline(time.Now().Add(answerWithin / 4))
		io.Copy(io.Discard, io.LimitReader(c, MaxLine))
	}
}

// readLine reads up to the line's end; some is called as bytes come. A line that ends with the connection's sending is
// no whole line.
func readLine(c io.Reader, some func()) (string, error) {
	var line []byte
	r := bufio.NewReaderSize(c, MaxLine)
	for {
		if _, err := r.Peek(1); err != nil {
			return "", err
		}
		some()
		part, _ := r.Peek(r.Buffered())
		for i, b := range part {
			if b == '\n' {
				line = append(line, part[:i]...)
				return strings.TrimSuffix(string(line), "\r"), nil
			}
		}
		line = append(line, part...)
		if len(line) > MaxLine {
			return "", ErrLong
		}
		r.Discard(len(part))
	}
}
