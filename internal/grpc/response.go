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
	Messages        Scanner // over the body
	Malformed       bool    // the body is not made of messages
}

// Verdict is what a response means.
type Verdict struct {
	Ending balancer.Ending
	Code   Code
	Fields []message.Field // the status fields and the trailing metadata; nil means the response has no valid status
}

// IsGRPCResponse reports whether a response with this HTTP status and header section is gRPC, so that its messages can
// be passed on.
func IsGRPCResponse(status int, header []message.Field) bool {
	for _, field := range header {
		if field.Name == "content-type" {
			return status == http.StatusOK && IsContentType(field.Value)
		}
	}
	return false
}

// Classify classifies a response, for the decision module and for the caller. A status that comes from the method itself, such
// as INVALID_ARGUMENT or NOT_FOUND, shows a working service: it is a Success, and is passed on. A status that says that the
// server is not able to serve is a Failure, and may be retried as the class allows. With x-unprocessed: 1, as on HTTP/1.1, the
// request never ran. A response without a valid status proves nothing.
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

// statusFields are the fields that decide on a response.
type statusFields struct {
	text        string // of the last grpc-status
	count       int    // of grpc-status fields
	unprocessed bool
}

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

// isServerFailure reports whether a status shows that the server was not able to serve, rather than the result of the
// method. Codes that gRPC does not define count as such.
func (c Code) isServerFailure() bool {
	switch c {
	case Unknown, DeadlineExceeded, ResourceExhausted, Internal, Unavailable, DataLoss:
		return true
	default:
		return c > Unauthenticated
	}
}
