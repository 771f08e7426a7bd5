// Package store persists a node's account and budgets of zone traffic across crashes and restarts.
//
// It uses one bbolt file. Each Save is one transaction, so the file never contains a partially saved state. Two buckets
// contain JSON: "account" maps a zone.Key to its zone.Traffic, "budgets" a zone.Pair to its zone.Usage. The names of
// their fields are therefore stored data, and must not change.
package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"cranegrade/internal/zone"
)

// Store is an open file. Its methods may be called from any goroutine.
type Store struct{ db *bolt.DB }

var (
	accountBucket = []byte("account")
	budgetsBucket = []byte("budgets")
)

// Modes of the file and folder that Open creates. The account contains customer names, so only the node's user may read
// the file.
const (
	fileMode   = 0o600
	folderMode = 0o755
)

// lockTimeout is how long Open waits for a file that another process has open.
const lockTimeout = time.Second

// ErrLocked reports that another process has the file open. Two processes must not share one budget: the caller gives up, or
// retries after the other process has exited.
var ErrLocked = errors.New("another process has the file open")

// Errors of ReadRow and ReadUsage for invalid entries.
var (
	ErrOutOfRange  = errors.New("a figure is out of range")
	ErrNameTooLong = errors.New("a name is too long")
)

// Open opens the file at path, and creates it and its folder if they are missing. The error is ErrLocked if another process has
// it open.
func Open(path string) (*Store, error) {
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return nil, fmt.Errorf("opening the state of zones: %w", err)
	}
	db, err := bolt.Open(path, fileMode, &bolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bolterrors.ErrTimeout) {
		err = ErrLocked
	}
	if err != nil {
		return nil, fmt.Errorf("opening the state of zones %s: %w", path, err)
	}
	if err := db.Update(createBuckets); err != nil {
		return nil, errors.Join(fmt.Errorf("opening the state of zones %s: %w", path, err), db.Close())
	}
	return &Store{db}, nil
}

// createBuckets creates the buckets that a new file lacks.
func createBuckets(tx *bolt.Tx) error {
	for _, name := range [][]byte{accountBucket, budgetsBucket} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return nil
}

// Load reads the whole state. Entries that can't be decoded are skipped and counted in unreadable, since a node with an
// incomplete account is better than one that does not start.
func (s *Store) Load() (state zone.State, unreadable int, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		rows := tx.Bucket(accountBucket).ForEach(func(key, value []byte) error {
			if row, err := ReadRow(key, value); err == nil {
				state.Rows = append(state.Rows, row)
			} else {
				unreadable++
			}
			return nil
		})
		usages := tx.Bucket(budgetsBucket).ForEach(func(_, value []byte) error {
			if usage, err := ReadUsage(value); err == nil {
				state.Usages = append(state.Usages, usage)
			} else {
				unreadable++
			}
			return nil
		})
		return errors.Join(rows, usages)
	})
	if err != nil {
		return zone.State{}, unreadable, fmt.Errorf("reading the state of zones: %w", err)
	}
	return state, unreadable, nil
}

// Save writes the rows and usages of the state over the stored ones with the same keys, keeps all others, and deletes rows
// of days before oldestDay. If it fails, the file is unchanged.
func (s *Store) Save(state zone.State, oldestDay int64) error {
	err := s.db.Update(func(tx *bolt.Tx) error {
		account := tx.Bucket(accountBucket)
		budgets := tx.Bucket(budgetsBucket)
		for _, row := range state.Rows {
			if err := put(account, row.Key, row.Traffic); err != nil {
				return err
			}
		}
		if err := deleteBefore(account, oldestDay); err != nil {
			return err
		}
		for _, usage := range state.Usages {
			if err := put(budgets, usage.Pair, usage); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("writing the state of zones: %w", err)
	}
	return nil
}

// deleteBefore deletes rows up to the first one of oldestDay or later. Keys begin with the day, so old rows come first.
// Unreadable rows among them are deleted as well.
func deleteBefore(account *bolt.Bucket, oldestDay int64) error {
	cursor := account.Cursor()
	for key, value := cursor.First(); key != nil; key, value = cursor.Next() {
		if row, err := ReadRow(key, value); err == nil && row.Day >= oldestDay {
			break
		}
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// put stores a value under a key, both as JSON.
func put(bucket *bolt.Bucket, key, value any) error {
	keyText, err := json.Marshal(key)
	if err != nil {
		return err
	}
	valueText, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return bucket.Put(keyText, valueText)
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// maxNameBytes bounds each name in a row.
const maxNameBytes = 256

// ReadRow decodes a row of the account. The error is ErrOutOfRange or ErrNameTooLong, or one of encoding/json.
func ReadRow(key, value []byte) (zone.Row, error) {
	var row zone.Row
	if err := json.Unmarshal(key, &row.Key); err != nil {
		return zone.Row{}, fmt.Errorf("decoding a row's key: %w", err)
	}
	if err := json.Unmarshal(value, &row.Traffic); err != nil {
		return zone.Row{}, fmt.Errorf("decoding a row's traffic: %w", err)
	}
	if row.Requests < 0 || row.Out < 0 || row.In < 0 || row.Day < 0 || row.Day > math.MaxInt32 {
		return zone.Row{}, fmt.Errorf("decoding a row: %w", ErrOutOfRange)
	}
	for _, name := range []string{row.Pair.From, row.Pair.To, row.Pool, row.Class, row.Customer} {
		if len(name) > maxNameBytes {
			return zone.Row{}, fmt.Errorf("decoding a row: %w", ErrNameTooLong)
		}
	}
	return row, nil
}

// ReadUsage decodes the usage of a budget. The error is ErrOutOfRange, or one of encoding/json.
func ReadUsage(value []byte) (zone.Usage, error) {
	var usage zone.Usage
	if err := json.Unmarshal(value, &usage); err != nil {
		return zone.Usage{}, fmt.Errorf("decoding a budget: %w", err)
	}
	for period := range usage.Requests {
		if min(usage.Requests[period], usage.Bytes[period], usage.NextRequests[period], usage.NextBytes[period]) < 0 {
			return zone.Usage{}, fmt.Errorf("decoding a budget: %w", ErrOutOfRange)
		}
	}
	if usage.Hour < 0 || usage.Day < 0 {
		return zone.Usage{}, fmt.Errorf("decoding a budget: %w", ErrOutOfRange)
	}
	return usage, nil
}
