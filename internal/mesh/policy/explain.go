package policy

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
)

// Explanation is a merged rule as it is told to people.
type Explanation struct {
	Route        string            `json:"route"`
	Host         string            `json:"host"`
	Prefix       string            `json:"prefix"`
	Owner        string            `json:"owner"` // of the route
	Service      string            `json:"service"`
	ServiceOwner string            `json:"serviceOwner"`
	Caller       string            `json:"caller,omitempty"` // "": whoever calls
	CallerOwner  string            `json:"callerOwner,omitempty"`
	Fingerprint  string            `json:"print"`
	DeniedBy     *Source           `json:"denied,omitempty"`
	Fields       []EffectiveClause `json:"fields"`
}

// Explain tells a merged rule field by field.
func (s *Set) Explain(route Route, service, caller string) Explanation {
	words, _ := s.ClausesFor(route, service, caller)
	x := Explanation{Route: route.Name, Host: route.Host, Prefix: route.Prefix, Owner: s.OwnerOfRoute(route), Service: service, ServiceOwner: s.OwnerOfService(service),
		Caller: caller, Fingerprint: words.Fingerprint()}
	if caller != "" {
		x.CallerOwner = s.OwnerOfService(caller)
		if from, is := words.DeniedBy(caller); is {
			x.DeniedBy = &from
		}
	}
	for _, f := range AllFields {
		if h, is := words.Effective(f); is {
			x.Fields = append(x.Fields, h)
		}
	}
	return x
}

// WriteText tells it.
func (x Explanation) WriteText(w io.Writer) {
	fmt.Fprintf(w, "route %s (%s%s) of %s, to service %s of %s", x.Route, x.Host, x.Prefix, x.Owner, x.Service, x.ServiceOwner)
	if x.Caller != "" {
		fmt.Fprintf(w, ", from %s of %s", x.Caller, x.CallerOwner)
	}
	fmt.Fprintf(w, "; rule %s\n", x.Fingerprint)
	if x.DeniedBy != nil {
		fmt.Fprintf(w, "  %s may not call it, by %s\n", x.Caller, x.DeniedBy)
	}
	for _, h := range x.Fields {
		fmt.Fprintf(w, "  %-14s %-24s by %s\n", h.Field, h.Value(), h.Source)
		for _, o := range h.Overridden {
			fmt.Fprintf(w, "  %-14s %-24s    over %s of %s\n", "", "", o.Value(), o.Source)
		}
	}
}

// Overlap is a route on which several namespaces have a word.
type Overlap struct {
	Route       string   `json:"route"`
	Service     string   `json:"service"`
	Namespaces  []string `json:"namespaces"`
	Policies    []string `json:"rulings"`
	Fingerprint string   `json:"print"`
}

// Report is where namespaces meet, and which rulings say nothing of anything that stands.
type Report struct {
	Overlaps []Overlap `json:"meetings"`
	Unused   []string  `json:"idle"`
}

// Report looks at all routes.
func (s *Set) Report() (r Report) {
	said := map[string]bool{}
	r.Overlaps, r.Unused = []Overlap{}, []string{}
	for _, route := range s.Routes() {
		for _, service := range route.Services {
			words, _ := s.ClausesFor(route, service, "")
			m := Overlap{Route: route.Name, Service: service, Fingerprint: words.Fingerprint()}
			for _, w := range words {
				if w.Source.Role == RoleItem {
					continue
				}
				said[w.Source.Item] = true
				m.Namespaces, m.Policies = append(m.Namespaces, w.Source.Namespace), append(m.Policies, w.Source.Item)
			}
			m.Namespaces, m.Policies = sortedUnique(m.Namespaces), sortedUnique(m.Policies)
			if len(m.Namespaces) > 1 {
				r.Overlaps = append(r.Overlaps, m)
			}
		}
	}
	for _, x := range s.policies {
		if len(x.On.Callers) == 0 && !said["ruling "+x.Name] {
			r.Unused = append(r.Unused, x.Name)
		}
	}
	return r
}

func sortedUnique(l []string) []string {
	sort.Strings(l)
	return slices.Compact(l)
}

// WriteText tells it.
func (r Report) WriteText(w io.Writer) {
	for _, m := range r.Overlaps {
		fmt.Fprintf(w, "route %s to %s: %s meet (%s); rule %s\n", m.Route, m.Service, strings.Join(m.Namespaces, " and "), strings.Join(m.Policies, ", "), m.Fingerprint)
	}
	for _, x := range r.Unused {
		fmt.Fprintf(w, "ruling %s says nothing of any route that stands\n", x)
	}
	if len(r.Overlaps)+len(r.Unused) == 0 {
		fmt.Fprintln(w, "no two namespaces meet on a route")
	}
}
