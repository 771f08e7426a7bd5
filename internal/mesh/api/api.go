// Package control is the calls of servers and operators: each is a pair of types, the call and its answer, behind one
// generic handler that reads, bounds and words them.
package api

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Error is an answer that is none of the pair's: a status and a line that says why.
type Error struct {
	Status int
	Text   string

	location string
}

func (e *Error) Error() string { return e.Text }

// Redirect is an Error that sends the caller to another address, with the same call.
func Redirect(location string) error {
	return &Error{Status: http.StatusTemporaryRedirect, Text: "the leader is elsewhere", location: location}
}

// NewError is an Error of that status.
func NewError(status int, text string) error { return &Error{Status: status, Text: text} }

// RawBody is a call whose body is read by whoever handles it, or an answer that is worded already.
type RawBody []byte

// Empty is a call without a body, or an answer that says nothing.
type Empty struct{}

// errorBody is how an Error is worded.
type errorBody struct {
	ErrorText string `json:"ErrorText"`
}

// timeoutPerMegabyte is the time that a call has besides, by the size of its body: callers wait longer for a large one. 5,000 routes are
// about a megabyte, for which an operator allows 15 s.
const timeoutPerMegabyte = 4 * time.Second

// TimeoutFor is the time that a call has whose body is of so many bytes.
func TimeoutFor(base time.Duration, bodyBytes int) time.Duration {
	return base + timeoutPerMegabyte/1000*time.Duration(bodyBytes)/1000
}

// NewHandler makes a handler of a function from a call to its answer. The body holds most bytes at the most; the function has
// so long, and more for a large body, from when the call has come whole: a slow link may take more than that for it.
func NewHandler[C, A any](maxBodyBytes int64, timeout time.Duration, handle func(ctx context.Context, r *http.Request, call C) (A, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var call C
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			status := http.StatusBadRequest
			if _, over := err.(*http.MaxBytesError); over {
				status = http.StatusRequestEntityTooLarge
			}
			writeResponse(w, status, errorBody{"the body did not come whole: " + err.Error()})
			return
		}
		switch c := any(&call).(type) {
		case *Empty:
		case *RawBody:
			*c = body
		default:
			if err := json.Unmarshal(body, c); err != nil {
				writeResponse(w, http.StatusBadRequest, errorBody{"the body can't be read: " + err.Error()})
				return
			}
		}
		ctx, cancel := context.WithTimeout(r.Context(), TimeoutFor(timeout, len(body)))
		defer cancel()
		a, err := handle(ctx, r, call)
		var e *Error
		switch {
		case errors.As(err, &e):
			if e.location != "" {
				w.Header().Set("Location", e.location)
			}
			if e.Status == http.StatusServiceUnavailable {
				w.Header().Set("Retry-After", "0.2")
			}
			writeResponse(w, e.Status, errorBody{e.Text})
		case err != nil:
			writeResponse(w, http.StatusInternalServerError, errorBody{err.Error()})
		default:
			writeResponse(w, http.StatusOK, a)
		}
	}
}

func writeResponse(w http.ResponseWriter, status int, v any) {
	p, is := v.(RawBody)
	if !is {
		if p, _ = json.Marshal(v); v == (Empty{}) {
			p = RawBody("{}")
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(p) // an error means that the caller has gone
}

// Bounds of a server of calls.
const (
	headerTimeout = 5 * time.Second
	// requestTimeout is how long a call may take to come whole and be answered: the largest one takes 17 s over a link of 2 Mbit/s, and
	// as long again for what is to be done with it.
	requestTimeout = time.Minute
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10 // bytes
)

// NewServer runs a server of calls on a listener's handler until it is closed.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}
