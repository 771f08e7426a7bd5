// Package retrybudget bounds how many retries a sidecar may send to a service, as a ratio of the requests that it sends there. It is
// the retry budget of Finagle and Linkerd: unlike a maximum of attempts for each request, it keeps the load bounded when every
// request fails.
//
// Each sidecar keeps to the ratio for the requests that it sends itself, so that all sidecars together keep it without
// coordination.
//
// The package is pure: callers pass the time. A Budget is not safe for concurrent use; its owner locks it.
package retrybudget

import "time"

// bucketCount is the number of buckets of a window. Requests and retries leave the window by whole buckets, so more of them
// make the ratio smoother.
const bucketCount = 20

// Limits bound the retries to one service.
type Limits struct {
	Window     time.Duration // sliding window over which requests and retries are counted
	Ratio      float64       // retries allowed for each request
	MinRetries float64       // retries allowed in each window beyond the ratio, so that rarely called services can be retried
}

// Budget counts one service's requests and retries over the last window, in a ring of buckets.
type Budget struct {
	limits   Limits
	requests [bucketCount]float64
	retries  [bucketCount]float64
	current  int64 // number of the current bucket, counted from the clock's origin
}

// New returns an empty budget.
func New(limits Limits) *Budget { return &Budget{limits: limits} }

// SetLimits changes the limits. If the window changes, the counts start from zero.
func (b *Budget) SetLimits(limits Limits) {
	if limits.Window != b.limits.Window {
		*b = Budget{}
	}
	b.limits = limits
}

// advance empties the buckets that have left the window and returns the index of the current one. A time before the current bucket,
// as when calls overtake each other, counts in the current one.
func (b *Budget) advance(now time.Duration) (index int) {
	bucketLength := max(1, b.limits.Window/bucketCount)
	bucket := int64(now / bucketLength)
	for n := max(b.current+1, bucket-bucketCount+1); n <= bucket; n++ {
		b.requests[n%bucketCount] = 0
		b.retries[n%bucketCount] = 0
	}
	b.current = max(b.current, bucket)
	return int(b.current % bucketCount)
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest(now time.Duration) { b.requests[b.advance(now)]++ }

// AllowRetry reports whether a retry may be sent, and counts it if so.
func (b *Budget) AllowRetry(now time.Duration) bool {
	index := b.advance(now)
	oldest := (index + 1) % bucketCount
	var requests, retries float64
	for n := range bucketCount {
		if n != oldest { // it is about to leave the window, and its requests will not count any more
			requests += b.requests[n]
		}
		retries += b.retries[n]
	}
	if retries+1 > requests*b.limits.Ratio+b.limits.MinRetries {
		return false
	}
	b.retries[index]++
	return true
}
