// Package store keeps a node's account and budgets of zones on disk, over crashes and restarts: one bbolt file, written
// in one transaction at a time, so that it always holds what some moment held.
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

	"cranegrade/internal/zone"
)

// Store is an open file. Its methods may be called from any goroutine.
type Store struct{ db *bolt.DB }

var (
	accounts = []byte("account") // rows, by the JSON of their keys
	budgets  = []byte("budgets") // what is spent, by the JSON of their pairs
)

// lockWait is how long a file that another process has open is waited for.
const lockWait = time.Second

// Open opens the file, or makes it.
func Open(path string) (*Store, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, fmt.Errorf("opening the state of zones: %w", err)
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockWait})
	if errors.Is(err, bolt.ErrTimeout) {
		return nil, fmt.Errorf("opening the state of zones: another process has %s open", path)
	}
	if err != nil {
		return nil, fmt.Errorf("opening the state of zones %s: %w", path, err)
	}
	err = db.Update(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{accounts, budgets} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("opening the state of zones %s: %w", path, err)
	}
	return &Store{db}, nil
}

// Load reads all that is kept. What can't be read is left out and counted: half an account is better than no node.
func (s *Store) Load() (state zone.State, unread int, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		err := tx.Bucket(accounts).ForEach(func(k, v []byte) error {
			if r, err := ReadRow(k, v); err == nil {
				state.Rows = append(state.Rows, r)
			} else {
				unread++
			}
			return nil
		})
		return errors.Join(err, tx.Bucket(budgets).ForEach(func(_, v []byte) error {
			if x, err := ReadSpent(v); err == nil {
				state.Spent = append(state.Spent, x)
			} else {
				unread++
			}
			return nil
		}))
	})
	if err != nil {
		return zone.State{}, unread, fmt.Errorf("reading the state of zones: %w", err)
	}
	return state, unread, nil
}

// Save writes rows and what is spent over what was kept of them, and drops days that the account has dropped.
func (s *Store) Save(state zone.State, oldest int64) error {
	err := s.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket(accounts)
		for _, r := range state.Rows {
			if err := put(b, r.Key, r.Traffic); err != nil {
				return err
			}
		}
		// Keys begin with the day, so old ones come first.
		c := b.Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			if r, err := ReadRow(k, v); err == nil && r.Day >= oldest {
				break
			}
			if err := c.Delete(); err != nil {
				return err
			}
		}
		for _, x := range state.Spent {
			if err := put(tx.Bucket(budgets), x.Pair, x); err != nil {
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

func put(b *bolt.Bucket, key, value any) error {
	k, err := json.Marshal(key)
	if err != nil {
		return err
	}
	v, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return b.Put(k, v)
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// maxText bounds the names in a row.
const maxText = 256

// ReadRow reads a row as it is kept.
func ReadRow(key, value []byte) (r zone.Row, err error) {
	if err := json.Unmarshal(key, &r.Key); err != nil {
		return zone.Row{}, fmt.Errorf("a row's key: %w", err)
	}
	if err := json.Unmarshal(value, &r.Traffic); err != nil {
		return zone.Row{}, fmt.Errorf("a row's figures: %w", err)
	}
	if r.Requests < 0 || r.Out < 0 || r.In < 0 || r.Day < 0 || r.Day > math.MaxInt32 {
		return zone.Row{}, errors.New("a row's figures are out of range")
	}
	for _, s := range []string{r.Pair.From, r.Pair.To, r.Pool, r.Class, r.Customer} {
		if len(s) > maxText {
			return zone.Row{}, errors.New("a row's name is too long")
		}
	}
	return r, nil
}

// ReadSpent reads what is spent of a budget as it is kept.
func ReadSpent(value []byte) (x zone.Spent, err error) {
	if err := json.Unmarshal(value, &x); err != nil {
		return zone.Spent{}, fmt.Errorf("a budget: %w", err)
	}
	for i := range x.Requests {
		if min(x.Requests[i], x.Bytes[i], x.NextRequests[i], x.NextBytes[i]) < 0 {
			return zone.Spent{}, errors.New("a budget's figures are out of range")
		}
	}
	if x.Hour < 0 || x.Day < 0 {
		return zone.Spent{}, errors.New("a budget's spans are out of range")
	}
	return x, nil
}
