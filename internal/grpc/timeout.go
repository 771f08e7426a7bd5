package grpc

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// timeoutUnits maps the unit letters of grpc-timeout to durations.
var timeoutUnits = map[byte]time.Duration{
	'H': time.Hour,
	'M': time.Minute,
	'S': time.Second,
	'm': time.Millisecond,
	'u': time.Microsecond,
	'n': time.Nanosecond,
}

// Limits of the number in grpc-timeout.
const (
	maxDigits       = 8
	maxTimeoutValue = 99_999_999 // of maxDigits digits
)

// ParseTimeout parses the value of grpc-timeout: at most eight digits and a unit. A timeout that overflows
// time.Duration becomes the longest Duration. 0 means that the deadline has passed.
func ParseTimeout(s string) (time.Duration, error) {
	if len(s) < 2 || len(s) > maxDigits+1 {
		return 0, fmt.Errorf("grpc-timeout %.20q is not one to eight digits and a unit", s)
	}
	unit, ok := timeoutUnits[s[len(s)-1]]
	n, err := strconv.ParseUint(s[:len(s)-1], 10, 32)
	if err != nil || !ok || s[0] == '+' {
		return 0, fmt.Errorf("grpc-timeout %q is not one to eight digits and a unit", s)
	}
	if n > uint64(math.MaxInt64/unit) {
		return math.MaxInt64, nil
	}
	return time.Duration(n) * unit, nil
}

// FormatTimeout formats a duration as the value of grpc-timeout, in the finest unit in which it has at most maxDigits digits.
// It rounds down, so that the server's deadline is never later than the caller's, but returns at least 1n.
func FormatTimeout(d time.Duration) string {
	for _, unit := range "numSMH" {
		if n := d / timeoutUnits[byte(unit)]; n <= maxTimeoutValue {
			return strconv.FormatInt(int64(max(n, 1)), 10) + string(unit)
		}
	}
	return strconv.Itoa(maxTimeoutValue) + "H"
}
