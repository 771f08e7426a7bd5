// Package api is the HTTP/JSON framework for the calls of servers and operators. A call is a request type, a response type and a
// function; a generic handler reads and bounds the request, and encodes the response or the error. The package must not decide
// anything about a call. Handlers run on the goroutines of net/http, several at a time.
//
// As the protocol's pages require, each error has the body {"ErrorText": "..."}, and each 503 has a Retry-After.
package api

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Error is an error response. Handlers return it, possibly wrapped, for every status other than 500.
type Error struct {
	Status int
	Text   string

	location string // Location header of a redirect, or ""
}

// Error returns the text.
func (e *Error) Error() string { return e.Text }

// NewError returns an Error.
func NewError(status int, text string) error { return &Error{Status: status, Text: text} }

// Redirect returns an Error that redirects the caller, with the same method and body, to another URL.
func Redirect(location string) error {
	return &Error{Status: http.StatusTemporaryRedirect, Text: "the leader is elsewhere", location: location}
}

// RawBody is the body of a request that the handler decodes itself, or a response that is encoded already.
type RawBody []byte

// Empty is a request whose body is ignored, or a response without content.
type Empty struct{}

// errorBody is the body of an Error's response.
type errorBody struct {
	ErrorText string `json:"ErrorText"`
}

// timeoutPerMegabyte extends the timeout of a request by the size of its body, because callers wait longer for large ones: 5,000
// routes are about a megabyte, of 1,000,000 bytes, for which an operator allows 15 s.
const timeoutPerMegabyte = 4 * time.Second

// retryAfter is the Retry-After of every 503, in seconds.
const retryAfter = "0.2"

// TimeoutFor returns the time-out of a request with a body of some bytes.
func TimeoutFor(base time.Duration, bodyBytes int) time.Duration {
	return base + timeoutPerMegabyte/1000*time.Duration(bodyBytes)/1000
}

// NewHandler returns an HTTP handler for a call. A body of more than maxBodyBytes is rejected with 413, one that can't be read or decoded
// with 400. An error of handle that is not an Error is answered with 500. The ctx of handle ends after TimeoutFor(timeout, body size),
// counted from when the body was received completely, because a slow link may take longer than that for the body.
func NewHandler[Request, Response any](maxBodyBytes int64, timeout time.Duration,
	handle func(ctx context.Context, httpRequest *http.Request, request Request) (Response, error),
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Request
		bodyBytes, err := readRequest(w, r, maxBodyBytes, &request)
		if err != nil {
			writeError(w, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), TimeoutFor(timeout, bodyBytes))
		defer cancel()
		response, err := handle(ctx, r, request)
		if err != nil {
			writeError(w, err)
			return
		}
		writeResponse(w, http.StatusOK, response)
	}
}

// readRequest reads and decodes a body into request, which points to a request type.
func readRequest(w http.ResponseWriter, r *http.Request, maxBodyBytes int64, request any) (bodyBytes int, err error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		status := http.StatusBadRequest
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		return 0, NewError(status, "the body is incomplete: "+err.Error())
	}
	switch request := request.(type) {
	case *Empty:
	case *RawBody:
		*request = body
	default:
		if err := json.Unmarshal(body, request); err != nil {
			return 0, NewError(http.StatusBadRequest, "the body can't be decoded: "+err.Error())
		}
	}
	return len(body), nil
}

// writeError answers with an error: with the status of an Error, or with 500.
func writeError(w http.ResponseWriter, err error) {
	var withStatus *Error
	if !errors.As(err, &withStatus) {
		writeResponse(w, http.StatusInternalServerError, errorBody{err.Error()})
		return
	}
	if withStatus.location != "" {
		w.Header().Set("Location", withStatus.location)
	}
	if withStatus.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	writeResponse(w, withStatus.Status, errorBody{withStatus.Text})
}

// writeResponse encodes a response and writes it with a status.
func writeResponse(w http.ResponseWriter, status int, response any) {
	body := encodeResponse(response)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the caller has disconnected
}

// encodeResponse encodes a response. Responses are structs of plain fields, whose encoding can't fail.
func encodeResponse(response any) []byte {
	switch response := response.(type) {
	case RawBody:
		return response
	case Empty:
		return []byte("{}")
	}
	body, _ := json.Marshal(response)
	return body
}

// Limits of a server's connections.
const (
	headerTimeout = 5 * time.Second // for the header of a request
	// requestTimeout bounds receiving and answering a request: receiving the largest one takes 17 s over a link of 2 Mbit/s, and
	// handling it may take as long again.
	requestTimeout = time.Minute
	idleTimeout    = 30 * time.Second // between two requests of a connection
	maxHeaderBytes = 16 << 10
)

// NewServer returns an HTTP server with the time and size limits of API calls. The caller serves a listener with it and closes it.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
