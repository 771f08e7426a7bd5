// Package mutation shows that a package's tests find errors, as in mutation testing: it puts an error into the source by go
// test's overlay, and runs the test that has to fail. It must never change the files themselves. It is for tests whose
// strictness matters: a test that passes with the error in place would not have found it.
package mutation

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testkit"
)

// maxConcurrent is how many mutants of one package are built and tested at once.
const maxConcurrent = 4

// Edit is a replacement of text in a source file of the package under test.
type Edit struct {
	File        string // of the package
	Original    string // must stand in File exactly once
	Replacement string
}

// Mutation is an error that is put into the source of the package under test, for one run of one test.
type Mutation struct {
	Name        string
	File        string // of the package
	Original    string // must stand in File exactly once
	Replacement string
	KilledBy    string // the test that has to fail
}

// Run shows in a subtest for each mutation that the test named by KilledBy fails. It is skipped under -short and -race,
// because it builds the package for each mutation. It is to be called from the folder of the package, as go test does.
func Run(t *testing.T, mutations []Mutation) {
	t.Helper()
	if testing.Short() || testkit.Race {
		t.Skip("it builds the package for each mutation; go test without -race and -short does")
	}
	slots := make(chan struct{}, maxConcurrent)
	for _, m := range mutations {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			edit := Edit{File: m.File, Original: m.Original, Replacement: m.Replacement}
			output, failed := RunTest(t, []Edit{edit}, m.KilledBy)
			assert.Assert(t, failed, "the test passes with it")
			assert.Assert(t, strings.Contains(output, "--- FAIL: "+m.KilledBy), "another test failed: %s", output)
		})
	}
}

// RunTest runs a test of the package under test on its source with edits, and returns its output and whether it failed.
// Edits of one file are made in their order. environment is added to that of this process, as KEY=value. A source that does
// not build ends t.
func RunTest(t *testing.T, edits []Edit, test string, environment ...string) (output string, failed bool) {
	t.Helper()
	dir := t.TempDir()
	overlay, err := json.Marshal(map[string]any{"Replace": writeEdited(t, dir, edits)})
	assert.NilError(t, err)
	overlayFile := filepath.Join(dir, "overlay.json")
	assert.NilError(t, os.WriteFile(overlayFile, overlay, 0o600))
	cmd := exec.CommandContext(t.Context(), "go", "test", "-count=1", "-vet=off", "-overlay", overlayFile, "-run", "^"+test+"$", ".")
	cmd.Env = append(os.Environ(), environment...)
	text, err := cmd.CombinedOutput()
	assert.Assert(t, !strings.Contains(string(text), "build failed"), "%s", text)
	return string(text), err != nil
}

// writeEdited writes the edited files into a folder, and returns where each is by the path of its original.
func writeEdited(t *testing.T, dir string, edits []Edit) map[string]string {
	t.Helper()
	edited := map[string]string{}
	for i, edit := range edits {
		path, err := filepath.Abs(edit.File)
		assert.NilError(t, err)
		source, err := os.ReadFile(cmp.Or(edited[path], path))
		assert.NilError(t, err)
		assert.Equal(t, strings.Count(string(source), edit.Original), 1, "%s does not hold this once: %s", edit.File, edit.Original)
		edited[path] = filepath.Join(dir, fmt.Sprint("edited", i, ".go"))
		text := strings.Replace(string(source), edit.Original, edit.Replacement, 1)
		assert.NilError(t, os.WriteFile(edited[path], []byte(text), 0o600))
	}
	return edited
}
