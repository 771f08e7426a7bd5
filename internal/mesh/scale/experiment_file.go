package scale

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxFileBytes is the longest experiment file that is read.
const maxFileBytes = 1 << 20

// FieldError is an error in an experiment file.
type FieldError struct {
	File  string
	Line  int    // from 1; 0 for the file as a whole
	Field string // empty if it is none in particular
	Text  string
}

// Error returns the error as FILE:LINE: FIELD: TEXT.
func (e FieldError) Error() string {
	at := e.File
	if e.Line > 0 {
		at += fmt.Sprintf(":%d", e.Line)
	}
	if e.Field != "" {
		at += ": " + e.Field
	}
	return at + ": " + e.Text
}

// FieldErrors is all errors of a file, by line.
type FieldErrors []FieldError

// Error returns the errors, one a line.
func (l FieldErrors) Error() string {
	texts := make([]string, len(l))
	for i, e := range l {
		texts[i] = e.Error()
	}
	return strings.Join(texts, "\n")
}

// LoadExperiment reads an experiment file. The error is FieldErrors, or that of reading the file.
func LoadExperiment(path string) (Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Experiment{}, err
	}
	return ParseExperiment(path, text)
}

// ParseExperiment reads an experiment. The error is FieldErrors, with every error that could be found.
func ParseExperiment(file string, text []byte) (Experiment, error) {
	if len(text) > maxFileBytes {
		return Experiment{}, FieldErrors{{File: file, Text: fmt.Sprintf("the file is longer than %d bytes", maxFileBytes)}}
	}
	lines := fieldLines(text)
	experiment, found := decodeExperiment(file, text)
	for _, problem := range experiment.problems() {
		// A field that could not be decoded has its default, so that a second error on it would mislead.
		if !slices.ContainsFunc(found, func(e FieldError) bool { return e.Field == problem.field || e.Field == "" }) {
			found = append(found, FieldError{file, lines[problem.field], problem.field, problem.text})
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].Line < found[j].Line })
	if len(found) > 0 {
		return Experiment{}, found
	}
	return experiment, nil
}

// decodeExperiment reads all fields that can be read. It returns an error for each syntax error, unknown field and value of a wrong type.
// Each field is decoded by itself, because the library's decoder stops at the first value of a wrong type.
func decodeExperiment(file string, text []byte) (experiment Experiment, found FieldErrors) {
	experiment = DefaultExperiment()
	values := map[string]any{}
	if err := toml.Unmarshal(text, &values); err != nil {
		return experiment, FieldErrors{newFieldError(file, err)}
	}
	lines, known := fieldLines(text), fieldNames()
	for field, value := range values {
		if !slices.Contains(known, field) {
			found = append(found, FieldError{file, lines[field], field, "is not known"})
			continue
		}
		next := experiment
		document, err := toml.Marshal(map[string]any{field: value})
		if err == nil {
			err = toml.Unmarshal(document, &next)
		}
		if err != nil {
			found = append(found, FieldError{file, lines[field], field, newFieldError(file, err).Text})
			continue
		}
		experiment = next
	}
	return experiment, found
}

// newFieldError returns an error of the TOML library with the line and field that it names.
func newFieldError(file string, err error) FieldError {
	e := FieldError{File: file, Text: strings.TrimPrefix(err.Error(), "toml: ")}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		e.Line, _ = decodeError.Position()
		e.Field = strings.Join(decodeError.Key(), ".")
	}
	return e
}

// fieldNames returns the keys that an experiment file may hold.
func fieldNames() (names []string) {
	t := reflect.TypeFor[Experiment]()
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("toml"))
	}
	return names
}

// fieldLines returns the line of each field at the top level of a document.
func fieldLines(text []byte) map[string]int {
	lines := map[string]int{}
	parser := unstable.Parser{}
	parser.Reset(text)
	for parser.NextExpression() {
		expression := parser.Expression()
		if expression.Kind != unstable.KeyValue && expression.Kind != unstable.Table && expression.Kind != unstable.ArrayTable {
			continue
		}
		key := expression.Key()
		if !key.Next() {
			continue
		}
		node := key.Node()
		name := string(node.Data)
		if _, found := lines[name]; !found {
			lines[name] = 1 + bytes.Count(text[:node.Raw.Offset], []byte("\n"))
		}
	}
	return lines
}
