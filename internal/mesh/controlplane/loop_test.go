package controlplane

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestEventLoopRunsTasksInOrder(t *testing.T) {
	loop := newEventLoop()
	var ran []int
	for i := range 3 {
		loop.post(func() { ran = append(ran, i) })
	}
	loop.runBatch(<-loop.tasks)
	assert.DeepEqual(t, ran, []int{0, 1, 2})
}

// A batch is bounded, so that the replica is processed regularly however many tasks are posted.
func TestEventLoopBoundsABatch(t *testing.T) {
	loop := newEventLoop()
	ran := 0
	for range maxTasksPerTurn + 2 {
		loop.post(func() { ran++ })
	}
	loop.runBatch(<-loop.tasks)
	assert.Equal(t, ran, 1+maxTasksPerTurn)
	assert.Equal(t, len(loop.tasks), 1)
}

func TestEventLoopDropsTasksAfterStop(t *testing.T) {
	loop := newEventLoop()
	for range taskQueueLength {
		loop.post(func() {})
	}
	loop.stop()
	loop.post(func() { t.Error("a task ran after stop") }) // returns, though the queue is full
	assert.Equal(t, len(loop.tasks), taskQueueLength)
}
