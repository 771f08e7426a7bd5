package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine booted (CLOCK_BOOTTIME). It advances while the process or the machine is suspended, and
// is not affected by changes of the wall clock.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // only kernels that are too old for this program lack the clock
	}
	return time.Duration(t.Nano())
}
