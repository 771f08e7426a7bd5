package extproc

import (
	"fmt"
	"testing"
	"time"

	"cranegrade/internal/engine"
)

func TestCallTable(t *testing.T) {
	table := newCallTable(3)
	calls := make([]*call, 6)
	for i := range calls {
		calls[i] = &call{}
		if found, _, _ := table.findOrAdd(0, fmt.Sprint(i), calls[i]); found {
			t.Errorf("%d is known before it was added", i)
		}
	}
	if found, open, _ := table.findOrAdd(0, "1", &call{}); !found || open != calls[1] {
		t.Error("an open call is not found")
	}
	table.finish(0, "1", calls[0], engine.Answer{}, time.Second) // not the call of this key
	for i := range calls {
		table.finish(time.Duration(i), fmt.Sprint(i), calls[i], engine.Answer{Verdict: engine.Failed}, time.Second)
	}
	if n := table.size(); n != 3 {
		t.Errorf("%d are remembered, 3 at most", n)
	}
	if found, open, answer := table.findOrAdd(10, "5", &call{}); !found || open != nil || answer.Verdict != engine.Failed {
		t.Errorf("a finished call: %v %v %v", found, open, answer)
	}
	if found, _, _ := table.findOrAdd(2*time.Second, "5", &call{}); found {
		t.Error("an answer is remembered after it expired")
	}
	if found, _, _ := table.findOrAdd(0, "", &call{}); found {
		t.Error("a request without an id is found")
	}
}
