package controlplane

const (
	// taskQueueLength is how many tasks may wait for the loop's goroutine before post blocks.
	taskQueueLength = 1024
	// maxTasksPerTurn is how many tasks run between two calls of Replica.ProcessReady, so that their writes share one sync.
	maxTasksPerTurn = 256
)

// eventLoop runs tasks one after the other on the goroutine of Member.Run, which owns the replica and the store. Other goroutines
// post to it.
type eventLoop struct {
	tasks   chan func()
	stopped chan struct{}
}

// newEventLoop returns a loop without tasks.
func newEventLoop() *eventLoop {
	return &eventLoop{tasks: make(chan func(), taskQueueLength), stopped: make(chan struct{})}
}

// post queues a task for the loop's goroutine. It blocks while the queue is full, so a task must not call it; after stop it may drop the
// task.
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
