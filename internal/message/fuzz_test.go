package message

import "testing"

// ParseTimeLeft returns a positive duration for each value that it accepts, and 0 for each that it rejects.
func FuzzTimeLeft(f *testing.F) {
	for _, s := range []string{"480m", "1u", "0m", "-1m", "NaNm", "1e308u", "+Infm", "0x1pm", "", "m"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if d, ok := ParseTimeLeft(s); ok != (d > 0) {
			t.Fatalf("%q: %v, %v", s, d, ok)
		}
	})
}
