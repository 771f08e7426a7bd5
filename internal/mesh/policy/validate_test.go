package policy

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/validation"
)

type validator interface{ Validate() *validation.Fault }

// Validate reports each fault of a namespace or a policy with the path of its field.
func TestValidateNamesTheField(t *testing.T) {
	two := 2.0
	for want, x := range map[string]validator{
		"Owners":                      Namespace{Name: "a"},
		"Within is the namespace":     Namespace{Name: "a", Owners: []string{"x"}, Within: "a"},
		"Services the mesh's own":     Namespace{Name: MeshNamespace, Owners: []string{"x"}, Services: []string{"s"}},
		"Prefixes[0].PathPrefix is p": Namespace{Name: "a", Owners: []string{"x"}, Prefixes: []HostPrefix{{"h", "p"}}},
		"the policy says nothing":     Policy{Name: "a", Namespace: "n"},
		"RetryOn[0] is sometimes":     Policy{Name: "a", Namespace: "n", RetryOn: endings("sometimes")},
		"Callers says who may call": Policy{
			Name: "a", Namespace: "n", On: Selector{Callers: []string{"c"}}, Tries: 1, Callers: CallerRules{Deny: []string{"d"}},
		},
		"NeedsS is 2, more than":       Policy{Name: "a", Namespace: "n", NeedsS: 2, TimeoutS: 1},
		"Callers.Need names c, whom":   Policy{Name: "a", Namespace: "n", Callers: CallerRules{Need: []string{"c"}, Deny: []string{"c"}}},
		"Tries is -1; wanted: gte 0":   Policy{Name: "a", Namespace: "n", Tries: -1},
		"RetryRatio is 2; wanted: lte": Policy{Name: "a", Namespace: "n", RetryRatio: &two},
	} {
		t.Run(want, func(t *testing.T) {
			fault := x.Validate()
			assert.Assert(t, fault != nil && strings.Contains(fault.Field+" "+fault.Text, want), "%v", fault)
		})
	}
	assert.Assert(t, Policy{Name: "a", Namespace: "n", Tries: 1}.Validate() == nil)
}
