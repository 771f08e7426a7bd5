package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestExitCodes shows that an invalid experiment file is rejected with its line and field, and which exit codes errors have.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	program, file := filepath.Join(dir, "meshscale"), filepath.Join(dir, "e.toml")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	assert.NilError(t, os.WriteFile(file, []byte("name = \"x\"\nsizes = [10]\nseed = 3\n"), 0o600))
	out, err = exec.Command(program, "run", file).CombinedOutput()
	var exit *exec.ExitError
	assert.Assert(t, errors.As(err, &exit), "%v %s", err, out)
	assert.Equal(t, exit.ExitCode(), exitUsage)
	assert.Assert(t, strings.Contains(string(out), file+":3: seed: "), string(out))
	out, err = exec.Command(program, "run").CombinedOutput()
	assert.Assert(t, errors.As(err, &exit) && exit.ExitCode() == exitUsage, "%v %s", err, out)
	out, err = exec.Command(program, "worker", "other").CombinedOutput()
	assert.Assert(t, errors.As(err, &exit) && exit.ExitCode() == exitFault, "%v %s", err, out)
}
