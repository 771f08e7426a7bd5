package sidecar

import (
	"sync"

	"cranegrade/internal/mesh/transport/wire"
)

// requestKind is what a request that runs here may do: one of kindNames, by its place.
type requestKind int

var requestKindNames = [...]string{"keyed", "non_idempotent", "idempotent"}

func (r *inboundRequest) kind() requestKind {
	switch {
	case r.request.IdempotencyKey != "":
		return 0
	case r.request.AtMostOnce:
		return 1
	}
	return 2
}

// requestMetrics counts what runs at the own server and how it ends, by kind.
type requestMetrics struct {
	mu    sync.Mutex // guards below
	kinds [len(requestKindNames)]wire.WorkCounterT
}

func (t *requestMetrics) begin(k requestKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kinds[k].Open++
}

// end counts an end: the answer that was given; nil: it went out in pieces, broken or whole.
func (t *requestMetrics) end(k requestKind, a *wire.ResponseT, broken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := &t.kinds[k]
	w.Open--
	switch {
	case a == nil && broken || a != nil && (a.Ending == codeBroken || a.Ending == codeTimedOut):
		w.Broken++
	case a != nil && (a.Ending == codeOverloaded || a.Ending == codeNotAccepted || a.Ending == codeKeyNotGranted):
		w.Rejected++
	default:
		w.Answered++
	}
}

// reset has the ends be counted from now on.
func (t *requestMetrics) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.kinds {
		t.kinds[i] = wire.WorkCounterT{Open: t.kinds[i].Open}
	}
}

func (t *requestMetrics) snapshot() (l []*wire.WorkCounterT) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, w := range t.kinds {
		w.Kind = requestKindNames[i]
		l = append(l, &w)
	}
	return l
}
