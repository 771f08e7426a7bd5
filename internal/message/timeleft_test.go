package message

import (
	"testing"
	"time"
)

func TestTimeLeftUnits(t *testing.T) {
	for s, want := range map[string]time.Duration{
		"480m":  480 * time.Millisecond,
		"1500u": 1500 * time.Microsecond, "2.5m": 2500 * time.Microsecond,
	} {
		if d, ok := ParseTimeLeft(s); !ok || d != want {
			t.Errorf("%s: %v, %v", s, d, ok)
		}
	}
}
