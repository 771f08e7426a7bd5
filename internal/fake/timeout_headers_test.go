package fake

import (
	"net/http"
	"testing"
	"time"
)

func requestWith(name, value string) *http.Request {
	r := &http.Request{Header: http.Header{}}
	if value != "" {
		r.Header.Set(name, value)
	}
	return r
}

// X-Time-Left is milliseconds or microseconds; anything else counts as none.
func TestRequestTimeLeft(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 0, "250m": 250 * time.Millisecond, "250u": 250 * time.Microsecond, "250": 0, "m": 0, "1s": 0, "-5m": -5 * time.Millisecond,
	} {
		t.Run(value, func(t *testing.T) {
			if got := requestTimeLeft(requestWith("X-Time-Left", value)); got != want {
				t.Errorf("%q: %v, want %v", value, got, want)
			}
		})
	}
}

// grpc-timeout is a number of at most eight digits and a unit; anything else counts as none.
func TestGRPCTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 0, "5S": 5 * time.Second, "5M": 5 * time.Minute, "1H": time.Hour, "20m": 20 * time.Millisecond, "20u": 20 * time.Microsecond,
		"20n": 20 * time.Nanosecond, "5": 0, "5x": 0, "S": 0, "99999999m": 99999999 * time.Millisecond, "100000000m": 0,
	} {
		t.Run(value, func(t *testing.T) {
			if got := grpcTimeout(requestWith("Grpc-Timeout", value)); got != want {
				t.Errorf("%q: %v, want %v", value, got, want)
			}
		})
	}
}
