package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/validation"
)

// Types of the errors of this package, for errors.Is.
const (
	// ErrInvalid is the type of errors that lie in the request itself. They are FieldErrors.
	ErrInvalid = errors.ConstError("invalid")
	// ErrConflict says that a version was accepted with another content, or that two policies contradict each other.
	ErrConflict = errors.ConstError("conflict")
	// ErrForbidden says that an item is another owner's to change, or that another owner has to consent.
	ErrForbidden = errors.ConstError("forbidden")
	// ErrUndetermined says that it can't be known any more whether the request was accepted before. The request is neither
	// acknowledged nor refused.
	ErrUndetermined = errors.ConstError("left open")
)

// requestLabel names the request as a whole in messages.
const requestLabel = "the call"

// FieldError says what is wrong with an operator's request: the item, the field and what was wanted. Its type is ErrInvalid.
type FieldError struct {
	Line   int    // of the request's text, from 1; 0 if not known
	Item   string // kind and name, such as "route checkout"
	Field  string // path of the field in the item; empty if the error is about the item as a whole
	Reason string

	source []byte // part of the request's text that the item was read from
}

// Error returns one line: line, item, field and reason.
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

// Is reports that a FieldError is of type ErrInvalid.
func (e *FieldError) Is(target error) bool { return target == ErrInvalid }

func newFieldError(item, field, format string, args ...any) *FieldError {
	return &FieldError{Item: item, Field: field, Reason: fmt.Sprintf(format, args...)}
}

// withSource notes which part of the request the error is about, for locate.
func (e *FieldError) withSource(source []byte) *FieldError {
	e.source = source
	return e
}

// locate sets the line of the field or, where the text does not have the field, of the item.
func (e *FieldError) locate(text []byte) {
	offset := bytes.Index(text, e.source)
	if len(e.source) == 0 || offset < 0 {
		return
	}
	e.Line = max(1, validation.LineOf(e.source, e.Field)) + bytes.Count(text[:offset], []byte("\n"))
}

// checkTags validates an item by its struct tags. It returns nil if the item is valid.
func checkTags(item string, content any) *FieldError {
	return fieldErrorOf(item, validation.Check(content))
}

// fieldErrorOf returns the error of an item in which a fault was found. It is nil for a nil fault.
func fieldErrorOf(item string, fault *validation.Fault) *FieldError {
	if fault == nil {
		return nil
	}
	return newFieldError(item, fault.Field, "%s", fault.Text)
}

// decodeError turns an error of encoding/json into a FieldError. The line is known if the text is given.
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
