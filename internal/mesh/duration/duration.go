// Package duration converts the numbers of seconds in configuration, settings and API calls to durations. Its functions have no side
// effects and are safe for concurrent use.
package duration

import "time"

// Max is the longest duration that FromSeconds returns. Several of them can be added without an overflow.
const Max = 50 * 365 * 24 * time.Hour

// FromSeconds converts a number of seconds. A time that is not 0 never becomes 0: a positive one below a nanosecond is rounded up to one.
// A time beyond Max in either direction becomes Max, instead of a duration with the other sign.
func FromSeconds(s float64) time.Duration {
	nanoseconds := s * float64(time.Second)
	switch {
	case nanoseconds > 0 && nanoseconds < 1:
		return 1
	case nanoseconds >= float64(Max):
		return Max
	case nanoseconds <= -float64(Max):
		return -Max
	}
	return time.Duration(nanoseconds)
}
