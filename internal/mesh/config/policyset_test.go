package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/policy"
)

// namespacesRequest upserts two namespaces: shop with the owner ana and a host, and store with the owner bo and a service.
const namespacesRequest = `{"Upsert":{"NamespaceList":[{"Name":"shop","ConfigVersion":1,"Owners":["ana"],"Hosts":["h.example"]},` +
	`{"Name":"store","ConfigVersion":1,"Owners":["bo"],"Services":["s"]}]}}`

// policyRequest returns a request that upserts one policy of a namespace. extra is JSON that is inserted after its last field.
func policyRequest(author, name, namespace string, version int, extra string) string {
	return fmt.Sprintf(`{"By":%q,"Upsert":{"RulingList":[{"Name":%q,"Namespace":%q,"ConfigVersion":%d%s}]}}`,
		author, name, namespace, version, extra)
}

// applyRequest applies a request of any author, and checks that a refused request leaves the table unchanged.
func applyRequest(t *testing.T, table Table, text string) (Table, error) {
	t.Helper()
	update, err := ParseUpdate([]byte(text))
	if err != nil {
		return table, err
	}
	next, _, _, err := table.ApplyUpdate(update)
	if err != nil {
		assert.Equal(t, next.PolicyFingerprint(), table.PolicyFingerprint())
		assert.Equal(t, next.Len(), table.Len())
	}
	return next, err
}

func mustApplyRequest(t *testing.T, table Table, text string) Table {
	t.Helper()
	next, err := applyRequest(t, table, text)
	assert.NilError(t, err, text)
	return next
}

// Namespaces and policies are parsed, validated, merged and returned like all other items. A refused request changes nothing, and its
// error has the expected type.
func TestNamespaceAndPolicyItems(t *testing.T) {
	table := mustApplyRequest(t, Table{}, upsertRequest(routeJSON("r", "s", 1, ""), serviceJSON("s", 1)))
	assert.Equal(t, table.PolicyFingerprint(), "")
	table = mustApplyRequest(t, table, namespacesRequest)
	fingerprint := table.PolicyFingerprint()
	table = mustApplyRequest(t, table, namespacesRequest) // repeated
	assert.Equal(t, table.PolicyFingerprint(), fingerprint)
	looserPolicy := policyRequest("bo", "calm", "store", 2, `,"Tries":2,"TimeoutS":1.5`)
	for _, test := range []struct {
		name, request string
		errorType     error // nil if the request is accepted
		want          string
	}{
		{
			"namespace without owners", strings.Replace(namespacesRequest, `"Owners":["ana"]`, `"Owners":[]`, 1), ErrInvalid,
			"namespace shop: Owners",
		},
		{
			"policy without any requirement", policyRequest("bo", "calm", "store", 1, ""), ErrInvalid,
			"ruling calm: Tries is not there, nor any other field",
		},
		{"unknown condition", policyRequest("bo", "calm", "store", 1, `,"RetryOn":["never"]`), ErrInvalid, "ruling calm: RetryOn[0] is never"},
		{"unknown namespace", policyRequest("bo", "calm", "nobody", 1, `,"Tries":1`), ErrInvalid, "not known"},
		{
			"policy of a namespace of another owner", policyRequest("ana", "calm", "store", 1, `,"Tries":1`), ErrForbidden,
			"policy calm is of store, and ana owns shop",
		},
		{"item of the mesh operator", `{"By":"bo","Upsert":{"UpstreamGroups":[` + serviceJSON("s", 2) + `]}}`, ErrForbidden, "service s is of mesh"},
		{"policy", policyRequest("bo", "calm", "store", 1, `,"Tries":1,"TimeoutS":1.5`), nil, ""},
		{
			"same version with another content", policyRequest("bo", "calm", "store", 1, `,"Tries":1,"TimeoutS":1.6`), ErrConflict,
			"version 1 has another content already",
		},
		{
			"policies that contradict each other", policyRequest("ana", "slow", "shop", 1, `,"NeedsS":1.8`), ErrConflict,
			"ruling calm of store, version 1 (as service) says TimeoutS 1.5",
		},
		{"looser policy", looserPolicy, ErrForbidden, "shop has to consent"},
		{"looser policy with consent", strings.Replace(looserPolicy, "{", `{"Consents":["shop:ana"],`, 1), nil, ""},
		{"author's name too long", `{"By":"` + strings.Repeat("x", 200) + `","Upsert":{}}`, ErrInvalid, "By"},
		{
			"namespace that is in use", `{"Remove":{"NamespaceTable":[{"Name":"store","ConfigVersion":2}]}}`, ErrInvalid,
			`its namespace "store" is not known`,
		},
	} {
		next, err := applyRequest(t, table, test.request)
		if test.errorType == nil {
			assert.NilError(t, err, test.name)
			table = next
			continue
		}
		assert.Assert(t, errors.Is(err, test.errorType), "%s: %v", test.name, err)
		assert.ErrorContains(t, err, test.want)
	}
	assertFingerprintIndependentOfOrder(t, table)
	assert.Equal(t, len(table.Document().NamespaceList)+len(table.Document().RulingList), 3)
	clauses, applies := NewPolicySet(table, table).ClausesFor(mustRoute(t, table), "s", "")
	assert.Assert(t, applies && len(clauses) == 5, "%v", clauses)
	table = mustApplyRequest(t, table, `{"Remove":{"NamespaceTable":[{"Name":"store","ConfigVersion":2},{"Name":"shop","ConfigVersion":2}],`+
		`"RulingTable":[{"Name":"calm","ConfigVersion":9}]}}`)
	assert.Equal(t, table.PolicyFingerprint(), "")
	assert.Assert(t, !table.HasPolicyItems())
}

// assertFingerprintIndependentOfOrder checks that items that are merged one by one in reverse order have the same policy fingerprint, and
// that the policy items alone have it, too.
func assertFingerprintIndependentOfOrder(t *testing.T, table Table) {
	t.Helper()
	items := table.Items()
	reversed := Table{}
	for n := len(items) - 1; n >= 0; n-- {
		reversed, _ = reversed.Merge(items[n : n+1])
	}
	assert.Equal(t, reversed.PolicyFingerprint(), table.PolicyFingerprint())
	assert.Equal(t, reversed.PolicyItems().PolicyFingerprint(), table.PolicyFingerprint())
}

func mustRoute(t *testing.T, table Table) policy.Route {
	t.Helper()
	route, exists := NewPolicySet(table, table).Route("r")
	assert.Assert(t, exists)
	return route
}
