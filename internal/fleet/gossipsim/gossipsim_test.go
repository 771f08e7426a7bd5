package gossipsim

import (
	"testing"
	"time"
)

// TestRunIsDeterministic checks that a Config always gives the same result, so that the figures of drills can be reproduced.
func TestRunIsDeterministic(t *testing.T) {
	c := Config{
		Members: 10, Loss: 0.05, ProbeInterval: 300 * time.Millisecond, SettleTime: time.Second, Seed: 1, Deaths: 1, Length: time.Minute,
	}
	first, second := Run(c), Run(c)
	if first != second {
		t.Errorf("two runs with the same Config returned %+v and %+v", first, second)
	}
	if first.ConvergedAfter <= c.SettleTime {
		t.Errorf("the views converged after %v, want more than the settle time of a second", first.ConvergedAfter)
	}
}
