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
