package policy

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math"
	"slices"
)

// Clauses are a merged policy: all that is said on a request, each source once on a field, in order.
type Clauses []Clause

// Merge merges two: the result is their union, where of one source the highest version counts. So neither order nor grouping
// nor repetition matters, and since of each field the tightest clause holds, more clauses only ever tighten.
func Merge(a, b Clauses) Clauses {
	all := append(slices.Clone(a), b...)
	slices.SortFunc(all, Clause.compare)
	merged := all[:0]
	for _, c := range all {
		if n := len(merged); n > 0 && merged[n-1].sameOrigin(c) {
			merged[n-1] = c // it comes later in order, so it is of a higher version
			continue
		}
		merged = append(merged, c)
	}
	return merged
}

// EffectiveClause is what holds on a field: the clause that does, and those that it overrides, the tightest first. Of a field
// that is merged as sets each clause has its part; the first in order is named, with the merged values.
type EffectiveClause struct {
	Clause
	Overridden []Clause `json:"over,omitempty"`
}

// Effective is what holds on a field; false means that no clause is on it.
func (l Clauses) Effective(f Field) (e EffectiveClause, exists bool) {
	var clauses []Clause
	for _, c := range l {
		if c.Field == f {
			clauses = append(clauses, c)
		}
	}
	if len(clauses) == 0 {
		return e, false
	}
	kind := mergeKinds[f]
	slices.SortStableFunc(clauses, kind.compareTightness)
	e = EffectiveClause{clauses[0], clauses[1:]}
	e.Values = kind.mergeValues(clauses)
	return e, true
}

// compareTightness puts the tighter clause first.
func (k mergeKind) compareTightness(a, b Clause) int {
	switch k {
	case minimum:
		return cmp.Compare(a.Number, b.Number)
	case maximum:
		return cmp.Compare(b.Number, a.Number)
	case intersection:
		return cmp.Compare(len(a.Values), len(b.Values))
	case union:
	}
	return 0
}

// mergeValues is what the values of clauses come to together.
func (k mergeKind) mergeValues(clauses []Clause) []string {
	values := clauses[0].Values
	switch k {
	case intersection:
		for _, c := range clauses[1:] {
			values = slices.DeleteFunc(slices.Clone(values), func(v string) bool { return !slices.Contains(c.Values, v) })
		}
	case union:
		values = slices.Clone(values)
		for _, c := range clauses[1:] {
			values = append(values, c.Values...)
		}
		return sortedUnique(values)
	case minimum, maximum:
	}
	return values
}

// DeniedBy says whose clause keeps a service from calling; false means that nobody's does.
func (l Clauses) DeniedBy(caller string) (Source, bool) {
	for _, c := range l {
		if c.denies(caller) {
			return c.Source, true
		}
	}
	return Source{}, false
}

func (c Clause) denies(caller string) bool {
	return c.Field == FieldDeny && slices.Contains(c.Values, caller) || c.Field == FieldAllow && !slices.Contains(c.Values, caller)
}

// fingerprintBytes is how much of a SHA-256 sum a fingerprint keeps.
const fingerprintBytes = 8

// Fingerprint names a merged policy: two sidecars with the same one decide alike. It is sent to callers and logged.
func (l Clauses) Fingerprint() string {
	var encoded []byte
	addText := func(s string) { // its length first, so that no two lists of texts are encoded alike
		encoded = binary.AppendUvarint(encoded, uint64(len(s)))
		encoded = append(encoded, s...)
	}
	for _, c := range l {
		addText(string(c.Field))
		encoded = binary.BigEndian.AppendUint64(encoded, math.Float64bits(c.Number))
		encoded = binary.AppendUvarint(encoded, uint64(len(c.Values)))
		for _, v := range c.Values {
			addText(v)
		}
		addText(c.Source.Namespace)
		addText(c.Source.Item)
		addText(string(c.Source.Role))
		encoded = binary.AppendVarint(encoded, c.Source.Version)
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:fingerprintBytes])
}
