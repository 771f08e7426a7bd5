package route

import (
	"fmt"
	"slices"
	"testing"
)

// Compile reports each invalid route with its index and the key at fault, and then returns no table.
func TestCompileReportsFaults(t *testing.T) {
	valid := Route{Host: "a", To: to("p")}
	for name, c := range map[string]struct {
		route Route
		key   string
	}{
		"port":                       {Route{Host: "a:80", To: to("p")}, "host"},
		"wildcard inside":            {Route{Host: "a.*.b", To: to("p")}, "host"},
		"wildcard alone":             {Route{Host: "*.", To: to("p")}, "host"},
		"wildcard before an address": {Route{Host: "*.[::1]", To: to("p")}, "host"},
		"path":                       {Route{Path: "a", To: to("p")}, "path"},
		"path not normalised":        {Route{Path: "/a/../b", To: to("p")}, "path"},
		"prefix":                     {Route{Prefix: "//", To: to("p")}, "prefix"},
		"regexp":                     {Route{Regexp: "(", To: to("p")}, "regexp"},
		"path and prefix":            {Route{Path: "/a", Prefix: "/b", To: to("p")}, "path"},
		"method":                     {Route{Methods: []string{"get"}, To: to("p")}, "methods"},
		"header":                     {Route{Headers: []Header{{}}, To: to("p")}, "headers"},
		"no destination":             {Route{}, "to"},
		"pool without a name":        {Route{To: to("")}, "to"},
		"no weight over 0":           {Route{To: []Split{{"p", 0}, {"q", 0}}}, "to"},
		"negative weight":            {Route{To: []Split{{"p", -1}, {"q", 2}}}, "to"},
		"pool twice":                 {Route{To: []Split{{"p", 1}, {"p", 2}}}, "to"},
		"weight too large":           {Route{To: []Split{{"p", MaxWeight + 1}}}, "to"},
		"too many pools":             {Route{To: splitOver(MaxSplit + 1)}, "to"},
	} {
		table, faults := Compile([]Route{valid, c.route}, "")
		if table != nil || len(faults) == 0 || faults[0].Route != 1 || faults[0].Key != c.key {
			t.Errorf("%s: table %v, faults %v; want no table and a fault of route 1 at key %q", name, table != nil, faults, c.key)
		}
	}
	same := slices.Repeat([]Route{{Path: "/a", To: to("p")}}, MaxSamePath+1)
	if _, faults := Compile(same, ""); len(faults) != 1 {
		t.Errorf("%d routes of one path: faults %v, want 1", len(same), faults)
	}
	if _, faults := Compile(slices.Repeat([]Route{{Regexp: "a", To: to("p")}}, MaxRegexps+1), ""); len(faults) != 1 {
		t.Errorf("%d regular expressions of one host: faults %v, want 1", MaxRegexps+1, faults)
	}
}

// splitOver returns a split over n pools of the same weight.
func splitOver(n int) (split []Split) {
	for i := range n {
		split = append(split, Split{fmt.Sprint(i), 1})
	}
	return split
}
