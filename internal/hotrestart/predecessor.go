package hotrestart

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

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
		_ = c.Close()
		return nil, err
	}
	return j, nil
}

// receiveState says hello and takes the state and the sockets. On an error c is still open, and no socket is.
func receiveState(c *net.UnixConn) (*Predecessor, error) {
	if !isSameUser(c) {
		return nil, errors.New("the predecessor is another user's")
	}
	_ = c.SetDeadline(time.Now().Add(handshakeTimeout))
	text, _ := json.Marshal(hello{Version, os.Getpid()})
	if _, err := c.Write(append(text, '\n')); err != nil {
		return nil, err
	}
	text, files, err := receiveFrame(c)
	if err != nil {
		closeFiles(files)
		return nil, err
	}
	s, err := Parse(text)
	if err != nil || len(s.Listeners) != len(files) {
		closeFiles(files)
		return nil, errors.Join(fmt.Errorf("its state: %d sockets of %d", len(files), len(s.Listeners)), err)
	}
	_ = c.SetDeadline(time.Time{})
	j := &Predecessor{Link: newLink(c), State: s, sockets: map[string]*os.File{}}
	for i, a := range s.Listeners {
		if old := j.sockets[a]; old != nil {
			_ = old.Close()
		}
		j.sockets[a] = files[i]
	}
	return j, nil
}

// receiveFrame reads a length of 4 bytes, beside which the sockets come, and as many bytes of text. The files are the
// caller's to close, also on an error.
func receiveFrame(c *net.UnixConn) (text []byte, files []*os.File, err error) {
	var size [4]byte
	oob := make([]byte, unix.CmsgSpace(maxListeners*4))
	n, oobn, _, _, err := c.ReadMsgUnix(size[:], oob)
	files = receiveSockets(oob[:max(0, oobn)])
	if err != nil || n == 0 {
		return nil, files, errors.Join(errors.New("it said nothing"), err)
	}
	if _, err := io.ReadFull(c, size[n:]); err != nil {
		return nil, files, err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > maxState {
		return nil, files, fmt.Errorf("its state has %d bytes", length)
	}
	text = make([]byte, length)
	_, err = io.ReadFull(c, text)
	return text, files, err
}

func closeFiles(files []*os.File) {
	for _, f := range files {
		_ = f.Close()
	}
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
	defer func() { _ = f.Close() }()
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
		_ = f.Close()
		delete(j.sockets, a)
	}
}
