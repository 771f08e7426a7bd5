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
	Route(hr *http.Request) (p *pool.Pool, class string, err *Refusal)
}

// Refusal says why a request is rejected before any attempt, without the decision module.
type Refusal struct {
	Status int
	Text   string
	Retry  bool // a later retry may succeed, and is safe
	Keep   bool // the request was read to its end, so that its connection can be kept
}

// Speech is the application protocol on top of HTTP: the platform's, or the mesh's. Its methods are called from many
// goroutines.
type Speech interface {
	// Own answers a request that is for the node itself, and says whether it was one.
	Own(f *Front, w http.ResponseWriter, hr *http.Request) bool
	// Read checks a request's head, fills in the call and returns the request for servers.
	Read(hr *http.Request, p *pool.Pool, class string, now time.Duration, c *engine.Call) (*message.Request, *Refusal)
	// Ahead says that a pipelined request may be started before those before it are answered; ID identifies it.
	Ahead(hr *http.Request) bool
	ID(hr *http.Request) string
	// Body says that a request may have a body.
	Body(hr *http.Request) bool
	// Head sets the header fields of an answer, but for its length, and returns its status.
	Head(h http.Header, c *engine.Call, a engine.Answer) int
	// Refuse sets the header fields of a rejection.
	Refuse(h http.Header, hr *http.Request, r *Refusal)
}

// Dialect is another protocol on the same connections, such as gRPC, with answers of its own.
type Dialect interface {
	// Speaks says that a request is of this protocol.
	Speaks(hr *http.Request) bool
	// Serve answers it.
	Serve(f *Front, w http.ResponseWriter, hr *http.Request)
}
