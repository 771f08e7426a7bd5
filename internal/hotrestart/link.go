package hotrestart

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cranegrade/internal/adminstate"
)

const (
	socketName = "cranegrade.sock"
	// handshakeTimeout bounds each step of a start: a predecessor that is silent must not hold up its successor.
	handshakeTimeout = time.Second
	// ackTimeout is how long the other process has to confirm an order.
	ackTimeout = 600 * time.Millisecond
	// maxLine bounds what the other process says at a time.
	maxLine      = 4 << 20
	maxListeners = 128
)

// Link is the connection of two processes of one node. Both may tell and are told.
type Link struct {
	conn     *net.UnixConn
	handlers Handlers

	write sync.Mutex // held while a line is written
	mu    sync.Mutex // guards below
	next  uint64
	acks  map[uint64]chan struct{}
	done  chan struct{} // closed when the other side is gone
}

// Handlers hear what the other process says, on the link's goroutine. Any may be nil.
type Handlers struct {
	Orders  func(adminstate.State) // its orders changed
	Serving func()                 // the successor takes clients
	Gone    func()                 // it has ended, or its link did
}

// message is a line of a link.
type message struct {
	ID      uint64            `json:"n,omitempty"`
	Ack     uint64            `json:"ack,omitempty"`
	Orders  *adminstate.State `json:"orders,omitempty"`
	Serving bool              `json:"serving,omitempty"`
}

type hello struct {
	Version int `json:"version"`
	PID     int `json:"pid"`
}

// socketPath is short enough for a socket, whatever dir is.
func socketPath(dir string) (path string, done func(), err error) {
	path = filepath.Join(dir, socketName)
	if len(path) < 100 {
		return path, func() {}, nil
	}
	d, err := os.Open(dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), socketName), func() { d.Close() }, nil
}

// isOwnFile says that a file is this user's own, and so not put there by another.
func isOwnFile(info os.FileInfo) bool {
	st, is := info.Sys().(*syscall.Stat_t)
	return is && int(st.Uid) == os.Getuid()
}

// isSameUser says that this user's process is at the other end.
func isSameUser(c *net.UnixConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	uid := -1
	raw.Control(func(fd uintptr) {
		if cred, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED); err == nil {
			uid = int(cred.Uid)
		}
	})
	return uid == os.Getuid()
}

// ErrNoPredecessor says that no process of the node runs here.
var ErrNoPredecessor = errors.New("no predecessor")

// Predecessor is what a successor has from its predecessor.
type Predecessor struct {
	Link    *Link
	State   State
	sockets map[string]*os.File
}

// Connect asks the process whose socket stands in dir. ErrAlone: there is none; any other error says why what is there is
// of no use. Start begins the exchange; until then nothing is heard.
func Connect(dir string) (*Predecessor, error) {
	info, err := os.Lstat(filepath.Join(dir, socketName))
	if err != nil {
		return nil, ErrNoPredecessor
	}
	if info.Mode().Type() != os.ModeSocket || !isOwnFile(info) {
		return nil, fmt.Errorf("%s is no socket of this user's", filepath.Join(dir, socketName))
	}
	path, done, err := socketPath(dir)
	if err != nil {
		return nil, err
	}
	nc, err := net.DialTimeout("unix", path, handshakeTimeout)
	done()
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ENOENT) {
		return nil, ErrNoPredecessor // left by one that is dead
	}
	if err != nil {
		return nil, err
	}
	c := nc.(*net.UnixConn)
	j, err := receiveState(c)
	if err != nil {
		c.Close()
		return nil, err
	}
	return j, nil
}

func receiveState(c *net.UnixConn) (*Predecessor, error) {
	if !isSameUser(c) {
		return nil, errors.New("the predecessor is another user's")
	}
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	text, _ := json.Marshal(hello{Version, os.Getpid()})
	if _, err := c.Write(append(text, '\n')); err != nil {
		return nil, err
	}
	// The sockets come beside the length.
	var size [4]byte
	oob := make([]byte, unix.CmsgSpace(maxListeners*4))
	n, oobn, _, _, err := c.ReadMsgUnix(size[:], oob)
	files := receiveSockets(oob[:max(0, oobn)])
	closeAll := func() {
		for _, f := range files {
			f.Close()
		}
	}
	if err != nil || n == 0 {
		closeAll()
		return nil, errors.Join(errors.New("it said nothing"), err)
	}
	if _, err := io.ReadFull(c, size[n:]); err != nil {
		closeAll()
		return nil, err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > maxState {
		closeAll()
		return nil, fmt.Errorf("its state has %d bytes", length)
	}
	text = make([]byte, length)
	if _, err := io.ReadFull(c, text); err != nil {
		closeAll()
		return nil, err
	}
	s, err := Parse(text)
	if err != nil || len(s.Listeners) != len(files) {
		closeAll()
		return nil, errors.Join(fmt.Errorf("its state: %d sockets of %d", len(files), len(s.Listeners)), err)
	}
	c.SetDeadline(time.Time{})
	j := &Predecessor{Link: newLink(c), State: s, sockets: map[string]*os.File{}}
	for i, a := range s.Listeners {
		if old := j.sockets[a]; old != nil {
			old.Close()
		}
		j.sockets[a] = files[i]
	}
	return j, nil
}

// receiveSockets takes the sockets out of what came beside a message.
func receiveSockets(oob []byte) (files []*os.File) {
	messages, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil
	}
	for _, m := range messages {
		fds, err := unix.ParseUnixRights(&m)
		if err != nil {
			continue
		}
		for _, fd := range fds {
			unix.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "listener"))
		}
	}
	return files
}

// Listener is the predecessor's own at that address, whose queue both accept from; nil: it has none, or it is no such.
func (j *Predecessor) Listener(addr string) net.Listener {
	if j == nil {
		return nil
	}
	f := j.sockets[addr]
	if f == nil {
		return nil
	}
	delete(j.sockets, addr)
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil
	}
	if _, is := l.(*net.TCPListener); !is || l.Addr().String() != addr {
		l.Close()
		return nil
	}
	return l
}

// CloseUnclaimed closes the sockets that nobody took.
func (j *Predecessor) CloseUnclaimed() {
	if j == nil {
		return
	}
	for a, f := range j.sockets {
		f.Close()
		delete(j.sockets, a)
	}
}

// Server waits for successors.
type Server struct {
	listener *net.UnixListener
	// State is what a successor is told, and the listeners that stand in it.
	state       func() (State, []*net.TCPListener)
	onSuccessor func(*Link)
}

// Listen waits in dir, in place of whoever did before. state is asked for each successor; joined is told of it before
// anything is heard from it, and calls Start.
func Listen(dir string, state func() (State, []*net.TCPListener), joined func(*Link)) (*Server, error) {
	path, done, err := socketPath(dir)
	if err != nil {
		return nil, err
	}
	defer done()
	// Under another name first, so that whoever looks finds the old one or ours, and neither half made.
	own := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(own)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then the name is a successor's
	if err := errors.Join(os.Chmod(own, 0o600), os.Rename(own, path)); err != nil {
		l.Close()
		os.Remove(own)
		return nil, err
	}
	s := &Server{l, state, joined}
	go s.serve()
	return s, nil
}

// Close takes no more successors; links go on.
func (s *Server) Close() { s.listener.Close() }

func (s *Server) serve() {
	for {
		c, err := s.listener.AcceptUnix()
		if err != nil {
			return
		}
		if l, err := s.handshake(c); err == nil {
			s.onSuccessor(l)
		} else {
			c.Close()
		}
	}
}

// handshake answers one that wants to succeed. One at a time: each takes helloWithin at most.
func (s *Server) handshake(c *net.UnixConn) (*Link, error) {
	if !isSameUser(c) {
		return nil, errors.New("another user's")
	}
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	var h hello
	line, err := readLine(bufio.NewReaderSize(c, 256), 256)
	if err == nil {
		err = json.Unmarshal(line, &h)
	}
	if err == nil && h.Version != Version {
		err = ErrVersion
	}
	if err != nil {
		return nil, err
	}
	state, listeners := s.state()
	state.Version = Version
	var fds []int
	for _, l := range listeners {
		f, err := l.File()
		if err != nil {
			return nil, err
		}
		defer f.Close()
		state.Listeners = append(state.Listeners, l.Addr().String())
		fds = append(fds, int(f.Fd()))
	}
	text, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	for _, fd := range fds {
		unix.SetNonblock(fd, true) // File and Fd may have made it wait, and the flag is the socket's
	}
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(text)))
	var oob []byte
	if len(fds) > 0 {
		oob = unix.UnixRights(fds...)
	}
	if _, _, err := c.WriteMsgUnix(size[:], oob, nil); err != nil {
		return nil, err
	}
	if _, err := c.Write(text); err != nil {
		return nil, err
	}
	c.SetDeadline(time.Time{})
	return newLink(c), nil
}

func newLink(c *net.UnixConn) *Link {
	return &Link{conn: c, acks: map[uint64]chan struct{}{}, done: make(chan struct{})}
}

// Start hears the other side from now on.
func (l *Link) Start(e Handlers) {
	l.handlers = e
	go l.run()
}

// Done is closed when the other side is gone.
func (l *Link) Done() <-chan struct{} { return l.done }

// Close ends the link.
func (l *Link) Close() { l.conn.Close() }

func (l *Link) run() {
	defer func() {
		l.conn.Close()
		close(l.done)
		if l.handlers.Gone != nil {
			l.handlers.Gone()
		}
	}()
	r := bufio.NewReader(l.conn)
	for {
		line, err := readLine(r, maxLine)
		if err != nil {
			return
		}
		var n message
		if json.Unmarshal(line, &n) != nil {
			return
		}
		if n.Ack != 0 {
			l.mu.Lock()
			if c := l.acks[n.Ack]; c != nil {
				close(c)
				delete(l.acks, n.Ack)
			}
			l.mu.Unlock()
		}
		if n.Orders != nil && l.handlers.Orders != nil {
			l.handlers.Orders(*n.Orders)
		}
		if n.Serving && l.handlers.Serving != nil {
			l.handlers.Serving()
		}
		if n.ID != 0 && l.send(message{Ack: n.ID}) != nil {
			return
		}
	}
}

func (l *Link) send(n message) error {
	text, err := json.Marshal(n)
	if err != nil {
		return err
	}
	l.write.Lock()
	defer l.write.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(ackTimeout))
	_, err = l.conn.Write(append(text, '\n'))
	return err
}

// ErrUnconfirmed says that the other process did not confirm in time.
var ErrUnconfirmed = errors.New("the node's other process has not confirmed it")

// sendAndWait sends a note and waits until it has taken effect there; nil if the other side is gone, and so owes nothing.
func (l *Link) sendAndWait(n message) error {
	ack := make(chan struct{})
	l.mu.Lock()
	l.next++
	n.ID = l.next
	l.acks[n.ID] = ack
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.acks, n.ID)
		l.mu.Unlock()
	}()
	if err := l.send(n); err != nil {
		l.conn.Close()
	}
	wait := time.NewTimer(ackTimeout)
	defer wait.Stop()
	select {
	case <-ack:
	case <-l.done:
	case <-wait.C:
		return ErrUnconfirmed
	}
	return nil
}

// SendAdminState has the other process hold the same orders.
func (l *Link) SendAdminState(s adminstate.State) error { return l.sendAndWait(message{Orders: &s}) }

// SendServing tells the predecessor that this process takes clients.
func (l *Link) SendServing() error { return l.sendAndWait(message{Serving: true}) }

// readLine reads up to a line's end.
func readLine(r *bufio.Reader, most int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return line[:len(line)-1], nil
		case err != bufio.ErrBufferFull:
			return nil, err
		case len(line) > most:
			return nil, errors.New("the line is too long")
		}
	}
}
