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
type Handler func(Command) (text string, err error)

// Server listens for operators' calls.
type Server struct {
	listener       net.Listener
	handle         Handler
	maxConnections int

	mu     sync.Mutex // guards all below
	silent *list.List // of net.Conn: callers whose line has not come, the longest silent first
	open   int
	closed bool
}

const (
	// MaxConnections is how many connections are kept at once: beyond it the one that has been silent longest is closed.
	MaxConnections = 16
	// readTimeout is how long a caller may take for its line.
	readTimeout = 5 * time.Second
	// writeTimeout is how long an answer may take to be written.
	writeTimeout = time.Second
	acceptPause  = 20 * time.Millisecond
)

// Listen listens at addr, host:port. Serve answers.
func Listen(addr string, handle Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Server{listener: l, handle: handle, maxConnections: MaxConnections, silent: list.New()}, nil
}

// Addr is where it listens.
func (p *Server) Addr() net.Addr { return p.listener.Addr() }

// Serve answers calls until Close.
func (p *Server) Serve() {
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
		if e := p.admit(c); e != nil {
			go p.serve(c, e)
		}
	}
}

// Close closes the listener and all that is connected.
func (p *Server) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for e := p.silent.Front(); e != nil; e = e.Next() {
		e.Value.(net.Conn).Close()
	}
}

// admit keeps a connection, in place of the longest silent if there are too many.
func (p *Server) admit(c net.Conn) *list.Element {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return nil
	}
	if p.open++; p.open > p.maxConnections {
		if e := p.silent.Front(); e != nil {
			e.Value.(net.Conn).Close() // its goroutine counts it off
			p.silent.Remove(e)
		}
	}
	return p.silent.PushBack(c)
}

// markActive moves a caller that has said something behind the silent ones; took takes it from among those that may be closed.
func (p *Server) markActive(e *list.Element) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent.MoveToBack(e) // does nothing to one that was closed
}

func (p *Server) removeSilent(e *list.Element) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent.Remove(e)
}

func (p *Server) serve(c net.Conn, e *list.Element) {
	defer func() {
		p.removeSilent(e)
		c.Close()
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
	}()
	_ = c.SetReadDeadline(time.Now().Add(readTimeout))
	line, err := readLine(c, func() { p.markActive(e) })
	if err != nil && !errors.Is(err, ErrTooLong) {
		return // it said nothing whole, and is owed nothing
	}
	p.removeSilent(e)
	var text string
	var call Command
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
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = io.WriteString(c, answer)
	if t, is := c.(*net.TCPConn); is {
		// What the caller sent beyond its line is read, or the answer might be lost to a reset.
		_ = t.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(writeTimeout / 4))
		_, _ = io.Copy(io.Discard, io.LimitReader(c, MaxLine))
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
			return "", ErrTooLong
		}
		_, _ = r.Discard(len(part))
	}
}
