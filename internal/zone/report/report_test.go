package report

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"cranegrade/internal/zone"
)

func sample() Report {
	rows := []zone.Row{
		{Key: zone.Key{Day: 20000, Pair: zone.Pair{From: "a", To: "a"}, Pool: "p", Class: "read", Customer: "<b>acme"}, Traffic: zone.Traffic{Requests: 30, Out: 1, In: 2}},
		{Key: zone.Key{Day: 20000, Pair: zone.Pair{From: "a", To: "b"}, Pool: "p", Class: "read"}, Traffic: zone.Traffic{Requests: 10, Out: 3, In: 4}},
		{Key: zone.Key{Day: 20000, Pair: zone.Pair{From: "a"}, Pool: "p", Class: "read"}, Traffic: zone.Traffic{Requests: 99}},
		{Key: zone.Key{Day: 20001, Pair: zone.Pair{From: "a", To: "b"}, Pool: "p", Class: "alert-send"}, Traffic: zone.Traffic{Requests: 1}},
	}
	return Report{
		Node: "n1", Home: "a", At: time.Unix(1728000000, 0).UTC(), Rows: Rows(rows, "", By{true, true, true}),
		Pools:   map[string][]Area{"p": Areas([]zone.View{{Place: zone.Place{Zone: "a"}, Servers: 3, Units: 2.5, Limit: 12, Out: 4, Sick: true}})},
		Budgets: Budgets(map[zone.Pair][2][2]int64{{From: "a", To: "b"}: {{5, -1}, {-1, 1000}}}),
	}
}

func TestForms(t *testing.T) {
	r := sample()
	var table, text bytes.Buffer
	for _, err := range []error{r.Table(&table), r.JSON(&text)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []string{"26.8% of requests crossed", "(unknown)", "sick", "alert-send", "2024-10-04"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("the table has no %q:\n%s", want, table.String())
		}
	}
	back, err := Read(text.Bytes())
	if err != nil || !reflect.DeepEqual(back, r) {
		t.Errorf("read back %+v, %v", back, err)
	}
}

func TestRows(t *testing.T) {
	rows := []zone.Row{
		{Key: zone.Key{Day: 1, Pool: "p", Class: "x"}, Traffic: zone.Traffic{Requests: 1, Out: 1, In: 1}},
		{Key: zone.Key{Day: 1, Pool: "p", Class: "y"}, Traffic: zone.Traffic{Requests: 2, Out: 2, In: 2}},
		{Key: zone.Key{Day: 2, Pool: "p", Class: "y"}, Traffic: zone.Traffic{Requests: 4, Out: 4, In: 4}},
	}
	if l := Rows(rows, "1970-01-02", By{}); len(l) != 1 || l[0].Requests != 3 || l[0].Class != "" {
		t.Errorf("%+v", l)
	}
	if l := Rows(rows, "", By{Class: true}); len(l) != 3 {
		t.Errorf("%+v", l)
	}
	if l := Rows(rows, "1999-01-01", By{}); len(l) != 0 {
		t.Errorf("%+v", l)
	}
}

func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	sample().JSON(&b)
	f.Add(b.Bytes())
	f.Add([]byte(`{"account":[{"requests":-1}],"pools":{"":[{}]}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if r, err := Read(text); err == nil {
			var w bytes.Buffer
			if r.Table(&w) != nil {
				t.Fatal("a report that was read can't be written")
			}
		}
	})
}

// Several nodes' figures together are the sums of each one's; a pair that is without limit anywhere has none.
func TestMerge(t *testing.T) {
	now := time.Unix(1000, 0)
	a := Report{
		Node: "a", Home: "x", At: now, Pools: map[string][]Area{"p": {{Zone: "x"}}},
		Budgets: []Budget{{"x", "y", 5, -1, 7, 8}}, Rows: []Row{{Day: "2026-12-01", From: "x", To: "y", Requests: 3, Out: 4, In: 5}},
	}
	b := Report{
		Node: "b", Home: "x", At: now.Add(-time.Second), Pools: map[string][]Area{"p": {{Zone: "y"}}},
		Budgets: []Budget{{"x", "y", 1, 2, -1, 4}, {"y", "x", 9, 9, 9, 9}}, Rows: []Row{{Day: "2026-12-01", From: "x", To: "y", Requests: 1, Out: 1, In: 1}},
	}
	m := Merge([]Report{a, b})
	if m.Node != "a, b" || m.Home != "x" || !m.At.Equal(b.At) || len(m.Pools) != 2 || m.Pools["b/p"][0].Zone != "y" || len(m.Rows) != 2 {
		t.Errorf("%+v", m)
	}
	if len(m.Budgets) != 2 || m.Budgets[0] != (Budget{"x", "y", 6, -1, -1, 12}) || m.Budgets[1] != (Budget{"y", "x", 9, 9, 9, 9}) {
		t.Errorf("%+v", m.Budgets)
	}
	if one := Merge([]Report{a}); one.Pools["p"] == nil {
		t.Errorf("of one node: %+v", one)
	}
}
