package fake

import (
	"math"
	"testing"
	"time"
)

// The capacity rises linearly from the initial share to all of it.
func TestCapacityShareRisesLinearly(t *testing.T) {
	s := SlowStart{InitialShare: 0.2, Duration: 4 * time.Second}
	for _, c := range []struct {
		name  string
		start SlowStart
		age   time.Duration
		want  float64
	}{
		{"at the start", s, 0, 0.2},
		{"halfway", s, 2 * time.Second, 0.6},
		{"at the end", s, 4 * time.Second, 1},
		{"long after", s, time.Hour, 1},
		{"without slow start", SlowStart{}, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.start.CapacityShare(c.age); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("share %v, want %v", got, c.want)
			}
		})
	}
}
