package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"cranegrade/balancer"
)

const (
	absent = "-"
	// maxNumber bounds numbers and times, in milliseconds: about 30 years.
	maxNumber = 1e12
	// maxQuotedBytes bounds what an error quotes of the input.
	maxQuotedBytes = 40
)

// fields reads the values of one line by their position, from 0, and keeps the first error.
type fields struct {
	name  string // of the message
	parts []string
	err   error
}

// fail keeps an error about a value, unless there was one before.
func (f *fields) fail(i int, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: value %d %s", f.name, i+1, why)
	}
}

// optionalText returns a value, or "" if it is absent.
func (f *fields) optionalText(i int) string {
	if i >= len(f.parts) || f.parts[i] == absent {
		return ""
	}
	return f.parts[i]
}

func (f *fields) text(i int) string {
	s := f.optionalText(i)
	if s == "" {
		f.fail(i, "is missing")
	}
	return s
}

func (f *fields) integer(i int) int {
	v, err := strconv.Atoi(f.text(i))
	if err != nil {
		f.fail(i, "is no whole number")
	}
	return v
}

func (f *fields) optionalInteger(i int) int {
	if f.optionalText(i) == "" {
		return 0
	}
	return f.integer(i)
}

// seed reads a 64-bit number, with or without a sign.
func (f *fields) seed(i int) uint64 {
	s := f.text(i)
	if v, err := strconv.ParseUint(s, 10, 64); err == nil {
		return v
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(i, "is no whole number")
	}
	return uint64(v)
}

func (f *fields) milliseconds(i int) time.Duration {
	v, err := parseNumber(f.text(i))
	if err != nil {
		f.fail(i, "is no time in milliseconds")
		return 0
	}
	return fromMilliseconds(v)
}

func (f *fields) optionalMilliseconds(i int) time.Duration {
	if f.optionalText(i) == "" {
		return 0
	}
	return f.milliseconds(i)
}

func (f *fields) optionalNumber(i int) float64 {
	s := f.optionalText(i)
	if s == "" {
		return 0
	}
	v, err := parseNumber(s)
	if err != nil {
		f.fail(i, "is no number")
	}
	return v
}

// endings are the simulator's names for how an attempt ends.
var endings = map[string]balancer.Ending{
	"success":     balancer.Success,
	"failure":     balancer.Failure,
	"overloaded":  balancer.Overloaded,
	"timed_out":   balancer.TimedOut,
	"unreachable": balancer.Unreachable,
	"broken":      balancer.Broken,
	"withdrawn":   balancer.Canceled,
	"void":        balancer.NeverSent,
}

func (f *fields) ending(i int) balancer.Ending {
	e, ok := endings[f.text(i)]
	if !ok {
		f.fail(i, "is no ending")
	}
	return e
}

// notReported stands in a load report for a value that the server did not report.
const notReported = -1

// load reads a load report: pairs NAME:VALUE. Names that it does not know are ignored.
func (f *fields) load(i int) *balancer.Load {
	s := f.optionalText(i)
	if s == "" {
		return nil
	}
	load := &balancer.Load{Busy: notReported, Service: notReported}
	for pair := range strings.SplitSeq(s, ",") {
		name, text, _ := strings.Cut(pair, ":")
		v, err := parseNumber(text)
		if err != nil {
			f.fail(i, "is no load report")
			return nil
		}
		switch name {
		case "busy_reqs":
			load.Busy = v
		case "svc_ms":
			load.Service = fromMilliseconds(v)
		}
	}
	return load
}

// parseNumber parses a number within the bounds of the protocol.
func parseNumber(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, err
	}
	if math.IsNaN(v) || math.Abs(v) > maxNumber {
		return 0, strconv.ErrRange
	}
	return v, nil
}

// outOfBounds stands for a time that is too long. No setting accepts a negative time.
const outOfBounds time.Duration = math.MinInt64

// fromMilliseconds converts a time, or returns outOfBounds: what Go makes of a number that is too large for its type depends on
// the processor.
func fromMilliseconds(v float64) time.Duration {
	if math.IsNaN(v) || math.Abs(v) > maxNumber {
		return outOfBounds
	}
	return time.Duration(math.Round(v * float64(time.Millisecond)))
}

// quote quotes input in an error, shortened if it is long.
func quote(s string) string {
	if len(s) > maxQuotedBytes {
		s = s[:maxQuotedBytes] + "..."
	}
	return strconv.Quote(s)
}
