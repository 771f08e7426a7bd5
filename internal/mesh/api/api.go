// Package api is the HTTP/JSON framework for API calls of servers and operators. A call consists of a request type, a response type and a
// handler function; a generic HTTP handler reads and decodes the request, limits its size and duration, and encodes the response or the
// error. The package knows nothing about individual calls. Handlers run concurrently on the goroutines of net/http.
//
// The protocol requires that every error response has the body {"ErrorText": "..."}, and that every 503 has a Retry-After header.
package api

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Error is an error response. A handler returns it, possibly wrapped, to answer with a status other than 500.
type Error struct {
	Status int
	Text   string

	location string // Location header of a redirect, or ""
}

// Error implements error.
func (e *Error) Error() string { return e.Text }

// NewError returns an Error with a status and a text for the caller.
func NewError(status int, text string) error { return &Error{Status: status, Text: text} }

// Redirect returns an Error that makes the caller repeat the call, with the same method and body, at another URL.
func Redirect(location string) error {
	return &Error{Status: http.StatusTemporaryRedirect, Text: "the leader is elsewhere", location: location}
}

// RawBody is a request body that the handler decodes itself, or an already encoded response body.
type RawBody []byte

// Empty is a request whose body is ignored, or a response that is an empty JSON object.
type Empty struct{}

// errorBody is the body of an Error's response.
type errorBody struct {
	ErrorText string `json:"ErrorText"`
}

// timeoutPerMegabyte extends the timeout of a request in proportion to its body, because callers wait longer for large changes. A
// megabyte is 1,000,000 bytes, about 5,000 routes, for which operators allow 15 s.
const timeoutPerMegabyte = 4 * time.Second

// retryAfter is the value of the Retry-After header of every 503, in seconds.
const retryAfter = "0.2"

// TimeoutFor returns the timeout of a request whose body has bodyBytes bytes.
func TimeoutFor(base time.Duration, bodyBytes int) time.Duration {
	return base + timeoutPerMegabyte/1000*time.Duration(bodyBytes)/1000
}

// NewHandler returns an HTTP handler for a call. A body of more than maxBodyBytes is rejected with 413, and one that can't be read or
// decoded with 400. If handle returns an error that is not an Error, the response is 500. The ctx of handle expires after
// TimeoutFor(timeout, body size). The timeout starts when the body is complete, because receiving it over a slow link may take longer.
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

// readRequest reads the body of r and decodes it into request, a pointer to a value of the call's request type.
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

// writeError writes an error response, with the status of the Error in err's chain, or 500 if there is none.
func writeError(w http.ResponseWriter, err error) {
	var apiError *Error
	if !errors.As(err, &apiError) {
		writeResponse(w, http.StatusInternalServerError, errorBody{err.Error()})
		return
	}
	if apiError.location != "" {
		w.Header().Set("Location", apiError.location)
	}
	if apiError.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	writeResponse(w, apiError.Status, errorBody{apiError.Text})
}

// writeResponse writes a status and an encoded response.
func writeResponse(w http.ResponseWriter, status int, response any) {
	body := encodeResponse(response)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only if the caller has disconnected
}

// encodeResponse encodes a response body. Encoding can't fail, because responses are structs with fields of plain types.
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

// Limits of a connection to the server.
const (
	headerTimeout = 5 * time.Second // to receive the header of a request
	// requestTimeout limits receiving and answering a request. The largest request takes 17 s to receive over a 2 Mbit/s link, and
	// may take as long again to handle.
	requestTimeout = time.Minute
	idleTimeout    = 30 * time.Second // between requests on a connection
	maxHeaderBytes = 16 << 10
)

// NewServer returns an HTTP server with the timeouts and size limits of API calls. The caller has to serve a listener and close the server.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
