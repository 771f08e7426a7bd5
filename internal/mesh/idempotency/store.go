// Package idempotency decides which request with an idempotency key may run. The first request that asks for a key is granted a
// lease on it, and holds that lease for its window whatever becomes of the request, unless the holder reports that the request never
// ran.
//
// A Store is pure, and part of the state that the control-plane members replicate (package replica). Its time is log time, which
// advances only while there is a leader and never faster than real time, so that no lease ends too soon. It must never read a clock,
// and its answers must depend on the committed requests alone: members that sweep at different times have to answer alike.
//
// Idempotency keys are those of the IETF draft "The Idempotency-Key HTTP Header Field"; leases follow Gray and Cheriton, "Leases: An
// Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency".
package idempotency

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxLeases is how many keys a Store holds. Beyond that it grants none until windows end.
	MaxLeases = 200_000

	// defaultWindow is the window of a request that names none, as processes of the first version send it.
	defaultWindow = 10 * time.Minute

	// sweepInterval is how often a Store looks for expired leases, in log time.
	sweepInterval = 5 * time.Second
)

// LeaseRequest asks for the lease on a key, or gives it back.
type LeaseRequest struct {
	Key string
	// Token identifies the request that has the key, over all its attempts.
	Token string
	// Attempt numbers the servers that the request was sent to, from 0. A sender goes on to the next server only if it knows that the
	// request never ran at the one before, so that a later attempt may take over the lease of an earlier one.
	Attempt uint32
	// Holder is the sidecar beside the server that is to run the request.
	Holder string
	// Release gives the lease back: this attempt never ran.
	Release bool
	// Window is how long the lease is held, in log time; a window of 0 stands for defaultWindow. It is the requester's own
	// choice, and must be at least as long as any holder keeps the response.
	Window time.Duration
}

// Lease is a granted request.
type Lease struct {
	LeaseRequest
	GrantedAt time.Duration // log time
}

// duration returns for how long the lease is held.
func (l Lease) duration() time.Duration {
	if l.Window <= 0 {
		return defaultWindow
	}
	return l.Window
}

// isExpired reports whether the lease has ended by a log time.
func (l Lease) isExpired(now time.Duration) bool { return now-l.GrantedAt > l.duration() }

// yieldsTo reports whether a request may have the key although the lease has not expired: it is a later attempt of the same request,
// or the holder asks again because it has seen no answer.
func (l Lease) yieldsTo(request LeaseRequest) bool {
	if l.Token != request.Token {
		return false
	}
	return l.Attempt < request.Attempt || l.Attempt == request.Attempt && l.Holder == request.Holder
}

// LeaseResult is the answer to a LeaseRequest.
type LeaseResult struct {
	Granted bool
	// Current is the lease that stands in the way of a request that was not granted. It is zero where the Store is full.
	Current Lease
}

// Store holds the leases that were granted. It belongs to one goroutine.
type Store struct {
	leases         map[string]Lease // by key
	lastSweep      time.Duration
	earliestExpiry time.Duration // a lower bound of the expiries of all leases
}

// New returns an empty Store.
func New() *Store { return &Store{leases: map[string]Lease{}} }

// Restore returns a Store with the leases of an earlier one, as Leases returned them.
func Restore(leases []Lease) *Store {
	s := New()
	for _, lease := range leases {
		s.leases[lease.Key] = lease
	}
	return s
}

// Leases returns all leases, by key. Some may have expired.
func (s *Store) Leases() []Lease {
	leases := make([]Lease, 0, len(s.leases))
	for _, lease := range s.leases {
		leases = append(leases, lease)
	}
	slices.SortFunc(leases, func(a, b Lease) int { return cmp.Compare(a.Key, b.Key) })
	return leases
}

// Len returns the number of leases. Some may have expired.
func (s *Store) Len() int { return len(s.leases) }

// Apply decides on a request that is committed at a log time. A release is always granted; it has an effect only if that very attempt
// holds the lease.
func (s *Store) Apply(now time.Duration, request LeaseRequest) LeaseResult {
	if now-s.lastSweep >= sweepInterval || len(s.leases) >= MaxLeases {
		s.sweep(now)
	}
	lease, held := s.leases[request.Key]
	if held && lease.isExpired(now) {
		lease = Lease{}
		held = false
	}
	switch {
	case request.Release:
		if held && lease.Token == request.Token && lease.Attempt == request.Attempt {
			delete(s.leases, request.Key)
		}
		return LeaseResult{Granted: true}
	case held && !lease.yieldsTo(request):
		return LeaseResult{Current: lease}
	case !held && len(s.leases) >= MaxLeases: // none has expired: it was swept above
		return LeaseResult{}
	}
	s.grant(now, request)
	return LeaseResult{Granted: true}
}

func (s *Store) grant(now time.Duration, request LeaseRequest) {
	lease := Lease{LeaseRequest: request, GrantedAt: now}
	s.leases[request.Key] = lease
	s.earliestExpiry = min(s.earliestExpiry, now+lease.duration())
}

// sweep removes expired leases. Replicas may sweep at different times without diverging: an expired lease is never honoured, and a full
// Store is swept before it refuses a request.
func (s *Store) sweep(now time.Duration) {
	if now <= s.earliestExpiry {
		return
	}
	s.lastSweep = now
	s.earliestExpiry = math.MaxInt64
	for key, lease := range s.leases {
		if lease.isExpired(now) {
			delete(s.leases, key)
		} else {
			s.earliestExpiry = min(s.earliestExpiry, lease.GrantedAt+lease.duration())
		}
	}
}
