package controlplane

import "time"

// clock is a member's source of time. The offset is zero except in fault drills.
type clock struct {
	started time.Time
	offset  time.Duration // of the time of day, for fault drills with clocks that are wrong; set before Run
}

// now returns the monotonic time since the process started. The replica and all time-outs use it.
func (c *clock) now() time.Duration { return time.Since(c.started) }

// wall returns the time of day of this machine. Only approved maintenance windows depend on it.
func (c *clock) wall() time.Time { return time.Now().Add(c.offset) }
