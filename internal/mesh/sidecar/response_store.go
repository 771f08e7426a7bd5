package sidecar

import (
	"sync"
	"time"

	"cranegrade/internal/mesh/transport/wire"
)

const (
	// maxStoredBytes bounds the bytes of the bodies of all responses stored here and, separately, of those that other
	// sidecars handed over before their maintenance (inheritedResponses).
	maxStoredBytes = 8 << 20
	// maxStoredResponseBytes is the size of the largest body that is stored, so that a single response does not evict
	// most others.
	maxStoredResponseBytes = 256 << 10
	// recordSlack is how much longer than the lease of a key its record is kept. The lease expires by the time of the
	// replicated log, which may lag behind this sidecar's clock.
	recordSlack = 5 * time.Second
)

// responseStore holds a record of each key that was claimed at this sidecar, with the response to return to repeated
// requests. The size of the responses is bounded: the oldest are evicted first, and their records then only say that
// the requests ran.
type responseStore struct {
	inherited inheritedResponses

	mu           sync.Mutex // guards below
	records      map[string]*keyRecord
	claimOrder   []string // the keys of records, ordered by their first claims
	storedBytes  int
	oldestStored int // index in claimOrder of the first key whose response has not been evicted
}

func newResponseStore() *responseStore {
	return &responseStore{records: map[string]*keyRecord{}}
}

// begin records that a key is about to be claimed for an attempt of the call that token identifies. If the key was
// claimed before, isFirst is false and earlier is the record of that claim. A key whose earlier request never ran may
// be claimed again, which counts as a first claim; it keeps its place in claimOrder.
func (s *responseStore) begin(key, token string, attempt uint32, window time.Duration) (earlier keyRecord, isFirst bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now, window+recordSlack)
	if r := s.records[key]; r != nil {
		if r.state != keyNotExecuted {
			return *r, false
		}
		r.token = token
		r.attempt = attempt
		r.state = keyClaiming
		r.claimedAt = now
		return keyRecord{}, true
	}
	s.records[key] = &keyRecord{token: token, attempt: attempt, claimedAt: now}
	s.claimOrder = append(s.claimOrder, key)
	return keyRecord{}, true
}

// expire removes records older than age from the front of claimOrder, up to the first that is not older. The caller
// holds mu.
//
// claimOrder follows the first claims, so a key that was claimed again may precede older records. No record is removed
// too early because of that, but the older ones are kept until it expires. Until then, a request with one of their keys
// is not run again, although the key's window is over. Each further claim extends that time.
func (s *responseStore) expire(now time.Time, age time.Duration) {
	for len(s.claimOrder) > 0 {
		r := s.records[s.claimOrder[0]]
		if r != nil && now.Sub(r.claimedAt) < age {
			return
		}
		s.dropResponse(r)
		delete(s.records, s.claimOrder[0])
		s.claimOrder = s.claimOrder[1:]
		s.oldestStored = max(0, s.oldestStored-1)
	}
}

// dropResponse removes the response of a record, but keeps the record. The caller holds mu.
func (s *responseStore) dropResponse(r *keyRecord) {
	if r != nil && r.response != nil {
		s.storedBytes -= len(r.response.Body)
		r.response = nil
	}
}

// setState records the state of a key's request.
func (s *responseStore) setState(key string, state keyState, response *wire.ResponseT) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[key]; r != nil {
		s.update(r, state, response)
	}
}

// finish is setState for the request with the given token. It does nothing if the key was claimed with another token in
// the meantime, which happens when a request runs longer than the key's window.
func (s *responseStore) finish(key, token string, state keyState, response *wire.ResponseT) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[key]; r != nil && r.token == token {
		s.update(r, state, response)
	}
}

// update records the state of a key's request, and evicts the oldest responses while all exceed maxStoredBytes. The
// caller holds mu. If a response is stored when oldestStored has already passed its key, because the request took long
// or the key was claimed again, it is not evicted, but removed when its record expires. Such responses may exceed
// maxStoredBytes.
func (s *responseStore) update(r *keyRecord, state keyState, response *wire.ResponseT) {
	r.state = state
	if state != keyAnswered || response == nil || len(response.Body) > maxStoredResponseBytes {
		return
	}
	r.response = response
	s.storedBytes += len(response.Body)
	for ; s.storedBytes > maxStoredBytes && s.oldestStored < len(s.claimOrder); s.oldestStored++ {
		s.dropResponse(s.records[s.claimOrder[s.oldestStored]])
	}
}

// markNotExecuted records that the key's request never ran, so that the key may be claimed again.
func (s *responseStore) markNotExecuted(key string) {
	s.setState(key, keyNotExecuted, nil)
}

// get returns the record of a key, if there is one.
func (s *responseStore) get(key string) (keyRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[key]
	if r == nil {
		return keyRecord{}, false
	}
	return *r, true
}

// export returns the records to hand over to a successor: those of keys whose requests ran or may have run, with the
// stored responses and the remaining time of the key windows.
func (s *responseStore) export(window time.Duration) (records []*wire.StoredResponseT) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range s.claimOrder {
		r := s.records[key]
		left := window - time.Since(r.claimedAt)
		if left <= 0 || r.state != keyAnswered && r.state != keyOutcomeUnknown {
			continue
		}
		record := wireRecord(r)
		record.Key = key
		record.TtlUs = left.Microseconds()
		records = append(records, record)
	}
	return records
}
