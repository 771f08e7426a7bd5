package operations

import (
	"testing"

	"cranegrade/internal/testkit/mutation"
)

// Each error in what is remembered of operations is found by a test of this package.
func TestPlantedErrors(t *testing.T) {
	mutation.Run(t, []mutation.Mutation{
		{
			Name: "a version taken again with another content", File: "operations.go", KilledBy: "TestJudge",
			Original:    "	case found && h.taken[at].Digest == digest:",
			Replacement: "	case found && at >= 0:",
		},
		{
			Name: "a forgotten operation taken for a new one", File: "operations.go", KilledBy: "TestJudge",
			Original:    "	case h.lossy && version <= h.forgotten:",
			Replacement: "	case false:",
		},
		{
			Name: "nothing noted of what is forgotten", File: "operations.go", KilledBy: "TestJudge",
			Original:    "	if !h.lossy || version > h.forgotten {",
			Replacement: "	if false {",
		},
		{
			Name: "what was forgotten first taken for all", File: "operations.go", KilledBy: "TestForgettingInAnyOrder",
			Original:    "	if !h.lossy || version > h.forgotten {",
			Replacement: "	if !h.lossy {",
		},
		{
			Name: "what was forgotten last taken for all", File: "operations.go", KilledBy: "TestForgettingInAnyOrder",
			Original:    "	if !h.lossy || version > h.forgotten {",
			Replacement: "	if true {",
		},
		{
			Name: "a history changed by one made of it", File: "operations.go", KilledBy: "TestJudge",
			Original:    "slices.Delete(slices.Clone(h.taken), at, at+1)",
			Replacement: "slices.Delete(h.taken, at, at+1)",
		},
		{
			Name: "a content overwritten under its version", File: "operations.go", KilledBy: "TestJudge",
			Original:    "	if found {\n		return h\n	}\n	var next History",
			Replacement: "	if found {\n		h = h.Without(o.Version)\n	}\n	var next History",
		},
		{
			Name: "parts of a content run together", File: "operations.go", KilledBy: "TestDigestOf",
			Original:    "		hash.Write(length[:])\n",
			Replacement: "",
		},
		{
			Name: "what was forgotten not read back", File: "operations.go", KilledBy: "TestEncode",
			Original:    "lossy: in[1] == 1,",
			Replacement: "lossy: false,",
		},
	})
}
