package route

import (
	"fmt"
	"slices"
	"testing"
)

// Each invalid route is reported with its index and the key at fault, and there is no table.
func TestFaults(t *testing.T) {
	good := Route{Host: "a", To: to("p")}
	for name, c := range map[string]struct {
		route Route
		key   string
	}{
		"port":                {Route{Host: "a:80", To: to("p")}, "host"},
		"inner star":          {Route{Host: "a.*.b", To: to("p")}, "host"},
		"star alone":          {Route{Host: "*.", To: to("p")}, "host"},
		"below address":       {Route{Host: "*.[::1]", To: to("p")}, "host"},
		"path":                {Route{Path: "a", To: to("p")}, "path"},
		"not normal":          {Route{Path: "/a/../b", To: to("p")}, "path"},
		"prefix":              {Route{Prefix: "//", To: to("p")}, "prefix"},
		"regexp":              {Route{Regexp: "(", To: to("p")}, "regexp"},
		"two kinds":           {Route{Path: "/a", Prefix: "/b", To: to("p")}, "path"},
		"method":              {Route{Methods: []string{"get"}, To: to("p")}, "methods"},
		"header":              {Route{Headers: []Header{{}}, To: to("p")}, "headers"},
		"no destination":      {Route{}, "to"},
		"pool without a name": {Route{To: to("")}, "to"},
		"weights of 0":        {Route{To: []Split{{"p", 0}, {"q", 0}}}, "to"},
		"negative weight":     {Route{To: []Split{{"p", -1}, {"q", 2}}}, "to"},
		"pool twice":          {Route{To: []Split{{"p", 1}, {"p", 2}}}, "to"},
		"weight too large":    {Route{To: []Split{{"p", MaxWeight + 1}}}, "to"},
		"too many pools":      {Route{To: many(MaxSplit + 1)}, "to"},
	} {
		table, faults := Compile([]Route{good, c.route}, "")
		if table != nil || len(faults) == 0 || faults[0].Route != 1 || faults[0].Key != c.key {
			t.Errorf("%s: %v", name, faults)
		}
	}
	same := slices.Repeat([]Route{{Path: "/a", To: to("p")}}, MaxSamePath+1)
	if _, faults := Compile(same, ""); len(faults) != 1 {
		t.Errorf("too many routes of one path: %v", faults)
	}
	if _, faults := Compile(slices.Repeat([]Route{{Regexp: "a", To: to("p")}}, MaxRegexps+1), ""); len(faults) != 1 {
		t.Errorf("too many regular expressions: %v", faults)
	}
}

// many returns n destinations.
func many(n int) (l []Split) {
	for i := range n {
		l = append(l, Split{fmt.Sprint(i), 1})
	}
	return l
}
