// Package retrybudget limits the retries that a sidecar sends to a service to a ratio of the requests that it sends there. It follows
// the retry budgets of Finagle and Linkerd: unlike a maximum number of attempts per request, a budget bounds the load even when every
// request fails.
//
// Each sidecar applies the ratio to its own requests, so that the total over all sidecars meets the ratio without coordination.
//
// The package reads no clock: callers pass the time. A Budget is not safe for concurrent use; callers must lock it.
package retrybudget

import "time"

// bucketCount is the number of buckets of a window. Requests and retries expire one whole bucket at a time, so more buckets make the
// ratio smoother.
const bucketCount = 20

// Limits is the configuration of the budget for one service.
type Limits struct {
	Window     time.Duration // sliding window over which requests and retries are counted
	Ratio      float64       // retries allowed per request
	MinRetries float64       // retries allowed per window in addition to the ratio, so that rarely called services can be retried
}

// Budget counts one service's requests and retries over the last window, in a ring of buckets.
type Budget struct {
	limits   Limits
	requests [bucketCount]float64
	retries  [bucketCount]float64
	current  int64 // number of the current bucket since time 0
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

// advance clears the buckets that have left the window and returns the index of the current one. A time before the current bucket,
// which occurs when concurrent callers read the clock before they take the lock, counts as part of the current bucket.
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

// AllowRetry reports whether a retry may be sent. If so, the retry is counted.
func (b *Budget) AllowRetry(now time.Duration) bool {
	index := b.advance(now)
	oldest := (index + 1) % bucketCount
	var requests, retries float64
	for n := range bucketCount {
		if n != oldest { // requests of the oldest bucket are excluded because they are about to leave the window
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
