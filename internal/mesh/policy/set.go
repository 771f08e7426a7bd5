package policy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Set is all namespaces, policies and routes together. It is immutable.
type Set struct {
	namespaces map[string]Namespace
	policies   []Policy // sorted by name
	routes     map[string]Route

	serviceOwners map[string]string
	hostOwners    map[string]string
	prefixOwners  map[string][]ownedPrefix // by host, the longest prefix first
	ancestors     map[string][]string      // each namespace and those that it is nested in, innermost first
	doublyOwned   []string                 // descriptions of what two namespaces own, which is not valid

	defaults map[string][]*compiledPolicy          // policies with an empty selector, by namespace
	targeted map[Role]map[string][]*compiledPolicy // policies with a selector, by role and selected name
}

// compiledPolicy is the clauses of a policy for each role in which it may apply.
type compiledPolicy struct {
	namespace string
	clauses   map[Role]Clauses
}

type ownedPrefix struct{ prefix, owner string }

// NewSet returns the set of the given items. It does not check that they are consistent; Evaluate does.
func NewSet(namespaces []Namespace, policies []Policy, routes []Route) *Set {
	s := &Set{
		namespaces:    map[string]Namespace{},
		policies:      slices.Clone(policies),
		routes:        map[string]Route{},
		serviceOwners: map[string]string{},
		hostOwners:    map[string]string{},
		prefixOwners:  map[string][]ownedPrefix{},
		ancestors:     map[string][]string{},
		defaults:      map[string][]*compiledPolicy{},
		targeted:      map[Role]map[string][]*compiledPolicy{RoleRouteOwner: {}, RoleServiceOwner: {}, RoleCallerOwner: {}},
	}
	s.addNamespaces(namespaces)
	slices.SortFunc(s.policies, func(a, b Policy) int { return cmp.Compare(a.Name, b.Name) })
	for _, p := range s.policies {
		s.addPolicy(p)
	}
	for _, r := range routes {
		s.routes[r.Name] = r
	}
	return s
}

func (s *Set) addNamespaces(namespaces []Namespace) {
	sorted := slices.Clone(namespaces)
	slices.SortFunc(sorted, func(a, b Namespace) int { return cmp.Compare(a.Name, b.Name) })
	for _, n := range sorted {
		s.namespaces[n.Name] = n
		for _, service := range n.Services {
			s.addOwner(s.serviceOwners, "service", service, n.Name)
		}
		for _, host := range n.Hosts {
			s.addOwner(s.hostOwners, "host", strings.ToLower(host), n.Name)
		}
		for _, p := range n.Prefixes {
			s.addPrefix(strings.ToLower(p.Host), ownedPrefix{p.PathPrefix, n.Name})
		}
	}
	for _, prefixes := range s.prefixOwners {
		slices.SortFunc(prefixes, func(a, b ownedPrefix) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	for name := range s.namespaces {
		s.ancestors[name], _ = s.ancestorsOf(name)
	}
}

// addOwner records the owner of a service or host. If there are two, it keeps the first and records the fault.
func (s *Set) addOwner(owners map[string]string, kind, name, owner string) {
	if other, owned := owners[name]; owned && other != owner {
		s.doublyOwned = append(s.doublyOwned, fmt.Sprintf("%s %s is owned by %s and by %s", kind, name, other, owner))
		return
	}
	owners[name] = owner
}

// addPrefix records the owner of a prefix. If there are two, it keeps the first and records the fault.
func (s *Set) addPrefix(host string, p ownedPrefix) {
	for _, other := range s.prefixOwners[host] {
		if other.prefix != p.prefix {
			continue
		}
		if other.owner != p.owner {
			s.doublyOwned = append(s.doublyOwned, fmt.Sprintf("%s%s is owned by %s and by %s", host, p.prefix, other.owner, p.owner))
		}
		return
	}
	s.prefixOwners[host] = append(s.prefixOwners[host], p)
}

func (s *Set) addPolicy(p Policy) {
	compiled := &compiledPolicy{p.Namespace, map[Role]Clauses{}}
	for _, role := range []Role{RoleMesh, RoleRouteOwner, RoleServiceOwner, RoleCallerOwner} {
		compiled.clauses[role] = p.clauses(role)
	}
	if p.On.isEmpty() {
		s.defaults[p.Namespace] = append(s.defaults[p.Namespace], compiled)
	}
	for role, names := range p.On.namesByRole() {
		for _, name := range names {
			s.targeted[role][name] = append(s.targeted[role][name], compiled)
		}
	}
}

// ancestorsOf returns a namespace and those that it is nested in, innermost first. ok is false if they form a cycle or are nested too
// deeply.
func (s *Set) ancestorsOf(name string) (names []string, ok bool) {
	for n := name; n != "" && n != MeshNamespace; n = s.namespaces[n].Within {
		if slices.Contains(names, n) || len(names) == maxNesting {
			return names, false
		}
		names = append(names, n)
	}
	return names, true
}

// Routes returns all routes, ordered by name.
func (s *Set) Routes() []Route { return sortedByName(s.routes) }

// Route returns the route with the given name, if there is one.
func (s *Set) Route(name string) (Route, bool) {
	r, exists := s.routes[name]
	return r, exists
}

// Namespaces returns all namespaces, ordered by name.
func (s *Set) Namespaces() []Namespace { return sortedByName(s.namespaces) }

func sortedByName[T any](byName map[string]T) (values []T) {
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		values = append(values, byName[name])
	}
	return values
}

func (s *Set) policyByName(name string) (Policy, bool) {
	for _, p := range s.policies {
		if p.Name == name {
			return p, true
		}
	}
	return Policy{}, false
}

// OwnerOfService returns the namespace that owns a service.
func (s *Set) OwnerOfService(name string) string {
	if owner, owned := s.serviceOwners[name]; owned {
		return owner
	}
	return MeshNamespace
}

// OwnersOfService returns the namespace that owns a service and those that this one is nested in, the last of which is MeshNamespace.
func (s *Set) OwnersOfService(name string) []string {
	return append(slices.Clone(s.ancestors[s.OwnerOfService(name)]), MeshNamespace)
}

// OwnerOfRoute returns the namespace that owns a route, by its host and prefix.
func (s *Set) OwnerOfRoute(r Route) string {
	host := strings.ToLower(r.Host)
	for _, p := range s.prefixOwners[host] {
		if strings.HasPrefix(r.Prefix, p.prefix) {
			return p.owner
		}
	}
	if owner, owned := s.hostOwners[host]; owned {
		return owner
	}
	return MeshNamespace
}

// governs reports whether the policies of a namespace apply to what an owner owns: the owner is that namespace or is nested in it, as
// all are in MeshNamespace.
func (s *Set) governs(namespace, owner string) bool {
	return namespace == owner || namespace == MeshNamespace || slices.Contains(s.ancestors[owner], namespace)
}

// ClausesFor returns the merged policy for requests on a route to a service. caller is the calling service, or empty
// for any caller. governed says that policies apply to these requests besides the route's own item, or may do so later
// because a namespace owns the route or one of the services. A sidecar that can't confirm which policies are active
// rejects such requests, and must do so even before it knows any policy for them.
func (s *Set) ClausesFor(route Route, service, caller string) (clauses Clauses, governed bool) {
	add := func(role Role, owner string, policies []*compiledPolicy) {
		for _, p := range policies {
			if s.governs(p.namespace, owner) {
				clauses = append(clauses, p.clauses[role]...)
			}
		}
	}
	add(RoleMesh, MeshNamespace, s.defaults[MeshNamespace])
	for _, party := range []struct {
		role        Role
		name, owner string
	}{
		{RoleRouteOwner, route.Name, s.OwnerOfRoute(route)},
		{RoleServiceOwner, service, s.OwnerOfService(service)},
		{RoleCallerOwner, caller, s.OwnerOfService(caller)},
	} {
		if party.name == "" {
			continue
		}
		governed = governed || party.owner != MeshNamespace
		for _, namespace := range s.ancestors[party.owner] { // MeshNamespace is not among them, and is added above
			add(party.role, party.owner, s.defaults[namespace])
		}
		add(party.role, party.owner, s.targeted[party.role][party.name])
	}
	return Merge(clauses, route.clauses()), governed || len(clauses) > 0
}

// validate returns the first inconsistency of the items as ErrInvalidSet: something that two namespaces own, a namespace nested in an
// unknown one, in itself or too deeply, a policy of an unknown namespace, or a policy that selects something that its namespace does not
// own. A policy may select a route that does not exist yet; it has no effect until the route exists.
func (s *Set) validate() error {
	if len(s.doublyOwned) > 0 {
		return invalidSet("the namespaces", "%s", s.doublyOwned[0])
	}
	for _, n := range s.Namespaces() {
		if _, exists := s.namespaces[n.Within]; n.Within != "" && n.Within != MeshNamespace && !exists {
			return invalidSet("namespace "+n.Name, "lies within %q, which is not known", n.Within)
		}
		if names, ok := s.ancestorsOf(n.Name); !ok {
			names = append(names, s.namespaces[names[len(names)-1]].Within)
			return invalidSet("namespace "+n.Name, "its delegations form a cycle or are too deep: %s", strings.Join(names, " within "))
		}
	}
	for _, p := range s.policies {
		if _, exists := s.namespaces[p.Namespace]; !exists && p.Namespace != MeshNamespace {
			return invalidSet("policy "+p.Name, "its namespace %q is not known", p.Namespace)
		}
		if err := s.validateSelector(p); err != nil {
			return err
		}
	}
	return nil
}

func invalidSet(item, format string, args ...any) error {
	return errors.Annotatef(ErrInvalidSet, "%s: %s", item, fmt.Sprintf(format, args...))
}

// validateSelector returns an error for the first service or route that a policy selects although its namespace does not own it.
func (s *Set) validateSelector(p Policy) error {
	for _, service := range slices.Concat(p.On.Services, p.On.Callers) {
		if owner := s.OwnerOfService(service); !s.governs(p.Namespace, owner) {
			return invalidSet("policy "+p.Name, "On names the service %s, which is of %s and not of %s", service, owner, p.Namespace)
		}
	}
	for _, name := range p.On.Routes {
		route, exists := s.routes[name]
		if !exists {
			continue
		}
		if owner := s.OwnerOfRoute(route); !s.governs(p.Namespace, owner) {
			return invalidSet("policy "+p.Name, "On names the route %s, which is of %s and not of %s", name, owner, p.Namespace)
		}
	}
	return nil
}
