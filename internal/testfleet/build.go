package testfleet

import (
	"embed"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Mutation names an error that is put into the program on purpose, so that a test or a drill can show that it is found (mutation testing).
type Mutation string

// The mutations that a program can be built with.
const (
	MutationSeen     Mutation = "seen"     // shares are divided by the members that are reachable now, without waiting for leases
	MutationStalled  Mutation = "stalled"  // a share is used although its grants have expired
	MutationLiar     Mutation = "liar"     // the member reports three healthy servers as failing, all the time
	MutationGullible Mutation = "gullible" // digests of other members are believed without bounds
)

// mutationSources are Go files of package fleet that set its mutation hooks, each named after its mutation. They end in .txt so that
// no ordinary build compiles them.
//
//go:embed mutations/*.go.txt
var mutationSources embed.FS

// programPackage is the program that fleets and drills start.
const programPackage = "cranegrade/cmd/cranegrade"

// Build builds the program into a directory and returns its path. It runs the go command in the current directory, which must be one of
// the module's.
func Build(dir string) (string, error) {
	return goBuild(filepath.Join(dir, "cranegrade"))
}

// BuildMutant builds the program with one mutation in it. The mutation's source is added to package fleet by an overlay of the go
// command: the source tree and its ordinary builds stay as they are.
func BuildMutant(dir string, mutation Mutation) (string, error) {
	source, err := mutationSources.ReadFile("mutations/" + string(mutation) + ".go.txt")
	if err != nil {
		return "", fmt.Errorf("building the program with mutation %q: %w", mutation, err)
	}
	overlay, err := writeOverlay(dir, mutation, source)
	if err != nil {
		return "", fmt.Errorf("building the program with mutation %q: %w", mutation, err)
	}
	return goBuild(filepath.Join(dir, "cranegrade-"+string(mutation)), "-overlay", overlay)
}

// writeOverlay writes the mutation's source and the overlay file that adds it to package fleet, and returns the overlay file's path.
func writeOverlay(dir string, mutation Mutation, source []byte) (string, error) {
	out, err := exec.Command("go", "list", "-f", "{{.Dir}}", "cranegrade/internal/fleet").Output()
	if err != nil {
		return "", fmt.Errorf("finding package fleet: %w", err)
	}
	replacement := filepath.Join(dir, string(mutation)+".go")
	if err := os.WriteFile(replacement, source, stateFileMode); err != nil {
		return "", err
	}
	added := filepath.Join(strings.TrimSpace(string(out)), "mutation_"+string(mutation)+".go")
	text, err := json.Marshal(map[string]map[string]string{"Replace": {added: replacement}})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, string(mutation)+".overlay.json")
	return path, os.WriteFile(path, text, stateFileMode)
}

// goBuild builds the program with further flags of the go command.
func goBuild(path string, flags ...string) (string, error) {
	args := append(append([]string{"build"}, flags...), "-o", path, programPackage)
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the program: %w\n%s", err, out)
	}
	return path, nil
}
