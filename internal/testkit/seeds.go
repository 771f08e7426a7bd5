package testkit

import (
	"runtime"
	"sync"
)

// ForSeeds calls check for a number of seeds, beginning with from, on all processors at once, and returns when all calls have.
// check must not end its goroutine, as t.FailNow does.
func ForSeeds(from, count uint64, check func(seed uint64)) {
	var workers sync.WaitGroup
	seeds := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := range seeds {
				check(seed)
			}
		})
	}
	for seed := from; seed < from+count; seed++ {
		seeds <- seed
	}
	close(seeds)
	workers.Wait()
}
