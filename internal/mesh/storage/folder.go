package storage

import (
	"io/fs"
	"os"
	"path/filepath"
	"sync/atomic"

	"github.com/juju/errors"
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

// Directory is the Folder within a register's DataDir.
func Directory(dir string) Folder { return dataFolder(dir) }

type dataFolder string

func (d dataFolder) path() string { return filepath.Join(string(d), "vault") }

// discarded is where a store goes before it is removed: a removal that a loss of power undoes in part must not leave a store
// of some of the files.
func (d dataFolder) discarded() string { return d.path() + ".discarded" }

// Open opens the files.
func (d dataFolder) Open(readOnly bool) (storage.Storage, error) {
	if !readOnly {
		if err := os.RemoveAll(d.discarded()); err != nil {
			return nil, err
		}
		if err := makeDurable(d.path()); err != nil {
			return nil, err
		}
	}
	return storage.OpenFile(d.path(), readOnly)
}

// makeDurable makes a directory and those above it, each with a name that a loss of power leaves.
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
	return syncDirectory(parent) // also of one that was there: it may have been made just before a loss of power
}

// Discard removes them.
func (d dataFolder) Discard() error {
	if err := os.RemoveAll(d.discarded()); err != nil {
		return err
	}
	if err := os.Rename(d.path(), d.discarded()); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := syncDirectory(string(d)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return os.RemoveAll(d.discarded())
}

// Sync syncs the directory.
func (d dataFolder) Sync() error { return syncDirectory(d.path()) }

func syncDirectory(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// durableNames is the files of a folder, with the names of new ones lasting before anything rests on them. goleveldb syncs the
// folder only with a manifest. Until then a loss of power takes a new journal with all that was written to it and synced; and it
// may keep a manifest's last record, not yet synced, and lose the name of the table that the record tells of.
type durableNames struct {
	storage.Storage
	folder         Folder
	transientError *atomic.Pointer[error] // the last error of the machine that says nothing of the files
}

// Create makes a file; a journal's name is lasting from then on, a table's once it is synced.
func (l durableNames) Create(fd storage.FileDesc) (storage.Writer, error) {
	w, err := l.Storage.Create(fd)
	if err != nil {
		return nil, l.recordTransient(err)
	}
	if fd.Type == storage.TypeJournal {
		if err := l.folder.Sync(); err != nil {
			w.Close()
			return nil, l.recordTransient(err)
		}
	}
	return durableFile{w, l, fd.Type}, nil
}

// SetMeta has a manifest hold.
func (l durableNames) SetMeta(fd storage.FileDesc) error {
	return l.recordTransient(l.Storage.SetMeta(fd))
}

// recordTransient remembers an error of the machine that says nothing of the files: goleveldb hands some on as text only.
func (l durableNames) recordTransient(err error) error {
	if isTransient(err) {
		l.transientError.Store(&err)
	}
	return err
}

type durableFile struct {
	storage.Writer
	names    durableNames
	fileType storage.FileType
}

// Write writes behind the file's end.
func (f durableFile) Write(p []byte) (int, error) {
	n, err := f.Writer.Write(p)
	return n, f.names.recordTransient(err)
}

// Sync syncs the file, and a table's name.
func (f durableFile) Sync() error {
	if err := f.Writer.Sync(); err != nil {
		return f.names.recordTransient(err)
	}
	if f.fileType != storage.TypeTable {
		return nil
	}
	return f.names.recordTransient(f.names.folder.Sync())
}

// memoryFolder is a copy in memory of a folder's files.
type memoryFolder struct{ storage.Storage }

// Open gives the files.
func (c memoryFolder) Open(bool) (storage.Storage, error) { return c.Storage, nil }

// Sync has nothing to do: the copy lasts no longer than the process.
func (memoryFolder) Sync() error { return nil }

// Discard has nothing to do, for the same reason.
func (memoryFolder) Discard() error { return nil }

// copyToMemory copies a folder's files into memory.
func copyToMemory(f Folder) (storage.Storage, error) {
	files, err := f.Open(true)
	if err != nil {
		return nil, err
	}
	defer files.Close()
	all, err := files.List(storage.TypeAll)
	if err != nil {
		return nil, err
	}
	copied := storage.NewMemStorage()
	for _, fd := range all {
		if err := copyFile(copied, files, fd); err != nil {
			return nil, err
		}
	}
	manifest, err := files.GetMeta()
	if err != nil {
		return nil, err
	}
	return copied, copied.SetMeta(manifest)
}

func copyFile(to, from storage.Storage, fd storage.FileDesc) error {
	p, err := readAll(from, fd)
	if err != nil {
		return err
	}
	w, err := to.Create(fd)
	if err != nil {
		return err
	}
	if _, err := w.Write(p); err != nil {
		return err
	}
	return w.Close()
}
