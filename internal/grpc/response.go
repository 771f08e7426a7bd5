package grpc

import (
	"net/http"
	"strconv"

	"cranegrade/balancer"
	"cranegrade/internal/message"
)

// Response is a complete response of a server.
type Response struct {
	Status          int // HTTP status
	Header, Trailer []message.Field
	Messages        Scanner // after it has scanned the complete body
	Malformed       bool    // the body is not a sequence of length-prefixed messages
}

// Verdict is the classification of a response.
type Verdict struct {
	Ending balancer.Ending
	Code   Code
	Fields []message.Field // the status fields and the trailing metadata; nil means the response has no valid status
}

// IsGRPCResponse reports whether a response with this HTTP status and header section is gRPC, so that its messages can
// be forwarded.
func IsGRPCResponse(status int, header []message.Field) bool {
	for _, field := range header {
		if field.Name == "content-type" {
			return status == http.StatusOK && IsContentType(field.Value)
		}
	}
	return false
}

// Classify classifies a response for the balancer and for the caller. A status that is a result of the method itself, such as
// INVALID_ARGUMENT or NOT_FOUND, shows a working service: the ending is Success, and the status is forwarded. A status that
// says that the server was not able to serve is a Failure, and may be retried as the request's class allows. UNAVAILABLE or
// RESOURCE_EXHAUSTED with x-unprocessed: 1 and without messages is Overloaded: the request never ran. So is an HTTP 503 with
// x-unprocessed: 1, as on HTTP/1.1. Any other response without a valid status is a Failure, and the request may have run.
func Classify(response Response) Verdict {
	fields := response.Trailer
	if fields == nil {
		fields = response.Header // Trailers-Only: a single field section is the complete response
	}
	status := findStatus(fields)
	code, err := strconv.ParseUint(status.text, 10, 8)
	if !IsGRPCResponse(response.Status, response.Header) || status.count != 1 || err != nil {
		if response.Status == http.StatusServiceUnavailable && status.unprocessed {
			return Verdict{Ending: balancer.Overloaded, Code: Unknown}
		}
		return Verdict{Ending: balancer.Failure, Code: Unknown}
	}
	incomplete := response.Messages.End() != nil
	v := Verdict{Ending: balancer.Success, Code: Code(code), Fields: fields}
	switch {
	case response.Malformed || v.Code == OK && incomplete:
		return Verdict{Ending: balancer.Failure, Code: Internal}
	case status.unprocessed && response.Messages.Count == 0 && !incomplete && (v.Code == Unavailable || v.Code == ResourceExhausted):
		v.Ending = balancer.Overloaded
	case v.Code.isServerFailure():
		v.Ending = balancer.Failure
	}
	return v
}

// statusFields are the fields that determine the classification of a response.
type statusFields struct {
	text        string // value of the last grpc-status field
	count       int    // number of grpc-status fields
	unprocessed bool   // x-unprocessed is 1
}

// findStatus extracts the status fields from a field section.
func findStatus(fields []message.Field) (s statusFields) {
	for _, field := range fields {
		switch field.Name {
		case "grpc-status":
			s.text = field.Value
			s.count++
		case "x-unprocessed":
			s.unprocessed = field.Value == "1"
		}
	}
	return s
}

// isServerFailure reports whether a code means that the server was not able to serve, rather than being a result of the
// method. Codes that gRPC does not define count as server failures.
func (c Code) isServerFailure() bool {
	switch c {
	case Unknown, DeadlineExceeded, ResourceExhausted, Internal, Unavailable, DataLoss:
		return true
	default:
		return c > Unauthenticated
	}
}
