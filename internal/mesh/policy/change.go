package policy

import (
	"fmt"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Errors of changes.
const (
	ErrInvalidSet      = errors.ConstError("the items do not fit together")
	ErrConflict        = errors.ConstError("two rules refuse each other")
	ErrNotOwner        = errors.ConstError("it is not theirs to change")
	ErrConsentRequired = errors.ConstError("it loosens another's rule without consent")
)

// Change is which items a call changes, by name, and who made it.
type Change struct {
	Namespaces []string
	Policies   []string
	Routes     []string
	Others     []string // services, limits and the like, which are the mesh's
	Author     string   // "": the mesh's operator, who may change whatever there is
	Consents   []string // as namespace:name, the name one of its owners
}

// Conflict is two words that refuse each other on a request.
type Conflict struct {
	A, B                   Clause
	Route, Service, Caller string
	Example, Text          string
}

// Error names both owners, both items, the route and a request.
func (c *Conflict) Error() string {
	return fmt.Sprintf("route %s to %s: %s: %s says %s %s, and %s says %s %s; for example %s", c.Route, c.Service, c.Text,
		c.A.Source, c.A.Field, c.A.Value(), c.B.Source, c.B.Field, c.B.Value(), c.Example)
}

// Is has a Conflict be an ErrConflict.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

// Effect is a field of a merged rule that a change has hold otherwise.
type Effect struct {
	Route   string   `json:"route"`
	Service string   `json:"service"`
	Field   Field    `json:"field"`
	Before  string   `json:"was"` // "-": nobody said anything
	After   string   `json:"is"`
	Loosens bool     `json:"loosens"`
	Source  Source   `json:"from"` // of the word that holds now, or did
	Owners  []string `json:"owners"`
}

// String is one line.
func (e Effect) String() string {
	verb := "tightens"
	if e.Loosens {
		verb = "LOOSENS"
	}
	return fmt.Sprintf("%s route %s to %s, of %s: %s %s -> %s, by %s", verb, e.Route, e.Service, strings.Join(e.Owners, " and "), e.Field, e.Before, e.After, e.Source)
}

// Evaluate says what a change does to merged rules, or why it is turned down. The error is of this package.
func Evaluate(before, after *Set, c Change) ([]Effect, error) {
	if item, text := after.validate(); item != "" {
		return nil, errors.Annotatef(ErrInvalidSet, "%s: %s", item, text)
	}
	mine := before.namespacesOwnedBy(c.Author)
	if err := c.checkOwnership(before, after, mine); err != nil {
		return nil, err
	}
	touched := c.affectedRoutes(before, after)
	if x := after.firstConflict(touched); x != nil {
		return nil, x
	}
	effects := effectsOf(before, after, touched)
	out := effects[:0]
	for _, e := range effects {
		e.Owners = slices.DeleteFunc(e.Owners, func(n string) bool { return slices.Contains(mine, n) })
		if len(e.Owners) == 0 {
			continue
		}
		if c.Author != "" && e.Loosens {
			for _, n := range e.Owners {
				if !after.hasConsent(c.Consents, n) {
					return nil, errors.Annotatef(ErrConsentRequired, "%s: %s has to consent; for example %s", e, n, after.routes[e.Route].Example(""))
				}
			}
		}
		out = append(out, e)
	}
	return out, nil
}

// namespacesOwnedBy are the namespaces that somebody is an owner of.
func (s *Set) namespacesOwnedBy(by string) (l []string) {
	if by == "" {
		return []string{MeshNamespace}
	}
	for _, n := range s.Namespaces() {
		if slices.Contains(n.Owners, by) {
			l = append(l, n.Name)
		}
	}
	return l
}

func (s *Set) hasConsent(given []string, namespace string) bool {
	return slices.ContainsFunc(given, func(g string) bool {
		n, name, _ := strings.Cut(g, ":")
		return n == namespace && slices.Contains(s.namespaces[n].Owners, name)
	})
}

// policyByName is one by its name.
func (s *Set) policyByName(name string) (Policy, bool) {
	for _, r := range s.policies {
		if r.Name == name {
			return r, true
		}
	}
	return Policy{}, false
}

// checkOwnership sees that whoever made a change may change each of its items.
func (c Change) checkOwnership(before, after *Set, mine []string) error {
	if c.Author == "" {
		return nil
	}
	owns := strings.Join(mine, ", ")
	if owns == "" {
		owns = "nothing"
	}
	no := func(item, of string) error {
		return errors.Annotatef(ErrNotOwner, "%s is of %s, and %s owns %s", item, of, c.Author, owns)
	}
	for _, n := range c.Namespaces {
		return no("namespace "+n, MeshNamespace)
	}
	for _, n := range c.Others {
		return no(n, MeshNamespace)
	}
	for _, s := range []*Set{before, after} {
		for _, n := range c.Policies {
			if r, is := s.policyByName(n); is && !slices.Contains(mine, r.Namespace) {
				return no("ruling "+n, r.Namespace)
			}
		}
		for _, n := range c.Routes {
			if r, is := s.routes[n]; is && !slices.Contains(mine, s.OwnerOfRoute(r)) {
				return no("route "+n, s.OwnerOfRoute(r))
			}
		}
	}
	return nil
}

// affectedRoutes says which merged rules a change may have hold otherwise.
func (c Change) affectedRoutes(before, after *Set) func(Route, string) bool {
	if len(c.Namespaces) > 0 {
		return func(Route, string) bool { return true }
	}
	var rulings []Policy
	for _, s := range []*Set{before, after} {
		for _, n := range c.Policies {
			if r, is := s.policyByName(n); is {
				rulings = append(rulings, r)
			}
		}
	}
	routes := map[string]bool{}
	for _, n := range c.Routes {
		routes[n] = true
	}
	return func(route Route, service string) bool {
		return routes[route.Name] || slices.ContainsFunc(rulings, func(r Policy) bool {
			switch {
			case r.On.isEmpty():
				return after.governs(r.Namespace, after.OwnerOfRoute(route)) || after.governs(r.Namespace, after.OwnerOfService(service))
			case len(r.On.Callers) > 0: // it may meet any route that names them
				return true
			}
			return slices.Contains(r.On.Routes, route.Name) || slices.Contains(r.On.Services, service)
		})
	}
}

// firstConflict is the first of those in which a rule refuses another; nil: there is none. A caller's own words count where the
// route's name the caller: whom nobody named goes by the tightest.
func (s *Set) firstConflict(touched func(Route, string) bool) *Conflict {
	for _, route := range s.Routes() {
		for _, service := range route.Services {
			if !touched(route, service) {
				continue
			}
			words, ruled := s.ClausesFor(route, service, "")
			if !ruled {
				continue
			}
			if x := words.firstConflict(); x != nil {
				return x.at(route, service, "")
			}
			var named []string
			for _, w := range words {
				if w.Field == FieldAllow || w.Field == FieldNeed {
					named = append(named, w.Values...)
				}
			}
			slices.Sort(named)
			for _, c := range slices.Compact(named) {
				if len(s.targeted[RoleCallerOwner][c]) == 0 && s.OwnerOfService(c) == MeshNamespace {
					continue
				}
				of, _ := s.ClausesFor(route, service, c)
				if x := of.firstConflict(); x != nil {
					return x.at(route, service, c)
				}
			}
		}
	}
	return nil
}

func (c *Conflict) at(route Route, service, caller string) *Conflict {
	c.Route, c.Service, c.Caller = route.Name, service, caller
	if c.Caller == "" && len(c.A.Values) > 0 {
		caller = c.A.Values[0]
	}
	c.Example = route.Example(caller)
	return c
}

// firstConflict is two words of a merged rule that refuse each other; nil: there are none.
func (l Clauses) firstConflict() *Conflict {
	if needs, is := l.Effective(FieldNeeds); is {
		if limit, is := l.Effective(FieldTimeout); is && needs.Number > limit.Number {
			return &Conflict{A: needs.Clause, B: limit.Clause, Text: "less time than it needs"}
		}
	}
	var left []string // that all have allowed so far
	var allow *Clause // the latest of them
	for i, w := range l {
		switch {
		case w.Field == FieldNeed:
			for _, c := range w.Values {
				if from, denied := l.DeniedBy(c); denied {
					j := slices.IndexFunc(l, func(o Clause) bool { return o.Source == from && (o.Field == FieldDeny || o.Field == FieldAllow) })
					return &Conflict{A: Clause{Field: FieldNeed, Values: []string{c}, Source: w.Source}, B: l[j], Text: "a caller that must be let in is not"}
				}
			}
		case w.Field == FieldAllow:
			if allow == nil {
				left = w.Values
			} else {
				left = slices.DeleteFunc(slices.Clone(left), func(c string) bool { return !slices.Contains(w.Values, c) })
			}
			if allow != nil && len(left) == 0 {
				return &Conflict{A: *allow, B: l[i], Text: "together with what else is allowed they let nobody call"}
			}
			allow = &l[i]
		}
	}
	return nil
}

// effectsOf are the fields that hold otherwise on routes that stand in both sets.
func effectsOf(before, after *Set, touched func(Route, string) bool) (l []Effect) {
	for _, route := range after.Routes() {
		was, stood := before.routes[route.Name]
		if !stood {
			continue
		}
		for _, service := range route.Services {
			if !slices.Contains(was.Services, service) || !touched(route, service) {
				continue
			}
			a, _ := before.ClausesFor(was, service, "")
			b, _ := after.ClausesFor(route, service, "")
			for _, f := range AllFields {
				if e, is := fieldEffect(f, a, b); is {
					e.Route, e.Service = route.Name, service
					e.Owners = after.affectedOwners(route, service, f, a, b)
					l = append(l, e)
				}
			}
		}
	}
	return l
}

// affectedOwners are the owners of a route, of the service it goes to, and of those who may call no longer.
func (s *Set) affectedOwners(route Route, service string, f Field, was, is Clauses) []string {
	l := []string{s.OwnerOfRoute(route), s.OwnerOfService(service)}
	if f == FieldAllow || f == FieldDeny {
		for _, c := range slices.Concat(effectiveValues(was, FieldAllow), effectiveValues(is, FieldDeny)) {
			if _, before := was.DeniedBy(c); !before {
				if _, now := is.DeniedBy(c); now {
					l = append(l, s.OwnerOfService(c))
				}
			}
		}
	}
	slices.Sort(l)
	return slices.Compact(l)
}

func effectiveValues(l Clauses, f Field) []string {
	h, _ := l.Effective(f)
	return h.Values
}

// fieldEffect is how a field holds otherwise; false: it does not.
func fieldEffect(f Field, was, is Clauses) (e Effect, changed bool) {
	a, hadA := was.Effective(f)
	b, hadB := is.Effective(f)
	e = Effect{Field: f, Before: "-", After: "-"}
	if hadA {
		e.Before, e.Source = a.Value(), a.Source
	}
	if hadB {
		e.After, e.Source = b.Value(), b.Source
	}
	if e.Before == e.After {
		return e, false
	}
	more := func(x, y []string) bool {
		return slices.ContainsFunc(x, func(c string) bool { return !slices.Contains(y, c) })
	}
	switch {
	case f == FieldNeeds || f == FieldNeed: // what somebody asks for holds nobody back
	case !hadA:
	case !hadB:
		e.Loosens = true
	case mergeKinds[f] == minimum:
		e.Loosens = b.Number > a.Number
	case mergeKinds[f] == maximum:
		e.Loosens = b.Number < a.Number
	case mergeKinds[f] == intersection:
		e.Loosens = more(b.Values, a.Values)
	default:
		e.Loosens = more(a.Values, b.Values)
	}
	return e, true
}
