// Package classmark is the rules that namespaces set on requests (class mark: what an exchange notes of a line, which calls
// it may make and how). Namespaces own services, hosts and prefixes; their rulings say how often a request may be tried, how
// long it may take, how urgent it is and who may call. Where several meet on one route their words are merged: the set of
// them is the merged rule, and in each field the tightest holds (merge.go). A change that others' rules refuse, or that
// loosens them without consent, is found when it is made (change.go). A set binds in two steps (bind.go). It is pure.
package policy

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"cranegrade/internal/mesh/validation"
)

// MeshNamespace is the namespace of the mesh's operator: whatever nobody else owns. Routes and services as PROTOCOL.md has them are its
// items.
const MeshNamespace = "mesh"

// maxNesting is how many namespaces may lie within one another.
const maxNesting = 8

// Namespace is what a team owns. Only the mesh's operator sets it.
type Namespace struct {
	Name          string   `json:"Name" validate:"required,max=128"`
	ConfigVersion int64    `json:"ConfigVersion"`
	Owners        []string `json:"Owners" validate:"min=1,max=64,dive,required,max=128"` // who may set its rulings and routes
	// Within is the namespace that has delegated this part of its own: its rulings hold here too. "": none.
	Within   string       `json:"Within,omitempty" validate:"max=128"`
	Services []string     `json:"Services,omitempty" validate:"max=1024,dive,required,max=512"`
	Hosts    []string     `json:"Hosts,omitempty" validate:"max=1024,dive,required,max=512"`
	Prefixes []HostPrefix `json:"Prefixes,omitempty" validate:"max=1024,dive"`
}

// HostPrefix is a part of a host. The longest prefix that begins a route's decides whose it is.
type HostPrefix struct {
	Host       string `json:"Host" validate:"required,max=512"`
	PathPrefix string `json:"PathPrefix" validate:"startswith=/,endswith=/,max=4096"`
}

// Policy is what a namespace says of requests. What it does not name it leaves to others.
type Policy struct {
	Name          string   `json:"Name" validate:"required,max=256"`
	ConfigVersion int64    `json:"ConfigVersion"`
	Namespace     string   `json:"Namespace" validate:"required,max=128"`
	On            Selector `json:"On"`
	// Tries is how many servers one request may be sent to.
	Tries int `json:"Tries,omitempty" validate:"gte=0,lte=1000"`
	// KeyedAgain: whether one that may run only once may be sent to a second server, where the first has turned it away.
	KeyedAgain *bool `json:"KeyedAgain,omitempty"`
	// RetryOn are the endings after which there is a further try: refused, unreachable, failed, broken, timed_out.
	RetryOn *[]string `json:"RetryOn,omitempty" validate:"omitempty,max=5,dive,oneof=refused unreachable failed broken timed_out"`
	// TimeoutS is the longest that it may take, NeedsS the least that it must be given, in seconds.
	TimeoutS float64 `json:"TimeoutS,omitempty" validate:"gte=0,lte=86400"`
	NeedsS   float64 `json:"NeedsS,omitempty" validate:"gte=0,lte=86400"`
	// RetryRatio is how many further tries there may be for each request, at each line.
	RetryRatio *float64 `json:"RetryRatio,omitempty" validate:"omitempty,gte=0,lte=1"`
	// Priority is the highest rank that requests may have; 0 is the highest of all.
	Priority *int        `json:"Priority,omitempty" validate:"omitempty,gte=0,lte=1000"`
	Callers  CallerRules `json:"Callers,omitzero"`
}

// Selector narrows a ruling to some of what its namespace owns. Nothing named: all of it, as routes, as services that are called,
// and as services that call.
type Selector struct {
	Routes   []string `json:"Routes,omitempty" validate:"max=1024,dive,required,max=512"`
	Services []string `json:"Services,omitempty" validate:"max=1024,dive,required,max=512"`
	Callers  []string `json:"Callers,omitempty" validate:"max=1024,dive,required,max=512"`
}

func (o Selector) isEmpty() bool { return len(o.Routes)+len(o.Services)+len(o.Callers) == 0 }

func (o Selector) namesByRole() map[Role][]string {
	return map[Role][]string{RoleRouteOwner: o.Routes, RoleServiceOwner: o.Services, RoleCallerOwner: o.Callers}
}

// CallerRules are services, as the mesh names them by Caller-Service. Allow nil: all.
type CallerRules struct {
	Allow []string `json:"Allow,omitempty" validate:"max=1024,dive,required,max=512"`
	Deny  []string `json:"Deny,omitempty" validate:"max=1024,dive,required,max=512"`
	Need  []string `json:"Need,omitempty" validate:"max=1024,dive,required,max=512"` // must be able to call
}

func (c CallerRules) isEmpty() bool { return len(c.Allow)+len(c.Deny)+len(c.Need) == 0 }

// Validate finds the first mistake in a namespace by itself; nil: there is none.
func (n Namespace) Validate() *validation.Fault {
	f := validation.Check(n)
	switch {
	case f != nil:
		return f
	case n.Within == n.Name:
		return &validation.Fault{Field: "Within", Text: "is the namespace itself"}
	case n.Name == MeshNamespace && len(n.Services)+len(n.Hosts)+len(n.Prefixes) > 0:
		return &validation.Fault{Field: "Services", Text: "the mesh's own namespace owns whatever nobody else does, and names nothing"}
	}
	return nil
}

// Validate finds the first mistake in a ruling by itself; nil: there is none.
func (r Policy) Validate() *validation.Fault {
	f := validation.Check(r)
	switch {
	case f != nil:
		return f
	case len(r.clauses(RoleRouteOwner)) == 0:
		return &validation.Fault{Field: "Tries", Text: "is not there, nor any other field: the ruling says nothing"}
	case !r.Callers.isEmpty() && len(r.On.Callers) > 0 && len(r.On.Routes)+len(r.On.Services) == 0:
		return &validation.Fault{Field: "Callers", Text: "says who may call, and On names only callers"}
	case r.NeedsS > 0 && r.TimeoutS > 0 && r.NeedsS > r.TimeoutS:
		return &validation.Fault{Field: "NeedsS", Text: fmt.Sprintf("is %g, more than its own TimeoutS of %g", r.NeedsS, r.TimeoutS)}
	}
	for _, c := range r.Callers.Need {
		if slices.Contains(r.Callers.Deny, c) || r.Callers.Allow != nil && !slices.Contains(r.Callers.Allow, c) {
			return &validation.Fault{Field: "Callers.Need", Text: "names " + c + ", whom the ruling itself does not let call"}
		}
	}
	return nil
}

// Route is what has to be known of a route.
type Route struct {
	Name, Host, Prefix    string
	Version               int64
	Services              []string // that it sends to
	TimeoutS              float64
	MaxAttempts, Priority int
	AtMostOnce            bool // a request runs at most once
}

// Example is a request that the route takes.
func (r Route) Example(caller string) string {
	if caller == "" {
		caller = "(any)"
	}
	return fmt.Sprintf("%s%s, Caller-Service: %s", r.Host, r.Prefix, caller)
}

// Set is all namespaces, rulings and routes together. It is never changed once made.
type Set struct {
	namespaces    map[string]Namespace
	policies      []Policy // in the order of their names
	routes        map[string]Route
	serviceOwners map[string]string        // a service's namespace
	hostOwners    map[string]string        // a host's
	prefixOwners  map[string][]ownedPrefix // parts of a host, the longest prefix first
	ancestors     map[string][]string      // a namespace and those that it lies within
	doublyOwned   []string                 // what is owned by two

	defaults map[string][]*compiledPolicy          // by namespace: those whose On names nothing
	targeted map[Role]map[string][]*compiledPolicy // the others, by what they name
}

// compiledPolicy is a ruling with its words, as each role says them.
type compiledPolicy struct {
	namespace string
	clauses   map[Role]Clauses
}

type ownedPrefix struct{ prefix, owner string }

// NewSet makes a set of items that stand.
func NewSet(spaces []Namespace, rulings []Policy, routes []Route) *Set {
	s := &Set{namespaces: map[string]Namespace{}, policies: slices.Clone(rulings), routes: map[string]Route{}, serviceOwners: map[string]string{},
		hostOwners: map[string]string{}, prefixOwners: map[string][]ownedPrefix{}, ancestors: map[string][]string{}, defaults: map[string][]*compiledPolicy{},
		targeted: map[Role]map[string][]*compiledPolicy{RoleRouteOwner: {}, RoleServiceOwner: {}, RoleCallerOwner: {}}}
	spaces = slices.Clone(spaces)
	sort.Slice(spaces, func(i, j int) bool { return spaces[i].Name < spaces[j].Name })
	own := func(m map[string]string, what, key, of string) {
		if was, is := m[key]; is && was != of {
			s.doublyOwned = append(s.doublyOwned, fmt.Sprintf("%s %s is owned by %s and by %s", what, key, was, of))
			return
		}
		m[key] = of
	}
	for _, n := range spaces {
		s.namespaces[n.Name] = n
		for _, x := range n.Services {
			own(s.serviceOwners, "service", x, n.Name)
		}
		for _, x := range n.Hosts {
			own(s.hostOwners, "host", strings.ToLower(x), n.Name)
		}
		for _, p := range n.Prefixes {
			host := strings.ToLower(p.Host)
			if i := slices.IndexFunc(s.prefixOwners[host], func(o ownedPrefix) bool { return o.prefix == p.PathPrefix }); i >= 0 {
				if of := s.prefixOwners[host][i].owner; of != n.Name {
					s.doublyOwned = append(s.doublyOwned, fmt.Sprintf("%s%s is owned by %s and by %s", host, p.PathPrefix, of, n.Name))
				}
				continue
			}
			s.prefixOwners[host] = append(s.prefixOwners[host], ownedPrefix{p.PathPrefix, n.Name})
		}
	}
	for _, l := range s.prefixOwners {
		sort.Slice(l, func(i, j int) bool { return len(l[i].prefix) > len(l[j].prefix) })
	}
	for name := range s.namespaces {
		s.ancestors[name], _ = s.ancestorsOf(name)
	}
	sort.Slice(s.policies, func(i, j int) bool { return s.policies[i].Name < s.policies[j].Name })
	for _, r := range s.policies {
		x := &compiledPolicy{r.Namespace, map[Role]Clauses{}}
		for _, role := range []Role{RoleMesh, RoleRouteOwner, RoleServiceOwner, RoleCallerOwner} {
			x.clauses[role] = r.clauses(role)
		}
		if r.On.isEmpty() {
			s.defaults[r.Namespace] = append(s.defaults[r.Namespace], x)
		}
		for role, names := range r.On.namesByRole() {
			for _, name := range names {
				s.targeted[role][name] = append(s.targeted[role][name], x)
			}
		}
	}
	for _, r := range routes {
		s.routes[r.Name] = r
	}
	return s
}

// ancestorsOf is a namespace and those that it lies within; false: they go round in a loop, or too deep.
func (s *Set) ancestorsOf(name string) (l []string, ok bool) {
	for n := name; n != "" && n != MeshNamespace; n = s.namespaces[n].Within {
		if slices.Contains(l, n) || len(l) == maxNesting {
			return l, false
		}
		l = append(l, n)
	}
	return l, true
}

// HasPolicies says that there is something to merge at all.
func (s *Set) HasPolicies() bool { return len(s.namespaces)+len(s.policies) > 0 }

// Routes are all, by name.
func (s *Set) Routes() (l []Route) {
	for _, r := range s.routes {
		l = append(l, r)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name < l[j].Name })
	return l
}

// Route is one; false: there is none of that name.
func (s *Set) Route(name string) (Route, bool) { r, is := s.routes[name]; return r, is }

// Namespaces are all namespaces, by name.
func (s *Set) Namespaces() (l []Namespace) {
	for _, n := range s.namespaces {
		l = append(l, n)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name < l[j].Name })
	return l
}

// OwnerOfService is whose a service is.
func (s *Set) OwnerOfService(name string) string {
	if n, is := s.serviceOwners[name]; is {
		return n
	}
	return MeshNamespace
}

// OwnersOfService is that, and the namespaces that it lies within.
func (s *Set) OwnersOfService(name string) []string {
	of := s.OwnerOfService(name)
	return append(slices.Clone(s.ancestors[of]), MeshNamespace)
}

// OwnerOfRoute is whose a route is: by its place.
func (s *Set) OwnerOfRoute(r Route) string {
	host := strings.ToLower(r.Host)
	for _, p := range s.prefixOwners[host] {
		if strings.HasPrefix(r.Prefix, p.prefix) {
			return p.owner
		}
	}
	if n, is := s.hostOwners[host]; is {
		return n
	}
	return MeshNamespace
}

// governs says that a namespace is another, or that one lies within it.
func (s *Set) governs(namespace, owner string) bool {
	return namespace == owner || namespace == MeshNamespace || slices.Contains(s.ancestors[owner], namespace)
}

// validate finds the first thing in which items do not fit together: what two own, a delegation that goes round, a ruling of
// nobody's or on what is not its namespace's. What a ruling names may come later; until then it says nothing of it. "": none.
func (s *Set) validate() (item, text string) {
	if len(s.doublyOwned) > 0 {
		return "the namespaces", s.doublyOwned[0]
	}
	for _, n := range s.Namespaces() {
		if _, is := s.namespaces[n.Within]; n.Within != "" && n.Within != MeshNamespace && !is {
			return "namespace " + n.Name, fmt.Sprintf("lies within %q, which is not known", n.Within)
		}
		if l, ok := s.ancestorsOf(n.Name); !ok {
			return "namespace " + n.Name, "its delegations go round, or too deep: " + strings.Join(append(l, s.namespaces[l[len(l)-1]].Within), " within ")
		}
	}
	for _, r := range s.policies {
		if _, is := s.namespaces[r.Namespace]; !is && r.Namespace != MeshNamespace {
			return "ruling " + r.Name, fmt.Sprintf("its namespace %q is not known", r.Namespace)
		}
		if text := s.foreignTarget(r); text != "" {
			return "ruling " + r.Name, text
		}
	}
	return "", ""
}

// foreignTarget is what a ruling names that is not its namespace's; "": nothing.
func (s *Set) foreignTarget(r Policy) string {
	for _, x := range append(slices.Clone(r.On.Services), r.On.Callers...) {
		if of := s.OwnerOfService(x); !s.governs(r.Namespace, of) {
			return fmt.Sprintf("On names the service %s, which is of %s and not of %s", x, of, r.Namespace)
		}
	}
	for _, x := range r.On.Routes {
		if route, is := s.routes[x]; is {
			if of := s.OwnerOfRoute(route); !s.governs(r.Namespace, of) {
				return fmt.Sprintf("On names the route %s, which is of %s and not of %s", x, of, r.Namespace)
			}
		}
	}
	return ""
}
