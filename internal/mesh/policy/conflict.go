package policy

import (
	"fmt"
	"slices"
)

// Conflict is two clauses that contradict each other on a request. It is an error that matches ErrConflict with errors.Is.
type Conflict struct {
	A       Clause
	B       Clause
	Route   string
	Service string // that the route sends to
	Caller  string // empty if the clauses contradict each other for every caller
	Example string // describes a request that both clauses apply to
	Text    string // how the clauses contradict each other
}

// Error returns a text with the owners and items of both clauses, the route and an example of a request.
func (c *Conflict) Error() string {
	return fmt.Sprintf("route %s to %s: %s: %s says %s %s, and %s says %s %s; for example %s", c.Route, c.Service, c.Text,
		c.A.Source, c.A.Field, c.A.Value(), c.B.Source, c.B.Field, c.B.Value(), c.Example)
}

// Is makes errors.Is match ErrConflict.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

// firstConflict returns the first conflict on any of the affected routes and services, or nil if there is none. It
// checks the clauses of a caller only if the clauses of the route allow or require that caller by name. For other
// callers the tightest clauses apply, which is no conflict.
func (s *Set) firstConflict(affected func(Route, string) bool) *Conflict {
	for _, route := range s.Routes() {
		for _, service := range route.Services {
			if !affected(route, service) {
				continue
			}
			if conflict := s.conflictAt(route, service); conflict != nil {
				return conflict
			}
		}
	}
	return nil
}

// conflictAt returns the first conflict on requests of a route to a service, or nil if there is none.
func (s *Set) conflictAt(route Route, service string) *Conflict {
	clauses, governed := s.ClausesFor(route, service, "")
	if !governed {
		return nil
	}
	if conflict := clauses.firstConflict(); conflict != nil {
		return conflict.addLocation(route, service, "")
	}
	for _, caller := range clauses.namedCallers() {
		if len(s.targeted[RoleCallerOwner][caller]) == 0 && s.OwnerOfService(caller) == MeshNamespace {
			continue
		}
		withCaller, _ := s.ClausesFor(route, service, caller)
		if conflict := withCaller.firstConflict(); conflict != nil {
			return conflict.addLocation(route, service, caller)
		}
	}
	return nil
}

// namedCallers returns the callers that clauses allow or require by name.
func (l Clauses) namedCallers() (callers []string) {
	for _, c := range l {
		if c.Field == FieldAllowedCallers || c.Field == FieldRequiredCallers {
			callers = append(callers, c.Values...)
		}
	}
	return sortedUnique(callers)
}

// addLocation sets where a conflict was found, and returns it.
func (c *Conflict) addLocation(route Route, service, caller string) *Conflict {
	c.Route = route.Name
	c.Service = service
	c.Caller = caller
	if caller == "" && len(c.A.Values) > 0 {
		caller = c.A.Values[0]
	}
	c.Example = route.Example(caller)
	return c
}

// firstConflict returns the first two clauses of a merged policy that contradict each other, or nil if none do.
func (l Clauses) firstConflict() *Conflict {
	needs, needed := l.Effective(FieldNeededTime)
	limit, limited := l.Effective(FieldTimeout)
	if needed && limited && needs.Number > limit.Number {
		return &Conflict{A: needs.Clause, B: limit.Clause, Text: "less time than it needs"}
	}
	var allowed []string // callers that all FieldAllowedCallers clauses so far allow
	var lastAllow *Clause
	for i, c := range l {
		if c.Field == FieldRequiredCallers {
			if conflict := l.requiredCallerDenied(c); conflict != nil {
				return conflict
			}
		}
		if c.Field != FieldAllowedCallers {
			continue
		}
		if lastAllow == nil {
			allowed = c.Values
		} else {
			allowed = intersection.mergeValues([]Clause{{Values: allowed}, c})
			if len(allowed) == 0 {
				return &Conflict{A: *lastAllow, B: c, Text: "together with the other lists of allowed callers nobody may call"}
			}
		}
		lastAllow = &l[i]
	}
	return nil
}

// requiredCallerDenied returns the conflict on the first caller that the given clause requires and another clause denies,
// or nil if there is none.
func (l Clauses) requiredCallerDenied(need Clause) *Conflict {
	for _, caller := range need.Values {
		source, denied := l.DeniedBy(caller)
		if !denied {
			continue
		}
		i := slices.IndexFunc(l, func(c Clause) bool {
			return c.Source == source && (c.Field == FieldDeniedCallers || c.Field == FieldAllowedCallers)
		})
		required := Clause{Field: FieldRequiredCallers, Values: []string{caller}, Source: need.Source}
		return &Conflict{A: required, B: l[i], Text: "a caller that must be let in is not"}
	}
	return nil
}
