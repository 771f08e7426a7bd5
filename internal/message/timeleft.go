package message

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// ParseTimeLeft parses the value of X-Time-Left: a number followed by its unit, m for milliseconds or u for microseconds.
func ParseTimeLeft(s string) (d time.Duration, ok bool) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(s, "u")
	}
	nanoseconds, err := strconv.ParseFloat(number, 64)
	nanoseconds *= float64(unit)
	if !ok || err != nil || !(nanoseconds >= 1 && nanoseconds < math.MaxInt64) { // negated so that NaN is rejected
		return 0, false
	}
	return time.Duration(nanoseconds), true
}

// FormatTimeLeft formats a duration as the value of X-Time-Left, at least 1u.
func FormatTimeLeft(d time.Duration) string {
	return strconv.FormatInt(max(1, d.Microseconds()), 10) + "u"
}

// ParseContentLength parses the value of Content-Length (RFC 9110, section 8.6). It returns 0 if the value is invalid.
func ParseContentLength(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 63)
	if err != nil || n < 0 {
		return 0
	}
	return n
}
