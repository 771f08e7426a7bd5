package policy

import (
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Errors of changes. They are annotated with the item and its owners; match them with errors.Is.
const (
	// ErrInvalidSet says that the change would make the items inconsistent.
	ErrInvalidSet = errors.ConstError("the items do not fit together")

	// ErrConflict says that two clauses contradict each other on a request. The error is a *Conflict.
	ErrConflict = errors.ConstError("two policies conflict")

	// ErrNotOwner says that the author of a change does not own one of the changed items.
	ErrNotOwner = errors.ConstError("it is not theirs to change")

	// ErrConsentRequired says that a change loosens the policy of a namespace whose owners have not consented.
	ErrConsentRequired = errors.ConstError("it loosens another's rule without consent")
)

// Change is the names of the items that a call changes, and who makes the change.
type Change struct {
	Namespaces []string
	Policies   []string
	Routes     []string
	Others     []string // services, limits and other items that only the mesh's operator may change
	Author     string   // empty for the mesh's operator, who may change anything
	Consents   []string // in the form namespace:owner
}

// Evaluate returns the effects of a change on the merged policies of other owners, or one of the errors of this package
// if the change is rejected. Effects that concern only the author's own namespaces are left out.
func Evaluate(before, after *Set, c Change) ([]Effect, error) {
	if err := after.validate(); err != nil {
		return nil, err
	}
	ownNamespaces := before.namespacesOwnedBy(c.Author)
	if err := c.checkOwnership(before, after, ownNamespaces); err != nil {
		return nil, err
	}
	affected := c.affectedRoutes(before, after)
	if conflict := after.firstConflict(affected); conflict != nil {
		return nil, conflict
	}
	all := effectsOf(before, after, affected)
	effects := all[:0]
	for _, e := range all {
		e.Owners = slices.DeleteFunc(e.Owners, func(namespace string) bool { return slices.Contains(ownNamespaces, namespace) })
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

// namespacesOwnedBy returns the names of the namespaces that have the author among their owners.
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

// checkOwnership checks that the author may change each item: they must own it both before and after the change.
// ownNamespaces are the author's namespaces.
func (c Change) checkOwnership(before, after *Set, ownNamespaces []string) error {
	if c.Author == "" {
		return nil
	}
	if len(c.Namespaces) > 0 {
		return c.notOwnerError("namespace "+c.Namespaces[0], MeshNamespace, ownNamespaces)
	}
	if len(c.Others) > 0 {
		return c.notOwnerError(c.Others[0], MeshNamespace, ownNamespaces)
	}
	for _, s := range []*Set{before, after} {
		for _, name := range c.Policies {
			if p, exists := s.policyByName(name); exists && !slices.Contains(ownNamespaces, p.Namespace) {
				return c.notOwnerError("policy "+name, p.Namespace, ownNamespaces)
			}
		}
		for _, name := range c.Routes {
			if r, exists := s.routes[name]; exists && !slices.Contains(ownNamespaces, s.OwnerOfRoute(r)) {
				return c.notOwnerError("route "+name, s.OwnerOfRoute(r), ownNamespaces)
			}
		}
	}
	return nil
}

// notOwnerError returns the error for an item that the author does not own.
func (c Change) notOwnerError(item, owner string, ownNamespaces []string) error {
	owned := strings.Join(ownNamespaces, ", ")
	if owned == "" {
		owned = "nothing"
	}
	return errors.Annotatef(ErrNotOwner, "%s is of %s, and %s owns %s", item, owner, c.Author, owned)
}

// checkConsent checks that an owner of each namespace whose policy an effect loosens has consented.
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

// hasConsent reports whether one of the consents is by an owner of a namespace, for that namespace.
func (s *Set) hasConsent(consents []string, namespace string) bool {
	return slices.ContainsFunc(consents, func(consent string) bool {
		consentNamespace, owner, _ := strings.Cut(consent, ":")
		return consentNamespace == namespace && slices.Contains(s.namespaces[namespace].Owners, owner)
	})
}

// affectedRoutes returns a function that reports whether the change may affect the merged policy of a route and service.
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
	case len(p.On.Callers) > 0: // such a policy may apply to any route, since callers may call any
		return true
	}
	return slices.Contains(p.On.Routes, route.Name) || slices.Contains(p.On.Services, service)
}
