package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Preadmitted classes are not queued when other classes fill the window, because admitted work may wait for them, but the
// number of their calls is limited, too. Classes that are added later behave like those of the settings.
func TestPreadmittedClassIsNotQueued(t *testing.T) {
	low := Class{
		Name:     "low",
		Effect:   Idempotent,
		Aim:      time.Second,
		Deadline: 2 * time.Second,
		Worth:    1,
	}
	b, err := New(Settings{Classes: []Class{low}, Balancers: 1, MaxAttempts: 2, Tick: time.Millisecond}, 1)
	if err != nil {
		t.Fatal(err)
	}
	high := low
	high.Name, high.First = "high", true
	b.Handle(0, Classes{[]Class{high}})
	b.Handle(0, ServerList{Full: true, Servers: []Server{{ID: "a"}, {ID: "b"}}})
	sent := func(class string, n int) (sends int) {
		for i := range n {
			for _, a := range b.Handle(time.Millisecond, Request{
				ID:       fmt.Sprint(class, i),
				Class:    class,
				Deadline: time.Second,
			}) {
				if _, ok := a.(Send); ok {
					sends++
				}
			}
		}
		return sends
	}
	lows := sent("low", 100)
	if lows == 0 || lows == 100 {
		t.Fatalf("%d of 100 requests were sent, want some but not all", lows)
	}
	highs := sent("high", 100)
	if highs == 0 || lows+highs > int(preadmittedFactor*b.usableWindow())+1 {
		t.Errorf("%d preadmitted and %d other requests were sent with a window of %.0f", highs, lows, b.usableWindow())
	}
	if len(b.classList) != 3 || b.classList[2].Name != "" {
		t.Error("the class for unknown names is not the last one")
	}
}
