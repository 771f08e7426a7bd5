package policy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Field is the name of a policy's field. The values are stored and shown to operators.
type Field string

// Fields.
const (
	FieldTries           Field = "Tries"
	FieldKeyedAgain      Field = "KeyedAgain"
	FieldRetryOn         Field = "RetryOn"
	FieldTimeout         Field = "TimeoutS"
	FieldNeededTime      Field = "NeedsS"
	FieldRetryRatio      Field = "RetryRatio"
	FieldPriority        Field = "Priority"
	FieldAllowedCallers  Field = "Callers.Allow"
	FieldDeniedCallers   Field = "Callers.Deny"
	FieldRequiredCallers Field = "Callers.Need"
)

// AllFields are all fields, in the order in which they are shown.
var AllFields = []Field{
	FieldTries, FieldKeyedAgain, FieldRetryOn, FieldTimeout, FieldNeededTime, FieldRetryRatio, FieldPriority,
	FieldAllowedCallers, FieldDeniedCallers, FieldRequiredCallers,
}

// mergeKind is how the clauses on a field are merged, and so which of two clauses is the tighter one.
type mergeKind uint8

const (
	minimum      mergeKind = iota // the smaller number
	maximum                       // the larger number
	intersection                  // the values that are in all sets
	union                         // the values that are in any set
)

// mergesSets reports whether the clauses are sets of values, rather than numbers.
func (k mergeKind) mergesSets() bool { return k == intersection || k == union }

// mergeKinds is how each field is merged. docs/design/rules.md gives the reasons.
var mergeKinds = map[Field]mergeKind{
	FieldTries:           minimum,
	FieldKeyedAgain:      minimum,
	FieldRetryOn:         intersection,
	FieldTimeout:         minimum,
	FieldNeededTime:      maximum,
	FieldRetryRatio:      minimum,
	FieldPriority:        maximum,
	FieldAllowedCallers:  intersection,
	FieldDeniedCallers:   union,
	FieldRequiredCallers: union,
}

// Role is the relation of a policy's namespace to a request by which the policy applies. The values are stored and shown to operators.
type Role string

// Roles.
const (
	RoleItem         Role = "item"    // the configuration item of the route itself
	RoleMesh         Role = "mesh"    // the mesh's operator, for all requests
	RoleRouteOwner   Role = "route"   // owner of the route
	RoleServiceOwner Role = "service" // owner of the called service
	RoleCallerOwner  Role = "caller"  // owner of the calling service
)

// Source is where a clause comes from: a version of an item of a namespace, in one role.
type Source struct {
	Namespace string `json:"namespace"`
	Item      string `json:"item"`
	Version   int64  `json:"version"`
	Role      Role   `json:"role"`
}

// String returns the source in the form that is shown to operators.
func (s Source) String() string {
	return fmt.Sprintf("%s of %s, version %d (as %s)", s.Item, s.Namespace, s.Version, s.Role)
}

func (s Source) compare(o Source) int {
	return cmp.Or(cmp.Compare(s.Namespace, o.Namespace), cmp.Compare(s.Item, o.Item), cmp.Compare(s.Role, o.Role),
		cmp.Compare(s.Version, o.Version))
}

// Clause is the value that one source sets for one field: a number, or a sorted set.
type Clause struct {
	Field  Field    `json:"field"`
	Number float64  `json:"num,omitempty"`
	Values []string `json:"set,omitempty"`
	Source Source   `json:"from"`
}

// Value returns the value of the clause in the form that is shown to operators.
func (c Clause) Value() string {
	switch {
	case mergeKinds[c.Field].mergesSets() && len(c.Values) == 0:
		return "none"
	case mergeKinds[c.Field].mergesSets():
		return strings.Join(c.Values, ", ")
	case c.Field == FieldKeyedAgain:
		return fmt.Sprint(c.Number != 0)
	}
	return fmt.Sprintf("%g", c.Number)
}

func (c Clause) compare(o Clause) int {
	return cmp.Or(cmp.Compare(c.Field, o.Field), c.Source.compare(o.Source), cmp.Compare(c.Number, o.Number),
		slices.Compare(c.Values, o.Values))
}

// sameOrigin reports whether two clauses are on the same field and from the same source, regardless of its version.
func (c Clause) sameOrigin(o Clause) bool {
	a, b := c.Source, o.Source
	return c.Field == o.Field && a.Namespace == b.Namespace && a.Item == b.Item && a.Role == b.Role
}
