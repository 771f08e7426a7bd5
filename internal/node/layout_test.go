package node

import (
	"os/exec"
	"strings"
	"testing"
)

// TestLayout checks the imports of packages against the layers of docs/ARCHITECTURE.md: packages that decide do no I/O, and
// fronts, senders and sources do not import each other. A key or an import that ends with a slash stands for a folder.
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
	checked := 0
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		path, rest, _ := strings.Cut(line, " ")
		imports, deps, _ := strings.Cut(rest, " ")
		for pkg, forbiddenImports := range forbidden {
			if !isOrIsIn(path, pkg) {
				continue
			}
			checked++
			for _, f := range forbiddenImports {
				// Packages of the standard library are reached through harmless ones, so of these only direct imports count.
				list := imports
				if f == "net/http" || (f == "google.golang.org/grpc" || f == "github.com/hashicorp/memberlist") && path == module+"/cmd/cranegrade-platform" || strings.HasPrefix(f, module) {
					list = deps
				}
				for _, dep := range strings.Split(list, ",") {
					if isOrIsIn(dep, f) {
						t.Errorf("%s imports %s", path, dep)
					}
				}
			}
		}
	}
	if checked < len(forbidden) {
		t.Errorf("%d packages found of %d", checked, len(forbidden))
	}
}

// isOrIsIn reports whether a package is the one named, or is in the folder if the name ends with a slash.
func isOrIsIn(path, name string) bool {
	return path == name || strings.HasSuffix(name, "/") && strings.HasPrefix(path, name)
}
