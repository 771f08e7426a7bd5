package message

import (
	"testing"
	"time"
)

func TestParseTimeLeft(t *testing.T) {
	for s, want := range map[string]time.Duration{
		"480m":  480 * time.Millisecond,
		"1500u": 1500 * time.Microsecond,
		"2.5m":  2500 * time.Microsecond,
	} {
		if d, ok := ParseTimeLeft(s); !ok || d != want {
			t.Errorf("%s: %v, %v", s, d, ok)
		}
	}
}

func TestFormatTimeLeft(t *testing.T) {
	for d, want := range map[time.Duration]string{
		0:                       "1u",
		time.Microsecond:        "1u",
		1500 * time.Millisecond: "1500000u",
	} {
		if got := FormatTimeLeft(d); got != want {
			t.Errorf("%v: %s", d, got)
		}
	}
}
