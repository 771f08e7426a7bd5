// Package api is the HTTP calls of servers and operators. Each is a pair of types, request and response, behind one generic handler
// that reads and bounds the request and encodes the response. It decides nothing; handlers do.
//
// Statuses and fields follow the pages' forms: {"ErrorText": "..."} with each error, Retry-After with 503.
package api

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Error is a response with a status of its own and a line that says why. Handlers may wrap it.
type Error struct {
	Status int
	Text   string

	location string // where the caller is redirected to; "": nowhere
}

// Error returns the text.
func (e *Error) Error() string { return e.Text }

// NewError returns an Error.
func NewError(status int, text string) error { return &Error{Status: status, Text: text} }

// Redirect returns an Error that has the caller make the same call at another URL.
func Redirect(location string) error {
	return &Error{Status: http.StatusTemporaryRedirect, Text: "the leader is elsewhere", location: location}
}

// RawBody is a request whose body is decoded by its handler, or a response that is encoded already.
type RawBody []byte

// Empty is a request without a body, or a response that says nothing.
type Empty struct{}

// errorBody is the body of an Error's response.
type errorBody struct {
	ErrorText string `json:"ErrorText"`
}

// timeoutPerMegabyte is the time that a request has besides, by the size of its body: callers wait longer for a large one. 5,000
// routes are about a megabyte, for which an operator allows 15 s.
const timeoutPerMegabyte = 4 * time.Second

// retryAfter is the Retry-After of every 503, in seconds.
const retryAfter = "0.2"

// TimeoutFor returns the time-out of a request with a body of some bytes.
func TimeoutFor(base time.Duration, bodyBytes int) time.Duration {
	return base + timeoutPerMegabyte/1000*time.Duration(bodyBytes)/1000
}

// NewHandler makes a handler of a function from a request to its response. A body of more than maxBodyBytes is refused with 413, one that
// can't be read or decoded with 400; an error that is no Error is answered with 500. The function's ctx ends after TimeoutFor the body,
// which runs from when the body has come in full: a slow link may take longer than that for it.
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

// readRequest reads and decodes a body.
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

func writeResponse(w http.ResponseWriter, status int, response any) {
	body := encodeResponse(response)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the caller has gone
}

// encodeResponse encodes a response. Responses are structs of plain fields, which always can be.
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

const (
	headerTimeout = 5 * time.Second
	// requestTimeout is how long a request may take to come in full and be answered: the largest one takes 17 s over a link of
	// 2 Mbit/s, and as long again for what is to be done with it.
	requestTimeout = time.Minute
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10
)

// NewServer returns a server of API calls with bounds of its own. Whoever calls it serves a listener with it, and closes it.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
