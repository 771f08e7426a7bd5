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

// socketName is the file in the directory of state where a node waits for its successor.
const socketName = "cranegrade.sock"

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
	return fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), socketName), func() { _ = d.Close() }, nil
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
	_ = raw.Control(func(fd uintptr) {
		if cred, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED); err == nil {
			uid = int(cred.Uid)
		}
	})
	return uid == os.Getuid()
}

// readLine reads up to a line's end.
func readLine(r *bufio.Reader, most int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return line[:len(line)-1], nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(line) > most:
			return nil, errors.New("the line is too long")
		}
	}
}
