package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

const (
	// fileName is the file in the directory of state that keeps the administrative state.
	fileName = "cranegrade.orders"
	// maxFileBytes bounds the file, so that one of another origin does not fill the memory.
	maxFileBytes = 4 << 20
)

// Save writes a state into dir atomically: a process that is killed meanwhile leaves the old file or the
// new one. It does not sync, since it guards against the end of a process and not of the machine.
func Save(dir string, s State) error {
	s.Version = Version
	text, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encoding the state: %w", err)
	}
	f, err := os.CreateTemp(dir, fileName+".*")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), filepath.Join(dir, fileName))
	}
	if err != nil {
		_ = os.Remove(f.Name()) // a left-over is never read
	}
	return err
}

// Load reads what Save has written. It returns the zero State and no error if there is no file.
func Load(dir string) (State, error) {
	path := filepath.Join(dir, fileName)
	info, err := os.Lstat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return State{}, nil
	}
	if err != nil {
		return State{}, err
	}
	if !info.Mode().IsRegular() || !isOwnFile(info) {
		return State{}, fmt.Errorf("%s is no regular file of this user", path)
	}
	text, err := readBounded(path, maxFileBytes)
	if err != nil {
		return State{}, err
	}
	s, err := Parse(text)
	if err != nil {
		return State{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// readBounded reads a file that may have up to limit bytes.
func readBounded(path string, limit int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
	text, err := io.ReadAll(io.LimitReader(f, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(text) > limit {
		return nil, fmt.Errorf("%s is longer than %d bytes", path, limit)
	}
	return text, nil
}
