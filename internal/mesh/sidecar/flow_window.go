package sidecar

import (
	"context"
	"sync"
)

// flowWindow is how much of a body may be sent on.
type flowWindow struct {
	mu        sync.Mutex // guards below
	available int
	wake      chan struct{}
	closed    bool
}

func (c *flowWindow) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.available += n
	c.wakeWaiters()
}

func (c *flowWindow) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.wakeWaiters()
}

func (c *flowWindow) wakeWaiters() {
	if c.wake != nil {
		close(c.wake)
		c.wake = nil
	}
}

// acquire waits until there is any, and takes n, which may leave less than nothing; false: nothing more is to be sent.
func (c *flowWindow) acquire(ctx context.Context, n int) bool {
	for {
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return false
		}
		if c.available > 0 {
			c.available -= n
			c.mu.Unlock()
			return true
		}
		if c.wake == nil {
			c.wake = make(chan struct{})
		}
		wait := c.wake
		c.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return false
		}
	}
}
