package disk

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// Names of the pointers, which are files that name the manifest in use. They are written, renamed and looked for in the order that
// goleveldb's storage of files documents: a new pointer under a name of its own, synced, renamed over the current one, the folder
// synced.
const (
	currentPointerName   = "CURRENT"
	backupPointerName    = "CURRENT.bak"
	pendingPointerPrefix = "CURRENT."
)

// SetMeta makes a manifest the one in use. A loss of power may come between any two of its steps.
func (h *handle) SetMeta(fd storage.FileDesc) error {
	if !storage.FileDescOk(fd) {
		return storage.ErrInvalidFile
	}
	pointer := []byte(fd.String() + "\n")
	var current []byte // the content of the pointer in use, or nil if there is none
	err := h.withFolder(func(files *folder) error {
		if f, ok := files.cached[currentPointerName]; ok {
			current = f.cached
		}
		return nil
	})
	if err != nil || bytes.Equal(current, pointer) {
		return err
	}
	if current != nil {
		if err := h.writeSynced(backupPointerName, current); err != nil {
			return err
		}
	}
	pending := pendingPointerPrefix + strconv.FormatInt(fd.Num, 10)
	if err := h.writeSynced(pending, pointer); err != nil {
		return err
	}
	err = h.modify(Access{Kind: AccessRename, File: pending}, false, func(files *folder) error {
		return files.rename(pending, currentPointerName)
	})
	if err != nil {
		return err
	}
	return h.modify(Access{Kind: AccessSyncFolder}, false, func(*folder) error {
		h.disk.syncFolder()
		return nil
	})
}

// writeSynced makes a file by one synced write.
func (h *handle) writeSynced(name string, content []byte) error {
	var created *file
	steps := []struct {
		kind AccessKind
		do   func(*folder)
	}{
		{AccessCreate, func(files *folder) { created = files.create(name) }},
		{AccessWrite, func(*folder) { created.write(content) }},
		{AccessSync, func(*folder) { h.disk.syncFile(created) }},
	}
	for _, step := range steps {
		a := Access{Kind: step.kind, File: name, Bytes: len(content)}
		err := h.modify(a, step.kind != AccessSync, func(files *folder) error {
			step.do(files)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// GetMeta returns the manifest in use: that of the newest pointer that is complete and points at a file that exists. It completes what
// a loss of power interrupted.
func (h *handle) GetMeta() (fd storage.FileDesc, err error) {
	var pending []string
	var name string
	err = h.withFolder(func(files *folder) (damaged error) {
		pending = files.pendingPointers()
		fd, name, damaged = files.newestPointer(pending)
		if name != "" {
			return nil
		}
		return damaged
	})
	if err != nil || h.readOnly || name == currentPointerName && len(pending) == 0 {
		return fd, err
	}
	if h.SetMeta(fd) == nil { // otherwise the next call finds it as this one did
		for _, name := range pending {
			_ = h.modify(Access{Kind: AccessRemove, File: name}, false, func(files *folder) error { return files.remove(name) })
		}
	}
	return fd, nil
}

// pendingPointers returns the names of the pointers that were not renamed, the newest first.
func (f *folder) pendingPointers() (pending []string) {
	number := func(name string) int64 {
		n, err := strconv.ParseInt(strings.TrimPrefix(name, pendingPointerPrefix), 10, 64)
		if err != nil {
			return -1
		}
		return n
	}
	for name := range f.cached {
		if strings.HasPrefix(name, pendingPointerPrefix) && number(name) >= 0 {
			pending = append(pending, name)
		}
	}
	slices.SortFunc(pending, func(a, b string) int { return cmp.Compare(number(b), number(a)) })
	return pending
}

// newestPointer returns the newest manifest that a pending pointer, the current one or else its backup points at, and the pointer's
// name. Without one the error says whether there was none at all or a damaged one.
func (f *folder) newestPointer(pending []string) (fd storage.FileDesc, name string, err error) {
	err = os.ErrNotExist
	for _, group := range [][]string{{currentPointerName, backupPointerName}, pending} {
		for _, candidate := range group {
			target, wrong := f.pointer(candidate)
			if wrong == nil {
				if name == "" || target.Num > fd.Num {
					fd, name = target, candidate
				}
				break
			}
			if !errors.Is(wrong, os.ErrNotExist) {
				err = wrong
			}
		}
	}
	return fd, name, err
}

// pointer returns the manifest that one pointer names.
func (f *folder) pointer(name string) (storage.FileDesc, error) {
	file, ok := f.cached[name]
	if !ok {
		return storage.FileDesc{}, os.ErrNotExist
	}
	target, isComplete := strings.CutSuffix(string(file.cached), "\n")
	fd, known := parseName(target)
	if !isComplete || !known {
		return storage.FileDesc{}, &storage.ErrCorrupted{Err: fmt.Errorf("%s is damaged", name)}
	}
	if _, ok := f.cached[target]; !ok {
		return storage.FileDesc{}, os.ErrNotExist
	}
	return fd, nil
}

// parseName is the inverse of FileDesc.String.
func parseName(name string) (storage.FileDesc, bool) {
	if digits, manifest := strings.CutPrefix(name, "MANIFEST-"); manifest {
		n, err := strconv.ParseInt(digits, 10, 64)
		return storage.FileDesc{Type: storage.TypeManifest, Num: n}, err == nil
	}
	digits, extension, _ := strings.Cut(name, ".")
	types := map[string]storage.FileType{"log": storage.TypeJournal, "ldb": storage.TypeTable, "tmp": storage.TypeTemp}
	n, err := strconv.ParseInt(digits, 10, 64)
	return storage.FileDesc{Type: types[extension], Num: n}, err == nil && types[extension] != 0
}

// sortDescriptors sorts files by type and number.
func sortDescriptors(found []storage.FileDesc) {
	slices.SortFunc(found, func(a, b storage.FileDesc) int {
		return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Num, b.Num))
	})
}
