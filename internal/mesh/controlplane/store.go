package controlplane

import (
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/storage"
)

// This file handles disk failures. After a full disk or another transient error a member retries without a limit: until the write succeeds
// nothing that depends on it is sent or acknowledged (Raft paper, section 5.6). A corrupted store is discarded, and the member starts
// again with a new ID and receives the whole state from the other members.

const (
	// diskRetryInterval is the time between two attempts at opening or writing the store.
	diskRetryInterval = 100 * time.Millisecond
	// diskRetriesPerLog is the number of consecutive failed writes of which one is logged.
	diskRetriesPerLog = 10
	// maxDiscards is how often a corrupted store is discarded in a row. After one more failure the member gives up.
	maxDiscards = 50
)

// openedStore is a store and its contents when it was opened.
type openedStore struct {
	store   *storage.Store
	state   raft.StoredState
	empty   bool // it has to be initialized
	damaged bool // it was corrupted, and its contents were discarded
}

// openStore opens the store in a folder. A corrupted store is treated like a lost disk: it is discarded and created again, since the other
// members hold everything committed. If the store is unavailable, for instance because the disk is full, openStore retries without a
// limit, since the store may have the only remaining copy.
func openStore(folder storage.Folder, log zerolog.Logger) (opened openedStore, err error) {
	for discards := 0; ; {
		opened.store, opened.state, opened.empty, err = storage.OpenFolder(folder, storage.Options{})
		switch {
		case err == nil:
			return opened, nil
		case errors.Is(err, storage.ErrUnavailable):
			log.Error().Err(err).Msg("store unavailable, retrying")
		case discards > maxDiscards:
			return openedStore{damaged: true}, errors.Annotatef(err, "open the store after it was discarded %d times", discards)
		default:
			opened.damaged = true
			discards++
			log.Error().Err(err).Msg("store damaged, discarding it to recover from the other members")
			if err := folder.Discard(); err != nil {
				log.Error().Err(err).Msg("damaged store cannot be discarded")
			}
		}
		time.Sleep(diskRetryInterval)
	}
}

// initialize writes the first state to an empty store. It retries until the disk accepts it.
func (o *openedStore) initialize(first raft.StoredState, log zerolog.Logger) {
	o.state = first
	for {
		err := o.store.Initialize(first.Self, first.Snapshot)
		if err == nil {
			return
		}
		log.Error().Err(err).Msg("empty store cannot be initialized, retrying")
		time.Sleep(diskRetryInterval)
		if err := o.store.Reopen(); err != nil {
			log.Debug().Err(err).Msg("store not reopened")
		}
	}
}

// stateWriter writes the replica's state to disk. Its methods belong to the loop's goroutine, except for fault.
type stateWriter struct {
	store       *storage.Store
	log         zerolog.Logger
	terminating <-chan struct{}        // closed when the process is to end
	diskFault   atomic.Pointer[string] // why the last write failed, or nil if it succeeded
}

// save writes the state in ready and syncs it. last is the index of the last entry that is on disk already. It retries until that succeeds
// or the process shuts down, because without its disk a member may not acknowledge anything. It returns false if the state is not on disk.
func (w *stateWriter) save(ready raft.Ready, last uint64) bool {
	for attempt := 0; ; attempt++ {
		err := w.store.Save(ready, last)
		if err == nil {
			w.diskFault.Store(nil)
			return true
		}
		text := err.Error()
		w.diskFault.Store(&text)
		logged := attempt%diskRetriesPerLog == 0
		if logged {
			w.log.Error().Err(err).Int("attempts", attempt).Msg("store cannot be written, nothing is acknowledged meanwhile")
		}
		select {
		case <-time.After(diskRetryInterval):
		case <-w.terminating:
			return false
		}
		if err := w.store.Reopen(); err != nil && logged {
			w.log.Error().Err(err).Msg("store cannot be reopened")
		}
	}
}

// compact replaces the log up to a snapshot by the snapshot. A failure is only logged, since the longer log holds the same state.
func (w *stateWriter) compact(snapshot raft.Snapshot, kept uint64) {
	err := w.store.Compact(snapshot, kept)
	if err == nil {
		return
	}
	w.log.Error().Err(err).Msg("snapshot cannot be written, the log stays longer")
	if err := w.store.Reopen(); err != nil {
		w.log.Error().Err(err).Msg("store cannot be reopened")
	}
}

// fault returns why the last write failed, or "" if it succeeded. Any goroutine may call it.
func (w *stateWriter) fault() string {
	if text := w.diskFault.Load(); text != nil {
		return *text
	}
	return ""
}
