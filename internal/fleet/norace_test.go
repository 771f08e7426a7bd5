//go:build !race

package fleet

// raceEnabled says that the race detector is on: emulations of large fleets take too long with it.
const raceEnabled = false
