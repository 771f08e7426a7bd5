package policy

import "fmt"

// Route is the part of a route that policies depend on.
type Route struct {
	Name        string
	Host        string
	Prefix      string   // of the paths of requests
	Version     int64    // of the route's configuration item
	Services    []string // that the route sends to
	TimeoutS    float64  // maximum time for a request, in seconds
	MaxAttempts int      // maximum number of servers that a request is sent to
	Priority    int      // 0 is the highest
	AtMostOnce  bool     // a request must not run more than once
}

// Example describes a request that matches the route. An empty caller stands for any caller.
func (r Route) Example(caller string) string {
	if caller == "" {
		caller = "(any)"
	}
	return fmt.Sprintf("%s%s, Caller-Service: %s", r.Host, r.Prefix, caller)
}

// clauses returns the clauses of the route's own configuration item, which belong to the mesh's operator.
func (r Route) clauses() Clauses {
	source := Source{MeshNamespace, "route " + r.Name, r.Version, RoleItem}
	return Clauses{
		{Field: FieldPriority, Number: float64(r.Priority), Source: source},
		{Field: FieldTimeout, Number: r.TimeoutS, Source: source},
		{Field: FieldTries, Number: float64(r.MaxAttempts), Source: source},
	}
}
