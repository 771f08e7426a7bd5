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
	fileName = "cranegrade.orders"
	maxFile  = 4 << 20
)

// Save writes a state into dir so that it is there whole or not at all, whatever ends the process meanwhile. It does
// not wait for a disk: what it guards against is the end of a process, not of the machine.
func Save(dir string, s State) error {
	s.Version = Version
	text, err := json.Marshal(s)
	if err != nil {
		return err
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
		_ = os.Remove(f.Name())
	}
	return err
}

// Load reads what Save wrote; the zero State and no error where there is none.
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
		return State{}, fmt.Errorf("%s is no file of this user's", path)
	}
	f, err := os.Open(path)
	if err != nil {
		return State{}, err
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err == nil && len(text) > maxFile {
		err = errors.New("too long")
	}
	s := State{}
	if err == nil {
		s, err = Parse(text)
	}
	if err != nil {
		return State{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}
