// Package jack checks what comes in by its struct tags, and names fields as whoever wrote them does. It is pure.
package validation

import (
	"bytes"
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

var validate = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}()

// Fault is the first field that is not as its tags want it.
type Fault struct{ Field, Text string }

// Check checks a struct by its tags; nil: it is fine.
func Check(v any) *Fault {
	err := validate.Struct(v)
	if err == nil {
		return nil
	}
	invalid, is := err.(validator.ValidationErrors)
	if !is {
		return &Fault{"", err.Error()}
	}
	_, field, _ := strings.Cut(invalid[0].Namespace(), ".")
	return &Fault{field, fmt.Sprintf("is %v; wanted: %s", invalid[0].Value(), strings.TrimSpace(invalid[0].Tag()+" "+invalid[0].Param()))}
}

// LineOf is where in a text, from 1, the field of that path is named: the parts of the path one after another, as JSON or YAML
// name them; 0: the first is not there. A part that is missing counts as where the one before it stands.
func LineOf(text []byte, path string) int {
	at, found := 0, false
	for _, part := range strings.Split(path, ".") {
		name, _, _ := strings.Cut(part, "[")
		if name == "" {
			continue
		}
		match := regexp.MustCompile(`(?m)"` + regexp.QuoteMeta(name) + `"\s*:|^\s*(?:- )?` + regexp.QuoteMeta(name) + `\s*:`).FindIndex(text[at:])
		if match == nil {
			break
		}
		nameOffset := bytes.Index(text[at+match[0]:], []byte(name))
		at, found = at+match[0]+nameOffset, true
	}
	if !found {
		return 0
	}
	return 1 + bytes.Count(text[:at], []byte("\n"))
}
