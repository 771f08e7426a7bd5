package history

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRecordKeepsOrderAndEnd(t *testing.T) {
	var h History
	h.Record(Leader{At: 3 * time.Second, Process: "a", ID: 1, Term: 2})
	h.Record(Change{Call: Call{Process: "operator", Begin: 1, Return: 5 * time.Second, Outcome: Unknown}})
	h.Record(Leader{At: 4 * time.Second, Process: "b", ID: 2, Term: 3})
	assert.Equal(t, h.End, 5*time.Second)
	assert.Equal(t, len(h.Changes), 1)
	assert.Equal(t, h.Leaders[1].Process, "b")
}
