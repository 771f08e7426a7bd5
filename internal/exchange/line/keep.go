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
	// legacy is what other lines left here, by their trunk and the key
	legacy      map[string]inherited
	legacyBytes int
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
	if x := k.keys[key]; x != nil {
		k.note(x, f, answer)
	}
}

// end is set for the run of a ticket: one that outlasted its key's window says nothing of whose the key is by then.
func (k *keep) end(key, ticket string, f fate, answer *wire.AnswerT) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if x := k.keys[key]; x != nil && x.ticket == ticket {
		k.note(x, f, answer)
	}
}

// note notes what became of a key. The caller holds the lock.
func (k *keep) note(x *kept, f fate, answer *wire.AnswerT) {
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

// all is what is kept, for an heir: each key with its answer, and how much longer it matters.
func (k *keep) all(window time.Duration) (l []*wire.KeptT) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range k.order {
		x := k.keys[key]
		left := window - time.Since(x.at)
		if x == nil || left <= 0 || x.fate != done && x.fate != unknown {
			continue
		}
		t := keptOf(x)
		t.Key, t.Left = key, left.Microseconds()
		l = append(l, t)
	}
	return l
}

// inherit keeps what another line kept, by that line and key: answers only, for the claims are its own. It is bounded as what a
// line keeps itself.
func (k *keep) inherit(from string, l []*wire.KeptT) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for key, x := range k.legacy {
		if now.After(x.until) {
			k.legacyBytes -= len(x.kept.Body)
			delete(k.legacy, key)
		}
	}
	if k.legacy == nil {
		k.legacy = map[string]inherited{}
	}
	for _, t := range l {
		key := from + " " + t.Key
		if _, is := k.legacy[key]; is || k.legacyBytes+len(t.Body) > keepBytes || len(k.legacy) >= mostLegacy {
			continue
		}
		k.legacy[key] = inherited{t, now.Add(time.Duration(t.Left) * time.Microsecond)}
		k.legacyBytes += len(t.Body)
	}
}

// inherited is what was kept by another line.
type inherited struct {
	kept  *wire.KeptT
	until time.Time
}

const mostLegacy = 100_000

// left is what another line left of a key; nil: nothing is known.
func (k *keep) left(from, key string) *wire.KeptT {
	k.mu.Lock()
	defer k.mu.Unlock()
	if x, is := k.legacy[from+" "+key]; is && time.Now().Before(x.until) {
		return x.kept
	}
	return nil
}

// keptOf is what is known of a key, for another line.
func keptOf(x *kept) *wire.KeptT {
	switch {
	case x.fate == never:
		return &wire.KeptT{Found: true}
	case x.fate == unknown, x.fate == done && x.answer == nil:
		return &wire.KeptT{Found: true, Unknown: true}
	case x.fate == done:
		return &wire.KeptT{Found: true, Status: x.answer.Status, Fields: x.answer.Fields, Body: x.answer.Body}
	}
	return &wire.KeptT{Found: true, Running: true}
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
