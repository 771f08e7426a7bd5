// Package eventqueue is the event queue of a discrete-event simulation. It is pure: it must never read a clock, start a
// goroutine or draw random numbers. The simulation owns the clock: it takes one event after another, sets its time to that
// of the event, and runs it.
package eventqueue

import (
	"container/heap"
	"time"
)

// Event is something that happens at a simulated time.
type Event struct {
	At  time.Duration
	Run func()

	sequence uint64
}

// Queue holds events in the order of their times; events of one time in the order in which they were scheduled, so that a
// simulation is deterministic. The zero value is an empty queue. It is not safe for concurrent use.
type Queue struct {
	events   eventHeap
	sequence uint64
}

// Schedule adds an event.
func (q *Queue) Schedule(at time.Duration, run func()) {
	q.sequence++
	heap.Push(&q.events, Event{At: at, Run: run, sequence: q.sequence})
}

// Next removes and returns the earliest event. It reports false if there is none.
func (q *Queue) Next() (event Event, ok bool) {
	if len(q.events) == 0 {
		return Event{}, false
	}
	return heap.Pop(&q.events).(Event), true
}

// eventHeap orders events by time, and those of one time as they were scheduled. It implements heap.Interface.
type eventHeap []Event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].At != h[j].At {
		return h[i].At < h[j].At
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(event any) { *h = append(*h, event.(Event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
