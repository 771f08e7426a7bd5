package storage

import (
	"io/fs"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	ldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// Folder holds the files of one store: a directory, or a simulated disk.
type Folder interface {
	// Open returns the files, and creates the folder if there is none. The caller closes them.
	Open(readOnly bool) (ldbstorage.Storage, error)
	// Sync makes the names of all files in the folder durable.
	Sync() error
	// Discard removes all files durably: a loss of power does not bring any of them back.
	Discard() error
}

// Names of directories below a data folder.
const (
	storeDirectory  = "vault" // the name of the first release, which has to stay
	discardedSuffix = ".discarded"
)

// Directory returns the Folder in a data folder.
func Directory(dir string) Folder { return dataFolder(dir) }

// dataFolder is the path of a data folder.
type dataFolder string

// path returns the path of the store's directory.
func (d dataFolder) path() string { return filepath.Join(string(d), storeDirectory) }

// discarded returns the path to which a store is renamed before it is removed, so that a loss of power during the removal can't leave a
// store with only some of its files.
func (d dataFolder) discarded() string { return d.path() + discardedSuffix }

// Open implements Folder.
func (d dataFolder) Open(readOnly bool) (ldbstorage.Storage, error) {
	if !readOnly {
		if err := os.RemoveAll(d.discarded()); err != nil {
			return nil, errors.Annotate(err, "remove a discarded store")
		}
		if err := makeDurable(d.path()); err != nil {
			return nil, errors.Annotate(err, "make the store's directory")
		}
	}
	return ldbstorage.OpenFile(d.path(), readOnly)
}

// makeDurable creates a directory and its parents, and syncs their names.
func makeDurable(path string) error {
	parent := filepath.Dir(path)
	if _, err := os.Stat(parent); errors.Is(err, fs.ErrNotExist) {
		if err := makeDurable(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, 0o755); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	return syncDirectory(parent) // also if the directory existed: it may have been created just before a crash
}

// Discard implements Folder.
func (d dataFolder) Discard() error {
	if err := os.RemoveAll(d.discarded()); err != nil {
		return errors.Annotate(err, "remove a discarded store")
	}
	if err := os.Rename(d.path(), d.discarded()); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return errors.Annotate(err, "discard the store")
	}
	if err := syncDirectory(string(d)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return errors.Annotate(err, "sync the data folder")
	}
	return errors.Annotate(os.RemoveAll(d.discarded()), "remove a discarded store")
}

// Sync implements Folder.
func (d dataFolder) Sync() error { return syncDirectory(d.path()) }

// syncDirectory makes the names in a directory durable. Syncing a file does not make its name durable (POSIX fsync).
func syncDirectory(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // nothing was written through it
	return f.Sync()
}
