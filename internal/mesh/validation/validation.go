// Package validation checks decoded input by its struct tags, and names fields as their authors wrote them: by their JSON names. It is
// pure. What a tag can't say is checked by the types' own packages, with the same Fault.
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

var validate = newValidate()

func newValidate() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	return v
}

// Fault is the first field that is not as its tags want it. Field is the path of JSON names, as List[1].Name; "": the fault is in none.
type Fault struct{ Field, Text string }

// Check checks a struct by its tags; nil: it is valid.
func Check(v any) *Fault {
	err := validate.Struct(v)
	if err == nil {
		return nil
	}
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return &Fault{"", err.Error()}
	}
	first := invalid[0]
	_, field, _ := strings.Cut(first.Namespace(), ".")
	wanted := strings.TrimSpace(first.Tag() + " " + first.Param())
	return &Fault{field, fmt.Sprintf("is %v; wanted: %s", first.Value(), wanted)}
}

// LineOf returns the line of a JSON or YAML text, from 1, that names the field of a path: its parts are looked for one behind the other. A
// part that is not there counts as where the one before it stands; 0: the first is not there.
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
		offset, found = key+bytes.Index(text[key:], []byte(name)), true
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
