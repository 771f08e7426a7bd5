package operations

import (
	"testing"

	"cranegrade/internal/testkit/mutation"
)

// TestMutations shows that each error that a mutation puts into histories is found by a test of this package.
func TestMutations(t *testing.T) {
	mutation.Run(t, []mutation.Mutation{
		{
			Name: "a version accepted again with another content", File: "history.go", KilledBy: "TestClassify",
			Original:    "	case found && h.accepted[i].Digest == digest:",
			Replacement: "	case found && i >= 0:",
		},
		{
			Name: "a forgotten operation taken for a new one", File: "history.go", KilledBy: "TestClassify",
			Original:    "	case h.incomplete && version <= h.maxForgotten:",
			Replacement: "	case false:",
		},
		{
			Name: "nothing noted of what is forgotten", File: "history.go", KilledBy: "TestClassify",
			Original:    "	if !h.incomplete || version > h.maxForgotten {",
			Replacement: "	if false {",
		},
		{
			Name: "only the version forgotten first noted", File: "history.go", KilledBy: "TestForgettingInAnyOrder",
			Original:    "	if !h.incomplete || version > h.maxForgotten {",
			Replacement: "	if !h.incomplete {",
		},
		{
			Name: "only the version forgotten last noted", File: "history.go", KilledBy: "TestForgettingInAnyOrder",
			Original:    "	if !h.incomplete || version > h.maxForgotten {",
			Replacement: "	if true {",
		},
		{
			Name: "a history changed by one made of it", File: "history.go", KilledBy: "TestClassify",
			Original:    "slices.Delete(slices.Clone(h.accepted), i, i+1)",
			Replacement: "slices.Delete(h.accepted, i, i+1)",
		},
		{
			Name: "a content overwritten under its version", File: "history.go", KilledBy: "TestClassify",
			Original:    "	if found {\n		return h\n	}\n	var next History",
			Replacement: "	if found {\n		h = h.Without(operation.Version)\n	}\n	var next History",
		},
		{
			Name: "parts of a content run together", File: "history.go", KilledBy: "TestDigestOf",
			Original:    "		hash.Write(length[:])\n",
			Replacement: "",
		},
		{
			Name: "what was forgotten not read back", File: "encoding.go", KilledBy: "TestEncode",
			Original:    "incomplete:   encoded[incompleteOffset] == 1,",
			Replacement: "incomplete:   false,",
		},
	})
}
