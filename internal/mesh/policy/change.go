package policy

import (
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Errors of changes. They are annotated with the item and the owners; errors.Is finds them.
const (
	// ErrInvalidSet is that the items do not fit together after a change.
	ErrInvalidSet = errors.ConstError("the items do not fit together")

	// ErrConflict is that two clauses contradict each other on a request; the error is a *Conflict.
	ErrConflict = errors.ConstError("two rules refuse each other")

	// ErrNotOwner is that the author of a change does not own an item of it.
	ErrNotOwner = errors.ConstError("it is not theirs to change")

	// ErrConsentRequired is that a change loosens the policy of a namespace whose owners have not consented.
	ErrConsentRequired = errors.ConstError("it loosens another's rule without consent")
)

// Change is which items a call changes, by name, and who made it.
type Change struct {
	Namespaces []string
	Policies   []string
	Routes     []string
	Others     []string // services, limits and the like, which the mesh's operator owns
	Author     string   // "": the mesh's operator, who may change anything
	Consents   []string // as namespace:name, the name one of its owners
}

// Evaluate says what a change does to others' merged policies, or why it is rejected: the error is one of this package's. A
// change of the author's own policies has no effects.
func Evaluate(before, after *Set, c Change) ([]Effect, error) {
	if err := after.validate(); err != nil {
		return nil, err
	}
	own := before.namespacesOwnedBy(c.Author)
	if err := c.checkOwnership(before, after, own); err != nil {
		return nil, err
	}
	affected := c.affectedRoutes(before, after)
	if conflict := after.firstConflict(affected); conflict != nil {
		return nil, conflict
	}
	all := effectsOf(before, after, affected)
	effects := all[:0]
	for _, e := range all {
		e.Owners = slices.DeleteFunc(e.Owners, func(namespace string) bool { return slices.Contains(own, namespace) })
		if len(e.Owners) == 0 {
			continue
		}
		if err := c.checkConsent(after, e); err != nil {
			return nil, err
		}
		effects = append(effects, e)
	}
	return effects, nil
}

// namespacesOwnedBy are those that somebody is an owner of.
func (s *Set) namespacesOwnedBy(author string) (names []string) {
	if author == "" {
		return []string{MeshNamespace}
	}
	for _, n := range s.Namespaces() {
		if slices.Contains(n.Owners, author) {
			names = append(names, n.Name)
		}
	}
	return names
}

// checkOwnership sees that the author may change each of the items: they must own it as it was, and as it is to be. own are
// the author's namespaces.
func (c Change) checkOwnership(before, after *Set, own []string) error {
	if c.Author == "" {
		return nil
	}
	if len(c.Namespaces) > 0 {
		return c.notOwner("namespace "+c.Namespaces[0], MeshNamespace, own)
	}
	if len(c.Others) > 0 {
		return c.notOwner(c.Others[0], MeshNamespace, own)
	}
	for _, s := range []*Set{before, after} {
		for _, name := range c.Policies {
			if p, exists := s.policyByName(name); exists && !slices.Contains(own, p.Namespace) {
				return c.notOwner("ruling "+name, p.Namespace, own)
			}
		}
		for _, name := range c.Routes {
			if r, exists := s.routes[name]; exists && !slices.Contains(own, s.OwnerOfRoute(r)) {
				return c.notOwner("route "+name, s.OwnerOfRoute(r), own)
			}
		}
	}
	return nil
}

func (c Change) notOwner(item, owner string, own []string) error {
	owned := strings.Join(own, ", ")
	if owned == "" {
		owned = "nothing"
	}
	return errors.Annotatef(ErrNotOwner, "%s is of %s, and %s owns %s", item, owner, c.Author, owned)
}

// checkConsent sees that the owners whose policy an effect loosens have consented.
func (c Change) checkConsent(after *Set, e Effect) error {
	if c.Author == "" || !e.Loosens {
		return nil
	}
	for _, namespace := range e.Owners {
		if !after.hasConsent(c.Consents, namespace) {
			return errors.Annotatef(ErrConsentRequired, "%s: %s has to consent; for example %s", e, namespace, after.routes[e.Route].Example(""))
		}
	}
	return nil
}

// hasConsent says that one of the consents is by an owner of a namespace.
func (s *Set) hasConsent(consents []string, namespace string) bool {
	return slices.ContainsFunc(consents, func(consent string) bool {
		of, name, _ := strings.Cut(consent, ":")
		return of == namespace && slices.Contains(s.namespaces[namespace].Owners, name)
	})
}

// affectedRoutes says on which routes and services a change may make another policy hold.
func (c Change) affectedRoutes(before, after *Set) func(route Route, service string) bool {
	if len(c.Namespaces) > 0 {
		return func(Route, string) bool { return true }
	}
	var policies []Policy
	for _, s := range []*Set{before, after} {
		for _, name := range c.Policies {
			if p, exists := s.policyByName(name); exists {
				policies = append(policies, p)
			}
		}
	}
	return func(route Route, service string) bool {
		return slices.Contains(c.Routes, route.Name) ||
			slices.ContainsFunc(policies, func(p Policy) bool { return after.mayAffect(p, route, service) })
	}
}

// mayAffect says that a policy may have a say on requests of a route to a service.
func (s *Set) mayAffect(p Policy, route Route, service string) bool {
	switch {
	case p.On.isEmpty():
		return s.governs(p.Namespace, s.OwnerOfRoute(route)) || s.governs(p.Namespace, s.OwnerOfService(service))
	case len(p.On.Callers) > 0: // it may meet any route that names them
		return true
	}
	return slices.Contains(p.On.Routes, route.Name) || slices.Contains(p.On.Services, service)
}
