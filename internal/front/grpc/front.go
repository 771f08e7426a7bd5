// Package grpc is the front for clients that speak gRPC over HTTP/2 (the specification "gRPC over HTTP2"). A call is the
// full name of a method, metadata and messages, which pass unparsed; every call ends with exactly one grpc-status. It
// runs on the connections of package http1, which owns them, their limits and their draining.
//
// The package decides only which requests are malformed. The routes find the class of a call by its method, and the
// decision module picks the endpoint. The package must never answer UNAVAILABLE after a server may have run the call,
// because clients retry that status by themselves.
//
// Each request is served on the goroutine that net/http has for it.
package grpc

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"cranegrade/internal/front/http1"
	"cranegrade/internal/grpc"
	"cranegrade/internal/message"
	"cranegrade/internal/pool"
)

// retryAdvice is the retry delay that goes with a rejection before the decision module has seen the call.
const retryAdvice = time.Second

// Dialect serves gRPC on the listeners for HTTP/2. It implements http1.Dialect; its methods may be called from any
// goroutine.
type Dialect struct {
	// Serving says whether the service of a name, "" for all, takes calls, and whether there is one. nil means the health
	// service is not implemented.
	Serving func(service string) (serving, known bool)
}

var _ http1.Dialect = Dialect{}

// Matches implements http1.Dialect.
func (Dialect) Matches(hr *http.Request) bool {
	return hr.ProtoMajor == 2 && grpc.IsContentType(hr.Header.Get("Content-Type"))
}

// Serve implements http1.Dialect.
func (d Dialect) Serve(f *http1.Front, w http.ResponseWriter, hr *http.Request) {
	w.Header().Set("Content-Type", hr.Header.Get("Content-Type"))
	if strings.HasPrefix(hr.URL.Path, healthPrefix) {
		d.serveHealth(w, hr)
		return
	}
	const reservedBytes = message.MaxBody // in the pool, since the length of the request is not known yet
	var c *call
	p, rejection := f.Enter(hr, reservedBytes, func(p *pool.Pool, class string) (rejection *http1.Rejection) {
		c, rejection = newCall(hr, p, class, f.Clock().Now())
		return rejection
	})
	if rejection == nil {
		defer p.Leave(reservedBytes)
		rejection = c.readRequest(w, hr)
	}
	if rejection != nil {
		reject(w, hr, rejection)
		return
	}
	if c.Deadline <= f.Clock().Now() {
		writeEnd(w, grpc.StatusFields(grpc.DeadlineExceeded, "the time was up on arrival", 0), false)
		return
	}
	if !f.BeginRequest(hr) {
		panic(http.ErrAbortHandler)
	}
	c.serve(f, w, hr, p)
}

// reject ends a call that the decision module has not seen.
func reject(w http.ResponseWriter, hr *http.Request, rejection *http1.Rejection) {
	if errors.Is(hr.Context().Err(), context.Canceled) {
		panic(http.ErrAbortHandler) // the client has reset the stream
	}
	retry := time.Duration(0)
	if rejection.MayRetry {
		retry = retryAdvice
	}
	writeEnd(w, grpc.StatusFields(grpc.CodeFromHTTP(rejection.Status), rejection.Text, retry), false)
}

// serve submits a call to its engine and writes the answer.
func (c *call) serve(f *http1.Front, w http.ResponseWriter, hr *http.Request, p *pool.Pool) {
	ctx := hr.Context()
	if !c.clientDeadline.IsZero() { // a streamed answer has to be complete by then
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, c.clientDeadline)
		defer cancel()
	}
	p.Engine().Submit(&c.Call) //nolint:contextcheck // the engine's goroutine runs the attempts, under contexts of its own
	for {
		select {
		case c.stream = <-c.streams:
			err := copyStream(ctx, w, c.stream)
			if err == nil {
				continue // it is complete, and the final answer has come or is about to
			}
			p.Engine().CallerGone(&c.Call) //nolint:contextcheck // attempts may outlive the request
			c.abandon()
			c.stream.Release()
			if errors.Is(err, context.DeadlineExceeded) && hr.Context().Err() == nil {
				writeEnd(w, grpc.StatusFields(grpc.DeadlineExceeded, textIncomplete, 0), true)
				return
			}
			panic(http.ErrAbortHandler)
		case answer := <-c.answers:
			if c.stream == nil {
				c.copyLateStream(ctx, w)
			}
			writeAnswer(w, c, answer, f.Clock().Now())
			return
		case <-hr.Context().Done():
			p.Engine().CallerGone(&c.Call) //nolint:contextcheck // attempts may outlive the request
			c.abandon()
			panic(http.ErrAbortHandler) // resets the stream (RFC 9113, section 6.4)
		}
	}
}

// copyLateStream copies a streamed answer whose beginning is still in its channel when the final answer is read. Both
// channels can be ready at once, and select picks either.
func (c *call) copyLateStream(ctx context.Context, w http.ResponseWriter) {
	select {
	case c.stream = <-c.streams:
		if copyStream(ctx, w, c.stream) != nil {
			panic(http.ErrAbortHandler)
		}
	default:
	}
}
