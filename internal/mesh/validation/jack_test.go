package validation

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCheck(t *testing.T) {
	type inner struct {
		N int `json:"TheNumber" validate:"gt=0"`
	}
	type outer struct {
		In []inner `json:"List" validate:"dive"`
	}
	assert.Assert(t, Check(outer{[]inner{{1}}}) == nil)
	f := Check(outer{[]inner{{1}, {0}}})
	assert.DeepEqual(t, *f, Fault{"List[1].TheNumber", "is 0; wanted: gt 0"})
	yaml := []byte("A: 1\nList:\n- TheNumber: 1\n- TheNumber: 0\nB:\n  A: 2\n")
	assert.Equal(t, LineOf(yaml, "List[1].TheNumber"), 3) // of the first that has the name
	assert.Equal(t, LineOf(yaml, "B.A"), 6)
	assert.Equal(t, LineOf(yaml, "B.none"), 5)
	assert.Equal(t, LineOf(yaml, "none"), 0)
	assert.Equal(t, LineOf([]byte("{\"a\":\n{\"b\" : 2}}"), "a.b"), 2)
}
