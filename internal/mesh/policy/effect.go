package policy

import (
	"fmt"
	"slices"
	"strings"
)

// Effect is how a change alters the effective value of a field of a merged policy. It is replicated state, as a notice to the affected
// owners.
type Effect struct {
	Route   string   `json:"route"`
	Service string   `json:"service"`
	Field   Field    `json:"field"`
	Before  string   `json:"was"` // noValue if there was no clause
	After   string   `json:"is"`
	Loosens bool     `json:"loosens"`
	Source  Source   `json:"from"` // of the effective clause, or of the former one if the change leaves none
	Owners  []string `json:"owners"`
}

// noValue is shown for a field without any clause.
const noValue = "-"

// String returns the effect as one line for operators.
func (e Effect) String() string {
	verb := "tightens"
	if e.Loosens {
		verb = "LOOSENS"
	}
	return fmt.Sprintf("%s route %s to %s, of %s: %s %s -> %s, by %s", verb, e.Route, e.Service, strings.Join(e.Owners, " and "),
		e.Field, e.Before, e.After, e.Source)
}

// effectsOf returns the effects of a change on those affected routes and services that exist before and after it.
func effectsOf(before, after *Set, affected func(Route, string) bool) (effects []Effect) {
	for _, route := range after.Routes() {
		old, existed := before.routes[route.Name]
		if !existed {
			continue
		}
		for _, service := range route.Services {
			if !slices.Contains(old.Services, service) || !affected(route, service) {
				continue
			}
			oldClauses, _ := before.ClausesFor(old, service, "")
			newClauses, _ := after.ClausesFor(route, service, "")
			for _, f := range AllFields {
				if e, changed := fieldEffect(f, oldClauses, newClauses); changed {
					e.Route = route.Name
					e.Service = service
					e.Owners = after.affectedOwners(route, service, f, oldClauses, newClauses)
					effects = append(effects, e)
				}
			}
		}
	}
	return effects
}

// affectedOwners returns the owners of a route, of the service, and of the callers that the change newly denies.
func (s *Set) affectedOwners(route Route, service string, f Field, before, after Clauses) []string {
	owners := []string{s.OwnerOfRoute(route), s.OwnerOfService(service)}
	if f == FieldAllowedCallers || f == FieldDeniedCallers {
		for _, caller := range slices.Concat(before.effectiveValues(FieldAllowedCallers), after.effectiveValues(FieldDeniedCallers)) {
			_, wasDenied := before.DeniedBy(caller)
			if _, denied := after.DeniedBy(caller); denied && !wasDenied {
				owners = append(owners, s.OwnerOfService(caller))
			}
		}
	}
	return sortedUnique(owners)
}

func (l Clauses) effectiveValues(f Field) []string {
	e, _ := l.Effective(f)
	return e.Values
}

// fieldEffect returns the effect on a field, if its effective value has changed.
func fieldEffect(f Field, before, after Clauses) (e Effect, changed bool) {
	former, existed := before.Effective(f)
	current, exists := after.Effective(f)
	e = Effect{Field: f, Before: noValue, After: noValue}
	if existed {
		e.Before = former.Value()
		e.Source = former.Source
	}
	if exists {
		e.After = current.Value()
		e.Source = current.Source
	}
	if e.Before == e.After {
		return e, false
	}
	switch {
	case f == FieldNeededTime || f == FieldRequiredCallers: // a requirement does not limit requests, so changing it loosens nothing
	case !existed:
	case !exists:
		e.Loosens = true
	default:
		e.Loosens = mergeKinds[f].isLooser(current.Clause, former.Clause)
	}
	return e, true
}

// isLooser reports whether a clause permits something that another one does not.
func (k mergeKind) isLooser(c, than Clause) bool {
	switch k {
	case minimum:
		return c.Number > than.Number
	case maximum:
		return c.Number < than.Number
	case intersection:
		return hasValuesOutside(c.Values, than.Values)
	case union:
	}
	return hasValuesOutside(than.Values, c.Values)
}

// hasValuesOutside reports whether any of the values is not in a set.
func hasValuesOutside(values, set []string) bool {
	return slices.ContainsFunc(values, func(v string) bool { return !slices.Contains(set, v) })
}
