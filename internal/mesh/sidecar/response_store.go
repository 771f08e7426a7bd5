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
	// maxStoredResponseBytes is the largest body that is stored. One response must not evict most others.
	maxStoredResponseBytes = 256 << 10
	// recordSlack is how much longer than its lease the record of a key is kept. Log time, in which
	// the lease is counted, may lag behind the clock here.
	recordSlack = 5 * time.Second
)

// responseStore holds the keys whose requests ran beside this sidecar, with their responses for repeated requests.
// Its size in bytes is bounded: the oldest responses are evicted first, and their records then only say that the
// requests ran.
type responseStore struct {
	inherited inheritedResponses

	mu           sync.Mutex // guards below
	records      map[string]*keyRecord
	claimOrder   []string // the keys of records, by their first claims
	storedBytes  int
	oldestStored int // index in claimOrder of the first key whose response has not been evicted
}

func newResponseStore() *responseStore {
	return &responseStore{records: map[string]*keyRecord{}}
}

// begin records that a key is about to be claimed, by the attempt of a call that token identifies. isFirst is false if
// it was claimed before; earlier is the record of that claim. A key whose request never ran is claimed anew, and keeps its
// place in claimOrder.
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

// expire removes the records that are older than age, up to the first that is not. The caller holds mu.
//
// claimOrder is by first claims, so a key that was claimed anew may stand before older ones. No record is removed too
// early for that, but those behind it are kept until it expires as well: a request with one of their keys is not run
// again meanwhile, although the key's window is over. Each new claim prolongs that.
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

// dropResponse forgets the response of a record, which stays. The caller holds mu.
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

// finish is setState for the request with a token. It does nothing if another token has claimed the key meanwhile,
// which happens when a request runs longer than the key's window.
func (s *responseStore) finish(key, token string, state keyState, response *wire.ResponseT) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[key]; r != nil && r.token == token {
		s.update(r, state, response)
	}
}

// update records the state of a key's request, and evicts responses while they exceed maxStoredBytes. The caller
// holds mu. A response that comes after oldestStored has passed its key, since the request took long or the key was
// claimed anew, is only removed once it expires: such responses may exceed maxStoredBytes.
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

// markNotExecuted records that the request of a key never ran here, so that the key may be claimed again.
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

// export returns the records that a successor needs: of each key whose request ran, with its response and the time
// until it expires.
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
