package sidecar

import (
	"context"
	"sync"
)

const (
	// sendWindowBytes is how much of a body may be sent before the receiver has read it.
	sendWindowBytes = 256 << 10
	// windowUpdateBytes is how much of a body a receiver reads between two window updates.
	windowUpdateBytes = 32 << 10
)

// flowWindow is the sender's flow-control window of a stream (as in RFC 9113, section 5.2): the number of bytes of a
// body that may still be sent. The zero value is an empty window. It is safe for concurrent use.
type flowWindow struct {
	mu        sync.Mutex    // guards below
	available int           // bytes; negative after a chunk larger than the window
	wake      chan struct{} // closed to wake the waiting goroutines; nil if none waits
	closed    bool
}

// add enlarges the window by n bytes.
func (w *flowWindow) add(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.available += n
	w.wakeWaiters()
}

// addIfExhausted enlarges the window by n bytes if it is open and nothing may be sent. It reports whether it did.
func (w *flowWindow) addIfExhausted(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.available > 0 {
		return false
	}
	w.available += n
	w.wakeWaiters()
	return true
}

// close makes all present and future calls of acquire return false, because nothing more has to be sent.
func (w *flowWindow) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.wakeWaiters()
}

// isClosed reports whether close was called.
func (w *flowWindow) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// hasCapacity reports whether acquire would not wait.
func (w *flowWindow) hasCapacity() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.available > 0
}

// wakeWaiters wakes all goroutines that wait in acquire. The caller holds mu.
func (w *flowWindow) wakeWaiters() {
	if w.wake != nil {
		close(w.wake)
		w.wake = nil
	}
}

// acquire waits until the window is positive, and then subtracts n bytes, which may make it negative. It returns false
// if the window was closed or ctx ended; the caller then stops sending.
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
