package controlplane

import "time"

const (
	taskQueueLength = 1024
	maxTasksPerTurn = 256 // that run between two turns of the replica
)

// eventLoop runs tasks one after the other on the goroutine of Member.Run, which owns the replica and the store. Other goroutines
// post to it.
type eventLoop struct {
	tasks   chan func()
	stopped chan struct{}
}

func newEventLoop() *eventLoop {
	return &eventLoop{tasks: make(chan func(), taskQueueLength), stopped: make(chan struct{})}
}

// post has a task run on the loop's goroutine. It waits while the queue is full; after stop it does nothing.
func (l *eventLoop) post(task func()) {
	select {
	case l.tasks <- task:
	case <-l.stopped:
	}
}

// runBatch runs a task that was received, and those that are queued behind it, up to maxTasksPerTurn.
func (l *eventLoop) runBatch(task func()) {
	task()
	for range maxTasksPerTurn {
		select {
		case next := <-l.tasks:
			next()
		default:
			return
		}
	}
}

// stop has whoever posts from now on go away empty-handed. It is called once.
func (l *eventLoop) stop() { close(l.stopped) }

// clock is a member's view of time. The zero offset is right outside of tests.
type clock struct {
	started time.Time
	offset  time.Duration // of the time of day, for fault drills with clocks that are wrong; set before Run
}

// now is the monotonic time since the process started. The replica and all time-outs go by it.
func (c *clock) now() time.Duration { return time.Since(c.started) }

// wall is the time of day, as far as this machine knows it. Only maintenance in approved hours goes by it.
func (c *clock) wall() time.Time { return time.Now().Add(c.offset) }
