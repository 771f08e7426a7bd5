package operations

import (
	"testing"

	"cranegrade/internal/testkit/mutation"
)

// TestMutations checks that the tests of this package detect each of these mutations of the code.
func TestMutations(t *testing.T) {
	mutation.Run(t, []mutation.Mutation{
		{
			Name: "other content for an accepted version classified as a duplicate", File: "history.go", KilledBy: "TestClassify",
			Original:    "	case found && h.accepted[i].Digest == digest:",
			Replacement: "	case found && i >= 0:",
		},
		{
			Name: "a dropped operation classified as new", File: "history.go", KilledBy: "TestClassify",
			Original:    "	case h.incomplete && version <= h.maxDropped:",
			Replacement: "	case false:",
		},
		{
			Name: "dropped versions not recorded", File: "history.go", KilledBy: "TestClassify",
			Original:    "	if !h.incomplete || version > h.maxDropped {",
			Replacement: "	if false {",
		},
		{
			Name: "only the version dropped first recorded", File: "history.go", KilledBy: "TestDroppedVersionsAreNeverNew",
			Original:    "	if !h.incomplete || version > h.maxDropped {",
			Replacement: "	if !h.incomplete {",
		},
		{
			Name: "only the version dropped last recorded", File: "history.go", KilledBy: "TestDroppedVersionsAreNeverNew",
			Original:    "	if !h.incomplete || version > h.maxDropped {",
			Replacement: "	if true {",
		},
		{
			Name: "a history modified by deriving another from it", File: "history.go", KilledBy: "TestClassify",
			Original:    "slices.Delete(slices.Clone(h.accepted), i, i+1)",
			Replacement: "slices.Delete(h.accepted, i, i+1)",
		},
		{
			Name: "an accepted operation replaced by another of its version", File: "history.go", KilledBy: "TestClassify",
			Original:    "	if found {\n		return h\n	}\n	var next History",
			Replacement: "	if found {\n		h = h.Without(operation.Version)\n	}\n	var next History",
		},
		{
			Name: "a digest that ignores the boundaries between parts", File: "history.go", KilledBy: "TestDigestOf",
			Original:    "		hash.Write(length[:])\n",
			Replacement: "",
		},
		{
			Name: "dropped versions not decoded", File: "encoding.go", KilledBy: "TestEncode",
			Original:    "incomplete: encoded[incompleteOffset] == 1,",
			Replacement: "incomplete: false,",
		},
	})
}
