package extproc

import (
	"container/list"
	"sync"
	"time"

	"cranegrade/internal/engine"
)

// callTable finds calls by the id that proxies send with a request. It holds the open calls and, for a while, the
// answers of finished ones, so that a request which must not run again gets its answer and no endpoint. The number of
// finished ones is bounded: beyond it the oldest is forgotten. It may be used from any goroutine.
type callTable struct {
	maxFinished int

	mu       sync.Mutex // guards all below, and the records
	records  map[string]*callRecord
	finished *list.List // of *callRecord, in the order in which they finished
}

// callRecord is one request by its id.
type callRecord struct {
	key       string
	call      *call         // nil means it has finished
	answer    engine.Answer // once it has finished
	expiresAt time.Duration // when the answer is forgotten
}

func newCallTable(maxFinished int) *callTable {
	return &callTable{maxFinished: maxFinished, records: map[string]*callRecord{}, finished: list.New()}
}

// findOrAdd finds the request with a key, or adds c under it. If it is found and open, open is its call; if it has
// finished, open is nil and answer is its answer. A request without a key is always new.
func (t *callTable) findOrAdd(now time.Duration, key string, c *call) (found bool, open *call, answer engine.Answer) {
	if key == "" {
		return false, nil, engine.Answer{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if record := t.records[key]; record != nil {
		return true, record.call, record.answer
	}
	t.records[key] = &callRecord{key: key, call: c}
	return false, nil, engine.Answer{}
}

// finish keeps the answer of a request until a clock time; if that has passed, the request is forgotten. It does
// nothing unless c is the open call of the key.
func (t *callTable) finish(now time.Duration, key string, c *call, answer engine.Answer, expiresAt time.Duration) {
	if key == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.records[key]
	if record == nil || record.call != c {
		return
	}
	if expiresAt <= now {
		delete(t.records, key)
		return
	}
	answer.Reply = nil // it was released, or never came
	record.call, record.answer, record.expiresAt = nil, answer, expiresAt
	t.finished.PushBack(record)
	t.expire(now)
}

// expire forgets finished requests that have expired, and the oldest while there are too many. It stops at the first
// that is kept: the times differ little, so one behind a longer-lived one is kept only that little longer.
func (t *callTable) expire(now time.Duration) {
	for oldest := t.finished.Front(); oldest != nil; oldest = t.finished.Front() {
		record := oldest.Value.(*callRecord)
		if record.expiresAt > now && t.finished.Len() <= t.maxFinished {
			return
		}
		t.finished.Remove(oldest)
		delete(t.records, record.key)
	}
}

// size is the number of requests that are open or remembered.
func (t *callTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
