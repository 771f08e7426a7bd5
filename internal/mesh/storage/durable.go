package storage

import (
	"sync/atomic"

	ldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// durableNames gives goleveldb the files of a folder, and makes the names of new files durable before anything relies on them. goleveldb
// itself only syncs the folder when it writes a manifest. Until then a loss of power can remove a new write-ahead log together with
// everything that was written to it and synced. It can also keep the last record of a manifest, which was not synced, and lose the
// name of the table that the record refers to.
type durableNames struct {
	ldbstorage.Storage
	folder Folder
	// transientError is the last error that says nothing about the files, see transientErrors. It is kept because goleveldb returns some
	// of them as text only.
	transientError *atomic.Pointer[error]
}

// newDurableNames returns the files of a folder with durable names.
func newDurableNames(files ldbstorage.Storage, folder Folder) durableNames {
	return durableNames{Storage: files, folder: folder, transientError: new(atomic.Pointer[error])}
}

// Create creates a file. The name of a write-ahead log is durable when it returns, that of a table once the table is synced.
func (d durableNames) Create(fd ldbstorage.FileDesc) (ldbstorage.Writer, error) {
	w, err := d.Storage.Create(fd)
	if err != nil {
		return nil, d.recordTransient(err)
	}
	if fd.Type == ldbstorage.TypeJournal {
		if err := d.folder.Sync(); err != nil {
			_ = w.Close() // the file is not used
			return nil, d.recordTransient(err)
		}
	}
	return durableFile{Writer: w, names: d, fileType: fd.Type}, nil
}

// SetMeta makes a manifest the current one.
func (d durableNames) SetMeta(fd ldbstorage.FileDesc) error {
	return d.recordTransient(d.Storage.SetMeta(fd))
}

// recordTransient returns err unchanged, and remembers it if it is transient.
func (d durableNames) recordTransient(err error) error {
	if isTransient(err) {
		d.transientError.Store(&err)
	}
	return err
}

// durableFile is a file that is being written.
type durableFile struct {
	ldbstorage.Writer
	names    durableNames
	fileType ldbstorage.FileType
}

// Write appends to the file.
func (f durableFile) Write(p []byte) (int, error) {
	n, err := f.Writer.Write(p)
	return n, f.names.recordTransient(err)
}

// Sync syncs the file and, if it is a table, its name.
func (f durableFile) Sync() error {
	if err := f.Writer.Sync(); err != nil {
		return f.names.recordTransient(err)
	}
	if f.fileType != ldbstorage.TypeTable {
		return nil
	}
	return f.names.recordTransient(f.names.folder.Sync())
}
