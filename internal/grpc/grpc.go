// Package grpc implements the parts of gRPC over HTTP/2 (the document PROTOCOL-HTTP2 of the gRPC project) that a proxy needs:
// timeouts, status codes, message framing, and the classification of responses. It does no I/O and never parses the content
// of a message.
//
// Files: grpc.go has content types and status codes, timeout.go the timeout of a request, status.go the status of a response
// that the proxy itself generates, scanner.go the framing of messages, response.go the classification of a server's response.
package grpc

import (
	"net/http"
	"strings"
)

// Code is a gRPC status code.
type Code int

// Status codes, with the numbers that gRPC defines.
const (
	OK Code = iota
	Canceled
	Unknown
	InvalidArgument
	DeadlineExceeded
	NotFound
	AlreadyExists
	PermissionDenied
	ResourceExhausted
	FailedPrecondition
	Aborted
	OutOfRange
	Unimplemented
	Internal
	Unavailable
	DataLoss
	Unauthenticated
)

// IsContentType reports whether a content type is that of a gRPC request or response.
func IsContentType(s string) bool {
	suffix, ok := strings.CutPrefix(strings.ToLower(s), "application/grpc")
	return ok && (suffix == "" || suffix[0] == '+' || suffix[0] == ';')
}

// CodeFromHTTP maps the HTTP status with which a request was rejected before any attempt to a gRPC status code.
func CodeFromHTTP(status int) Code {
	switch status {
	case http.StatusBadRequest:
		return InvalidArgument
	case http.StatusUnauthorized:
		return Unauthenticated
	case http.StatusForbidden:
		return PermissionDenied
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return Unimplemented
	case http.StatusConflict:
		return Aborted
	case http.StatusRequestEntityTooLarge:
		return ResourceExhausted
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return Unavailable
	}
	return Internal
}
