// Package control is the calls of servers and operators: each is a pair of types, the call and its answer, behind one
// generic handler that reads, bounds and words them.
package control

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

// Elsewhere is an Error that sends the caller to another address, with the same call.
func Elsewhere(location string) error {
	return &Error{Status: http.StatusTemporaryRedirect, Text: "the leader is elsewhere", location: location}
}

// Fault is an Error of that status.
func Fault(status int, text string) error { return &Error{Status: status, Text: text} }

// Raw is a call whose body is read by whoever handles it, or an answer that is worded already.
type Raw []byte

// None is a call without a body, or an answer that says nothing.
type None struct{}

// failure is how an Error is worded.
type failure struct {
	ErrorText string `json:"ErrorText"`
}

// perMegabyte is the time that a call has besides, by the size of its body: callers wait longer for a large one. 5,000 routes are
// about a megabyte, for which an operator allows 15 s.
const perMegabyte = 4 * time.Second

// TimeFor is the time that a call has whose body is of so many bytes.
func TimeFor(within time.Duration, bytes int) time.Duration {
	return within + perMegabyte/1000*time.Duration(bytes)/1000
}

// Handle makes a handler of a function from a call to its answer. The body holds most bytes at the most; the function has
// so long, and more for a large body, from when the call has come whole: a slow link may take more than that for it.
func Handle[C, A any](most int64, within time.Duration, f func(ctx context.Context, r *http.Request, call C) (A, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var call C
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
		if err != nil {
			status := http.StatusBadRequest
			if _, over := err.(*http.MaxBytesError); over {
				status = http.StatusRequestEntityTooLarge
			}
			answer(w, status, failure{"the body did not come whole: " + err.Error()})
			return
		}
		switch c := any(&call).(type) {
		case *None:
		case *Raw:
			*c = body
		default:
			if err := json.Unmarshal(body, c); err != nil {
				answer(w, http.StatusBadRequest, failure{"the body can't be read: " + err.Error()})
				return
			}
		}
		ctx, cancel := context.WithTimeout(r.Context(), TimeFor(within, len(body)))
		defer cancel()
		a, err := f(ctx, r, call)
		var e *Error
		switch {
		case errors.As(err, &e):
			if e.location != "" {
				w.Header().Set("Location", e.location)
			}
			if e.Status == http.StatusServiceUnavailable {
				w.Header().Set("Retry-After", "0.2")
			}
			answer(w, e.Status, failure{e.Text})
		case err != nil:
			answer(w, http.StatusInternalServerError, failure{err.Error()})
		default:
			answer(w, http.StatusOK, a)
		}
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	p, is := v.(Raw)
	if !is {
		if p, _ = json.Marshal(v); v == (None{}) {
			p = Raw("{}")
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(p) // an error means that the caller has gone
}

// Bounds of a server of calls.
const (
	headWithin = 5 * time.Second
	// callWithin is how long a call may take to come whole and be answered: the largest one takes 17 s over a link of 2 Mbit/s, and
	// as long again for what is to be done with it.
	callWithin = time.Minute
	idleAtMost = 30 * time.Second
	maxHead    = 16 << 10 // bytes
)

// Serve runs a server of calls on a listener's handler until it is closed.
func Serve(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headWithin, ReadTimeout: callWithin, IdleTimeout: idleAtMost, MaxHeaderBytes: maxHead}
}
