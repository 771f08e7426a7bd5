//go:build !race

package testkit

// Race reports whether the race detector is on.
const Race = false
