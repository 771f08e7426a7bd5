// Package validation validates decoded input by its struct tags. It reports an invalid field by its JSON name, which is the name in the
// input.
//
// Its functions have no side effects and are safe for concurrent use. Rules that a struct tag can't express are checked by the packages
// that define the types, which also report a Fault.
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

// validate caches the tags of each type, and is safe for concurrent use.
var validate = newValidate()

// newValidate returns a validator that reports fields by their JSON names.
func newValidate() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	return v
}

// Fault describes the first violation of a rule. Field is the path of JSON names of the invalid field, for example List[1].Name, or empty
// if the fault is not in a single field. Text is a predicate to Field: "is 0; wanted: gt 0".
type Fault struct {
	Field string
	Text  string
}

// Check validates a struct by its validate tags. It returns nil if the struct is valid.
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

// LineOf returns the number, from 1, of the line in a JSON or YAML text that has the key of the field at path. It searches for the first
// occurrence of each name of the path after the key of the name before, and ignores list indexes. If a name is missing, the result is the
// line of the name before it, or 0 if that is the first name.
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

// keyPattern returns a pattern that matches name as a key in JSON, or in YAML at the beginning of a line or list entry.
func keyPattern(name string) *regexp.Regexp {
	quoted := regexp.QuoteMeta(name)
	return regexp.MustCompile(`(?m)"` + quoted + `"\s*:|^\s*(?:- )?` + quoted + `\s*:`)
}
