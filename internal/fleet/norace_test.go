//go:build !race

package fleet

// raceEnabled reports whether the race detector is on. Emulations of large fleets take too long with it, and are skipped.
const raceEnabled = false
