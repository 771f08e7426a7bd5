package sidecar

import (
	"sync"
	"time"

	"cranegrade/internal/mesh/transport/wire"
)

// maxInheritedRecords bounds what is inherited in number; maxStoredBytes does so in bytes.
const maxInheritedRecords = 100_000

// inheritedResponses is what other sidecars stored and handed over before their maintenance: responses only, for the leases are
// their own. The zero value is ready.
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

// add stores what another sidecar stored, as far as there is room and nothing of a key is known yet.
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

// get is what another sidecar stored of a key; nil: nothing is known.
func (i *inheritedResponses) get(from, key string) *wire.StoredResponseT {
	i.mu.Lock()
	defer i.mu.Unlock()
	if r, known := i.records[inheritedKey{from, key}]; known && time.Now().Before(r.expiresAt) {
		return r.record
	}
	return nil
}
