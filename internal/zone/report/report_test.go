package report

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"cranegrade/internal/zone"
)

// sampleRow is a row of pool p.
func sampleRow(day int64, pair zone.Pair, class, customer string, traffic zone.Traffic) zone.Row {
	return zone.Row{Key: zone.Key{Day: day, Pair: pair, Pool: "p", Class: class, Customer: customer}, Traffic: traffic}
}

func sampleReport() Report {
	home, crossing, unknown := zone.Pair{From: "a", To: "a"}, zone.Pair{From: "a", To: "b"}, zone.Pair{From: "a"}
	rows := []zone.Row{
		sampleRow(20000, home, "read", "<b>acme", zone.Traffic{Requests: 30, Out: 1, In: 2}),
		sampleRow(20000, crossing, "read", "", zone.Traffic{Requests: 10, Out: 3, In: 4}),
		sampleRow(20000, unknown, "read", "", zone.Traffic{Requests: 99}),
		sampleRow(20001, crossing, "alert-send", "", zone.Traffic{Requests: 1}),
	}
	statuses := []zone.LocalityStatus{{Locality: zone.Locality{Zone: "a"}, Servers: 3, Capacity: 2.5, Limit: 12, InFlight: 4, Unhealthy: true}}
	remaining := zone.Remaining{RequestsHour: 5, RequestsDay: zone.Unlimited, BytesHour: zone.Unlimited, BytesDay: 1000}
	return Report{
		Node: "n1", Home: "a", At: time.Unix(1728000000, 0).UTC(), Rows: Rows(rows, "", GroupBy{Pool: true, Class: true, Customer: true}),
		Localities: map[string][]Locality{"p": Localities(statuses)},
		Budgets:    Budgets(map[zone.Pair]zone.Remaining{crossing: remaining}),
	}
}

func TestTable(t *testing.T) {
	var table bytes.Buffer
	if err := sampleReport().WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"26.8% of requests crossed", "(unknown)", "sick", "alert-send", "2024-10-04"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("the table has no %q:\n%s", want, table.String())
		}
	}
}

func TestParseReadsWrittenJSON(t *testing.T) {
	var text bytes.Buffer
	r := sampleReport()
	if err := r.WriteJSON(&text); err != nil {
		t.Fatal(err)
	}
	parsed, err := Parse(text.Bytes())
	if err != nil || !reflect.DeepEqual(parsed, r) {
		t.Errorf("parsed %+v, %v", parsed, err)
	}
}

// Users and tools read the JSON, so its names must not change.
func TestNamesInJSONAreUnchanged(t *testing.T) {
	var text bytes.Buffer
	if err := sampleReport().WriteJSON(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`"node": "n1"`, `"home": "a"`, `"at": "2024-10-04T00:00:00Z"`, `"pools": {`, `"budgets": [`, `"account": [`,
		`"zone": "a"`, `"priority": 0`, `"servers": 3`, `"units": 2.5`, `"limit": 12`, `"calls": 4`, `"sick": true`,
		`"from": "a"`, `"to": "b"`, `"requests_hour": 5`, `"requests_day": -1`, `"bytes_hour": -1`, `"bytes_day": 1000`,
		`"day": "2024-10-04"`, `"pool": "p"`, `"class": "read"`, `"customer": "`, `"requests": 30`, `"bytes_out": 1`, `"bytes_in": 2`,
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the JSON has no %s:\n%s", want, text.String())
		}
	}
}

func TestRowsAreGrouped(t *testing.T) {
	rows := []zone.Row{
		sampleRow(1, zone.Pair{}, "x", "", zone.Traffic{Requests: 1, Out: 1, In: 1}),
		sampleRow(1, zone.Pair{}, "y", "", zone.Traffic{Requests: 2, Out: 2, In: 2}),
		sampleRow(2, zone.Pair{}, "y", "", zone.Traffic{Requests: 4, Out: 4, In: 4}),
	}
	if got := Rows(rows, "1970-01-02", GroupBy{}); len(got) != 1 || got[0].Requests != 3 || got[0].Class != "" {
		t.Errorf("one day, not grouped by a column: %+v", got)
	}
	if got := Rows(rows, "", GroupBy{Class: true}); len(got) != 3 {
		t.Errorf("all days, grouped by class: %+v", got)
	}
	if got := Rows(rows, "1999-01-01", GroupBy{}); len(got) != 0 {
		t.Errorf("a day without traffic: %+v", got)
	}
}

func FuzzParse(f *testing.F) {
	var sample bytes.Buffer
	if err := sampleReport().WriteJSON(&sample); err != nil {
		f.Fatal(err)
	}
	f.Add(sample.Bytes())
	f.Add([]byte(`{"account":[{"requests":-1}],"pools":{"":[{}]}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if r, err := Parse(text); err == nil {
			var table bytes.Buffer
			if r.WriteTable(&table) != nil {
				t.Fatal("WriteTable failed on a parsed report")
			}
		}
	})
}

// Remaining budgets of several nodes are added up. A pair without a limit at one node is unlimited in the sum.
func TestMergeAddsUpNodes(t *testing.T) {
	now := time.Unix(1000, 0)
	a := Report{
		Node: "a", Home: "x", At: now, Localities: map[string][]Locality{"p": {{Zone: "x"}}},
		Budgets: []Budget{{"x", "y", 5, -1, 7, 8}}, Rows: []Row{{Day: "2026-12-01", From: "x", To: "y", Requests: 3, Out: 4, In: 5}},
	}
	b := Report{
		Node: "b", Home: "x", At: now.Add(-time.Second), Localities: map[string][]Locality{"p": {{Zone: "y"}}},
		Budgets: []Budget{{"x", "y", 1, 2, -1, 4}, {"y", "x", 9, 9, 9, 9}}, Rows: []Row{{Day: "2026-12-01", From: "x", To: "y", Requests: 1, Out: 1, In: 1}},
	}
	merged := Merge([]Report{a, b})
	if merged.Node != "a, b" || merged.Home != "x" || !merged.At.Equal(b.At) || len(merged.Localities) != 2 ||
		merged.Localities["b/p"][0].Zone != "y" || len(merged.Rows) != 2 {
		t.Errorf("%+v", merged)
	}
	if len(merged.Budgets) != 2 || merged.Budgets[0] != (Budget{"x", "y", 6, -1, -1, 12}) || merged.Budgets[1] != (Budget{"y", "x", 9, 9, 9, 9}) {
		t.Errorf("%+v", merged.Budgets)
	}
	if one := Merge([]Report{a}); one.Localities["p"] == nil {
		t.Errorf("a single report is changed: %+v", one)
	}
}
