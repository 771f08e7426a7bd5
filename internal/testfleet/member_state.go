package testfleet

import (
	"os"
	"path/filepath"
)

// Permissions of state directories and of the files in them.
const (
	stateDirMode  = 0o700
	stateFileMode = 0o600
)

// The methods of this file must not be called while the member's process runs.

// SaveState copies the member's state directory, as it is, under a name. RestoreState puts that copy back, also at another member.
func (m *Member) SaveState(name string) error {
	to := m.savedStateDir(name)
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	return copyFiles(to, m.StateDir())
}

// RestoreState replaces the member's state by a copy that SaveState made.
func (m *Member) RestoreState(name string) error {
	if err := m.ClearState(); err != nil {
		return err
	}
	return copyFiles(m.StateDir(), m.savedStateDir(name))
}

func (m *Member) savedStateDir(name string) string { return filepath.Join(m.fleet.Dir, "kept-"+name) }

// ClearState leaves an empty state directory.
func (m *Member) ClearState() error {
	if err := os.RemoveAll(m.StateDir()); err != nil {
		return err
	}
	return os.MkdirAll(m.StateDir(), stateDirMode)
}

// TruncateState cuts every file of the member's state to half of its size.
func (m *Member) TruncateState() error {
	files, err := os.ReadDir(m.StateDir())
	if err != nil {
		return err
	}
	for _, file := range files {
		info, err := file.Info()
		if err != nil || !info.Mode().IsRegular() {
			continue
		}
		if err := os.Truncate(filepath.Join(m.StateDir(), file.Name()), info.Size()/2); err != nil {
			return err
		}
	}
	return nil
}

// copyFiles copies the regular files of a directory. Sockets belong to the process that made them and are left out.
func copyFiles(to, from string) error {
	files, err := os.ReadDir(from)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(to, stateDirMode); err != nil {
		return err
	}
	for _, file := range files {
		if !file.Type().IsRegular() {
			continue
		}
		text, err := os.ReadFile(filepath.Join(from, file.Name()))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, file.Name()), text, stateFileMode); err != nil {
			return err
		}
	}
	return nil
}
