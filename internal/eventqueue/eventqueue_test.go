package eventqueue

import (
	"fmt"
	"testing"
	"time"
)

func TestEventsComeByTimeAndThenAsScheduled(t *testing.T) {
	var queue Queue
	var order []string
	schedule := func(at time.Duration, name string) {
		queue.Schedule(at, func() { order = append(order, name) })
	}
	schedule(2, "second")
	schedule(1, "first")
	schedule(2, "third")
	queue.Schedule(1, func() { schedule(2, "fourth") })
	var times []time.Duration
	for event, ok := queue.Next(); ok; event, ok = queue.Next() {
		times = append(times, event.At)
		event.Run()
	}
	if got := fmt.Sprint(order); got != "[first second third fourth]" {
		t.Errorf("ran in the order %s", got)
	}
	if got := fmt.Sprint(times); got != "[1ns 1ns 2ns 2ns 2ns]" {
		t.Errorf("at the times %s", got)
	}
}

func TestEmptyQueueHasNoEvent(t *testing.T) {
	var queue Queue
	if _, ok := queue.Next(); ok {
		t.Error("an empty queue has an event")
	}
}
