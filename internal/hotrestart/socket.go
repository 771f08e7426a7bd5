package hotrestart

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// socketName is the file in the directory of state where a node waits for its successor.
	socketName = "cranegrade.sock"
	// maxSocketPath is how long a path is used as it is. The system's limit is 107 bytes, and Listen adds a
	// process id.
	maxSocketPath = 100
	// maxListeners bounds the sockets that are handed over.
	maxListeners = 128
	// descriptorBytes is the size of a file descriptor in a control message.
	descriptorBytes = 4
)

// socketPath returns a path of the socket in dir that is short enough for a socket's address. The path is
// valid until release is called.
func socketPath(dir string) (path string, release func(), err error) {
	path = filepath.Join(dir, socketName)
	if len(path) < maxSocketPath {
		return path, func() {}, nil
	}
	d, err := os.Open(dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), socketName), func() { _ = d.Close() }, nil
}

// isOwnFile reports whether a file belongs to this user, and so was not put there by another.
func isOwnFile(info os.FileInfo) bool {
	stat, ok := info.Sys().(*syscall.Stat_t)
	return ok && int(stat.Uid) == os.Getuid()
}

// isSameUser reports whether the process at the other end is one of this user.
func isSameUser(conn *net.UnixConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	uid := -1
	err = raw.Control(func(fd uintptr) {
		if credentials, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED); err == nil {
			uid = int(credentials.Uid)
		}
	})
	return err == nil && uid == os.Getuid()
}

// errLineTooLong is the error of readLine for a line over its limit.
var errLineTooLong = errors.New("the line is too long")

// readLine reads a line without its end. It stops with an error soon after limit bytes.
func readLine(r *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return line[:len(line)-1], nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(line) > limit:
			return nil, errLineTooLong
		}
	}
}
