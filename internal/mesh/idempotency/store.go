// Package idempotency decides which of the requests with an idempotency key may run. The first request for a key is granted a lease
// on it. The lease lasts for the window of the request, whether the request succeeds, fails or is lost, unless it is released because
// the request never ran.
//
// A Store is deterministic and is part of the state that the control-plane members replicate (package replica). It uses log time,
// which advances only while there is a leader and never faster than real time, so that no lease ends too early. A Store must never
// read a clock, and its results must depend on the committed requests alone: members that sweep at different times must return the
// same results.
//
// Idempotency keys are defined in the IETF draft "The Idempotency-Key HTTP Header Field"; leases in Gray and Cheriton, "Leases: An
// Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency".
package idempotency

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxLeases is the maximum number of leases in a Store. A full Store grants no further leases until some expire.
	MaxLeases = 200_000

	// defaultWindow is the window of a request that has none, as sent by processes of the first version.
	defaultWindow = 10 * time.Minute

	// sweepInterval is the minimum time between sweeps of expired leases, in log time, unless the Store is full.
	sweepInterval = 5 * time.Second
)

// LeaseRequest requests the lease on a key or releases it.
type LeaseRequest struct {
	Key string
	// Token identifies the request that uses the key. All attempts of the request have the same token.
	Token string
	// Attempt counts the servers that the request was sent to, from 0. The sender tries the next server only if it knows that the
	// request did not run on the previous one, so a later attempt may take over the lease of an earlier one.
	Attempt uint32
	// Holder is the sidecar of the server that is to run the request.
	Holder string
	// Release releases the lease because this attempt never ran.
	Release bool
	// Window is the duration of the lease in log time; 0 means defaultWindow. The requester chooses it. It must be at least as long
	// as any holder keeps the response.
	Window time.Duration
}

// Lease is a granted LeaseRequest.
type Lease struct {
	LeaseRequest
	GrantedAt time.Duration // log time
}

// duration returns how long the lease lasts.
func (l Lease) duration() time.Duration {
	if l.Window <= 0 {
		return defaultWindow
	}
	return l.Window
}

// isExpired reports whether the lease has expired at a log time.
func (l Lease) isExpired(now time.Duration) bool { return now-l.GrantedAt > l.duration() }

// mayBeTakenBy reports whether a request may take the key over although the lease has not expired: it is a later attempt of the same
// request, or a repetition by the holder, which has received no answer.
func (l Lease) mayBeTakenBy(request LeaseRequest) bool {
	if l.Token != request.Token {
		return false
	}
	return l.Attempt < request.Attempt || l.Attempt == request.Attempt && l.Holder == request.Holder
}

// LeaseResult is the result of a LeaseRequest.
type LeaseResult struct {
	Granted bool
	// Current is the existing lease because of which the request was not granted. It is zero if the Store is full.
	Current Lease
}

// Store contains the granted leases. It is not safe for concurrent use.
type Store struct {
	leases         map[string]Lease // by key
	lastSweep      time.Duration
	earliestExpiry time.Duration // lower bound of the expiry times of all leases
}

// New returns an empty Store.
func New() *Store { return &Store{leases: map[string]Lease{}} }

// Restore returns a Store with the given leases, which Leases of another Store has returned.
func Restore(leases []Lease) *Store {
	s := New()
	for _, lease := range leases {
		s.leases[lease.Key] = lease
	}
	return s
}

// Leases returns all leases, ordered by key. Some may have expired.
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

// Apply applies a request that was committed at a log time. A release is always granted, but has an effect only if the same attempt
// has the lease.
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
	case held && !lease.mayBeTakenBy(request):
		return LeaseResult{Current: lease}
	case !held && len(s.leases) >= MaxLeases: // none has expired, because the sweep above removed those
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

// sweep removes expired leases. Replicas may sweep at different times without diverging: expired leases are ignored, and a full Store is
// swept before it refuses a request.
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
