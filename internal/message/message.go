// Package message is the form of requests and replies between fronts and senders, which do not know
// each other: what every HTTP-like protocol has, and nothing of how one frames it. It is data only.
package message

import (
	"net/url"
	"sync/atomic"
)

// MaxBody is the most bytes that a body holds, either way, by the protocol's page.
const MaxBody = 64 << 10

// CallerZone is the header by which whoever calls says in which zone it stands.
const CallerZone = "X-Caller-Zone"

// Request is what goes to a server. It is shared by all attempts of a call, so no sender changes it.
type Request struct {
	Method    string
	URL       *url.URL // path and query as the caller wrote them
	Authority string   // "": the server's own address
	Header    map[string][]string
	Body      []byte
	GRPC      *GRPC // nil: it is no request of gRPC
	// Runs says how often it may run, where its form does not tell.
	Runs Runs
	// Note is whoever made it's own; senders that know it read it.
	Note any
	// More is what follows Body, as its caller sends it; nil: nothing. It can be sent once: whoever takes of it
	// calls Claim first.
	More *Stream
	// Most is how many bytes Body and More may have together where no length was told; 0: as many as come.
	Most          int64
	streamClaimed atomic.Bool
	failureReply  atomic.Pointer[Reply]
}

// Runs says how often a request may run.
type Runs uint8

// How often; the zero Runs is told by method and key.
const (
	RunsByForm Runs = iota
	RunsOnce
	RunsOften
)

// Fail keeps the answer that a server gave with a failure, for a caller that gets no better one.
func (r *Request) Fail(with *Reply) { r.failureReply.Store(with) }

// Failed is the last answer that Fail kept; nil: none.
func (r *Request) Failed() *Reply { return r.failureReply.Load() }

// Spent says that no further attempt can send all of it.
func (r *Request) Spent() bool { return r.More != nil && r.streamClaimed.Load() }

// Claim says, once, that More may be taken.
func (r *Request) Claim() bool { return r.streamClaimed.CompareAndSwap(false, true) }

// Reply is a server's whole answer to a request that was served.
type Reply struct {
	ContentType     string
	Body            []byte
	Status          int     // of HTTP; 0: 200
	Header, Trailer []Field // of gRPC, and where a front passes all on

	bodyLimit Room
	released  atomic.Bool
}

// Room is where the bytes of a long body were taken from.
type Room interface{ Give(n int64) }

// NewReply returns a reply whose body's bytes go back to room, if that is not nil, once it is released.
func NewReply(contentType string, body []byte, room Room) *Reply {
	return &Reply{ContentType: contentType, Body: body, bodyLimit: room}
}

// Size is how many bytes the body has.
func (r *Reply) Size() int64 { return int64(len(r.Body)) }

// Release gives back what the reply holds. The body must not be used after it.
func (r *Reply) Release() {
	if r.bodyLimit != nil && r.released.CompareAndSwap(false, true) {
		r.bodyLimit.Give(int64(len(r.Body)))
	}
}
