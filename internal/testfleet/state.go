package testfleet

import (
	"os"
	"path/filepath"
)

// copyFiles copies the regular files of a directory; sockets are the process's that made them.
func copyFiles(to, from string) error {
	files, err := os.ReadDir(from)
	if err == nil {
		err = os.MkdirAll(to, 0o700)
	}
	for _, x := range files {
		if err != nil || !x.Type().IsRegular() {
			continue
		}
		var text []byte
		if text, err = os.ReadFile(filepath.Join(from, x.Name())); err == nil {
			err = os.WriteFile(filepath.Join(to, x.Name()), text, 0o600)
		}
	}
	return err
}

// Keep copies a member's state directory as it is, under a name; Restore puts that copy back, of another member's, too.
// The methods of the state directory must not be called while the member's process lives.
func (m *Member) SaveState(name string) error {
	to := filepath.Join(m.fleet.Dir, "kept-"+name)
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	return copyFiles(to, m.StateDir())
}

// Restore puts a copy back that Keep made.
func (m *Member) RestoreState(name string) error {
	if err := m.ClearState(); err != nil {
		return err
	}
	return copyFiles(m.StateDir(), filepath.Join(m.fleet.Dir, "kept-"+name))
}

// Empty leaves nothing of its state.
func (m *Member) ClearState() error {
	if err := os.RemoveAll(m.StateDir()); err != nil {
		return err
	}
	return os.MkdirAll(m.StateDir(), 0o700)
}

// Tear cuts every file of its state short by a half.
func (m *Member) TruncateState() error {
	files, err := os.ReadDir(m.StateDir())
	if err != nil {
		return err
	}
	for _, x := range files {
		path := filepath.Join(m.StateDir(), x.Name())
		info, err := x.Info()
		if err != nil || !info.Mode().IsRegular() {
			continue
		}
		if err := os.Truncate(path, info.Size()/2); err != nil {
			return err
		}
	}
	return nil
}
