package http1

import (
	"net/http"
	"time"

	"cranegrade/internal/engine"
	"cranegrade/internal/message"
	"cranegrade/internal/pool"
)

// Routes selects the pool of a request and its class there.
type Routes interface {
	Route(hr *http.Request) (p *pool.Pool, class string, err *Rejection)
}

// Rejection says why a request is rejected before any attempt, without the decision module.
type Rejection struct {
	Status         int
	Text           string
	MayRetry       bool // a later retry may succeed, and is safe
	KeepConnection bool // the request was read to its end, so that its connection can be kept
}

// Protocol is the application protocol on top of HTTP: the platform's, or the mesh's. Its methods are called from many
// goroutines.
type Protocol interface {
	// ServeOwn answers a request that is for the node itself, and says whether it was one.
	ServeOwn(f *Front, w http.ResponseWriter, hr *http.Request) bool
	// ParseRequest checks a request's head, fills in the call and returns the request for servers.
	ParseRequest(hr *http.Request, p *pool.Pool, class string, now time.Duration, c *engine.Call) (*message.Request, *Rejection)
	// MayStartEarly reports whether a pipelined request may be started before those before it are answered; RequestID identifies
	// it.
	MayStartEarly(hr *http.Request) bool
	RequestID(hr *http.Request) string
	// MayHaveBody reports whether a request may have a body.
	MayHaveBody(hr *http.Request) bool
	// SetResponseHeader sets the header fields of an answer, but for its length, and returns its status.
	SetResponseHeader(h http.Header, c *engine.Call, a engine.Answer) int
	// SetRejectionHeader sets the header fields of a rejection.
	SetRejectionHeader(h http.Header, hr *http.Request, r *Rejection)
}

// Dialect is another protocol on the same connections, such as gRPC, with answers of its own.
type Dialect interface {
	// Matches reports whether a request is of this protocol.
	Matches(hr *http.Request) bool
	// Serve answers it.
	Serve(f *Front, w http.ResponseWriter, hr *http.Request)
}
