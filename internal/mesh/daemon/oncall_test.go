package daemon

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	repository = "../../.."
	oncallPage = repository + "/docs/ONCALL.md"
)

// loggedLevels maps the methods of zerolog.Logger that start a log line which the page has to explain to the names of their levels.
var loggedLevels = map[string]string{"Warn": "warn", "Error": "error", "Fatal": "fatal", "Panic": "panic"}

// The page must have a heading "### `message` (level)" for each log line of level warn or above, and no other headings of this form.
func TestOncallPageExplainsEachLogLine(t *testing.T) {
	var logged []string
	for _, file := range sourceFiles(t, "internal/mesh", "cmd/sidecar", "cmd/controlplane") {
		logged = append(logged, logLines(t, file)...)
	}
	assert.Assert(t, len(logged) > 0)
	assert.DeepEqual(t, sortedSet(headings(t)), sortedSet(logged))
}

// The page's table of exit codes must have a row "| `program` | code |" for each exit code of each program.
func TestOncallPageExplainsEachExitCode(t *testing.T) {
	page := readPage(t)
	codes := map[string][]string{
		"sidecar":      exitCodes(t, "internal/mesh/daemon"),
		"controlplane": exitCodes(t, "internal/mesh/daemon"),
		"meshctl":      append(exitCodes(t, "cmd/meshctl", "internal/mesh/cli"), "0"),
	}
	for program, codes := range codes {
		assert.Assert(t, len(codes) > 2, program)
		for _, code := range codes {
			row := fmt.Sprintf("\n| `%s` | %s |", program, code)
			assert.Assert(t, strings.Contains(page, row), "no row %q", row)
		}
	}
}

// The page's table of alarms must have a row for each warning of meshctl status.
func TestOncallPageExplainsEachAlarm(t *testing.T) {
	page := readPage(t)
	alarms := warningTexts(t)
	assert.Assert(t, len(alarms) > 10)
	for _, alarm := range alarms {
		assert.Assert(t, strings.Contains(page, "\n| `"+alarm+"` |"), "no alarm %q", alarm)
	}
}

// warningTexts returns the phrases in those functions of topology/warnings.go whose names contain "warning".
func warningTexts(t *testing.T) (texts []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(repository, "internal/mesh/topology/warnings.go"), nil,
		parser.SkipObjectResolution)
	assert.NilError(t, err)
	for _, declaration := range file.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok && strings.Contains(strings.ToLower(function.Name.Name), "warning") {
			texts = append(texts, phrases(t, function)...)
		}
	}
	return texts
}

// phrases returns the string literals of a function that contain a space, and "lags", without a trailing colon. Other literals, such as
// identifiers, are not warnings.
func phrases(t *testing.T, function *ast.FuncDecl) (phrases []string) {
	t.Helper()
	ast.Inspect(function, func(node ast.Node) bool {
		literal, ok := node.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return true
		}
		text, err := strconv.Unquote(literal.Value)
		assert.NilError(t, err)
		text = strings.TrimSuffix(strings.TrimSpace(text), ":")
		if text == "lags" || strings.Contains(text, " ") {
			phrases = append(phrases, text)
		}
		return true
	})
	return phrases
}

func readPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile(oncallPage)
	assert.NilError(t, err)
	return string(page)
}

// headings returns the log lines that have a heading on the page, as "message (level)".
func headings(t *testing.T) (lines []string) {
	t.Helper()
	for _, match := range regexp.MustCompile("(?m)^### `([^`]+)` (\\([a-z]+\\))$").FindAllStringSubmatch(readPage(t), -1) {
		lines = append(lines, match[1]+" "+match[2])
	}
	return lines
}

func sortedSet(lines []string) []string {
	lines = slices.Clone(lines)
	slices.Sort(lines)
	return slices.Compact(lines)
}

// sourceFiles parses the Go files, except for tests, in directories and their subdirectories.
func sourceFiles(t *testing.T, directories ...string) (files []*ast.File) {
	t.Helper()
	for _, directory := range directories {
		err := filepath.WalkDir(filepath.Join(repository, directory), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			files = append(files, file)
			return err
		})
		assert.NilError(t, err)
	}
	return files
}

// logLines returns the log lines of a file, as "message (level)". It requires each message to be a literal, so that it is searchable.
func logLines(t *testing.T, file *ast.File) (lines []string) {
	t.Helper()
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return true
		}
		selector, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !slices.Contains([]string{"Msg", "Msgf", "Send", "MsgFunc"}, selector.Sel.Name) {
			return true
		}
		level := chainLevel(selector.X)
		if level == "" {
			return true
		}
		literal, ok := call.Args[0].(*ast.BasicLit)
		assert.Assert(t, ok && selector.Sel.Name == "Msg", "a log line of level %s in package %s has no constant message", level, file.Name.Name)
		message, err := strconv.Unquote(literal.Value)
		assert.NilError(t, err)
		lines = append(lines, fmt.Sprintf("%s (%s)", message, level))
		return true
	})
	return lines
}

// chainLevel returns the level with which a chain of zerolog calls starts, such as error for log.Error().Err(err). It returns "" for levels
// below warn and for other expressions.
func chainLevel(expression ast.Expr) string {
	for {
		call, ok := expression.(*ast.CallExpr)
		if !ok {
			return ""
		}
		selector, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return ""
		}
		if level := loggedLevels[selector.Sel.Name]; level != "" && len(call.Args) == 0 {
			return level
		}
		expression = selector.X
	}
}

// exitCodes returns the values of constants whose names start with exit or Exit. Directories that do not exist are skipped.
func exitCodes(t *testing.T, directories ...string) (codes []string) {
	t.Helper()
	existing := slices.DeleteFunc(directories, func(directory string) bool {
		_, err := os.Stat(filepath.Join(repository, directory))
		return errors.Is(err, fs.ErrNotExist)
	})
	for _, file := range sourceFiles(t, existing...) {
		ast.Inspect(file, func(node ast.Node) bool {
			spec, ok := node.(*ast.ValueSpec)
			if !ok || !strings.HasPrefix(strings.ToLower(spec.Names[0].Name), "exit") || len(spec.Values) == 0 {
				return true
			}
			if literal, ok := spec.Values[0].(*ast.BasicLit); ok {
				codes = append(codes, literal.Value)
			}
			return true
		})
	}
	return codes
}
