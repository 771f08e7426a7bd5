package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cranegrade/internal/mesh/transport/wire"
)

const (
	// claimTimeout bounds the time of a lease request. Half of the time of the request that needs the lease bounds it,
	// too.
	claimTimeout = 400 * time.Millisecond
	// leaseSlack is how much longer than the key's window the lease lasts, because the window begins earlier: when the
	// request is sent.
	leaseSlack = 2 * time.Second
)

// keyLeaseTime returns the duration of a key's lease: the key window of the settings plus leaseSlack.
func (e *environment) keyLeaseTime() time.Duration {
	return e.settings.Load().Bounds.KeyWindowS.Duration() + leaseSlack
}

// leaseHolder returns the name by which the control plane knows this sidecar as the holder of key leases. It includes
// the incarnation, because a restarted sidecar has lost its records of the leases that it held before.
func (e *environment) leaseHolder() string { return e.addr() + "/" + e.incarnation }

// holderAddr returns the address of the sidecar from a name that leaseHolder made.
func holderAddr(holder string) string {
	addr, _, _ := strings.Cut(holder, "/")
	return addr
}

// tokenSource generates the tokens that identify keyed calls to the control plane. The client's Attempt-Id is not
// suitable: if a client reused an ID, the control plane would take two calls for one, and would grant an attempt of the
// second call the lease that the first holds. Any goroutine may call next.
type tokenSource struct {
	incarnation string
	last        atomic.Uint64
}

// next returns a token that is unique in the mesh.
func (t *tokenSource) next() string {
	return t.incarnation + strconv.FormatUint(t.last.Add(1), tokenBase)
}

// tokenBase is the numeral base of the counter in a token. It is the largest that strconv supports, which keeps tokens
// short.
const tokenBase = 36

// claimKey obtains the lease of the request's key, so that no other request with the key may run. It returns nil if
// this request may run, and otherwise the response to it. It is called before any byte is sent to the server, so a
// request without the lease has not run.
func (r *inboundRequest) claimKey(ctx context.Context) *wire.ResponseT {
	server, request := r.inbound, r.request
	window := server.env.keyLeaseTime()
	earlier, isFirst := server.responses.begin(request.IdempotencyKey, request.Token, request.Attempt, window)
	if !isFirst {
		return r.repeatResponse(earlier)
	}
	ctx, cancel := context.WithTimeout(ctx, min(claimTimeout, r.timeout()/2))
	defer cancel()
	result, err := server.claims.claim(ctx, r.newLeaseRequest(window))
	switch {
	case err != nil:
		// The lease may still be granted later. It is released, because the request will not run.
		r.releaseLease()
		return &wire.ResponseT{Ending: codeKeyNotGranted}
	case result.Granted:
		server.responses.setState(request.IdempotencyKey, keyRunning, nil)
		return nil
	}
	server.responses.markNotExecuted(request.IdempotencyKey)
	if result.Holder == "" { // the control plane has no room for more keys
		return &wire.ResponseT{Ending: codeKeyNotGranted}
	}
	return r.holderResponse(ctx, result.Holder)
}

// holderResponse returns the response to a request whose key is leased to another holder. It depends on the holder's
// record of the key.
func (r *inboundRequest) holderResponse(ctx context.Context, holder string) *wire.ResponseT {
	server := r.inbound
	if holder == server.env.leaseHolder() {
		// An earlier request of this process was granted the lease after it had stopped waiting for it. It has not run, or
		// there would be a record of the key, and the lease is being released.
		return &wire.ResponseT{Ending: codeKeyNotGranted}
	}
	addr := holderAddr(holder)
	if addr == server.env.addr() && server.maintenance.successorOf(addr) == "" {
		return r.lostResponse() // the holder is an earlier incarnation of this sidecar, whose records are lost
	}
	record, err := server.responseExchange.fetch(ctx, addr, r.request.IdempotencyKey)
	switch {
	case err != nil || record.OutcomeUnknown || !record.Found:
		return r.lostResponse()
	case record.Running:
		return r.inProgressResponse()
	case record.Status == 0: // the request never ran, and the lease is being released
		return &wire.ResponseT{Ending: codeKeyNotGranted}
	}
	return r.replayResponse(&wire.ResponseT{
		Status:        record.Status,
		HeaderFields:  record.HeaderFields,
		Body:          record.Body,
		ContentLength: int64(len(record.Body)),
	})
}

// repeatResponse returns the response to a request whose key was claimed before at this sidecar.
func (r *inboundRequest) repeatResponse(earlier keyRecord) *wire.ResponseT {
	switch {
	case earlier.state == keyClaiming || earlier.state == keyRunning:
		return r.inProgressResponse()
	case earlier.state == keyAnswered && earlier.response != nil:
		return r.replayResponse(earlier.response)
	}
	return r.lostResponse()
}

// replayResponse returns the stored response of the request that ran, with this attempt's ID.
func (r *inboundRequest) replayResponse(stored *wire.ResponseT) *wire.ResponseT {
	response := &wire.ResponseT{Status: stored.Status, Body: stored.Body, ContentLength: stored.ContentLength}
	for _, f := range stored.HeaderFields {
		if f.Name != headerAttemptID {
			response.HeaderFields = append(response.HeaderFields, f)
		}
	}
	response.HeaderFields = append(response.HeaderFields, &wire.HeaderFieldT{Name: headerAttemptID, Value: r.request.AttemptId})
	return response
}

// inProgressResponse returns the response to a repeat of a request that is still running.
func (r *inboundRequest) inProgressResponse() *wire.ResponseT {
	return r.localResponse(http.StatusConflict, "a request with the key is in flight")
}

// lostResponse returns the response to a repeat of a request that has or may have run, and whose response is not
// available. The request is not run again.
func (r *inboundRequest) lostResponse() *wire.ResponseT {
	return r.localResponse(http.StatusBadGateway, "the key's request has run, or may have, and its answer is lost")
}

// localResponse returns a plain-text response that the sidecar itself generates in place of the server.
func (r *inboundRequest) localResponse(status int, text string) *wire.ResponseT {
	fields := []*wire.HeaderFieldT{
		{Name: headerAttemptID, Value: r.request.AttemptId},
		{Name: "Content-Type", Value: "text/plain; charset=utf-8"},
	}
	return &wire.ResponseT{
		Status:        uint16(status),
		Body:          []byte(text + "\n"),
		ContentLength: int64(len(text) + 1),
		HeaderFields:  fields,
	}
}

// releaseHeldLease releases the key's lease if this request holds it. The request must not have run.
func (r *inboundRequest) releaseHeldLease() {
	if r.holdsLease.Load() {
		r.releaseLease()
	}
}

// releaseLease records that the request never ran, and queues the release of the key's lease.
func (r *inboundRequest) releaseLease() {
	r.inbound.responses.markNotExecuted(r.request.IdempotencyKey)
	release := r.newLeaseRequest(0)
	release.Release = true
	r.inbound.releases.add(release)
}

// newLeaseRequest returns a request to lease the key for the given window.
func (r *inboundRequest) newLeaseRequest(window time.Duration) *wire.KeyLeaseRequestT {
	return &wire.KeyLeaseRequestT{
		Key:      r.request.IdempotencyKey,
		Token:    r.request.Token,
		Attempt:  r.request.Attempt,
		Holder:   r.inbound.env.leaseHolder(),
		WindowUs: window.Microseconds(),
	}
}
