package policy

import (
	"fmt"
	"io"
	"strings"
)

// Overlap is a pair of a route and a service to which policies of several namespaces apply.
type Overlap struct {
	Route       string   `json:"route"`
	Service     string   `json:"service"`
	Namespaces  []string `json:"namespaces"`
	Policies    []string `json:"rulings"`
	Fingerprint string   `json:"print"`
}

// Report is where policies of several namespaces overlap, and which policies apply to no existing route. It is sent to operators as JSON.
type Report struct {
	Overlaps []Overlap `json:"meetings"`
	Unused   []string  `json:"idle"`
}

// Report returns the report on all routes.
func (s *Set) Report() Report {
	r := Report{Overlaps: []Overlap{}, Unused: []string{}}
	used := map[string]bool{} // by item
	for _, route := range s.Routes() {
		for _, service := range route.Services {
			clauses, _ := s.ClausesFor(route, service, "")
			overlap := Overlap{Route: route.Name, Service: service, Fingerprint: clauses.Fingerprint()}
			for _, c := range clauses {
				if c.Source.Role == RoleItem {
					continue
				}
				used[c.Source.Item] = true
				overlap.Namespaces = append(overlap.Namespaces, c.Source.Namespace)
				overlap.Policies = append(overlap.Policies, c.Source.Item)
			}
			overlap.Namespaces, overlap.Policies = sortedUnique(overlap.Namespaces), sortedUnique(overlap.Policies)
			if len(overlap.Namespaces) > 1 {
				r.Overlaps = append(r.Overlaps, overlap)
			}
		}
	}
	for _, p := range s.policies {
		if len(p.On.Callers) == 0 && !used["ruling "+p.Name] {
			r.Unused = append(r.Unused, p.Name)
		}
	}
	return r
}

// String returns the report as lines of text for operators.
func (r Report) String() string {
	w := &strings.Builder{}
	for _, o := range r.Overlaps {
		fmt.Fprintf(w, "route %s to %s: %s meet (%s); rule %s\n", o.Route, o.Service, strings.Join(o.Namespaces, " and "),
			strings.Join(o.Policies, ", "), o.Fingerprint)
	}
	for _, name := range r.Unused {
		fmt.Fprintf(w, "policy %s applies to no existing route\n", name)
	}
	if len(r.Overlaps)+len(r.Unused) == 0 {
		fmt.Fprintln(w, "no two namespaces meet on a route")
	}
	return w.String()
}

// WriteText writes the result of String. It ignores errors of the writer.
func (r Report) WriteText(w io.Writer) {
	_, _ = io.WriteString(w, r.String())
}
