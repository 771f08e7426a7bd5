package sidecar

import (
	"sync"
	"time"

	"cranegrade/internal/mesh/transport/wire"
)

// maxInheritedRecords bounds the number of inherited records; maxStoredBytes bounds their bytes.
const maxInheritedRecords = 100_000

// inheritedResponses stores the responses that other sidecars handed over before their maintenance. The leases of the
// keys are not transferred, but stay with those sidecars. The zero value is ready to use.
type inheritedResponses struct {
	mu      sync.Mutex // guards below
	records map[inheritedKey]inheritedRecord
	bytes   int // of the records' bodies
}

// inheritedKey is an idempotency key with the address of the sidecar that handed over its record.
type inheritedKey struct{ addr, key string }

type inheritedRecord struct {
	record    *wire.StoredResponseT
	expiresAt time.Time
}

// add stores records of the sidecar at source. It skips records that exceed the bounds, and those of keys that already
// have a record.
func (s *inheritedResponses) add(source string, records []*wire.StoredResponseT) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	if s.records == nil {
		s.records = map[inheritedKey]inheritedRecord{}
	}
	for _, r := range records {
		key := inheritedKey{source, r.Key}
		if _, known := s.records[key]; known || s.bytes+len(r.Body) > maxStoredBytes || len(s.records) >= maxInheritedRecords {
			continue
		}
		s.records[key] = inheritedRecord{r, now.Add(time.Duration(r.TtlUs) * time.Microsecond)}
		s.bytes += len(r.Body)
	}
}

// expire removes expired records. The caller holds mu.
func (s *inheritedResponses) expire(now time.Time) {
	for key, r := range s.records {
		if now.After(r.expiresAt) {
			s.bytes -= len(r.record.Body)
			delete(s.records, key)
		}
	}
}

// get returns the record of a key that the sidecar at source handed over, or nil if there is none.
func (s *inheritedResponses) get(source, key string) *wire.StoredResponseT {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, known := s.records[inheritedKey{source, key}]; known && time.Now().Before(r.expiresAt) {
		return r.record
	}
	return nil
}
