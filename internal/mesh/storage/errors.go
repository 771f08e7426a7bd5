package storage

import (
	"slices"
	"syscall"

	"github.com/juju/errors"
	ldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// Errors of this package. Each wraps the error of goleveldb or of the operating system.
const (
	// ErrCorrupted says that the store holds something else than was written to it. Its owner may discard it, and must then join the
	// other members under a new ID.
	ErrCorrupted = errors.ConstError("the store is corrupted")
	// ErrFormatVersion says that the store has another format version. It may be discarded like a corrupted one.
	ErrFormatVersion = errors.ConstError("the store has another format version")
	// ErrWriteFailed says that a write may or may not be on disk. Nothing that depends on it may be sent. The owner calls Reopen, and
	// then the same write again.
	ErrWriteFailed = errors.ConstError("the store can't be written")
	// ErrUnavailable says that the store can't be opened for a transient reason. It may be intact, and must not be discarded. The owner
	// tries again later.
	ErrUnavailable = errors.ConstError("the store can't be opened now")
)

// transientErrors are errors of the operating system that say nothing about the contents of the files. They end once there is disk space,
// memory or a free descriptor, or once the process that held the store has ended.
var transientErrors = []error{
	syscall.ENOSPC,
	syscall.EDQUOT,
	syscall.EROFS,
	syscall.ENOMEM,
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.EAGAIN,
	syscall.EACCES,
	ldbstorage.ErrLocked,
	ldbstorage.ErrClosed,
}

// isTransient reports whether an error is one of transientErrors.
func isTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(transient error) bool { return errors.Is(err, transient) })
}

// classifyOpenError adds the type to the error of a store that could not be opened.
func classifyOpenError(err error) error {
	switch {
	case errors.Is(err, ErrUnavailable):
		return errors.Annotate(err, "open the store")
	case isTransient(err):
		return errors.WithType(errors.Annotate(err, "open the store"), ErrUnavailable)
	}
	return errors.WithType(errors.Annotate(err, "open the store"), ErrCorrupted)
}

// writeFailed adds ErrWriteFailed and what was tried to the error of a write.
func writeFailed(err error, tried string) error {
	return errors.WithType(errors.Annotate(err, tried), ErrWriteFailed)
}
