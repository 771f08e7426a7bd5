package page

import (
	"bytes"
	"strings"
	"testing"

	"cranegrade/internal/zone/report"
)

// Customer names come from clients, so the page must escape them.
func TestPageShowsReportAndEscapesNames(t *testing.T) {
	var text bytes.Buffer
	err := Write(&text, report.Report{
		Node: "n1", Home: "a", Localities: map[string][]report.Locality{"p": {{Zone: "", Limit: 2, Unhealthy: true}}},
		Budgets: []report.Budget{{From: "a", To: "b", RequestsHour: -1, RequestsDay: 7}},
		Rows:    []report.Row{{Day: "2026-12-01", From: "a", To: "b", Customer: "<script>", Requests: 3}, {From: "a", To: "a", Requests: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"75.0%", "&lt;script&gt;", "(unknown)", "sick", "<td>7", `class="cross"`} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in\n%s", want, text.String())
		}
	}
}
