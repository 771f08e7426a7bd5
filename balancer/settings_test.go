package balancer

import (
	"math"
	"strings"
	"testing"
)

// The error of New names the invalid setting.
func TestSettingsErrorsNameTheField(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes":              func(s *Settings) { s.Classes = nil },
		"Classes[0].Name":      func(s *Settings) { s.Classes[0].Name = "" },
		"Classes[2].Aim":       func(s *Settings) { s.Classes[2].Aim = 0 },
		"Classes[1].Deadline":  func(s *Settings) { s.Classes[1].Deadline = -1 },
		"Classes[1].Window":    func(s *Settings) { s.Classes[1].Window = -1 },
		"Classes[0].Worth":     func(s *Settings) { s.Classes[0].Worth = math.NaN() },
		"Classes[0].LateShare": func(s *Settings) { s.Classes[0].LateShare = 2 },
		"ColdFrom":             func(s *Settings) { s.ColdFrom = 1.5 },
		"WarmAfter":            func(s *Settings) { s.WarmAfter = -1 },
		"Index":                func(s *Settings) { s.Index = -1 },
		"FallMultiple":         func(s *Settings) { s.FallMultiple = math.NaN() },
	} {
		want := "setting " + want + " is"
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}
