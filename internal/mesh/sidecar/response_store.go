package sidecar

import (
	"sync"
	"time"

	"cranegrade/internal/mesh/transport/wire"
)

const (
	maxStoredBytes         = 8 << 20
	maxStoredResponseBytes = 256 << 10 // of one answer
	// leaseSlack is for how much longer than its window a key is leased, and recordSlack for how much longer than that it is
	// remembered here.
	leaseSlack  = 2 * time.Second
	recordSlack = 5 * time.Second
)

// responseStore is the keys whose requests ran beside this sidecar, with their responses for repeats. It is bounded in bytes: the
// oldest responses are evicted first, and what is left says that their requests ran.
type responseStore struct {
	inherited inheritedResponses

	mu           sync.Mutex // guards below
	records      map[string]*keyRecord
	claimOrder   []string
	storedBytes  int
	oldestStored int // index in claimOrder of the oldest response that is still there
}

func newResponseStore() *responseStore { return &responseStore{records: map[string]*keyRecord{}} }

// begin notes that a key is about to be claimed; false: it was before, and was is what became of it.
func (s *responseStore) begin(key, token string, attempt uint32, window time.Duration) (was keyRecord, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now, window+recordSlack)
	if r := s.records[key]; r != nil {
		if r.state != keyNotExecuted {
			return *r, false
		}
		r.token, r.attempt, r.state, r.claimedAt = token, attempt, keyClaiming, now
		return keyRecord{}, true
	}
	s.records[key] = &keyRecord{token: token, attempt: attempt, claimedAt: now}
	s.claimOrder = append(s.claimOrder, key)
	return keyRecord{}, true
}

// expire forgets the keys that were claimed longer ago, up to the first that was not. The caller holds mu.
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

// dropResponse is called with mu held.
func (s *responseStore) dropResponse(r *keyRecord) {
	if r != nil && r.response != nil {
		s.storedBytes -= len(r.response.Body)
		r.response = nil
	}
}

// setState notes what became of a key.
func (s *responseStore) setState(key string, state keyState, response *wire.ResponseT) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[key]; r != nil {
		s.update(r, state, response)
	}
}

// finish is setState for the run of a token: one that outlasted its key's window says nothing of whose the key is by then.
func (s *responseStore) finish(key, token string, state keyState, response *wire.ResponseT) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[key]; r != nil && r.token == token {
		s.update(r, state, response)
	}
}

// update notes what became of a key, and evicts responses while there are too many bytes of them. The caller holds mu.
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

// markNotExecuted is for a claim that was not granted: whoever holds the key's lease knows what became of it.
func (s *responseStore) markNotExecuted(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[key]; r != nil {
		r.state = keyNotExecuted
	}
}

// get is what became of a key here; false: nothing is known of it.
func (s *responseStore) get(key string) (keyRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[key]
	if r == nil {
		return keyRecord{}, false
	}
	return *r, true
}

// export is what a successor needs: each key that ran, with its response and for how much longer it matters.
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
		record.Key, record.TtlUs = key, left.Microseconds()
		records = append(records, record)
	}
	return records
}
