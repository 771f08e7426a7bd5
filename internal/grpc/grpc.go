// Package grpc knows what of gRPC over HTTP/2 (the document PROTOCOL-HTTP2 of the gRPC project) a proxy must understand:
// time-outs, status codes, whether messages are complete, and what the end of a response proves. It is pure, and never looks
// into a message.
//
// Files: grpc.go has content types and status codes, timeout.go the deadline of a request, status.go the status of a response
// that the proxy makes itself, scanner.go the framing of messages, response.go the classification of a server's response.
package grpc

import (
	"net/http"
	"strings"
)

// Code is a status code of gRPC.
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

// IsContentType reports whether a request or response with this content type is gRPC.
func IsContentType(s string) bool {
	rest, is := strings.CutPrefix(strings.ToLower(s), "application/grpc")
	return is && (rest == "" || rest[0] == '+' || rest[0] == ';')
}

// CodeFromHTTP returns the status code for a request that was rejected with an HTTP status before any attempt.
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
