package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine was started (CLOCK_BOOTTIME). It goes on while the process or the machine is suspended, and
// setting the wall clock does not change it.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // only on kernels that are older than the program can run on
	}
	return time.Duration(t.Nano())
}
