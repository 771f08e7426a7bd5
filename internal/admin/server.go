package admin

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"log"
	"net"
	"strings"
	"sync"
	"time"
)

// Handler executes a command and returns the text of the answer. An error is a refusal, whose text is the answer. It is
// called on one goroutine for each connection.
type Handler func(Command) (text string, err error)

// The codes that answers begin with.
const (
	codeOK       = "200"
	codeRejected = "400"
)

const (
	// MaxConnections is how many connections are served at once. For a further one, that which has been silent longest is
	// closed.
	MaxConnections = 16
	// readTimeout is how long a caller may take to send its line.
	readTimeout = 5 * time.Second
	// writeTimeout is how long an answer may take to be written.
	writeTimeout = time.Second
	// lingerTimeout is how long the rest of what a caller sends is read after the answer.
	lingerTimeout = writeTimeout / 4
	// acceptPause is how long the server waits after it could not accept a connection.
	acceptPause = 20 * time.Millisecond
)

// Server listens for operators' commands. Its methods may be called from any goroutine.
type Server struct {
	listener       net.Listener
	handle         Handler
	maxConnections int

	mu     sync.Mutex // guards the fields below
	silent *list.List // of net.Conn: callers whose line is not complete, the one silent longest first
	open   int        // connections
	closed bool
}

// Listen listens at addr, host:port. Connections wait until Serve accepts them.
func Listen(addr string, handle Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Server{listener: l, handle: handle, maxConnections: MaxConnections, silent: list.New()}, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve accepts and answers commands until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			log.Printf("command port: connection not accepted: error=%q", err)
			time.Sleep(acceptPause)
			continue
		}
		if silent := s.admit(conn); silent != nil {
			go s.serve(conn, silent)
		}
	}
}

// Close closes the listener, and the connections whose command is not complete. A command that is being executed is still
// answered.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for e := s.silent.Front(); e != nil; e = e.Next() {
		e.Value.(net.Conn).Close()
	}
}

// admit adds a connection to the silent ones, and closes the one that has been silent longest if there are too many. It
// returns nil, with the connection closed, after Close.
func (s *Server) admit(conn net.Conn) *list.Element {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		conn.Close()
		return nil
	}
	s.open++
	if s.open > s.maxConnections {
		if longest := s.silent.Front(); longest != nil {
			longest.Value.(net.Conn).Close() // its goroutine ends by that, and decrements open
			s.silent.Remove(longest)
		}
	}
	return s.silent.PushBack(conn)
}

// markActive moves a connection on which bytes came behind the others. It does nothing to one that admit has closed.
func (s *Server) markActive(silent *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent.MoveToBack(silent)
}

// removeSilent keeps a connection from being closed in favour of another.
func (s *Server) removeSilent(silent *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent.Remove(silent)
}

// serve reads and answers the command of one connection.
func (s *Server) serve(conn net.Conn, silent *list.Element) {
	defer s.release(conn, silent)
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
	line, err := readLine(conn, func() { s.markActive(silent) })
	if err != nil && !errors.Is(err, ErrTooLong) {
		return // no complete command came, so no answer is due
	}
	s.removeSilent(silent)
	answer := s.answer(line, err)
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = io.WriteString(conn, answer) // a caller that has gone gets no answer
	discardRest(conn)
}

// release closes a connection that has been served, and makes room for another.
func (s *Server) release(conn net.Conn, silent *list.Element) {
	s.removeSilent(silent)
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// discardRest reads what the caller has sent beyond its line, because closing a connection with data unread resets it, and
// the caller might lose the answer.
func discardRest(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(conn, MaxLine))
}

// answer executes a line, or refuses it if err says why it could not be read, and returns the line of the answer.
func (s *Server) answer(line string, err error) string {
	var command Command
	if err == nil {
		command, err = Parse(line)
	}
	var text string
	if err == nil {
		text, err = s.handle(command)
	}
	if err != nil {
		return codeRejected + " " + err.Error() + "\n"
	}
	return codeOK + " " + text + "\n"
}

// readLine reads a line, and returns it without its end. onBytes is called whenever bytes come. A connection that ends
// within the line is an error.
func readLine(r io.Reader, onBytes func()) (string, error) {
	var line []byte
	chunk := make([]byte, MaxLine)
	for {
		n, err := r.Read(chunk)
		if n > 0 {
			onBytes()
			before, _, complete := bytes.Cut(chunk[:n], []byte("\n"))
			line = append(line, before...)
			if complete {
				return strings.TrimSuffix(string(line), "\r"), nil
			}
			if len(line) > MaxLine {
				return "", ErrTooLong
			}
		}
		if err != nil {
			return "", err
		}
	}
}
