package hotrestart

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// socketMode keeps other users from the socket.
const socketMode = 0o600

// maxHelloBytes bounds a successor's first line.
const maxHelloBytes = 256

// Server waits for successors, on a goroutine of its own. Close may be called from any goroutine.
type Server struct {
	listener    *net.UnixListener
	state       func() (State, []*net.TCPListener)
	onSuccessor func(*Link)
}

// Listen accepts successors in dir, in place of whichever process did before. state returns what a
// successor gets and the listeners that are handed over with it. onSuccessor is called with the link to
// each successor, which it must Start. Both are called on the server's goroutine.
func Listen(dir string, state func() (State, []*net.TCPListener), onSuccessor func(*Link)) (*Server, error) {
	path, release, err := socketPath(dir)
	if err != nil {
		return nil, err
	}
	defer release()
	// The socket is made under another name and then renamed, so that a successor finds at any time either
	// the socket before or this one, with its permissions set.
	ownPath := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(ownPath) // of a process that had this id before
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: ownPath, Net: "unix"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // by then the name may be a successor's
	if err := errors.Join(os.Chmod(ownPath, socketMode), os.Rename(ownPath, path)); err != nil {
		_ = listener.Close()
		_ = os.Remove(ownPath)
		return nil, err
	}
	s := &Server{listener: listener, state: state, onSuccessor: onSuccessor}
	go s.serve()
	return s, nil
}

// Close accepts no more successors. Links stay open.
func (s *Server) Close() { _ = s.listener.Close() } // it fails only if it was closed before

// serve accepts successors until Close, one after the other: a handshake takes handshakeTimeout at most.
func (s *Server) serve() {
	for {
		conn, err := s.listener.AcceptUnix()
		if err != nil {
			return
		}
		if err := s.handshake(conn); err != nil {
			_ = conn.Close() // the successor starts alone, and says why
			continue
		}
		s.onSuccessor(newLink(conn))
	}
}

// handshake reads a successor's hello and sends it the state and the listeners.
func (s *Server) handshake(conn *net.UnixConn) error {
	if !isSameUser(conn) {
		return errors.New("the successor belongs to another user")
	}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout)) // if it fails, so does the first read
	if err := readHello(conn); err != nil {
		return err
	}
	state, listeners := s.state()
	state.Version = Version
	files, err := listenerFiles(listeners)
	defer closeFiles(files)
	if err != nil {
		return err
	}
	for _, l := range listeners {
		state.Listeners = append(state.Listeners, l.Addr().String())
	}
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	if err := sendFrame(conn, text, files); err != nil {
		return err
	}
	_ = conn.SetDeadline(time.Time{}) // if it fails, the link ends at once
	return nil
}

// readHello reads a successor's first line and checks its version.
func readHello(conn *net.UnixConn) error {
	line, err := readLine(bufio.NewReaderSize(conn, maxHelloBytes), maxHelloBytes)
	if err != nil {
		return err
	}
	var h hello
	if err := json.Unmarshal(line, &h); err != nil {
		return err
	}
	if h.Version != Version {
		return ErrVersion
	}
	return nil
}

// listenerFiles returns duplicates of the listeners' sockets. They are the caller's to close, also beside an
// error.
func listenerFiles(listeners []*net.TCPListener) (files []*os.File, err error) {
	for _, l := range listeners {
		f, err := l.File()
		if err != nil {
			return files, err
		}
		files = append(files, f)
	}
	return files, nil
}

// lengthBytes is how many bytes the length takes at the beginning of a frame, in network byte order.
const lengthBytes = 4

// sendFrame writes the length of text, with the sockets beside it, and then text.
func sendFrame(conn *net.UnixConn, text []byte, sockets []*os.File) error {
	var fds []int
	for _, f := range sockets {
		fds = append(fds, int(f.Fd()))
	}
	for _, fd := range fds {
		// File and Fd may have made the socket blocking, and the flag is shared with the listener.
		_ = unix.SetNonblock(fd, true)
	}
	var size [lengthBytes]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(text)))
	var rights []byte
	if len(fds) > 0 {
		rights = unix.UnixRights(fds...)
	}
	if _, _, err := conn.WriteMsgUnix(size[:], rights, nil); err != nil {
		return err
	}
	_, err := conn.Write(text)
	return err
}
