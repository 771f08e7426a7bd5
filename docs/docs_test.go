// Package docs has no code: its tests hold the pages against the tree.
package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const root = ".."

// folders that a page may leave out in front of a file's name.
var folders = []string{"", "internal", "internal/mesh"}

func exists(path string) bool {
	for _, folder := range folders {
		if _, err := os.Stat(filepath.Join(root, folder, path)); err == nil {
			return true
		}
	}
	return false
}

// Each Go file that the architecture page names is there: a reader who follows it does not search.
func TestArchitecturePageNamesFilesThatExist(t *testing.T) {
	text, err := os.ReadFile("ARCHITECTURE.md")
	if err != nil {
		t.Fatal(err)
	}
	names := regexp.MustCompile(`[a-z0-9_]+(?:/[a-z0-9_]+)+\.go`).FindAllString(string(text), -1)
	if len(names) < 40 {
		t.Fatalf("only %d files are named", len(names))
	}
	for _, name := range names {
		if !exists(name) {
			t.Errorf("%s is named and not there", name)
		}
	}
}

// Links between the pages lead somewhere.
func TestLinksLeadToFiles(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)#]+)(?:#[^)]*)?\)`)
	pages, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, pattern := range []string{"design/*.md", "findings/*.md", "incidents/*.md", "../README.md"} {
		more, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, more...)
	}
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range link.FindAllStringSubmatch(string(text), -1) {
			target := match[1]
			if strings.Contains(target, "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), target)); err != nil {
				t.Errorf("%s links to %s, which is not there", page, target)
			}
		}
	}
}
