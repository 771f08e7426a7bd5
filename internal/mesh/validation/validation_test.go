package validation

import (
	"testing"

	"gotest.tools/v3/assert"
)

type inner struct {
	Number int `json:"TheNumber" validate:"gt=0"`
}

type outer struct {
	List []inner `json:"List" validate:"dive"`
}

func TestCheckReportsJSONNames(t *testing.T) {
	assert.Assert(t, Check(outer{[]inner{{1}}}) == nil)
	fault := Check(outer{[]inner{{1}, {0}}})
	assert.DeepEqual(t, *fault, Fault{"List[1].TheNumber", "is 0; wanted: gt 0"})
}

func TestCheckRejectsNonStruct(t *testing.T) {
	fault := Check(1)
	assert.Assert(t, fault != nil && fault.Field == "" && fault.Text != "")
}

func TestLineOf(t *testing.T) {
	const yaml = "A: 1\nList:\n- TheNumber: 1\n- TheNumber: 0\nB:\n  A: 2\n"
	for name, test := range map[string]struct {
		text, path string
		want       int
	}{
		"list index is ignored":          {yaml, "List[1].TheNumber", 3},
		"nested key":                     {yaml, "B.A", 6},
		"nested key is missing":          {yaml, "B.none", 5},
		"first key is missing":           {yaml, "none", 0},
		"JSON with space before a colon": {"{\"a\":\n{\"b\" : 2}}", "a.b", 2},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, LineOf([]byte(test.text), test.path), test.want)
		})
	}
}
