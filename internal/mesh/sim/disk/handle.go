package disk

import (
	"bytes"
	"os"
	"syscall"

	"github.com/juju/errors"
	"github.com/syndtr/goleveldb/leveldb/storage"
)

// handle is the disk as one process sees it. It implements goleveldb's storage.Storage.
type handle struct {
	disk     *Disk
	process  uint64 // that opened it
	readOnly bool
	closed   bool // guarded by disk.mu
	locked   bool // it has the disk's lock; guarded by disk.mu
}

// errReadOnly is the error of writes to files that were opened for reading only.
const errReadOnly = errors.ConstError("the files were opened for reading only")

// withFolder runs f under the disk's lock while the handle is open.
func (h *handle) withFolder(f func(*folder) error) error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.closed || h.process != h.disk.process {
		return storage.ErrClosed
	}
	return f(&h.disk.folder)
}

// modify is withFolder for what writes. needsRoom says that it fails on a full disk.
func (h *handle) modify(a Access, needsRoom bool, f func(*folder) error) error {
	if h.readOnly {
		return errReadOnly
	}
	h.disk.access(a)
	return h.withFolder(func(files *folder) error {
		if needsRoom && h.disk.full {
			return &os.PathError{Op: string(a.Kind), Path: a.File, Err: syscall.ENOSPC}
		}
		return f(files)
	})
}

// Lock keeps another store from the same files.
func (h *handle) Lock() (storage.Locker, error) {
	if h.readOnly {
		return &lock{}, nil
	}
	return &lock{h}, h.withFolder(func(*folder) error {
		if h.disk.locked {
			return storage.ErrLocked
		}
		h.disk.locked, h.locked = true, true
		return nil
	})
}

// lock is the lock of a handle. handle is nil where nothing was locked.
type lock struct{ handle *handle }

// Unlock ends a Lock.
func (l *lock) Unlock() {
	if l.handle != nil {
		_ = l.handle.withFolder(func(*folder) error { // the end of the process has released it otherwise
			l.handle.releaseLock()
			return nil
		})
	}
}

// releaseLock releases the disk's lock if the handle has it. The caller holds disk.mu.
func (h *handle) releaseLock() {
	if h.locked {
		h.disk.locked, h.locked = false, false
	}
}

// Log drops what goleveldb logs.
func (h *handle) Log(string) {}

// List returns the files of some types, in order.
func (h *handle) List(types storage.FileType) (found []storage.FileDesc, err error) {
	err = h.withFolder(func(files *folder) error {
		for name := range files.cached {
			if fd, known := parseName(name); known && fd.Type&types != 0 {
				found = append(found, fd)
			}
		}
		sortDescriptors(found)
		return nil
	})
	return found, err
}

// Open opens a file for reading.
func (h *handle) Open(fd storage.FileDesc) (storage.Reader, error) {
	if !storage.FileDescOk(fd) {
		return nil, storage.ErrInvalidFile
	}
	var r *reader
	err := h.withFolder(func(files *folder) error {
		f, ok := files.cached[fd.String()]
		if !ok {
			return notExist("open", fd.String())
		}
		r = &reader{Reader: *bytes.NewReader(f.cached), handle: h, name: fd.String()}
		return nil
	})
	return r, err
}

// Create opens a file for writing: a new one, or one that is emptied.
func (h *handle) Create(fd storage.FileDesc) (storage.Writer, error) {
	if !storage.FileDescOk(fd) {
		return nil, storage.ErrInvalidFile
	}
	w := &writer{handle: h, descriptor: fd}
	return w, h.modify(Access{Kind: AccessCreate, File: fd.String()}, true, func(files *folder) error {
		w.file = files.create(fd.String())
		return nil
	})
}

// Remove removes a file.
func (h *handle) Remove(fd storage.FileDesc) error {
	return h.modify(Access{Kind: AccessRemove, File: fd.String()}, false, func(files *folder) error {
		return files.remove(fd.String())
	})
}

// Rename renames a file, and replaces one that has the name.
func (h *handle) Rename(from, to storage.FileDesc) error {
	if from == to {
		return nil
	}
	return h.modify(Access{Kind: AccessRename, File: from.String()}, false, func(files *folder) error {
		return files.rename(from.String(), to.String())
	})
}

// Close closes the handle.
func (h *handle) Close() error {
	return h.withFolder(func(*folder) error {
		h.releaseLock()
		h.closed = true
		return nil
	})
}

// reader reads a file as it was when the reader was opened.
type reader struct {
	bytes.Reader
	handle *handle
	name   string
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	if err := r.checkRead(len(p)); err != nil {
		return 0, err
	}
	return r.Reader.Read(p)
}

// ReadAt implements io.ReaderAt.
func (r *reader) ReadAt(p []byte, at int64) (int, error) {
	if err := r.checkRead(len(p)); err != nil {
		return 0, err
	}
	return r.Reader.ReadAt(p, at)
}

// checkRead reports an access, and returns an error if reads fail.
func (r *reader) checkRead(n int) error {
	r.handle.disk.access(Access{Kind: AccessRead, File: r.name, Bytes: n})
	return r.handle.withFolder(func(*folder) error {
		if r.handle.disk.readErrors {
			return &os.PathError{Op: "read", Path: r.name, Err: syscall.EIO}
		}
		return nil
	})
}

// Close implements io.Closer.
func (r *reader) Close() error { return nil }

// writer appends to a file.
type writer struct {
	handle     *handle
	descriptor storage.FileDesc
	file       *file
}

// Write appends to the cached bytes.
func (w *writer) Write(p []byte) (int, error) {
	a := Access{Kind: AccessWrite, File: w.descriptor.String(), Bytes: len(p)}
	err := w.handle.modify(a, true, func(*folder) error {
		w.file.write(p)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// Sync makes the file's bytes durable. That of a manifest does the same with the names in the folder, as goleveldb's own storage does.
func (w *writer) Sync() error {
	return w.handle.modify(Access{Kind: AccessSync, File: w.descriptor.String()}, false, func(*folder) error {
		w.handle.disk.syncFile(w.file)
		if w.descriptor.Type == storage.TypeManifest {
			w.handle.disk.syncFolder()
		}
		return nil
	})
}

// Close implements io.Closer. It syncs nothing.
func (w *writer) Close() error { return nil }
