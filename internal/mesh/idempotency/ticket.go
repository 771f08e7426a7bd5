// Package ticket is which keyed request may run: the first that claims a key holds it for its window, whatever becomes of
// it, but where whoever holds it says that it never ran. It is pure, and part of the state that the registers agree on:
// its time is the log's, which goes on only while there is a leader and never faster than the time, so that no window
// ends too soon.
package idempotency

import (
	"math"
	"sort"
	"time"
)

// LeaseRequest asks for a key. Nth counts the servers that this ticket was sent to: whoever sends it to another has the word of
// the one before that it never ran there.
type LeaseRequest struct {
	Key, Token string
	Attempt    uint32
	Holder     string // the line beside the server
	Release    bool   // that of this ticket never ran
	// Window is for how long it is held. It is the claim's own: whoever keeps a book holds the key for as long as any other.
	Window time.Duration
}

// Lease is who holds a key.
type Lease struct {
	LeaseRequest
	GrantedAt time.Duration
}

// LeaseResult is the answer to a claim.
type LeaseResult struct {
	Granted bool
	Current Lease // by whom, if not; by nobody: the book is full
}

// MaxLeases is how many keys a book holds. Beyond that none is granted until windows end.
const MaxLeases = 200_000

// defaultWindow is the window of a claim that names none: of a version before claims did.
const defaultWindow = 10 * time.Minute

func (h Lease) duration() time.Duration {
	if h.Window <= 0 {
		return defaultWindow
	}
	return h.Window
}

// isExpired says that a key is held no more.
func (h Lease) isExpired(now time.Duration) bool { return now-h.GrantedAt > h.duration() }

// Store is the keys that are held.
type Store struct {
	leases         map[string]Lease
	lastSweep      time.Duration
	earliestExpiry time.Duration // no window of what is held ends before; it may have ended since
}

// New returns an empty book.
func New() *Store { return &Store{leases: map[string]Lease{}} }

// Restore is New with what a book held.
func Restore(l []Lease) *Store {
	b := New()
	for _, h := range l {
		b.leases[h.Key] = h
	}
	return b
}

// Leases is what is held, in a fixed order.
func (b *Store) Leases() []Lease {
	l := make([]Lease, 0, len(b.leases))
	for _, h := range b.leases {
		l = append(l, h)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Key < l[j].Key })
	return l
}

// Len is how many keys are held.
func (b *Store) Len() int { return len(b.leases) }

// Apply takes a claim at a log time.
func (b *Store) Apply(now time.Duration, c LeaseRequest) LeaseResult {
	if now-b.lastSweep >= sweepInterval || len(b.leases) >= MaxLeases {
		b.sweep(now)
	}
	h, is := b.leases[c.Key]
	if is && h.isExpired(now) {
		h, is = Lease{}, false
	}
	switch {
	case c.Release:
		if is && h.Token == c.Token && h.Attempt == c.Attempt {
			delete(b.leases, c.Key)
		}
		return LeaseResult{Granted: true}
	case !is && len(b.leases) >= MaxLeases: // all of them within their windows: it was swept
	case !is,
		h.Token == c.Token && h.Attempt < c.Attempt,
		h.Token == c.Token && h.Attempt == c.Attempt && h.Holder == c.Holder: // it asks again, for want of an answer
		b.leases[c.Key] = Lease{c, now}
		b.earliestExpiry = min(b.earliestExpiry, now+b.leases[c.Key].duration())
		return LeaseResult{Granted: true}
	}
	return LeaseResult{Current: h}
}

const sweepInterval = 5 * time.Second

// sweep forgets what is past its window. It is no part of what is agreed on: books that were swept at different times grant
// alike, for a full one is swept before it refuses.
func (b *Store) sweep(now time.Duration) {
	if now <= b.earliestExpiry {
		return
	}
	b.lastSweep, b.earliestExpiry = now, math.MaxInt64
	for k, h := range b.leases {
		if h.isExpired(now) {
			delete(b.leases, k)
		} else {
			b.earliestExpiry = min(b.earliestExpiry, h.GrantedAt+h.duration())
		}
	}
}
