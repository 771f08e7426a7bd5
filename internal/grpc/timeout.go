package grpc

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// timeoutUnits are the units of grpc-timeout.
var timeoutUnits = map[byte]time.Duration{
	'H': time.Hour,
	'M': time.Minute,
	'S': time.Second,
	'm': time.Millisecond,
	'u': time.Microsecond,
	'n': time.Nanosecond,
}

// The number in grpc-timeout has at most maxDigits digits.
const (
	maxDigits  = 8
	maxTimeout = 99_999_999
)

// ParseTimeout parses the value of grpc-timeout: at most eight digits and a unit. A time-out that is too long for a Duration
// becomes the longest one. 0 is a deadline that has passed.
func ParseTimeout(s string) (time.Duration, error) {
	if len(s) < 2 || len(s) > maxDigits+1 {
		return 0, fmt.Errorf("grpc-timeout %.20q is not one to eight digits and a unit", s)
	}
	unit, known := timeoutUnits[s[len(s)-1]]
	n, err := strconv.ParseUint(s[:len(s)-1], 10, 32)
	if err != nil || !known || s[0] == '+' {
		return 0, fmt.Errorf("grpc-timeout %q is not one to eight digits and a unit", s)
	}
	if n > uint64(math.MaxInt64/unit) {
		return math.MaxInt64, nil
	}
	return time.Duration(n) * unit, nil
}

// FormatTimeout formats a duration as the value of grpc-timeout, in the finest unit that can hold it. It rounds down, so that
// a server never waits longer than the caller, but to no less than 1n.
func FormatTimeout(d time.Duration) string {
	for _, unit := range "numSMH" {
		if n := d / timeoutUnits[byte(unit)]; n <= maxTimeout {
			return strconv.FormatInt(int64(max(n, 1)), 10) + string(unit)
		}
	}
	return strconv.Itoa(maxTimeout) + "H"
}
