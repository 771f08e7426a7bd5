package sidecar

import (
	"sync"

	"cranegrade/internal/mesh/transport/wire"
)

// requestKind classifies requests by whether they may be executed more than once. It is an index of requestKindNames.
type requestKind int

const (
	kindKeyed requestKind = iota
	kindNonIdempotent
	kindIdempotent
)

var requestKindNames = [...]string{
	kindKeyed:         "keyed",
	kindNonIdempotent: "non_idempotent",
	kindIdempotent:    "idempotent",
}

// String implements fmt.Stringer.
func (k requestKind) String() string { return requestKindNames[k] }

// requestMetrics counts the requests at the local server by kind and outcome. The zero value is ready to use.
type requestMetrics struct {
	mu    sync.Mutex // guards below
	kinds [len(requestKindNames)]wire.WorkCounterT
}

// begin counts a request that has begun.
func (m *requestMetrics) begin(k requestKind) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kinds[k].Open++
}

// end counts a request that has ended with a response. The response is nil if it was streamed; truncated then reports
// whether the stream ended early.
func (m *requestMetrics) end(k requestKind, response *wire.ResponseT, truncated bool) {
	ending := codeAnswered
	switch {
	case response != nil:
		ending = response.Ending
	case truncated:
		ending = codeBroken
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	work := &m.kinds[k]
	work.Open--
	switch ending {
	case codeBroken, codeTimedOut:
		work.Broken++
	case codeOverloaded, codeNotAccepted, codeKeyNotGranted:
		work.Rejected++
	default:
		work.Answered++
	}
}

// reset sets the counts of outcomes to zero, and keeps the count of open requests.
func (m *requestMetrics) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.kinds {
		m.kinds[i] = wire.WorkCounterT{Open: m.kinds[i].Open}
	}
}

// snapshot returns the counts of all kinds.
func (m *requestMetrics) snapshot() (counts []*wire.WorkCounterT) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, work := range m.kinds {
		work.Kind = requestKindNames[i]
		counts = append(counts, &work)
	}
	return counts
}
