package extproc

import (
	"container/list"
	"sync"
	"time"

	"cranegrade/internal/engine"
)

// book knows the calls by the ids that proxies ask with: those that are open, and for a while what
// became of those that are not, so that a request which must not run again gets its answer and no
// server. It holds a bounded number: beyond that the oldest that is over is forgotten.
type book struct {
	most int

	mu    sync.Mutex // guards all below
	calls map[string]*entry
	over  *list.List // of *entry: those that are over, the oldest first
}

// entry is a request by its id. The book's lock guards it.
type entry struct {
	id     string
	ticket *ticket       // while it is open
	answer engine.Answer // what became of it
	until  time.Duration // when that is forgotten
	place  *list.Element // in over
}

func newBook(most int) *book {
	return &book{most: most, calls: map[string]*entry{}, over: list.New()}
}

// enter finds the request with an id, or notes t as it. Of what is found either the ticket is set, for a
// request that is open, or the answer counts. A request without an id is always new.
func (b *book) enter(now time.Duration, id string, t *ticket) (found bool, open *ticket, answer engine.Answer) {
	if id == "" {
		return false, nil, engine.Answer{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	if e := b.calls[id]; e != nil {
		return true, e.ticket, e.answer
	}
	b.calls[id] = &entry{id: id, ticket: t}
	return false, nil, engine.Answer{}
}

// close notes what became of a request, and until when that is to be known; a time that is over
// forgets it.
func (b *book) close(now time.Duration, id string, t *ticket, a engine.Answer, until time.Duration) {
	if id == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.calls[id]
	if e == nil || e.ticket != t {
		return
	}
	if until <= now {
		delete(b.calls, id)
		return
	}
	a.Reply = nil
	e.ticket, e.answer, e.until = nil, a, until
	e.place = b.over.PushBack(e)
	b.expire(now)
}

// expire forgets what is out of time, and the oldest of what is too much. It looks at the oldest only:
// times differ little, so what stays behind one that lasts longer stays only that little longer.
func (b *book) expire(now time.Duration) {
	for f := b.over.Front(); f != nil; f = b.over.Front() {
		e := f.Value.(*entry)
		if e.until > now && b.over.Len() <= b.most {
			return
		}
		b.over.Remove(f)
		delete(b.calls, e.id)
	}
}

// size is how many requests are known.
func (b *book) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.calls)
}
