package storage

import (
	"io"

	"github.com/juju/errors"
	ldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// memoryFolder is a copy of a folder's files in memory.
type memoryFolder struct{ ldbstorage.Storage }

// Open implements Folder.
func (m memoryFolder) Open(bool) (ldbstorage.Storage, error) { return m.Storage, nil }

// Sync implements Folder. A copy in memory needs no sync.
func (memoryFolder) Sync() error { return nil }

// Discard implements Folder. A copy in memory is never discarded.
func (memoryFolder) Discard() error { return nil }

// copyToMemory returns a copy of the files of a folder.
func copyToMemory(folder Folder) (ldbstorage.Storage, error) {
	files, err := folder.Open(true)
	if err != nil {
		return nil, err
	}
	defer func() { _ = files.Close() }() // opened for reading only
	descriptors, err := files.List(ldbstorage.TypeAll)
	if err != nil {
		return nil, errors.Annotate(err, "list the files")
	}
	copied := ldbstorage.NewMemStorage()
	for _, fd := range descriptors {
		if err := copyFile(copied, files, fd); err != nil {
			return nil, errors.Annotatef(err, "copy %v", fd)
		}
	}
	manifest, err := files.GetMeta()
	if err != nil {
		return nil, errors.Annotate(err, "find the manifest")
	}
	return copied, copied.SetMeta(manifest)
}

// copyFile copies one file.
func copyFile(to, from ldbstorage.Storage, fd ldbstorage.FileDesc) error {
	content, err := readAll(from, fd)
	if err != nil {
		return err
	}
	w, err := to.Create(fd)
	if err != nil {
		return err
	}
	if _, err := w.Write(content); err != nil {
		return err
	}
	return w.Close()
}

// readAll returns the contents of a file.
func readAll(files ldbstorage.Storage, fd ldbstorage.FileDesc) ([]byte, error) {
	r, err := files.Open(fd)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Close() }() // opened for reading only
	return io.ReadAll(r)
}
