package extproc

import "time"

// limits bounds what each proxy asks, by its identity: however many connections it has, it is one. It is pure; its
// owner locks it.
type limits struct {
	rate    float64 // questions a second; 0: no limit
	streams int     // open at once; 0: no limit
	by      map[identity]*bucket
	swept   time.Duration
}

// bucket is one proxy's part.
type bucket struct {
	tokens float64
	at     time.Duration
	open   int
}

// maxProxies bounds the identities that are told apart. Those beyond it share one bucket, so that made-up ones cost
// no memory and get no more than one.
const maxProxies = 4096

// sweepEvery is how often buckets that say nothing any more are looked for, at the most.
const sweepEvery = time.Second

// of finds a proxy's bucket.
func (l *limits) of(now time.Duration, id identity) *bucket {
	if l.by == nil {
		l.by = map[identity]*bucket{}
	}
	if b := l.by[id]; b != nil {
		return b
	}
	if len(l.by) >= maxProxies && now-l.swept >= sweepEvery {
		l.swept = now
		for k, b := range l.by {
			if b.open == 0 && now-b.at > sweepEvery { // it is full again by now
				delete(l.by, k)
			}
		}
	}
	if len(l.by) >= maxProxies {
		id = identity{}
		if b := l.by[id]; b != nil {
			return b
		}
	}
	b := &bucket{tokens: l.rate, at: now}
	l.by[id] = b
	return b
}

// begin notes a stream that begins, and says whether there may be one more. End the bucket's open count in any
// case: a stream that may not be is there until it is answered.
func (l *limits) begin(now time.Duration, id identity) (b *bucket, ok bool) {
	b = l.of(now, id)
	b.open++
	return b, l.streams == 0 || b.open <= l.streams
}

// take says whether a proxy may ask once more now. A second's worth may come at once.
func (l *limits) take(now time.Duration, b *bucket) bool {
	if l.rate == 0 {
		return true
	}
	b.tokens = min(l.rate, b.tokens+max(0, now-b.at).Seconds()*l.rate)
	b.at = max(b.at, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
