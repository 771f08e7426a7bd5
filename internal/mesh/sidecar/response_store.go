package sidecar

import (
	"sync"
	"time"

	"cranegrade/internal/mesh/transport/wire"
)

// What became of a key's request at this line.
type keyState uint8

const (
	keyClaiming keyState = iota // it may not have run yet
	keyRunning
	keyAnswered       // its answer is kept
	keyOutcomeUnknown // it may have run, and its answer is lost
	keyNotExecuted    // it never ran, and never will by that ticket
)

// keyRecord is a key that was claimed here.
type keyRecord struct {
	token     string
	attempt   uint32
	state     keyState
	answer    *wire.ResponseT // of done
	claimedAt time.Time
}

// responseStore is the keys whose requests ran beside this line, with their answers for repeats. It is bounded in bytes: of the
// oldest the answers go first, and what is left says that they ran.
type responseStore struct {
	mu           sync.Mutex // guards below
	records      map[string]*keyRecord
	claimOrder   []string // as claimed
	storedBytes  int
	oldestStored int // of order, whose answers are still there
	// legacy is what other lines left here, by their trunk and the key
	inherited      map[string]inheritedRecord
	inheritedBytes int
}

const (
	maxStoredBytes         = 8 << 20
	maxStoredResponseBytes = 256 << 10 // of one answer
)

func newResponseStore() *responseStore { return &responseStore{records: map[string]*keyRecord{}} }

// begin notes that a key is about to be claimed; false: it was before, and was is what became of it.
func (k *responseStore) begin(key, ticket string, nth uint32, window time.Duration) (was keyRecord, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for len(k.claimOrder) > 0 {
		x := k.records[k.claimOrder[0]]
		if x != nil && now.Sub(x.claimedAt) < window+5*time.Second {
			break
		}
		k.dropResponse(x)
		delete(k.records, k.claimOrder[0])
		k.claimOrder = k.claimOrder[1:]
		k.oldestStored = max(0, k.oldestStored-1)
	}
	if x := k.records[key]; x != nil {
		if x.state != keyNotExecuted {
			return *x, false
		}
		x.token, x.attempt, x.state, x.claimedAt = ticket, nth, keyClaiming, now
		return keyRecord{}, true
	}
	k.records[key] = &keyRecord{token: ticket, attempt: nth, claimedAt: now}
	k.claimOrder = append(k.claimOrder, key)
	return keyRecord{}, true
}

func (k *responseStore) dropResponse(x *keyRecord) {
	if x != nil && x.answer != nil {
		k.storedBytes -= len(x.answer.Body)
		x.answer = nil
	}
}

// setState notes what became of a key.
func (k *responseStore) setState(key string, f keyState, answer *wire.ResponseT) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if x := k.records[key]; x != nil {
		k.update(x, f, answer)
	}
}

// finish is set for the run of a ticket: one that outlasted its key's window says nothing of whose the key is by then.
func (k *responseStore) finish(key, ticket string, f keyState, answer *wire.ResponseT) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if x := k.records[key]; x != nil && x.token == ticket {
		k.update(x, f, answer)
	}
}

// update notes what became of a key. The caller holds the lock.
func (k *responseStore) update(x *keyRecord, f keyState, answer *wire.ResponseT) {
	x.state = f
	if f != keyAnswered || answer == nil || len(answer.Body) > maxStoredResponseBytes {
		return
	}
	x.answer = answer
	k.storedBytes += len(answer.Body)
	for ; k.storedBytes > maxStoredBytes && k.oldestStored < len(k.claimOrder); k.oldestStored++ {
		k.dropResponse(k.records[k.claimOrder[k.oldestStored]])
	}
}

// markNotExecuted is for one that was not granted: whoever holds the key knows what became of it.
func (k *responseStore) markNotExecuted(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if x := k.records[key]; x != nil {
		x.state = keyNotExecuted
	}
}

// export is what is kept, for an heir: each key with its answer, and how much longer it matters.
func (k *responseStore) export(window time.Duration) (l []*wire.StoredResponseT) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range k.claimOrder {
		x := k.records[key]
		left := window - time.Since(x.claimedAt)
		if x == nil || left <= 0 || x.state != keyAnswered && x.state != keyOutcomeUnknown {
			continue
		}
		t := wireRecord(x)
		t.Key, t.TtlUs = key, left.Microseconds()
		l = append(l, t)
	}
	return l
}

// inherit keeps what another line kept, by that line and key: answers only, for the claims are its own. It is bounded as what a
// line keeps itself.
func (k *responseStore) inherit(from string, l []*wire.StoredResponseT) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for key, x := range k.inherited {
		if now.After(x.expiresAt) {
			k.inheritedBytes -= len(x.record.Body)
			delete(k.inherited, key)
		}
	}
	if k.inherited == nil {
		k.inherited = map[string]inheritedRecord{}
	}
	for _, t := range l {
		key := from + " " + t.Key
		if _, is := k.inherited[key]; is || k.inheritedBytes+len(t.Body) > maxStoredBytes || len(k.inherited) >= maxInheritedRecords {
			continue
		}
		k.inherited[key] = inheritedRecord{t, now.Add(time.Duration(t.TtlUs) * time.Microsecond)}
		k.inheritedBytes += len(t.Body)
	}
}

// inheritedRecord is what was kept by another line.
type inheritedRecord struct {
	record    *wire.StoredResponseT
	expiresAt time.Time
}

const maxInheritedRecords = 100_000

// inheritedFor is what another line left of a key; nil: nothing is known.
func (k *responseStore) inheritedFor(from, key string) *wire.StoredResponseT {
	k.mu.Lock()
	defer k.mu.Unlock()
	if x, is := k.inherited[from+" "+key]; is && time.Now().Before(x.expiresAt) {
		return x.record
	}
	return nil
}

// wireRecord is what is known of a key, for another line.
func wireRecord(x *keyRecord) *wire.StoredResponseT {
	switch {
	case x.state == keyNotExecuted:
		return &wire.StoredResponseT{Found: true}
	case x.state == keyOutcomeUnknown, x.state == keyAnswered && x.answer == nil:
		return &wire.StoredResponseT{Found: true, OutcomeUnknown: true}
	case x.state == keyAnswered:
		return &wire.StoredResponseT{Found: true, Status: x.answer.Status, HeaderFields: x.answer.HeaderFields, Body: x.answer.Body}
	}
	return &wire.StoredResponseT{Found: true, Running: true}
}

// get is what became of a key here; false: nothing is known of it.
func (k *responseStore) get(key string) (keyRecord, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.records[key]
	if x == nil {
		return keyRecord{}, false
	}
	return *x, true
}
