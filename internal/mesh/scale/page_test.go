package scale

import (
	"math"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const pagePath = "../../../docs/CAPACITY.md"

// TestPageMatchesCommittedResults shows that the page's tables are those that `meshscale page` writes for the committed results.
func TestPageMatchesCommittedResults(t *testing.T) {
	all, err := ReadAll("../../../" + ResultsDir)
	assert.NilError(t, err)
	assert.Assert(t, len(all) > 0, "no results are committed")
	page, err := os.ReadFile(pagePath)
	assert.NilError(t, err)
	want, err := replaceTables(string(page), Tables(all))
	assert.NilError(t, err)
	assert.Equal(t, string(page), want, "run: go run ./cmd/meshscale page")
}

// TestTablesFollowFromResults shows that another figure gives other tables, and the same figures the same.
func TestTablesFollowFromResults(t *testing.T) {
	one := Results{Experiment: Experiment{Services: 3}, Measurements: []Measurement{newTestMeasurement(30), newTestMeasurement(100)}}
	other := Results{Experiment: Experiment{Services: 3}, Measurements: []Measurement{newTestMeasurement(30), newTestMeasurement(100)}}
	other.Measurements[1].Phases[1].Roles[RoleLeader] = Load{Processor: 0.8}
	assert.Assert(t, Tables([]Results{one}) != Tables([]Results{other}))
	assert.Equal(t, Tables([]Results{one}), Tables([]Results{one}))
}

// TestTablesMarkExceededBudgets shows that a need beyond its budget is marked, and that figures which no run gave are named.
func TestTablesMarkExceededBudgets(t *testing.T) {
	r := Results{Experiment: Experiment{Services: 3, Members: 3}, Measurements: []Measurement{newTestMeasurement(30), newTestMeasurement(100)}}
	needs, missing := Needs([]Results{r})
	assert.Assert(t, len(missing) > 0, "what is not measured is named")
	var received Need
	for _, n := range needs {
		if strings.HasPrefix(n.What, "bytes received") {
			received = n
		}
	}
	assertNear(t, received.Value, 50*targetNodes, 1e-6) // 650 kB a second, of 4
	assert.Equal(t, received.Verdict(), Exceeds)
	tables := Tables([]Results{r})
	for _, line := range strings.Split(tables, "\n") {
		if strings.Contains(line, "bytes received with no event") {
			assert.Assert(t, strings.Contains(line, "does not fit"), line)
		}
	}
	assert.Assert(t, strings.Contains(tables, "Not measured, counted as 0 above: "), tables)
}

// TestReplaceTables shows that only what stands between the marks is replaced, and that a page without them is left alone.
func TestReplaceTables(t *testing.T) {
	_, err := replaceTables("a page\n"+pageEnd+pageBegin, "x")
	assert.ErrorIs(t, err, ErrMarks)
	page, err := replaceTables("a\n"+pageBegin+"old\n"+pageEnd+"b\n", "new\n")
	assert.NilError(t, err)
	assert.Equal(t, page, "a\n"+pageBegin+"new\n"+pageEnd+"b\n")
}

// TestVerdict shows that a verdict holds for all values that the error allows.
func TestVerdict(t *testing.T) {
	for _, c := range []struct {
		n    Need
		want Verdict
	}{
		{Need{Value: 2, Factor: math.NaN(), Budget: 1}, Exceeds},
		{Need{Value: 1, Factor: math.NaN(), Budget: 1}, Fits},
		{Need{Value: 2, Factor: 1.5, Budget: 1}, Exceeds},
		{Need{Value: 2, Factor: 3, Budget: 1}, Open},
		{Need{Value: 0.5, Factor: 3, Budget: 1}, Open},
		{Need{Value: 0.5, Factor: 1.5, Budget: 1}, Fits},
		{Need{Value: 0, Budget: 1, Missing: true}, Unmeasured},
		{Need{Value: 7, Factor: 2}, NoBudget},
	} {
		assert.Equal(t, c.n.Verdict(), c.want, "%+v", c.n)
	}
}
