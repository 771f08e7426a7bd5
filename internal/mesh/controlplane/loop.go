package controlplane

import "time"

const (
	taskQueueLength = 1024
	maxTasksPerTurn = 256 // that run between two calls of Replica.ProcessReady
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

// post queues a task for the loop's goroutine. It blocks while the queue is full; after stop it may drop the task.
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

// stop makes post return without queueing from now on. It is called once.
func (l *eventLoop) stop() { close(l.stopped) }

// clock is a member's view of time. The zero offset is right outside of tests.
type clock struct {
	started time.Time
	offset  time.Duration // of the time of day, for fault drills with clocks that are wrong; set before Run
}

// now returns the monotonic time since the process started. The replica and all time-outs use it.
func (c *clock) now() time.Duration { return time.Since(c.started) }

// wall returns the time of day of this machine. Only approved maintenance windows depend on it.
func (c *clock) wall() time.Time { return time.Now().Add(c.offset) }
