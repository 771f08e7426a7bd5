package program

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cranegrade/internal/node"
)

// Each command line has its exit code and its output: check names the mistakes of files, help and version need no file.
func TestCommandLine(t *testing.T) {
	good := "../../deploy/examples/two-services.toml"
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("listen = [\"127.0.0.1:0\"]\ncolour = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	missing := filepath.Join(t.TempDir(), "none.toml")
	for _, c := range []struct {
		args   []string
		code   int
		output string
		errors string
	}{
		{[]string{"check", good}, 0, good + ": good; 2 pools\n", ""},
		{[]string{"check", bad, good}, 1, bad + ":2: colour: unknown key\n", ""},
		{[]string{"check", missing}, 1, "", "none.toml"},
		{[]string{"check"}, 2, "", "usage:"},
		{[]string{"-h"}, 0, "usage:", ""},
		{[]string{"-version"}, 0, "cranegrade ", ""},
		{[]string{"-colour"}, 2, "", "usage:"},
		{[]string{"xds", "dump"}, 2, "", "usage:"},
		{[]string{"xds", "dump", "-config", good}, 1, "", "names no admin address"},
		{[]string{"more"}, 2, "", "usage:"},
		{[]string{"-config", bad}, 1, "", bad + ":2: colour: unknown key"},
	} {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := Run(t.Context(), nil, c.args, &stdout, &stderr, node.Options{})
			if code != c.code || !strings.Contains(stdout.String(), c.output) || !strings.Contains(stderr.String(), c.errors) {
				t.Errorf("exit %d, output %q, errors %q", code, stdout.String(), stderr.String())
			}
		})
	}
}
