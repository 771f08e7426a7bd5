package vault

import (
	"os"
	"path/filepath"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// Folder is where the files of one store are.
type Folder interface {
	// Open gives the files, which are made if there are none; the caller closes them.
	Open(readOnly bool) (storage.Storage, error)
	// Sync makes the names of all files in it lasting.
	Sync() error
	// Discard removes all files. Nothing of them comes back after a loss of power.
	Discard() error
}

// directory is a Folder within a directory of the machine.
type directory string

func (d directory) path() string { return filepath.Join(string(d), "vault") }

// Open opens the files.
func (d directory) Open(readOnly bool) (storage.Storage, error) {
	return storage.OpenFile(d.path(), readOnly)
}

// Discard removes them.
func (d directory) Discard() error { return os.RemoveAll(d.path()) }

// Sync syncs the directory.
func (d directory) Sync() error { return syncDirectory(d.path()) }

func syncDirectory(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// lastingNames is the files of a folder, with the names of new ones lasting before anything rests on them. goleveldb syncs the
// folder only with a manifest. Until then a loss of power takes a new journal with all that was written to it and synced; and it
// may keep a manifest's last record, not yet synced, and lose the name of the table that the record tells of.
type lastingNames struct {
	storage.Storage
	folder Folder
}

// Create makes a file; a journal's name is lasting from then on, a table's once it is synced.
func (l lastingNames) Create(fd storage.FileDesc) (storage.Writer, error) {
	w, err := l.Storage.Create(fd)
	if err != nil {
		return nil, err
	}
	switch fd.Type {
	case storage.TypeTable:
		return lastingTable{w, l.folder}, nil
	case storage.TypeJournal:
		if err := l.folder.Sync(); err != nil {
			w.Close()
			return nil, err
		}
	}
	return w, nil
}

type lastingTable struct {
	storage.Writer
	folder Folder
}

// Sync syncs the table and its name.
func (t lastingTable) Sync() error {
	if err := t.Writer.Sync(); err != nil {
		return err
	}
	return t.folder.Sync()
}
