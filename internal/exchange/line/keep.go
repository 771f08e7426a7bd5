package line

import (
	"sync"
	"time"

	"hollyspur/internal/exchange/trunk/wire"
)

// What became of a key's request at this line.
type fate uint8

const (
	claiming fate = iota // it may not have run yet
	running
	done    // its answer is kept
	unknown // it may have run, and its answer is lost
	never   // it never ran, and never will by that ticket
)

// kept is a key that was claimed here.
type kept struct {
	ticket string
	nth    uint32
	fate   fate
	answer *wire.AnswerT // of done
	at     time.Time
}

// keep is the keys whose requests ran beside this line, with their answers for repeats. It is bounded in bytes: of the
// oldest the answers go first, and what is left says that they ran.
type keep struct {
	mu    sync.Mutex // guards below
	keys  map[string]*kept
	order []string // as claimed
	bytes int
	first int // of order, whose answers are still there
}

const (
	keepBytes  = 8 << 20
	keepAnswer = 256 << 10 // of one answer
)

func newKeep() *keep { return &keep{keys: map[string]*kept{}} }

// begin notes that a key is about to be claimed; false: it was before, and was is what became of it.
func (k *keep) begin(key, ticket string, nth uint32, window time.Duration) (was kept, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for len(k.order) > 0 {
		x := k.keys[k.order[0]]
		if x != nil && now.Sub(x.at) < window+5*time.Second {
			break
		}
		k.drop(x)
		delete(k.keys, k.order[0])
		k.order = k.order[1:]
		k.first = max(0, k.first-1)
	}
	if x := k.keys[key]; x != nil {
		if x.fate != never {
			return *x, false
		}
		x.ticket, x.nth, x.fate, x.at = ticket, nth, claiming, now
		return kept{}, true
	}
	k.keys[key] = &kept{ticket: ticket, nth: nth, at: now}
	k.order = append(k.order, key)
	return kept{}, true
}

func (k *keep) drop(x *kept) {
	if x != nil && x.answer != nil {
		k.bytes -= len(x.answer.Body)
		x.answer = nil
	}
}

// set notes what became of a key.
func (k *keep) set(key string, f fate, answer *wire.AnswerT) {
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.keys[key]
	if x == nil {
		return
	}
	x.fate = f
	if f != done || answer == nil || len(answer.Body) > keepAnswer {
		return
	}
	x.answer = answer
	k.bytes += len(answer.Body)
	for ; k.bytes > keepBytes && k.first < len(k.order); k.first++ {
		k.drop(k.keys[k.order[k.first]])
	}
}

// forget is for one that was not granted: whoever holds the key knows what became of it.
func (k *keep) forget(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if x := k.keys[key]; x != nil {
		x.fate = never
	}
}

// get is what became of a key here; false: nothing is known of it.
func (k *keep) get(key string) (kept, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.keys[key]
	if x == nil {
		return kept{}, false
	}
	return *x, true
}
