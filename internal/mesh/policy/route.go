package policy

import "fmt"

// Route is what has to be known of a route.
type Route struct {
	Name, Host, Prefix string
	Version            int64
	Services           []string // that it sends to
	TimeoutS           float64
	MaxAttempts        int // servers that one request may be sent to
	Priority           int
	AtMostOnce         bool // a request runs at most once
}

// Example is a request that the route takes; caller "" is any.
func (r Route) Example(caller string) string {
	if caller == "" {
		caller = "(any)"
	}
	return fmt.Sprintf("%s%s, Caller-Service: %s", r.Host, r.Prefix, caller)
}

// clauses are what the route's own item says, which the mesh's operator set.
func (r Route) clauses() Clauses {
	source := Source{MeshNamespace, "route " + r.Name, r.Version, RoleItem}
	return Clauses{
		{Field: FieldPriority, Number: float64(r.Priority), Source: source},
		{Field: FieldTimeout, Number: r.TimeoutS, Source: source},
		{Field: FieldTries, Number: float64(r.MaxAttempts), Source: source},
	}
}
