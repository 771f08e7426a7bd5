package extproc

import (
	"math"
	"testing"
	"time"
)

// The time left bounds the attempt: its slot is returned then, whatever the proxy does.
func TestAttemptEndsAtDeadline(t *testing.T) {
	e := newEnvironment(t, Config{Linger: time.Millisecond}, "127.0.0.1:1")
	s := e.openStream()
	s.pick("order", "1", 1, "x-envoy-expected-rq-timeout-ms", "100")
	e.awaitNoOpenCalls("the slot is kept after the deadline")
	s.respond("200") // too late
}

func TestInvalidTimeoutIsRejected(t *testing.T) {
	e := newEnvironment(t, Config{Linger: time.Millisecond}, "127.0.0.1:1")
	for _, value := range []string{"-1", "x", "99999999999"} {
		if got := e.openStream().pick("order", "b"+value, 1, "x-envoy-expected-rq-timeout-ms", value); got != "400" {
			t.Errorf("time-out %q: %s", value, got)
		}
	}
}

func TestGRPCTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"1H":        time.Hour,
		"2M":        2 * time.Minute,
		"3S":        3 * time.Second,
		"4m":        4 * time.Millisecond,
		"5u":        5 * time.Microsecond,
		"6n":        6,
		"99999999H": math.MaxInt64,
	} {
		if got, ok := grpcTimeout(value); !ok || got != want {
			t.Errorf("%s: %v, %v", value, got, ok)
		}
	}
	for _, value := range []string{"", "S", "1", "1x", "-1S", "+1S", "123456789S", "0S", "1.5S"} {
		if d, ok := grpcTimeout(value); ok {
			t.Errorf("%q is accepted as %v", value, d)
		}
	}
}
