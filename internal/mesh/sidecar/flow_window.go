package sidecar

import (
	"context"
	"sync"
)

const (
	// sendWindowBytes is how much of a body may be under way to a receiver that reads slowly.
	sendWindowBytes = 256 << 10
	// windowUpdateBytes is how much a receiver takes before it lets the sender go on.
	windowUpdateBytes = 32 << 10
)

// flowWindow is a stream's flow-control window on the sender's side (as in RFC 9113, section 5.2): how much of a body may be sent.
// The zero value is an empty window. It is safe for concurrent use.
type flowWindow struct {
	mu        sync.Mutex // guards below
	available int        // bytes; less than nothing after a piece that was larger
	wake      chan struct{}
	closed    bool
}

// add opens the window by n bytes.
func (w *flowWindow) add(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.available += n
	w.wakeWaiters()
}

// close ends the waits of acquire: nothing more is to be sent.
func (w *flowWindow) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.wakeWaiters()
}

// wakeWaiters is called with mu held.
func (w *flowWindow) wakeWaiters() {
	if w.wake != nil {
		close(w.wake)
		w.wake = nil
	}
}

// acquire waits until the window is open, and takes n bytes of it, which may leave less than nothing; false: the window was closed
// or ctx ended, and nothing more is to be sent.
func (w *flowWindow) acquire(ctx context.Context, n int) bool {
	for {
		w.mu.Lock()
		if w.closed {
			w.mu.Unlock()
			return false
		}
		if w.available > 0 {
			w.available -= n
			w.mu.Unlock()
			return true
		}
		if w.wake == nil {
			w.wake = make(chan struct{})
		}
		wait := w.wake
		w.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return false
		}
	}
}
