package policy

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math"
	"slices"
)

// Clauses is a merged policy: all clauses that apply to a request, sorted, with one clause per source and field.
type Clauses []Clause

// Merge returns the union of two policies, with only the highest version of each source. It is commutative, associative
// and idempotent. Since the tightest clause of each field is effective, clauses of further sources can only tighten a
// policy.
func Merge(a, b Clauses) Clauses {
	all := append(slices.Clone(a), b...)
	slices.SortFunc(all, Clause.compare)
	merged := all[:0]
	for _, c := range all {
		if n := len(merged); n > 0 && merged[n-1].sameOrigin(c) {
			merged[n-1] = c // clauses of the same origin are sorted by version
			continue
		}
		merged = append(merged, c)
	}
	return merged
}

// EffectiveClause is the effective clause on a field, with the clauses that it overrides, the tightest first. If the
// field is a set, all clauses contribute: Clause is then the first of them with the merged values, and Overridden the
// others.
type EffectiveClause struct {
	Clause
	Overridden []Clause `json:"over,omitempty"`
}

// Effective returns the effective clause on a field, if there is any clause on it.
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

// compareTightness orders the tighter clause first.
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

// mergeValues returns the merged set of the clauses' values.
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

// DeniedBy returns the source of the first clause that does not let a service call, if there is one.
func (l Clauses) DeniedBy(caller string) (Source, bool) {
	for _, c := range l {
		if c.denies(caller) {
			return c.Source, true
		}
	}
	return Source{}, false
}

// denies reports whether the clause lists a caller as denied, or allowed callers without it.
func (c Clause) denies(caller string) bool {
	return c.Field == FieldDeniedCallers && slices.Contains(c.Values, caller) || c.Field == FieldAllowedCallers && !slices.Contains(c.Values, caller)
}

// fingerprintBytes is how many bytes of a SHA-256 sum a fingerprint consists of.
const fingerprintBytes = 8

// Fingerprint identifies a merged policy: sidecars with the same fingerprint make the same decisions. It is sent to callers and logged.
func (l Clauses) Fingerprint() string {
	var encoded []byte
	addText := func(s string) { // the length prefix makes the encoding of several texts unambiguous
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
