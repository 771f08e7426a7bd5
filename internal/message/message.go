// Package message defines the requests and replies that pass between fronts (downstream, toward the caller) and senders
// (upstream, toward the server), which do not depend on each other. It models the HTTP semantics that all versions share
// (RFC 9110), not the framing of any one version. It contains data types only and must never do I/O.
package message

import (
	"net/url"
	"sync/atomic"
)

// MaxBody is the limit on a body that is buffered completely, in bytes, for requests and replies.
const MaxBody = 64 << 10

// CallerZone is the name of the header in which a caller sends its zone.
const CallerZone = "X-Caller-Zone"

// Request is a request to a server. All attempts of a call share it, so senders must not change its fields.
type Request struct {
	Method    string
	URL       *url.URL // path and query, exactly as the caller wrote them
	Authority string   // Host or :authority; "" means the server's address
	Header    map[string][]string
	Body      []byte
	GRPC      *GRPC // nil means not a gRPC request
	// Idempotency says whether the request may run more than once, if that does not follow from its method and header.
	Idempotency Idempotency
	// FrontData is data of the front that made the request, for senders that know its type.
	FrontData any
	// BodyRest streams the part of the body after Body, while the caller is still sending it; nil means that Body is
	// complete. It can be read only once: a sender must call Claim first.
	BodyRest *Stream
	// MaxBodyBytes is the limit on Body and BodyRest together, in bytes, if the caller declares no length; 0 means no limit.
	MaxBodyBytes  int64
	streamClaimed atomic.Bool
	failureReply  atomic.Pointer[Reply]
}

// Idempotency says whether a request may run more than once: whether it is idempotent (RFC 9110, section 9.2.2).
type Idempotency uint8

// Values of Idempotency.
const (
	IdempotencyByMethod Idempotency = iota // follows from the method and the idempotency key
	NotIdempotent                          // never more than once
	Idempotent                             // any number of times
)

// Fail stores the response of a failed attempt, which the caller gets if no attempt has a better one.
func (r *Request) Fail(reply *Reply) { r.failureReply.Store(reply) }

// Failed returns the last response stored by Fail, or nil if there is none.
func (r *Request) Failed() *Reply { return r.failureReply.Load() }

// Spent reports whether BodyRest was claimed, so that no further attempt can send the complete request.
func (r *Request) Spent() bool { return r.BodyRest != nil && r.streamClaimed.Load() }

// Claim returns true only on its first call; that caller alone may read BodyRest.
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

// ByteLimit bounds the total bytes of buffered long bodies. Give returns n bytes to it.
type ByteLimit interface{ Give(n int64) }

// NewReply returns a reply whose Release returns the bytes of its body to limit, unless limit is nil.
func NewReply(contentType string, body []byte, limit ByteLimit) *Reply {
	return &Reply{ContentType: contentType, Body: body, bodyLimit: limit}
}

// Size returns the length of the body, in bytes.
func (r *Reply) Size() int64 { return int64(len(r.Body)) }

// Release returns the bytes of the body to the limit; later calls have no effect. The body must not be used afterwards.
func (r *Reply) Release() {
	if r.bodyLimit != nil && r.released.CompareAndSwap(false, true) {
		r.bodyLimit.Give(int64(len(r.Body)))
	}
}
