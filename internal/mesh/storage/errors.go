package storage

import (
	"slices"
	"syscall"

	"github.com/juju/errors"
	ldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// Errors of this layer. Each wraps what goleveldb or the machine said.
const (
	// ErrCorrupted: the store holds what was not written to it. It may be discarded.
	ErrCorrupted = errors.ConstError("the store is corrupted")
	// ErrFormatVersion: the store is of another format. It may be discarded.
	ErrFormatVersion = errors.ConstError("the store has another format version")
	// ErrWriteFailed: a write may or may not be on disk. The store takes no more until it is reopened.
	ErrWriteFailed = errors.ConstError("the store can't be written")
	// ErrUnavailable: the store can't be opened now, for a reason that will pass. It may be intact, and must not be discarded.
	ErrUnavailable = errors.ConstError("the store can't be opened now")
)

// transientErrors are those of the machine that say nothing about the files. They pass once there is room, memory or a free
// descriptor, or the process before has ended.
var transientErrors = []error{
	syscall.ENOSPC, syscall.EDQUOT, syscall.EROFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE, syscall.EAGAIN, syscall.EACCES,
	ldbstorage.ErrLocked, ldbstorage.ErrClosed,
}

func isTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(transient error) bool { return errors.Is(err, transient) })
}

// classifyOpenError gives the error of a store that could not be opened its type.
func classifyOpenError(err error) error {
	switch {
	case errors.Is(err, ErrUnavailable):
		return errors.Annotate(err, "open the store")
	case isTransient(err):
		return errors.WithType(errors.Annotate(err, "open the store"), ErrUnavailable)
	}
	return errors.WithType(errors.Annotate(err, "open the store"), ErrCorrupted)
}

// writeFailed gives the error of a write its type.
func writeFailed(err error, tried string) error {
	return errors.WithType(errors.Annotate(err, tried), ErrWriteFailed)
}
