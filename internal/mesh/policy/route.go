package policy

import "fmt"

// Route is the part of a route that policies depend on.
type Route struct {
	Name        string
	Host        string
	Prefix      string   // of requests' paths
	Version     int64    // of the route's item
	Services    []string // that it sends to
	TimeoutS    float64  // seconds that one request may take
	MaxAttempts int      // servers that one request may be sent to
	Priority    int      // 0 is the highest
	AtMostOnce  bool     // a request runs at most once
}

// Example describes a request that the route matches. An empty caller stands for any.
func (r Route) Example(caller string) string {
	if caller == "" {
		caller = "(any)"
	}
	return fmt.Sprintf("%s%s, Caller-Service: %s", r.Host, r.Prefix, caller)
}

// clauses returns the clauses of the route's own item, which the mesh's operator has set.
func (r Route) clauses() Clauses {
	source := Source{MeshNamespace, "route " + r.Name, r.Version, RoleItem}
	return Clauses{
		{Field: FieldPriority, Number: float64(r.Priority), Source: source},
		{Field: FieldTimeout, Number: r.TimeoutS, Source: source},
		{Field: FieldTries, Number: float64(r.MaxAttempts), Source: source},
	}
}
