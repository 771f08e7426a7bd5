package testkit

import "testing"

// Maps and slices are counted once however often they are referred to, and a ring of pointers ends.
func TestReachableElementsAreCountedOnce(t *testing.T) {
	type node struct {
		m    map[string]*node
		next *node
		list []int
	}
	a := &node{m: map[string]*node{"x": {list: make([]int, 0, 5)}}}
	a.next = a // a ring of pointers
	if got := ReachableElements(a); got != 1+5 {
		t.Errorf("%d elements", got)
	}
	a.m["y"] = a.m["x"] // another entry with the same value
	if got := ReachableElements(a); got != 2+5 {
		t.Errorf("%d elements", got)
	}
	if got := ReachableElements(nil); got != 0 {
		t.Errorf("%d elements of nothing", got)
	}
}
