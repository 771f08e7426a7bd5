package gossipsim

import (
	"testing"
	"time"
)

// TestRunDependsOnItsConfigAlone: the figures of drills can be repeated.
func TestRunDependsOnItsConfigAlone(t *testing.T) {
	c := Config{
		Members: 10, Loss: 0.05, ProbeInterval: 300 * time.Millisecond, SettleTime: time.Second, Seed: 1, Deaths: 1, Length: time.Minute,
	}
	first, second := Run(c), Run(c)
	if first != second {
		t.Errorf("two runs gave %+v and %+v", first, second)
	}
	if first.ConvergedAfter <= c.SettleTime {
		t.Errorf("the views were right after %v, want it after they have settled", first.ConvergedAfter)
	}
}
