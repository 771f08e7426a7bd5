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
	bytes   int // of the records' bodies
}

// inheritedKey names a key of another sidecar, by its address.
type inheritedKey struct{ addr, key string }

type inheritedRecord struct {
	record    *wire.StoredResponseT
	expiresAt time.Time
}

// add stores records of another sidecar, as far as there is room. A record of a key that is already known is not
// replaced.
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

// expire removes the records whose time has passed. The caller holds mu.
func (s *inheritedResponses) expire(now time.Time) {
	for key, r := range s.records {
		if now.After(r.expiresAt) {
			s.bytes -= len(r.record.Body)
			delete(s.records, key)
		}
	}
}

// get returns the record that another sidecar stored for a key, or nil if there is none.
func (s *inheritedResponses) get(source, key string) *wire.StoredResponseT {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, known := s.records[inheritedKey{source, key}]; known && time.Now().Before(r.expiresAt) {
		return r.record
	}
	return nil
}
