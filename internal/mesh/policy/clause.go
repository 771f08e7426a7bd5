package policy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Field is a field of a policy. The values are stored and shown to operators.
type Field string

// Fields.
const (
	FieldTries      Field = "Tries"
	FieldKeyedAgain Field = "KeyedAgain"
	FieldRetryOn    Field = "RetryOn"
	FieldTimeout    Field = "TimeoutS"
	FieldNeeds      Field = "NeedsS"
	FieldRetryRatio Field = "RetryRatio"
	FieldPriority   Field = "Priority"
	FieldAllow      Field = "Callers.Allow"
	FieldDeny       Field = "Callers.Deny"
	FieldNeed       Field = "Callers.Need"
)

// AllFields is all fields in the order in which they are shown.
var AllFields = []Field{
	FieldTries, FieldKeyedAgain, FieldRetryOn, FieldTimeout, FieldNeeds, FieldRetryRatio, FieldPriority,
	FieldAllow, FieldDeny, FieldNeed,
}

// mergeKind is how the clauses on a field are merged, that is, which of two is the tighter one.
type mergeKind uint8

const (
	minimum      mergeKind = iota // the smaller number
	maximum                       // the larger number
	intersection                  // the values that are in all sets
	union                         // the values that are in any set
)

func (k mergeKind) isSet() bool { return k == intersection || k == union }

// mergeKinds is how each field is merged. docs/design/rules.md says why.
var mergeKinds = map[Field]mergeKind{
	FieldTries:      minimum,
	FieldKeyedAgain: minimum,
	FieldRetryOn:    intersection,
	FieldTimeout:    minimum,
	FieldNeeds:      maximum,
	FieldRetryRatio: minimum,
	FieldPriority:   maximum,
	FieldAllow:      intersection,
	FieldDeny:       union,
	FieldNeed:       union,
}

// Role is by which relation a policy of a namespace applies to a request. The values are stored and shown to operators.
type Role string

// Roles.
const (
	RoleItem         Role = "item"    // the route's own item
	RoleMesh         Role = "mesh"    // the operator, for the whole mesh
	RoleRouteOwner   Role = "route"   // owner of the route
	RoleServiceOwner Role = "service" // owner of the service that is called
	RoleCallerOwner  Role = "caller"  // owner of the service that calls
)

// Source is where a clause comes from: an item of a namespace in a version.
type Source struct {
	Namespace string `json:"namespace"`
	Item      string `json:"item"`
	Version   int64  `json:"version"`
	Role      Role   `json:"role"`
}

// String returns the source as operators read it.
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

// Value returns the value of the clause as operators read it.
func (c Clause) Value() string {
	switch {
	case mergeKinds[c.Field].isSet() && len(c.Values) == 0:
		return "none"
	case mergeKinds[c.Field].isSet():
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

// sameOrigin reports whether two clauses are on the same field and from the same source, whatever its version.
func (c Clause) sameOrigin(o Clause) bool {
	a, b := c.Source, o.Source
	return c.Field == o.Field && a.Namespace == b.Namespace && a.Item == b.Item && a.Role == b.Role
}
