package policy

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	anyField = rapid.SampledFrom(AllFields)
	anyName  = rapid.SampledFrom([]string{"a", "b", "c"})
)

// drawClause draws a clause. Its content is derived from its source and version, since a version never changes its content.
func drawClause(t *rapid.T) Clause {
	c := Clause{Field: anyField.Draw(t, "field"), Source: Source{
		Namespace: anyName.Draw(t, "namespace"), Item: anyName.Draw(t, "item"),
		Version: int64(rapid.IntRange(1, 3).Draw(t, "version")),
		Role:    rapid.SampledFrom([]Role{RoleRouteOwner, RoleServiceOwner}).Draw(t, "role"),
	}}
	source := c.Source
	content := len(source.Namespace+source.Item) + int(source.Namespace[0]) + 3*int(source.Item[0]) + 5*int(source.Version) + 7*len(c.Field)
	if !mergeKinds[c.Field].mergesSets() {
		c.Number = float64(content % 4)
		return c
	}
	for i, name := range []string{"a", "b", "c"} {
		if content>>i&1 == 1 {
			c.Values = append(c.Values, name)
		}
	}
	return c
}

func drawClauses(t *rapid.T, name string) (clauses Clauses) {
	for range rapid.IntRange(0, 8).Draw(t, name) {
		clauses = Merge(clauses, Clauses{drawClause(t)})
	}
	return clauses
}

// Merge is commutative, associative and idempotent. Merging further sources never loosens a field, lets a denied caller call,
// or permits more in a decision.
func TestMergeOnlyTightens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawClauses(t, "a"), drawClauses(t, "b"), drawClauses(t, "c")
		assert.DeepEqual(t, Merge(a, b), Merge(b, a))
		assert.DeepEqual(t, Merge(Merge(a, b), c), Merge(a, Merge(b, c)))
		assert.DeepEqual(t, Merge(a, a), a)
		assert.Equal(t, Merge(a, b).Fingerprint(), Merge(Merge(b, a), b).Fingerprint())
		// A newer version of a source replaces its former clause and may loosen the policy, so common sources are left out.
		a = slices.DeleteFunc(a, func(c Clause) bool { return slices.ContainsFunc(b, c.sameOrigin) })
		merged := Merge(a, b)
		for _, f := range AllFields {
			if e, changed := fieldEffect(f, a, merged); changed && e.Loosens {
				t.Fatalf("%v: %v and %v", e, a, b)
			}
		}
		for _, caller := range []string{"a", "b", "c", "d"} {
			_, before := a.DeniedBy(caller)
			_, after := merged.DeniedBy(caller)
			assert.Assert(t, !before || after)
		}
		route := Route{AtMostOnce: rapid.Bool().Draw(t, "once")}
		before, after := a.Decide(route, "a"), merged.Decide(route, "a")
		if e, exists := a.Effective(FieldTries); exists && e.Number >= 1 {
			assert.Assert(t, after.MaxAttempts <= before.MaxAttempts)
		}
		assert.Assert(t, after.RetryRatio <= before.RetryRatio && after.Priority >= before.Priority)
		for _, ending := range []string{"a", "b", "c"} {
			assert.Assert(t, before.MayRetry(ending) || !after.MayRetry(ending))
		}
	})
}
