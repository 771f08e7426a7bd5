package sidecar

import (
	"sync"
	"time"

	"cranegrade/internal/mesh/transport/wire"
)

// maxInheritedRecords bounds the number of inherited records; maxStoredBytes bounds their bytes.
const maxInheritedRecords = 100_000

// inheritedResponses holds the responses that other sidecars stored and handed over before their maintenance. It
// holds no leases, which remain with those sidecars. The zero value is ready to use.
type inheritedResponses struct {
	mu      sync.Mutex // guards below
	records map[inheritedKey]inheritedRecord
	bytes   int
}

// inheritedKey names a key of another sidecar, by its address.
type inheritedKey struct{ addr, key string }

type inheritedRecord struct {
	record    *wire.StoredResponseT
	expiresAt time.Time
}

// add stores records of another sidecar, as far as there is room. A record of a key that is already known is not replaced.
func (i *inheritedResponses) add(from string, records []*wire.StoredResponseT) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	i.expire(now)
	if i.records == nil {
		i.records = map[inheritedKey]inheritedRecord{}
	}
	for _, r := range records {
		key := inheritedKey{from, r.Key}
		if _, known := i.records[key]; known || i.bytes+len(r.Body) > maxStoredBytes || len(i.records) >= maxInheritedRecords {
			continue
		}
		i.records[key] = inheritedRecord{r, now.Add(time.Duration(r.TtlUs) * time.Microsecond)}
		i.bytes += len(r.Body)
	}
}

// expire is called with mu held.
func (i *inheritedResponses) expire(now time.Time) {
	for key, r := range i.records {
		if now.After(r.expiresAt) {
			i.bytes -= len(r.record.Body)
			delete(i.records, key)
		}
	}
}

// get returns the record that another sidecar stored for a key; nil: there is none.
func (i *inheritedResponses) get(from, key string) *wire.StoredResponseT {
	i.mu.Lock()
	defer i.mu.Unlock()
	if r, known := i.records[inheritedKey{from, key}]; known && time.Now().Before(r.expiresAt) {
		return r.record
	}
	return nil
}
