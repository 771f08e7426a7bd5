package docs

import (
	"fmt"
	"go/scanner"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// presentPages are the pages that speak of the code as it is. Findings, figures and the changelog speak of the code of their day, and the
// glossary names what is no more.
const (
	presentPages    = "../README.md *.md design/*.md"
	pagesOfTheirDay = "FIGURES.md GLOSSARY.md"
	minNamesOnPages = 400 // fewer mean that the patterns below no longer match
)

// foreignNames look like Go names and belong to others.
var foreignNames = map[string]string{
	"CatchUpS":         "a setting of the platform's bench, in design/control.md",
	"grpc.InTapHandle": "a function of google.golang.org/grpc, in design/extproc.md",
	"--days":           "a flag of the platform's bench, in QUESTIONS.md",
	"limits.KEY":       "a placeholder, in pools.md",
}

// nameSet is a set of names.
type nameSet map[string]bool

// sourceTree is what the Go files name: identifiers, and the words in string literals, such as JSON keys and flags. Comments do not count,
// since they may be out of date themselves.
type sourceTree struct {
	files   []string           // paths from the root
	byFile  map[string]nameSet // identifiers, by path
	names   nameSet            // identifiers and words
	flags   nameSet
	folders map[string]nameSet // identifiers, by the name of a package's folder
}

// What string literals name.
var (
	word     = regexp.MustCompile(`[A-Za-z_][A-Za-z0-9_]*`)
	flagName = regexp.MustCompile("^[\"`]([a-z][a-z0-9-]*)[\"`]$|(?:long|short):\"([a-z][a-z0-9-]*)\"")
)

func readSourceTree(t *testing.T) sourceTree {
	t.Helper()
	tree := sourceTree{byFile: map[string]nameSet{}, names: nameSet{}, flags: nameSet{"h": true, "help": true}, folders: map[string]nameSet{}}
	for _, folder := range []string{"balancer", "cmd", "internal", "docs"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			return tree.add(path)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return tree
}

func (s *sourceTree) add(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	name, err := filepath.Rel(root, path)
	if err != nil {
		return err
	}
	name = filepath.ToSlash(name)
	s.files = append(s.files, name)
	folder := filepath.Base(filepath.Dir(path))
	if s.folders[folder] == nil {
		s.folders[folder] = nameSet{}
	}
	s.byFile[name] = nameSet{}
	var tokens scanner.Scanner
	positions := token.NewFileSet()
	tokens.Init(positions.AddFile(name, positions.Base(), len(text)), text, nil, 0)
	for {
		_, kind, literal := tokens.Scan()
		switch {
		case kind == token.EOF:
			return nil
		case folder == "docs": // these tests quote what is not there
		case kind == token.IDENT:
			s.names[literal], s.byFile[name][literal], s.folders[folder][literal] = true, true, true
		case kind == token.STRING:
			s.addLiteral(literal)
		}
	}
}

// addLiteral adds the words of a string literal and, if it can name flags, these.
func (s *sourceTree) addLiteral(literal string) {
	for _, name := range word.FindAllString(literal, -1) {
		s.names[name] = true
	}
	for _, match := range flagName.FindAllStringSubmatch(literal, -1) {
		s.flags[match[1]+match[2]] = true
	}
}

// find returns the files that a page's path may mean: one from the root, from internal or internal/mesh, or of that name anywhere.
func (s *sourceTree) find(path string) (found []string) {
	for _, file := range s.files {
		if slices.ContainsFunc(folders, func(folder string) bool { return file == strings.TrimPrefix(folder+"/"+path, "/") }) {
			return []string{file}
		}
		if !strings.Contains(path, "/") && strings.HasSuffix(file, "/"+path) {
			found = append(found, file)
		}
	}
	return found
}

// A name on a page.
var (
	goFile = regexp.MustCompile(`(?:[a-z0-9_]+/)*[a-z0-9_]+\.go\b`)
	// namesInFile matches a file with names in parentheses that must be in it: `storage/write.go` (`Save`, `Compact`).
	namesInFile = regexp.MustCompile("`((?:[a-z0-9_]+/)*[a-z0-9_]+\\.go)` \\((`[^)]*)\\)")
	codeSpan    = regexp.MustCompile("`([^`]+)`")
	// goName matches a name that can only be Go's: with a capital inside, a package before it, or parentheses behind it.
	goName = regexp.MustCompile(`^(?:[a-z][a-z0-9]*\.)?(?:[A-Za-z][A-Za-z0-9]*\.)*[A-Za-z][A-Za-z0-9]*(?:\(\))?$`)
	isGo   = regexp.MustCompile(`[a-z0-9][A-Z]|^[a-z][a-z0-9]*\.[A-Z]|\(\)$`)
	flag   = regexp.MustCompile(`(?:^| |\[)--?([a-z][a-z0-9-]*)`)
	// ownCommand matches a command of the project, or a flag by itself.
	ownCommand = regexp.MustCompile(`^(?:-|(?:\S*/)?(?:sidecar|controlplane|meshctl|meshscale|cranegrade(?:-platform)?|cranesim|simadapter|drill)\b)`)
)

// wrongNames returns what a line of a page names and the tree does not have, and how many names it has.
func (s *sourceTree) wrongNames(line string) (wrong []string, count int) {
	report := func(isThere bool, format string, args ...any) {
		count++
		if !isThere {
			wrong = append(wrong, fmt.Sprintf(format, args...))
		}
	}
	for _, path := range goFile.FindAllString(line, -1) {
		report(len(s.find(path)) > 0, "file %s", path)
	}
	for _, match := range namesInFile.FindAllStringSubmatch(line, -1) {
		for _, name := range codeSpan.FindAllStringSubmatch(match[2], -1) {
			isThere := slices.ContainsFunc(s.find(match[1]), func(file string) bool { return s.byFile[file][name[1]] })
			report(isThere, "%s in file %s", name[1], match[1])
		}
	}
	for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
		if ownCommand.MatchString(span[1]) {
			for _, match := range flag.FindAllStringSubmatch(span[1], -1) {
				report(s.flags[match[1]] || foreignNames["--"+match[1]] != "", "flag %s", match[1])
			}
		}
		if goName.MatchString(span[1]) && isGo.MatchString(span[1]) && foreignNames[span[1]] == "" {
			report(s.hasName(span[1]), "name %s", span[1])
		}
	}
	return wrong, count
}

// hasName reports whether each part of a name is there: behind a package, within that package.
func (s *sourceTree) hasName(name string) bool {
	parts := strings.Split(strings.TrimSuffix(name, "()"), ".")
	among := s.names
	if inPackage := s.folders[parts[0]]; inPackage != nil && len(parts) > 1 {
		among, parts = inPackage, parts[1:]
	}
	return !slices.ContainsFunc(parts, func(part string) bool { return !among[part] })
}

// Files, Go names and flags that the pages name are there.
func TestPagesNameWhatExists(t *testing.T) {
	tree := readSourceTree(t)
	total := 0
	for pattern := range strings.FieldsSeq(presentPages) {
		pages, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, page := range pages {
			if slices.Contains(strings.Fields(pagesOfTheirDay), page) {
				continue
			}
			text, err := os.ReadFile(page)
			if err != nil {
				t.Fatal(err)
			}
			for n, line := range strings.Split(string(text), "\n") {
				wrong, count := tree.wrongNames(line)
				total += count
				for _, name := range wrong {
					t.Errorf("%s:%d: there is no %s", page, n+1, name)
				}
			}
		}
	}
	if total < minNamesOnPages {
		t.Errorf("only %d names are found on the pages", total)
	}
}

// Wrong names of each kind are found.
func TestWrongNamesAreFound(t *testing.T) {
	tree := readSourceTree(t)
	for line, want := range map[string]string{
		"`storage/write.go` writes":              "",
		"`storage/wrote.go` writes":              "file storage/wrote.go",
		"the file wrote.go":                      "file wrote.go",
		"`storage/write.go` (`Save`, `Compact`)": "",
		"`storage/write.go` (`Save`, `Discard`)": "Discard in file storage/write.go",
		"by `advanceCommit`":                     "",
		"by `advanceComit`":                      "name advanceComit",
		"by `balancer.Ending`":                   "",
		"by `balancer.Endings`":                  "name balancer.Endings",
		"by `balanced.Ending`":                   "name balanced.Ending",
		"by `Member.Run()`":                      "",
		"by `Member.RunsOn()`":                   "name Member.RunsOn()",
		"`meshctl apply --dry-run`":              "",
		"`meshctl apply --dry-ran`":              "flag dry-ran",
		"`ss -ltnp`":                             "",
		"`cranegrade -config FILE`":              "",
		"`cranegrade -configure FILE`":           "flag configure",
	} {
		wrong, _ := tree.wrongNames(line)
		if got := strings.Join(wrong, "; "); got != want {
			t.Errorf("%s: %q, want %q", line, got, want)
		}
	}
}
