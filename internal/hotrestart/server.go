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
	_ = os.Remove(own)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then the name is a successor's
	if err := errors.Join(os.Chmod(own, 0o600), os.Rename(own, path)); err != nil {
		_ = l.Close()
		_ = os.Remove(own)
		return nil, err
	}
	s := &Server{l, state, joined}
	go s.serve()
	return s, nil
}

// Close takes no more successors; links go on.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) serve() {
	for {
		c, err := s.listener.AcceptUnix()
		if err != nil {
			return
		}
		if l, err := s.handshake(c); err == nil {
			s.onSuccessor(l)
		} else {
			_ = c.Close()
		}
	}
}

// handshake answers one that wants to succeed. One at a time: each takes helloWithin at most.
func (s *Server) handshake(c *net.UnixConn) (*Link, error) {
	if !isSameUser(c) {
		return nil, errors.New("another user's")
	}
	_ = c.SetDeadline(time.Now().Add(handshakeTimeout))
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
		defer func() { _ = f.Close() }()
		state.Listeners = append(state.Listeners, l.Addr().String())
		fds = append(fds, int(f.Fd()))
	}
	text, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	for _, fd := range fds {
		_ = unix.SetNonblock(fd, true) // File and Fd may have made it wait, and the flag is the socket's
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
	_ = c.SetDeadline(time.Time{})
	return newLink(c), nil
}
