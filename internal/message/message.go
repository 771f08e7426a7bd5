// Package message defines requests and replies as they pass between fronts (downstream) and senders (upstream), which do
// not know each other. It holds what all HTTP semantics share (RFC 9110) and nothing of the framing of one version; it is
// data only and must never do I/O.
package message

import (
	"net/url"
	"sync/atomic"
)

// MaxBody is the limit on a body that is buffered completely, in bytes, for requests and replies.
const MaxBody = 64 << 10

// CallerZone is the header by which a caller names its zone.
const CallerZone = "X-Caller-Zone"

// Request is a request to a server. All attempts of a call share it, so senders must not change its fields.
type Request struct {
	Method    string
	URL       *url.URL // path and query, exactly as the caller wrote them
	Authority string   // Host or :authority; "" means the server's address
	Header    map[string][]string
	Body      []byte
	GRPC      *GRPC // nil means not a gRPC request
	// Idempotency says whether it may run more than once, where method and header fields do not tell.
	Idempotency Idempotency
	// FrontData is data of the front that made the request, for senders that know its type.
	FrontData any
	// BodyRest is what follows after Body, as the caller sends it; nil means nothing. It can be read only once: a sender must
	// Claim it first.
	BodyRest *Stream
	// MaxBodyBytes is the limit on Body and BodyRest together, in bytes, if no length is declared; 0 means no limit.
	MaxBodyBytes  int64
	streamClaimed atomic.Bool
	failureReply  atomic.Pointer[Reply]
}

// Idempotency says whether a request may run more than once: whether it is idempotent (RFC 9110, section 9.2.2).
type Idempotency uint8

// Values of Idempotency.
const (
	IdempotencyByMethod Idempotency = iota // as its method and its idempotency key tell
	NotIdempotent                          // never more than once
	Idempotent                             // any number of times
)

// Fail keeps the response that came with a failure, for a caller that gets no better one.
func (r *Request) Fail(with *Reply) { r.failureReply.Store(with) }

// Failed is the last response that Fail kept, or nil if there is none.
func (r *Request) Failed() *Reply { return r.failureReply.Load() }

// Spent reports whether no further attempt can send the complete request, because BodyRest was claimed.
func (r *Request) Spent() bool { return r.BodyRest != nil && r.streamClaimed.Load() }

// Claim returns true to the first caller only, which may then read BodyRest.
func (r *Request) Claim() bool { return r.streamClaimed.CompareAndSwap(false, true) }

// Reply is a server's complete response.
type Reply struct {
	ContentType     string
	Body            []byte
	Status          int     // HTTP status; 0 means 200
	Header, Trailer []Field // for gRPC, and where a front forwards all fields

	bodyLimit ByteLimit
	released  atomic.Bool
}

// ByteLimit is the limit that the bytes of a long body count against.
type ByteLimit interface{ Give(n int64) }

// NewReply returns a reply. Release returns the bytes of its body to limit, unless that is nil.
func NewReply(contentType string, body []byte, limit ByteLimit) *Reply {
	return &Reply{ContentType: contentType, Body: body, bodyLimit: limit}
}

// Size is the length of the body, in bytes.
func (r *Reply) Size() int64 { return int64(len(r.Body)) }

// Release returns what the reply holds of a limit, once. The body must not be used afterwards.
func (r *Reply) Release() {
	if r.bodyLimit != nil && r.released.CompareAndSwap(false, true) {
		r.bodyLimit.Give(int64(len(r.Body)))
	}
}
