package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/policy"
)

const spaces = `{"Upsert":{"NamespaceList":[{"Name":"shop","ConfigVersion":1,"Owners":["ana"],"Hosts":["h.example"]},{"Name":"store","ConfigVersion":1,"Owners":["bo"],"Services":["s"]}]}}`

func ruling(by, name, of string, version int, more string) string {
	return fmt.Sprintf(`{"By":%q,"Upsert":{"RulingList":[{"Name":%q,"Namespace":%q,"ConfigVersion":%d%s}]}}`, by, name, of, version, more)
}

// Namespaces and rulings are items as the others are: read, judged whole, merged, laid out. A call that is turned down changes
// nothing, and each fault has its kind.
func TestRuled(t *testing.T) {
	var table Table
	take := func(text string) error {
		t.Helper()
		c, err := ParseUpdate([]byte(text))
		if err != nil {
			return err
		}
		next, _, _, err := table.ApplyUpdate(c)
		before := table.PolicyFingerprint()
		if err != nil {
			assert.Equal(t, next.PolicyFingerprint(), before)
			assert.Equal(t, next.Len(), table.Len())
		}
		table = next
		return err
	}
	assert.NilError(t, take(call(rule("r", "s", 1, ""), fmt.Sprintf(service, "s", 1))))
	assert.Equal(t, table.PolicyFingerprint(), "")
	assert.NilError(t, take(spaces))
	set := table.PolicyFingerprint()
	assert.NilError(t, take(spaces)) // again
	assert.Equal(t, table.PolicyFingerprint(), set)
	for _, x := range []struct {
		text string
		kind error
		want string
	}{
		{strings.Replace(spaces, `"Owners":["ana"]`, `"Owners":[]`, 1), ErrInvalid, "namespace shop: Owners"},
		{ruling("bo", "calm", "store", 1, ""), ErrInvalid, "ruling calm: Tries is not there, nor any other field"},
		{ruling("bo", "calm", "store", 1, `,"RetryOn":["never"]`), ErrInvalid, "ruling calm: RetryOn[0] is never"},
		{ruling("bo", "calm", "nobody", 1, `,"Tries":1`), ErrInvalid, "not known"},
		{ruling("ana", "calm", "store", 1, `,"Tries":1`), ErrForbidden, "ruling calm is of store, and ana owns shop"},
		{`{"By":"bo","Upsert":{"UpstreamGroups":[` + fmt.Sprintf(service, "s", 2) + `]}}`, ErrForbidden, "service s is of mesh"},
		{ruling("bo", "calm", "store", 1, `,"Tries":1,"TimeoutS":1.5`), nil, ""},
		{ruling("bo", "calm", "store", 1, `,"Tries":1,"TimeoutS":1.6`), ErrConflict, "version 1 has another content already"},
		{ruling("ana", "slow", "shop", 1, `,"NeedsS":1.8`), ErrConflict, "ruling calm of store, version 1 (as service) says TimeoutS 1.5"},
		{ruling("bo", "calm", "store", 2, `,"Tries":2,"TimeoutS":1.5`), ErrForbidden, "shop has to consent"},
		{strings.Replace(ruling("bo", "calm", "store", 2, `,"Tries":2,"TimeoutS":1.5`), "{", `{"Consents":["shop:ana"],`, 1), nil, ""},
		{`{"By":"` + strings.Repeat("x", 200) + `","Upsert":{}}`, ErrInvalid, "By"},
		{`{"Remove":{"NamespaceTable":[{"Name":"store","ConfigVersion":2}]}}`, ErrInvalid, `its namespace "store" is not known`},
	} {
		err := take(x.text)
		if x.kind == nil {
			assert.NilError(t, err, x.text)
			continue
		}
		assert.Assert(t, errors.Is(err, x.kind), "%s: %v", x.text, err)
		assert.ErrorContains(t, err, x.want)
	}
	// What is told one after the other, in any order, and what is read from a layout, make the same set.
	items := table.Items()
	again := Table{}
	for n := len(items) - 1; n >= 0; n-- {
		again, _ = again.Merge(items[n : n+1])
	}
	assert.Equal(t, again.PolicyFingerprint(), table.PolicyFingerprint())
	assert.Equal(t, again.PolicyItems().PolicyFingerprint(), table.PolicyFingerprint())
	assert.Equal(t, len(table.Document().NamespaceList)+len(table.Document().RulingList), 3)
	words, ruled := NewPolicySet(table, table).ClausesFor(mustRoute(t, table), "s", "")
	assert.Assert(t, ruled && len(words) == 5, "%v", words)
	assert.NilError(t, take(`{"Remove":{"NamespaceTable":[{"Name":"store","ConfigVersion":2},{"Name":"shop","ConfigVersion":2}],"RulingTable":[{"Name":"calm","ConfigVersion":9}]}}`))
	assert.Equal(t, table.PolicyFingerprint(), "")
	assert.Assert(t, !table.HasPolicyItems())
}

func mustRoute(t *testing.T, table Table) policy.Route {
	t.Helper()
	r, is := NewPolicySet(table, table).Route("r")
	assert.Assert(t, is)
	return r
}
