package storage

import (
	"sync/atomic"

	ldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// durableNames is the files of a folder, with the names of new ones made durable before anything relies on them. goleveldb syncs
// the folder with a manifest only. Until then a loss of power takes a new write-ahead log with all that was written to it and
// synced; and it may keep a manifest's last record, not yet synced, and lose the name of the table that the record refers to.
type durableNames struct {
	ldbstorage.Storage
	folder Folder
	// transientError is the last error of the machine that says nothing about the files; goleveldb passes some on as text only.
	transientError *atomic.Pointer[error]
}

func newDurableNames(files ldbstorage.Storage, folder Folder) durableNames {
	return durableNames{Storage: files, folder: folder, transientError: new(atomic.Pointer[error])}
}

// Create makes a file. A log's name is durable from then on, a table's once the table is synced.
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

// SetMeta makes a manifest the one that is used.
func (d durableNames) SetMeta(fd ldbstorage.FileDesc) error {
	return d.recordTransient(d.Storage.SetMeta(fd))
}

// recordTransient returns err, and remembers it if it says nothing about the files.
func (d durableNames) recordTransient(err error) error {
	if isTransient(err) {
		d.transientError.Store(&err)
	}
	return err
}

// durableFile is a file that is written.
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

// Sync syncs the file, and a table's name.
func (f durableFile) Sync() error {
	if err := f.Writer.Sync(); err != nil {
		return f.names.recordTransient(err)
	}
	if f.fileType != ldbstorage.TypeTable {
		return nil
	}
	return f.names.recordTransient(f.names.folder.Sync())
}
