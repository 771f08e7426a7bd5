package policy

import (
	"fmt"
	"slices"
)

// Conflict is two clauses that contradict each other on a request. It is an error, and ErrConflict by errors.Is.
type Conflict struct {
	A, B                   Clause
	Route, Service, Caller string // Caller "": any
	Example, Text          string
}

// Error names both owners, both items, the route and a request.
func (c *Conflict) Error() string {
	return fmt.Sprintf("route %s to %s: %s: %s says %s %s, and %s says %s %s; for example %s", c.Route, c.Service, c.Text,
		c.A.Source, c.A.Field, c.A.Value(), c.B.Source, c.B.Field, c.B.Value(), c.Example)
}

// Is has errors.Is find ErrConflict.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

// firstConflict is the first of the affected routes and services on which clauses contradict each other; nil means that there
// is none. A caller's own clauses count where the route's clauses name the caller; for a caller that nobody named the tightest
// hold.
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

func (s *Set) conflictAt(route Route, service string) *Conflict {
	clauses, governed := s.ClausesFor(route, service, "")
	if !governed {
		return nil
	}
	if conflict := clauses.firstConflict(); conflict != nil {
		return conflict.at(route, service, "")
	}
	for _, caller := range clauses.namedCallers() {
		if len(s.targeted[RoleCallerOwner][caller]) == 0 && s.OwnerOfService(caller) == MeshNamespace {
			continue
		}
		withCaller, _ := s.ClausesFor(route, service, caller)
		if conflict := withCaller.firstConflict(); conflict != nil {
			return conflict.at(route, service, caller)
		}
	}
	return nil
}

// namedCallers are those that must be able to call, or are allowed to.
func (l Clauses) namedCallers() (callers []string) {
	for _, c := range l {
		if c.Field == FieldAllow || c.Field == FieldNeed {
			callers = append(callers, c.Values...)
		}
	}
	return sortedUnique(callers)
}

// at completes a conflict with where it was found.
func (c *Conflict) at(route Route, service, caller string) *Conflict {
	c.Route, c.Service, c.Caller = route.Name, service, caller
	if caller == "" && len(c.A.Values) > 0 {
		caller = c.A.Values[0]
	}
	c.Example = route.Example(caller)
	return c
}

// firstConflict is two clauses of a merged policy that contradict each other; nil means that there are none.
func (l Clauses) firstConflict() *Conflict {
	needs, asked := l.Effective(FieldNeeds)
	limit, limited := l.Effective(FieldTimeout)
	if asked && limited && needs.Number > limit.Number {
		return &Conflict{A: needs.Clause, B: limit.Clause, Text: "less time than it needs"}
	}
	var allowed []string // by all clauses so far
	var lastAllow *Clause
	for i, c := range l {
		if c.Field == FieldNeed {
			if conflict := l.deniedNeed(c); conflict != nil {
				return conflict
			}
		}
		if c.Field != FieldAllow {
			continue
		}
		if lastAllow == nil {
			allowed = c.Values
		} else {
			allowed = intersection.mergeValues([]Clause{{Values: allowed}, c})
			if len(allowed) == 0 {
				return &Conflict{A: *lastAllow, B: c, Text: "together with what else is allowed they let nobody call"}
			}
		}
		lastAllow = &l[i]
	}
	return nil
}

// deniedNeed is the first caller that a clause wants let in and another clause keeps out.
func (l Clauses) deniedNeed(need Clause) *Conflict {
	for _, caller := range need.Values {
		source, denied := l.DeniedBy(caller)
		if !denied {
			continue
		}
		i := slices.IndexFunc(l, func(c Clause) bool { return c.Source == source && (c.Field == FieldDeny || c.Field == FieldAllow) })
		wanted := Clause{Field: FieldNeed, Values: []string{caller}, Source: need.Source}
		return &Conflict{A: wanted, B: l[i], Text: "a caller that must be let in is not"}
	}
	return nil
}
