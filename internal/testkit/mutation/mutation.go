// Package mutation shows that a package's tests find errors, as in mutation testing: it puts an error into the source by go test's
// overlay, and runs the test that has to fail. It must never change the files themselves.
package mutation

import (
	"encoding/json"
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

// Mutation is an error that is put into the source of the package under test, for one run of one test.
type Mutation struct {
	Name        string
	File        string // of the package
	Original    string // must stand in File exactly once
	Replacement string
	KilledBy    string // the test that has to fail
}

// Run shows in a subtest for each mutation that the test named by KilledBy fails. It is skipped under -short and -race, because it builds
// the package for each mutation. It is to be called from the folder of the package, as go test does.
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
			output := m.test(t)
			assert.Assert(t, strings.Contains(output, "--- FAIL: "+m.KilledBy), "another test failed: %s", output)
		})
	}
}

// test runs the test that has to fail and returns its output.
func (m Mutation) test(t *testing.T) string {
	t.Helper()
	source, err := os.ReadFile(m.File)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(source), m.Original), 1, "%s does not hold this once: %s", m.File, m.Original)
	dir := t.TempDir()
	mutant := filepath.Join(dir, "mutant.go")
	assert.NilError(t, os.WriteFile(mutant, []byte(strings.Replace(string(source), m.Original, m.Replacement, 1)), 0o600))
	path, err := filepath.Abs(m.File)
	assert.NilError(t, err)
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{path: mutant}})
	assert.NilError(t, err)
	overlayFile := filepath.Join(dir, "overlay.json")
	assert.NilError(t, os.WriteFile(overlayFile, overlay, 0o600))
	cmd := exec.CommandContext(t.Context(), "go", "test", "-count=1", "-vet=off", "-overlay", overlayFile, "-run", "^"+m.KilledBy+"$", ".")
	output, err := cmd.CombinedOutput()
	assert.Assert(t, err != nil, "the test passes with it")
	assert.Assert(t, !strings.Contains(string(output), "build failed"), "%s", output)
	return string(output)
}
