package renamed

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const repository = "../.."

// The line names both programs.
func TestAnswerNamesThePresentProgram(t *testing.T) {
	var out strings.Builder
	assert.Equal(t, Answer(&out, "switchboard", "meshctl"), 2)
	assert.Equal(t, out.String(), "switchboard: this program is called meshctl now; its command line is the same\n")
}

// Each former program writes one line that says what it is called now, whatever its arguments, and ends with 2.
func TestFormerProgramsNameThePresentOnes(t *testing.T) {
	bin := t.TempDir()
	for former, present := range map[string]string{
		"line": "sidecar", "register": "controlplane", "hollyspur-sim": "simadapter",
	} {
		t.Run(former, func(t *testing.T) {
			program := filepath.Join(bin, former)
			build := exec.CommandContext(t.Context(), "go", "build", "-o", program, "./cmd/"+former)
			build.Dir = repository
			output, err := build.CombinedOutput()
			assert.NilError(t, err, string(output))

			var stdout, stderr bytes.Buffer
			run := exec.CommandContext(t.Context(), program, "--settings", "node.yaml")
			run.Stdout, run.Stderr = &stdout, &stderr
			var exit *exec.ExitError
			assert.Assert(t, errors.As(run.Run(), &exit))
			assert.Equal(t, exit.ExitCode(), ExitCode)
			assert.Equal(t, stdout.String(), "")
			assert.Equal(t, stderr.String(), former+": this program is called "+present+" now; its command line is the same\n")
			_, err = os.Stat(filepath.Join(repository, "cmd", present, "main.go"))
			assert.NilError(t, err)
		})
	}
}
