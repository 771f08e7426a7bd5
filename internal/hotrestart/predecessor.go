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

// Predecessor is what a successor has from its predecessor. Its methods belong to one goroutine; those of a
// nil Predecessor do nothing.
type Predecessor struct {
	Link    *Link // not started; messages wait in the socket until Start
	State   State
	sockets map[string]*os.File // that nobody has claimed, by address
}

// Connect connects to the process that waits in dir and receives its state and listeners. The error is
// ErrNoPredecessor if there is none; any other says why what is there can't be used.
func Connect(dir string) (*Predecessor, error) {
	conn, err := dialPredecessor(dir)
	if err != nil {
		return nil, err
	}
	p, err := receivePredecessor(conn)
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("taking over from the predecessor: %w", err)
	}
	return p, nil
}

// dialPredecessor connects to the socket in dir. The error is ErrNoPredecessor if no process listens there.
func dialPredecessor(dir string) (*net.UnixConn, error) {
	info, err := os.Lstat(filepath.Join(dir, socketName))
	if err != nil {
		return nil, ErrNoPredecessor
	}
	if info.Mode().Type() != os.ModeSocket || !isOwnFile(info) {
		return nil, fmt.Errorf("%s is no socket of this user", filepath.Join(dir, socketName))
	}
	path, release, err := socketPath(dir)
	if err != nil {
		return nil, err
	}
	conn, err := net.DialTimeout("unix", path, handshakeTimeout)
	release()
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ENOENT) {
		return nil, ErrNoPredecessor // the socket of a process that has ended
	}
	if err != nil {
		return nil, err
	}
	return conn.(*net.UnixConn), nil
}

// receivePredecessor sends hello and receives the state and the sockets. Beside an error conn is still
// open, and no socket is.
func receivePredecessor(conn *net.UnixConn) (*Predecessor, error) {
	if !isSameUser(conn) {
		return nil, errors.New("it belongs to another user")
	}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout)) // if it fails, so does the write
	text, err := json.Marshal(hello{Version: Version, PID: os.Getpid()})
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(append(text, '\n')); err != nil {
		return nil, err
	}
	text, files, err := receiveFrame(conn)
	if err != nil {
		closeFiles(files)
		return nil, err
	}
	state, err := Parse(text)
	if err == nil && len(state.Listeners) != len(files) {
		err = fmt.Errorf("%d sockets came for %d listeners", len(files), len(state.Listeners))
	}
	if err != nil {
		closeFiles(files)
		return nil, fmt.Errorf("its state: %w", err)
	}
	_ = conn.SetDeadline(time.Time{}) // if it fails, the link ends at once
	return &Predecessor{
		Link:    newLink(conn),
		State:   state,
		sockets: socketsByAddress(state.Listeners, files),
	}, nil
}

// socketsByAddress joins addresses with their sockets. Of two with one address the last is kept.
func socketsByAddress(addresses []string, files []*os.File) map[string]*os.File {
	sockets := map[string]*os.File{}
	for i, address := range addresses {
		if earlier := sockets[address]; earlier != nil {
			_ = earlier.Close()
		}
		sockets[address] = files[i]
	}
	return sockets
}

// receiveFrame reads what sendFrame writes. The files are the caller's to close, also beside an error.
func receiveFrame(conn *net.UnixConn) (text []byte, files []*os.File, err error) {
	var size [lengthBytes]byte
	rights := make([]byte, unix.CmsgSpace(maxListeners*descriptorBytes))
	n, rightsSize, _, _, err := conn.ReadMsgUnix(size[:], rights)
	files = receiveSockets(rights[:max(0, rightsSize)])
	if err != nil || n == 0 {
		return nil, files, errors.Join(errors.New("it sent nothing"), err)
	}
	if _, err := io.ReadFull(conn, size[n:]); err != nil {
		return nil, files, err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > maxStateBytes {
		return nil, files, fmt.Errorf("its state has %d bytes, over the limit of %d", length, maxStateBytes)
	}
	text = make([]byte, length)
	_, err = io.ReadFull(conn, text)
	return text, files, err
}

// receiveSockets returns the sockets in a control message.
func receiveSockets(control []byte) (files []*os.File) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return nil
	}
	for i := range messages {
		fds, err := unix.ParseUnixRights(&messages[i])
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

// closeFiles closes files of which only the descriptors were of use.
func closeFiles(files []*os.File) {
	for _, f := range files {
		_ = f.Close()
	}
}

// Listener returns a listener on the predecessor's socket of an address, so that both processes accept from
// one queue, and gives the socket over to it. It returns nil if there is no such socket.
func (p *Predecessor) Listener(addr string) net.Listener {
	if p == nil {
		return nil
	}
	f := p.sockets[addr]
	if f == nil {
		return nil
	}
	delete(p.sockets, addr)
	defer func() { _ = f.Close() }() // the listener has a duplicate
	l, err := net.FileListener(f)
	if err != nil {
		return nil
	}
	if _, isTCP := l.(*net.TCPListener); !isTCP || l.Addr().String() != addr {
		_ = l.Close()
		return nil
	}
	return l
}

// CloseUnclaimed closes the sockets that Listener has not returned.
func (p *Predecessor) CloseUnclaimed() {
	if p == nil {
		return
	}
	for addr, f := range p.sockets {
		_ = f.Close()
		delete(p.sockets, addr)
	}
}
