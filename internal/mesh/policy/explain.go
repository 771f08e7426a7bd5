package policy

import (
	"fmt"
	"io"
	"strings"
)

// Explanation is a merged policy with the effective clause of each field. It is sent to operators as JSON.
type Explanation struct {
	Route        string            `json:"route"`
	Host         string            `json:"host"`
	Prefix       string            `json:"prefix"`
	Owner        string            `json:"owner"` // of the route
	Service      string            `json:"service"`
	ServiceOwner string            `json:"serviceOwner"`
	Caller       string            `json:"caller,omitempty"` // empty for any caller
	CallerOwner  string            `json:"callerOwner,omitempty"`
	Fingerprint  string            `json:"print"`
	DeniedBy     *Source           `json:"denied,omitempty"`
	Fields       []EffectiveClause `json:"fields"`
}

// Explain explains the merged policy for requests on a route to a service. caller is the calling service, or empty for
// any caller.
func (s *Set) Explain(route Route, service, caller string) Explanation {
	clauses, _ := s.ClausesFor(route, service, caller)
	x := Explanation{
		Route:        route.Name,
		Host:         route.Host,
		Prefix:       route.Prefix,
		Owner:        s.OwnerOfRoute(route),
		Service:      service,
		ServiceOwner: s.OwnerOfService(service),
		Caller:       caller,
		Fingerprint:  clauses.Fingerprint(),
	}
	if caller != "" {
		x.CallerOwner = s.OwnerOfService(caller)
		if source, denied := clauses.DeniedBy(caller); denied {
			x.DeniedBy = &source
		}
	}
	for _, f := range AllFields {
		if e, exists := clauses.Effective(f); exists {
			x.Fields = append(x.Fields, e)
		}
	}
	return x
}

// String returns the explanation as lines of text for operators.
func (x Explanation) String() string {
	w := &strings.Builder{}
	fmt.Fprintf(w, "route %s (%s%s) of %s, to service %s of %s", x.Route, x.Host, x.Prefix, x.Owner, x.Service, x.ServiceOwner)
	if x.Caller != "" {
		fmt.Fprintf(w, ", from %s of %s", x.Caller, x.CallerOwner)
	}
	fmt.Fprintf(w, "; rule %s\n", x.Fingerprint)
	if x.DeniedBy != nil {
		fmt.Fprintf(w, "  %s may not call it, by %s\n", x.Caller, x.DeniedBy)
	}
	for _, e := range x.Fields {
		fmt.Fprintf(w, "  %-14s %-24s by %s\n", e.Field, e.Value(), e.Source)
		for _, c := range e.Overridden {
			fmt.Fprintf(w, "  %-14s %-24s    over %s of %s\n", "", "", c.Value(), c.Source)
		}
	}
	return w.String()
}

// WriteText writes the result of String. It ignores errors of the writer.
func (x Explanation) WriteText(w io.Writer) {
	_, _ = io.WriteString(w, x.String())
}
