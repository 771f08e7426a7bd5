package page

import (
	"bytes"
	"strings"
	"testing"

	"cranegrade/internal/zone/report"
)

// Customers' names come from callers: none can put anything into the page but itself.
func TestPage(t *testing.T) {
	var b bytes.Buffer
	err := Write(&b, report.Report{
		Node: "n1", Home: "a", Pools: map[string][]report.Area{"p": {{Zone: "", Limit: 2, Sick: true}}},
		Budgets: []report.Budget{{From: "a", To: "b", RequestsHour: -1, RequestsDay: 7}},
		Rows:    []report.Row{{Day: "2026-12-01", From: "a", To: "b", Customer: "<script>", Requests: 3}, {From: "a", To: "a", Requests: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"75.0%", "&lt;script&gt;", "(unknown)", "sick", "<td>7", `class="cross"`} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %q in\n%s", want, b.String())
		}
	}
}
