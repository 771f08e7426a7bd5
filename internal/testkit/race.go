//go:build race

package testkit

// Race reports whether the race detector is on. Tests that search on a single goroutine cut the search short then: it takes ten
// times as long, and the race detector finds nothing on one goroutine.
const Race = true
