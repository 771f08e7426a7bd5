package policy

import (
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Errors of changes. They are annotated with the item and the owners; errors.Is finds them.
const (
	// ErrInvalidSet says that the items would be inconsistent after the change.
	ErrInvalidSet = errors.ConstError("the items do not fit together")

	// ErrConflict says that two clauses contradict each other on a request. The error is a *Conflict.
	ErrConflict = errors.ConstError("two policies conflict")

	// ErrNotOwner says that the author of a change does not own one of its items.
	ErrNotOwner = errors.ConstError("it is not theirs to change")

	// ErrConsentRequired says that a change loosens the policy of a namespace whose owners have not consented.
	ErrConsentRequired = errors.ConstError("it loosens another's rule without consent")
)

// Change is which items a call changes, by name, and who made it.
type Change struct {
	Namespaces []string
	Policies   []string
	Routes     []string
	Others     []string // services, limits and the like, which the mesh's operator owns
	Author     string   // empty for the mesh's operator, who may change anything
	Consents   []string // as namespace:name, the name one of its owners
}

// Evaluate returns the effects of a change on merged policies of other owners, or why it is rejected, with one of the
// errors of this package. What a change does to the author's own namespaces is not an effect.
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

// namespacesOwnedBy returns the namespaces of which an author is an owner.
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

// checkOwnership checks that the author may change each item: they must own it both before and after the change. own
// is the author's namespaces.
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
				return c.notOwner("policy "+name, p.Namespace, own)
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

// notOwner returns the error of an item that is another owner's. own is the author's namespaces.
func (c Change) notOwner(item, owner string, own []string) error {
	owned := strings.Join(own, ", ")
	if owned == "" {
		owned = "nothing"
	}
	return errors.Annotatef(ErrNotOwner, "%s is of %s, and %s owns %s", item, owner, c.Author, owned)
}

// checkConsent checks that the owners whose policy an effect loosens have consented.
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

// hasConsent reports whether an owner of a namespace is among those who consent.
func (s *Set) hasConsent(consents []string, namespace string) bool {
	return slices.ContainsFunc(consents, func(consent string) bool {
		of, name, _ := strings.Cut(consent, ":")
		return of == namespace && slices.Contains(s.namespaces[namespace].Owners, name)
	})
}

// affectedRoutes returns a function that reports whether a change may affect the policy of a route and service.
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

// mayAffect reports whether a policy may apply to requests of a route to a service.
func (s *Set) mayAffect(p Policy, route Route, service string) bool {
	switch {
	case p.On.isEmpty():
		return s.governs(p.Namespace, s.OwnerOfRoute(route)) || s.governs(p.Namespace, s.OwnerOfService(service))
	case len(p.On.Callers) > 0: // it applies to every route that those services call
		return true
	}
	return slices.Contains(p.On.Routes, route.Name) || slices.Contains(p.On.Services, service)
}
