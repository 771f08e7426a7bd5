package node

import (
	"os/exec"
	"strings"
	"testing"
)

// TestLayout holds the imports of the packages against docs/ARCHITECTURE.md: what decides does no I/O,
// and fronts, senders and sources do not know each other.
func TestLayout(t *testing.T) {
	const module = "cranegrade"
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}} {{join .Imports ","}} {{join .Deps ","}}`, module+"/...").Output()
	if err != nil {
		t.Fatal(err)
	}
	const front, sender, source = module + "/internal/front/", module + "/internal/sender/", module + "/internal/source/"
	forbidden := map[string][]string{
		module + "/balancer":                  {"net", "os", "log", module + "/internal/"},
		module + "/internal/engine":           {"net/http", "net", module + "/internal/"},
		module + "/internal/route":            {"net", "os", "log", module + "/internal/"},
		module + "/internal/pool":             {"net/http", front, sender, source, module + "/internal/node"},
		module + "/internal/message":          {"net/http", module + "/internal/"},
		module + "/internal/operator":         {front, sender, source, module + "/internal/node"},
		module + "/internal/audit":            {module + "/internal/engine", module + "/internal/node", module + "/internal/front/"},
		module + "/internal/fake":             {module + "/internal/engine", module + "/internal/node", module + "/internal/front/"},
		module + "/internal/node":             {module + "/internal/fake", module + "/internal/audit"},
		module + "/cmd/cranegrade":            {module + "/internal/fake", module + "/internal/audit"},
		module + "/internal/xds/ads":          {"net", "os", "log", "google.golang.org/grpc", module + "/"},
		module + "/internal/xds/resource":     {"net", "os", "log", "google.golang.org/grpc", module + "/internal/xds/client"},
		module + "/cmd/cranegrade-platform":   {"google.golang.org/grpc", module + "/internal/xds/", "github.com/hashicorp/memberlist"},
		module + "/internal/fleet/membership": {"net", "os", "log", "sync", module + "/"},
		module + "/internal/fleet":            {front, sender, source, module + "/internal/node", module + "/internal/operator", module + "/internal/pool"},
		front:                                 {sender, source, module + "/internal/node", module + "/internal/operator"},
		sender:                                {front, source, module + "/internal/node", module + "/internal/operator"},
		source:                                {front, sender, module + "/internal/node", module + "/internal/operator"},
	}
	seen := 0
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		path, rest, _ := strings.Cut(line, " ")
		imports, deps, _ := strings.Cut(rest, " ")
		for of, not := range forbidden {
			if path != of && !(strings.HasSuffix(of, "/") && strings.HasPrefix(path, of)) {
				continue
			}
			seen++
			for _, n := range not {
				// The library's own packages are reached through harmless ones: only direct imports count.
				list := imports
				if n == "net/http" || (n == "google.golang.org/grpc" || n == "github.com/hashicorp/memberlist") && path == module+"/cmd/cranegrade-platform" || strings.HasPrefix(n, module) {
					list = deps
				}
				for _, dep := range strings.Split(list, ",") {
					if dep == n || strings.HasSuffix(n, "/") && strings.HasPrefix(dep, n) {
						t.Errorf("%s imports %s", path, dep)
					}
				}
			}
		}
	}
	if seen < len(forbidden) {
		t.Errorf("%d packages found of %d", seen, len(forbidden))
	}
}
