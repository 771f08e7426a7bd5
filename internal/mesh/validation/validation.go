// Package validation checks decoded input by its struct tags, and reports fields by their JSON names, as the input's author
// wrote them.
//
// It is pure, and any goroutine may call it. Rules that a tag can't express are checked by the packages of the types, which
// return the same Fault.
package validation

import (
	"bytes"
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/juju/errors"
)

// validate reads the tags of each type once, and is safe for concurrent use.
var validate = newValidate()

// newValidate returns a validator that names fields by their JSON names.
func newValidate() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	return v
}

// Fault is the first field that breaks a rule. Field is its path of JSON names, for example List[1].Name, or empty if the fault is in
// no single field. Text continues a sentence that begins with the field: "is 0; wanted: gt 0".
type Fault struct {
	Field string
	Text  string
}

// Check checks a struct by its validate tags. It returns nil if the struct is valid.
func Check(decoded any) *Fault {
	err := validate.Struct(decoded)
	if err == nil {
		return nil
	}
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return &Fault{Text: err.Error()}
	}
	first := invalid[0]
	_, field, _ := strings.Cut(first.Namespace(), ".")
	wanted := strings.TrimSpace(first.Tag() + " " + first.Param())
	return &Fault{Field: field, Text: fmt.Sprintf("is %v; wanted: %s", first.Value(), wanted)}
}

// LineOf returns the line of a JSON or YAML text, from 1, that names the field of a path: its parts are looked for one behind the other. A
// part that is not there counts as where the one before it is. If not even the first is there, it returns 0.
func LineOf(text []byte, path string) int {
	offset, found := 0, false
	for part := range strings.SplitSeq(path, ".") {
		name, _, _ := strings.Cut(part, "[")
		if name == "" {
			continue
		}
		match := keyPattern(name).FindIndex(text[offset:])
		if match == nil {
			break
		}
		key := offset + match[0]
		offset = key + bytes.Index(text[key:], []byte(name))
		found = true
	}
	if !found {
		return 0
	}
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

// keyPattern matches a key of JSON, or of YAML at the beginning of a line or list entry.
func keyPattern(name string) *regexp.Regexp {
	quoted := regexp.QuoteMeta(name)
	return regexp.MustCompile(`(?m)"` + quoted + `"\s*:|^\s*(?:- )?` + quoted + `\s*:`)
}
