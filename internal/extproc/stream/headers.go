package stream

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
)

// Bounds of the header fields in one message.
const (
	maxHeaders     = 1000
	maxHeaderBytes = 128 << 10 // names and values
)

// Errors of messages that violate the protocol. They end the stream, but for ErrBadHeaders, which the client gets as a
// 400.
var (
	ErrOutOfOrder   = errors.New("a message out of order")
	ErrEmptyMessage = errors.New("a message that says nothing")
	ErrBadHeaders   = errors.New("too many or malformed headers")
)

// parseHeaders splits a header map into pseudo-headers (RFC 9113, section 8.3) and fields, both by lower-case name.
// Envoy fills in raw_value and leaves value empty, so raw_value takes precedence. Bytes that are not UTF-8 are kept.
func parseHeaders(h *corev3.HeaderMap) (pseudo, header map[string][]string, err error) {
	if len(h.GetHeaders()) > maxHeaders {
		return nil, nil, fmt.Errorf("%w: %d fields", ErrBadHeaders, len(h.GetHeaders()))
	}
	pseudo, header = map[string][]string{}, make(map[string][]string, len(h.GetHeaders()))
	size := 0
	for _, field := range h.GetHeaders() {
		value := field.GetValue()
		if len(field.GetRawValue()) > 0 {
			value = string(field.GetRawValue())
		}
		name := strings.ToLower(field.GetKey())
		size += len(name) + len(value)
		// CR, LF and NUL are invalid in field values (RFC 9110, section 5.5).
		if size > maxHeaderBytes || name == "" || strings.ContainsAny(value, "\r\n\x00") {
			return nil, nil, fmt.Errorf("%w: the field %.40q", ErrBadHeaders, name)
		}
		if name[0] == ':' {
			pseudo[name] = append(pseudo[name], value)
		} else {
			header[name] = append(header[name], value)
		}
	}
	return pseudo, header, nil
}

// onlyValue returns the value of a field that occurs exactly once, else "".
func onlyValue(header map[string][]string, name string) string {
	if values := header[name]; len(values) == 1 {
		return values[0]
	}
	return ""
}

// setHeader is a header mutation that replaces all fields of that name. Envoy reads raw_value.
func setHeader(name, value string) *corev3.HeaderValueOption {
	return &corev3.HeaderValueOption{
		Header:       &corev3.HeaderValue{Key: name, RawValue: []byte(value)},
		AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD,
	}
}

// setRetryAfter is the mutation that sets Retry-After, in seconds. Fractions are a convention of the servers and
// clients here; RFC 9110, section 10.2.3, has whole seconds.
func setRetryAfter(d time.Duration) *corev3.HeaderValueOption {
	return setHeader("retry-after", strconv.FormatFloat(d.Seconds(), 'f', -1, 64))
}
