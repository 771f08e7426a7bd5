package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/validation"
)

// Errors of this layer: the call's own fault; a version that has another content already, or a rule that another refuses; and
// what is another's to change, or to consent to. ErrOpen: whether the call was taken before can't be told any more, so that it is
// neither acknowledged nor refused.
const (
	ErrInvalid      = errors.ConstError("invalid")
	ErrConflict     = errors.ConstError("conflict")
	ErrForbidden    = errors.ConstError("forbidden")
	ErrUndetermined = errors.ConstError("left open")
)

// FieldError is what is wrong with a call: the item, the field of it, and what was wanted. It is an ErrInvalid.
type FieldError struct {
	Line   int    // of the call's text, from 1; 0: not known
	Item   string // "route NAME"
	Field  string // by its path in the item; "": the item as a whole
	Reason string

	source []byte // of the call, where the item stands
}

// Error is one line.
func (f *FieldError) Error() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	b.WriteString(f.Item + ": ")
	if f.Field != "" {
		b.WriteString(f.Field)
		if !strings.HasPrefix(f.Reason, "is ") {
			b.WriteByte(':')
		}
		b.WriteByte(' ')
	}
	b.WriteString(f.Reason)
	return b.String()
}

// Is has a Fault be an ErrInvalid.
func (f *FieldError) Is(target error) bool { return target == ErrInvalid }

func newFieldError(item, field, format string, args ...any) *FieldError {
	return &FieldError{Item: item, Field: field, Reason: fmt.Sprintf(format, args...)}
}

// withSource says where in the call the item stands.
func (f *FieldError) withSource(raw []byte) *FieldError {
	f.source = raw
	return f
}

// locate finds the line of the field, or of the item if the field is not there.
func (f *FieldError) locate(text []byte) {
	at := bytes.Index(text, f.source)
	if len(f.source) == 0 || at < 0 {
		return
	}
	f.Line = max(1, validation.LineOf(f.source, f.Field)) + bytes.Count(text[:at], []byte("\n"))
}

// checkTags checks an item by its struct tags; the error names the item and the field. nil: it is fine.
func checkTags(item string, v any) *FieldError {
	if f := validation.Check(v); f != nil {
		return newFieldError(item, f.Field, "%s", f.Text)
	}
	return nil
}

// decodeError is a content that is no JSON of its type.
func decodeError(item string, text []byte, err error) *FieldError {
	f := newFieldError(item, "", "can't be read: %v", err)
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		f.Field, f.Reason = kind.Field, fmt.Sprintf("is a %s; wanted: %s", kind.Value, kind.Type)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) && syntax.Offset > 0 && syntax.Offset <= int64(len(text)) {
		f.Line = 1 + bytes.Count(text[:syntax.Offset], []byte("\n"))
	}
	return f
}
