package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/validation"
)

// Types of the errors of this package, for use with errors.Is.
const (
	// ErrInvalid means that the request itself is invalid. Errors of this type are FieldErrors.
	ErrInvalid = errors.ConstError("invalid")
	// ErrConflict means that a version was already accepted with another content, or that two policies contradict each other.
	ErrConflict = errors.ConstError("conflict")
	// ErrForbidden means that only another owner may change an item, or that another owner must consent to the change.
	ErrForbidden = errors.ConstError("forbidden")
	// ErrUndetermined means that the stored history does not reach back far enough to tell whether the request was accepted
	// before. The request is neither acknowledged nor refused.
	ErrUndetermined = errors.ConstError("undetermined")
)

// requestLabel is the label of the request as a whole in messages.
const requestLabel = "the call"

// FieldError describes what is wrong with an operator's request: the item, the field and the reason. Its type is ErrInvalid.
type FieldError struct {
	Line   int    // line of the request's text, from 1; 0 if not known
	Item   string // kind and name, such as "route checkout"
	Field  string // path of the field in the item; empty if the error concerns the item as a whole
	Reason string

	source []byte // part of the request's text that the item was decoded from
}

// Error returns a single line with the line number, the item, the field and the reason.
func (e *FieldError) Error() string {
	var text strings.Builder
	if e.Line > 0 {
		fmt.Fprintf(&text, "line %d: ", e.Line)
	}
	text.WriteString(e.Item + ": ")
	if e.Field != "" {
		text.WriteString(e.Field)
		if !strings.HasPrefix(e.Reason, "is ") {
			text.WriteByte(':')
		}
		text.WriteByte(' ')
	}
	text.WriteString(e.Reason)
	return text.String()
}

// Is makes errors.Is report that a FieldError is of type ErrInvalid.
func (e *FieldError) Is(target error) bool { return target == ErrInvalid }

func newFieldError(item, field, format string, args ...any) *FieldError {
	return &FieldError{Item: item, Field: field, Reason: fmt.Sprintf(format, args...)}
}

// withSource records the part of the request's text in which setLine looks for the field.
func (e *FieldError) withSource(source []byte) *FieldError {
	e.source = source
	return e
}

// setLine sets Line to the line of the field or, if the text does not contain the field, to that of the item.
func (e *FieldError) setLine(text []byte) {
	offset := bytes.Index(text, e.source)
	if len(e.source) == 0 || offset < 0 {
		return
	}
	e.Line = max(1, validation.LineOf(e.source, e.Field)) + bytes.Count(text[:offset], []byte("\n"))
}

// checkTags validates the content of an item by its validate struct tags. It returns nil if the content is valid.
func checkTags(item string, content any) *FieldError {
	return fieldErrorOf(item, validation.Check(content))
}

// fieldErrorOf converts a validation fault of an item into a FieldError. It returns nil for a nil fault.
func fieldErrorOf(item string, fault *validation.Fault) *FieldError {
	if fault == nil {
		return nil
	}
	return newFieldError(item, fault.Field, "%s", fault.Text)
}

// decodeError converts an error of encoding/json into a FieldError. For a syntax error it sets the line if text is not nil.
func decodeError(item string, text []byte, err error) *FieldError {
	fieldError := newFieldError(item, "", "can't be read: %v", err)
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		fieldError.Field = typeError.Field
		fieldError.Reason = fmt.Sprintf("is a %s; wanted: %s", typeError.Value, typeError.Type)
	}
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) && syntaxError.Offset > 0 && syntaxError.Offset <= int64(len(text)) {
		fieldError.Line = 1 + bytes.Count(text[:syntaxError.Offset], []byte("\n"))
	}
	return fieldError
}
