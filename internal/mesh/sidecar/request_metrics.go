package sidecar

import (
	"sync"

	"cranegrade/internal/mesh/transport/wire"
)

// requestKind is how often a request that runs here may run: an index of requestKindNames.
type requestKind int

const (
	kindKeyed requestKind = iota
	kindNonIdempotent
	kindIdempotent
)

var requestKindNames = [...]string{kindKeyed: "keyed", kindNonIdempotent: "non_idempotent", kindIdempotent: "idempotent"}

// String implements fmt.Stringer.
func (k requestKind) String() string { return requestKindNames[k] }

// requestMetrics counts what runs at the local server and how it ends, by kind. The zero value is ready.
type requestMetrics struct {
	mu    sync.Mutex // guards below
	kinds [len(requestKindNames)]wire.WorkCounterT
}

func (m *requestMetrics) begin(k requestKind) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kinds[k].Open++
}

// end counts an end by the response that was given; nil: it was streamed, truncated or complete.
func (m *requestMetrics) end(k requestKind, response *wire.ResponseT, truncated bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	work := &m.kinds[k]
	work.Open--
	switch {
	case response == nil && truncated || response != nil && (response.Ending == codeBroken || response.Ending == codeTimedOut):
		work.Broken++
	case response != nil && (response.Ending == codeOverloaded || response.Ending == codeNotAccepted || response.Ending == codeKeyNotGranted):
		work.Rejected++
	default:
		work.Answered++
	}
}

// reset has the ends be counted from now on. What is open stays counted.
func (m *requestMetrics) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.kinds {
		m.kinds[i] = wire.WorkCounterT{Open: m.kinds[i].Open}
	}
}

// snapshot is the counts of all kinds.
func (m *requestMetrics) snapshot() (counts []*wire.WorkCounterT) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, work := range m.kinds {
		work.Kind = requestKindNames[i]
		counts = append(counts, &work)
	}
	return counts
}
