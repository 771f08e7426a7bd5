package scale

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// TestParseErrorsNameLineAndField shows that every error in a file is found, with the line and field where it is.
func TestParseErrorsNameLineAndField(t *testing.T) {
	const good = "name = \"x\"\nsizes = [10]\n"
	for _, c := range []struct {
		name, text string
		want       []FieldError
	}{
		{"syntax", good + "full = = 3\n", []FieldError{{Line: 3}}},
		{"unknown", good + "\n# a note\nsize = 10\n", []FieldError{{Line: 5, Field: "size"}}},
		{"table", good + "[more]\nsizes = [1]\n", []FieldError{{Line: 3, Field: "more"}}},
		{"wrong type", "name = \"x\"\nsizes = \"ten\"\n", []FieldError{{Line: 2, Field: "sizes"}}},
		{"two of a wrong type", "name = 1\nsizes = [10]\nseeds = [-1]\n", []FieldError{{Line: 1, Field: "name"}, {Line: 3, Field: "seeds"}}},
		{"out of range", good + "registers = 0\nmemory_gib = 1000.0\n", []FieldError{{Line: 3, Field: "registers"}, {Line: 4, Field: "memory_gib"}}},
		{"missing", "name = \"x\"\n", []FieldError{{Field: "sizes"}}},
		{"mistakes of several kinds", "name = \"x\"\nsizes = [0]\nfoo = 1\nseeds = \"one\"\n", []FieldError{{Line: 2, Field: "sizes"}, {Line: 3, Field: "foo"}, {Line: 4, Field: "seeds"}}},
		{"a size in a list", "name = \"x\"\nsizes = [\n10,\n0]\n", []FieldError{{Line: 2, Field: "sizes"}}},
		{"full of other length", good + "full = [1, 2]\n", []FieldError{{Line: 3, Field: "full"}}},
		{"no size to vary at", good + "vary_routes = [5]\n", []FieldError{{Field: "vary_size"}}},
		{"no number", good + "phase_s = nan\n", []FieldError{{Line: 3, Field: "phase_s"}}},
		{"a name with a path", "name = \"../x\"\nsizes = [1]\n", []FieldError{{Line: 1, Field: "name"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseExperiment("e.toml", []byte(c.text))
			var got FieldErrors
			assert.Assert(t, errors.As(err, &got), "%v", err)
			assert.Equal(t, len(got), len(c.want), err)
			for i, f := range got {
				assert.Equal(t, f.Line, c.want[i].Line, f.Error())
				if c.want[i].Field != "" {
					assert.Equal(t, f.Field, c.want[i].Field, f.Error())
				}
				assert.Assert(t, f.Text != "")
			}
		})
	}
}

// TestCommittedExperimentsAreValid shows that the experiments under docs/capacity can be run, and are no trials.
func TestCommittedExperimentsAreValid(t *testing.T) {
	for _, name := range []string{"growth", "parts"} {
		experiment, err := LoadExperiment("../../../" + ResultsDir + "/" + name + ".toml")
		assert.NilError(t, err)
		assert.Equal(t, experiment.Name, name)
		assert.Equal(t, experiment.Note, "")
		assert.Assert(t, !experiment.KeepBound, "only trials keep what the machine limited")
	}
}

// FuzzParseExperiment shows that any text gives FieldErrors or an experiment without problems.
func FuzzParseExperiment(f *testing.F) {
	f.Add([]byte("name = \"x\"\nsizes = [1]\n"))
	f.Add([]byte("[[a]]\nb = {c = [1, \"\"]}\n\"\" = 3"))
	f.Fuzz(func(t *testing.T, text []byte) {
		experiment, err := ParseExperiment("f", text)
		var found FieldErrors
		if err != nil && !errors.As(err, &found) {
			t.Fatal(err)
		}
		if err == nil && len(experiment.problems()) > 0 {
			t.Fatal(experiment.problems())
		}
	})
}
