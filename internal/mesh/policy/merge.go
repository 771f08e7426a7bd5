package policy

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Field is one of a merged rule's.
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

// AllFields are all, in the order in which they are told.
var AllFields = []Field{FieldTries, FieldKeyedAgain, FieldRetryOn, FieldTimeout, FieldNeeds, FieldRetryRatio, FieldPriority, FieldAllow, FieldDeny, FieldNeed}

// mergeKind is how a field's words meet: which of two is the tighter one, and which direction loosens.
type mergeKind uint8

const (
	minimum      mergeKind = iota // the smaller number is tighter
	maximum                       // the larger number is
	intersection                  // of sets what is in each
	union                         // of sets what is in either
)

// mergeKinds says how each field is merged. Why: docs/design/rules.md.
var mergeKinds = map[Field]mergeKind{FieldTries: minimum, FieldKeyedAgain: minimum, FieldRetryOn: intersection, FieldTimeout: minimum, FieldNeeds: maximum, FieldRetryRatio: minimum, FieldPriority: maximum,
	FieldAllow: intersection, FieldDeny: union, FieldNeed: union}

// Role is as what somebody has a word on a request.
type Role string

// Roles.
const (
	RoleItem         Role = "item"    // the route's own item
	RoleMesh         Role = "mesh"    // for all of it
	RoleRouteOwner   Role = "route"   // as the owner of the route
	RoleServiceOwner Role = "service" // as the owner of the service that is called
	RoleCallerOwner  Role = "caller"  // as the owner of the service that calls
)

// Source is who said a word: an item of a namespace, by its version.
type Source struct {
	Namespace string `json:"namespace"`
	Item      string `json:"item"`
	Version   int64  `json:"version"`
	Role      Role   `json:"role"`
}

// String tells it as operators read it.
func (s Source) String() string {
	return fmt.Sprintf("%s of %s, version %d (as %s)", s.Item, s.Namespace, s.Version, s.Role)
}

func (s Source) compare(o Source) int {
	return cmp.Or(cmp.Compare(s.Namespace, o.Namespace), cmp.Compare(s.Item, o.Item), cmp.Compare(s.Role, o.Role), cmp.Compare(s.Version, o.Version))
}

// Clause is what one source says on one field: a number, or a set in order.
type Clause struct {
	Field  Field    `json:"field"`
	Number float64  `json:"num,omitempty"`
	Values []string `json:"set,omitempty"`
	Source Source   `json:"from"`
}

// Value is it as operators read it.
func (w Clause) Value() string {
	switch {
	case mergeKinds[w.Field] >= intersection && len(w.Values) == 0:
		return "none"
	case mergeKinds[w.Field] >= intersection:
		return strings.Join(w.Values, ", ")
	case w.Field == FieldKeyedAgain:
		return fmt.Sprint(w.Number != 0)
	}
	return fmt.Sprintf("%g", w.Number)
}

func (w Clause) compare(o Clause) int {
	return cmp.Or(cmp.Compare(w.Field, o.Field), w.Source.compare(o.Source), cmp.Compare(w.Number, o.Number), slices.Compare(w.Values, o.Values))
}

// sameOrigin tells whether two words are one source's on one field, whatever the version.
func (w Clause) sameOrigin(o Clause) bool {
	return w.Field == o.Field && w.Source.Namespace == o.Source.Namespace && w.Source.Item == o.Source.Item && w.Source.Role == o.Source.Role
}

// Clauses are a merged rule: all that is said on a request, each source once on a field, in order.
type Clauses []Clause

// Merge merges two: it is their union, where of one source the highest version holds. So neither order nor grouping nor
// repetition matters, and since in each field the tightest word holds, more words only ever tighten.
func Merge(a, b Clauses) Clauses {
	all := append(slices.Clone(a), b...)
	slices.SortFunc(all, Clause.compare)
	out := all[:0]
	for _, w := range all {
		if n := len(out); n > 0 && out[n-1].sameOrigin(w) {
			out[n-1] = w // in order, so of a higher version
			continue
		}
		out = append(out, w)
	}
	return out
}

// clauses are those of a ruling.
func (r Policy) clauses(role Role) (l Clauses) {
	from := Source{r.Namespace, "ruling " + r.Name, r.ConfigVersion, role}
	num := func(f Field, v float64) { l = append(l, Clause{Field: f, Number: v, Source: from}) }
	set := func(f Field, v []string) {
		v = slices.Clone(v)
		slices.Sort(v)
		l = append(l, Clause{Field: f, Values: slices.Compact(v), Source: from})
	}
	if r.Tries > 0 {
		num(FieldTries, float64(r.Tries))
	}
	if r.KeyedAgain != nil {
		num(FieldKeyedAgain, map[bool]float64{true: 1}[*r.KeyedAgain])
	}
	if r.RetryOn != nil {
		set(FieldRetryOn, *r.RetryOn)
	}
	if r.TimeoutS > 0 {
		num(FieldTimeout, r.TimeoutS)
	}
	if r.NeedsS > 0 {
		num(FieldNeeds, r.NeedsS)
	}
	if r.RetryRatio != nil {
		num(FieldRetryRatio, *r.RetryRatio)
	}
	if r.Priority != nil {
		num(FieldPriority, float64(*r.Priority))
	}
	if role == RoleCallerOwner { // who may call is not said by who calls
		return l
	}
	if r.Callers.Allow != nil {
		set(FieldAllow, r.Callers.Allow)
	}
	if len(r.Callers.Deny) > 0 {
		set(FieldDeny, r.Callers.Deny)
	}
	if len(r.Callers.Need) > 0 {
		set(FieldNeed, r.Callers.Need)
	}
	return l
}

// clauses are those of the route's own item: the mesh's operator set it.
func (r Route) clauses() Clauses {
	from := Source{MeshNamespace, "route " + r.Name, r.Version, RoleItem}
	return Clauses{{Field: FieldPriority, Number: float64(r.Priority), Source: from}, {Field: FieldTimeout, Number: r.TimeoutS, Source: from},
		{Field: FieldTries, Number: float64(r.MaxAttempts), Source: from}}
}

// ClausesFor are what is said on a request of a route that goes to a service from one that calls; caller "": whoever calls. ruled:
// a namespace has a word on it, beside the route's own item, or may have one tomorrow, for it owns a part of it: a line that
// can't confirm which rules bind has to know that before the first of them.
func (s *Set) ClausesFor(route Route, service, caller string) (l Clauses, ruled bool) {
	add := func(role Role, owner string, rulings []*compiledPolicy) {
		for _, r := range rulings {
			if s.governs(r.namespace, owner) {
				l = append(l, r.clauses[role]...)
			}
		}
	}
	add(RoleMesh, MeshNamespace, s.defaults[MeshNamespace])
	sides := [...]struct {
		role        Role
		name, owner string
	}{{RoleRouteOwner, route.Name, s.OwnerOfRoute(route)}, {RoleServiceOwner, service, s.OwnerOfService(service)}, {RoleCallerOwner, caller, s.OwnerOfService(caller)}}
	for _, x := range sides {
		if x.name == "" {
			continue
		}
		ruled = ruled || x.owner != MeshNamespace
		for _, n := range s.ancestors[x.owner] {
			add(x.role, x.owner, s.defaults[n])
		}
		add(x.role, x.owner, s.targeted[x.role][x.name])
	}
	return Merge(l, route.clauses()), ruled || len(l) > 0
}

// EffectiveClause is a field of a merged rule: the word that holds it, and those that it overrode, the tightest first. Of sets each word
// has its part: the first of them in order is named.
type EffectiveClause struct {
	Clause
	Overridden []Clause `json:"over,omitempty"`
}

// Effective is what holds in a field; false: nobody said a word on it.
func (l Clauses) Effective(f Field) (h EffectiveClause, is bool) {
	var of []Clause
	for _, w := range l {
		if w.Field == f {
			of = append(of, w)
		}
	}
	if len(of) == 0 {
		return h, false
	}
	k := mergeKinds[f]
	slices.SortStableFunc(of, func(a, b Clause) int {
		switch k {
		case minimum:
			return cmp.Compare(a.Number, b.Number)
		case maximum:
			return cmp.Compare(b.Number, a.Number)
		case intersection:
			return cmp.Compare(len(a.Values), len(b.Values))
		}
		return 0
	})
	h = EffectiveClause{of[0], of[1:]}
	for _, w := range h.Overridden {
		switch k {
		case intersection:
			h.Values = slices.DeleteFunc(slices.Clone(h.Values), func(x string) bool { return !slices.Contains(w.Values, x) })
		case union:
			h.Values = append(slices.Clone(h.Values), w.Values...)
		}
	}
	if k == union {
		slices.Sort(h.Values)
		h.Values = slices.Compact(h.Values)
	}
	return h, true
}

// DeniedBy says whose word keeps a service from calling; false: nobody's.
func (l Clauses) DeniedBy(caller string) (Source, bool) {
	for _, w := range l {
		if w.Field == FieldDeny && slices.Contains(w.Values, caller) || w.Field == FieldAllow && !slices.Contains(w.Values, caller) {
			return w.Source, true
		}
	}
	return Source{}, false
}

// Fingerprint is the fingerprint of a merged rule: two nodes that have the same decide alike.
func (l Clauses) Fingerprint() string {
	var p []byte
	text := func(s string) { // its length first, so that no two lists of them read alike
		p = binary.AppendUvarint(p, uint64(len(s)))
		p = append(p, s...)
	}
	for _, w := range l {
		text(string(w.Field))
		p = binary.BigEndian.AppendUint64(p, math.Float64bits(w.Number))
		p = binary.AppendUvarint(p, uint64(len(w.Values)))
		for _, x := range w.Values {
			text(x)
		}
		text(w.Source.Namespace)
		text(w.Source.Item)
		text(string(w.Source.Role))
		p = binary.AppendVarint(p, w.Source.Version)
	}
	sum := sha256.Sum256(p)
	return hex.EncodeToString(sum[:8])
}

// Decision is a merged rule as a line goes by it.
type Decision struct {
	Fingerprint string
	Clauses     Clauses
	MaxAttempts int // servers that a request may be sent to, 1 at least
	Timeout     time.Duration
	Priority    int
	RetryRatio  float64 // of further tries; math.Inf(1): no bound of its own
	RetryOn     []string
	RetryOnAny  bool    // RetryOn says nothing
	DeniedBy    *Source // the caller may not call at all
}

// Decide is what follows from words for a route and one who calls.
func (l Clauses) Decide(route Route, caller string) *Decision {
	m := &Decision{Fingerprint: l.Fingerprint(), Clauses: l, RetryRatio: math.Inf(1), RetryOnAny: true}
	if h, is := l.Effective(FieldTries); is {
		m.MaxAttempts = max(1, int(h.Number))
	}
	if h, is := l.Effective(FieldKeyedAgain); is && h.Number == 0 && route.AtMostOnce {
		m.MaxAttempts = 1
	}
	if h, is := l.Effective(FieldTimeout); is {
		m.Timeout = time.Duration(h.Number * float64(time.Second))
	}
	if h, is := l.Effective(FieldPriority); is {
		m.Priority = int(h.Number)
	}
	if h, is := l.Effective(FieldRetryRatio); is {
		m.RetryRatio = h.Number
	}
	if h, is := l.Effective(FieldRetryOn); is {
		m.RetryOn, m.RetryOnAny = h.Values, false
	}
	if from, is := l.DeniedBy(caller); is {
		m.DeniedBy = &from
	}
	return m
}

// MayRetry says whether there may be a further try after an ending of that name.
func (m *Decision) MayRetry(ending string) bool {
	return m.RetryOnAny || slices.Contains(m.RetryOn, ending)
}
