package sidecar

import (
	"context"
	"net/http"
	"strings"
	"time"

	"cranegrade/internal/mesh/transport/wire"
)

// claimTimeout bounds a lease request, in addition to half of the time of its request.
const claimTimeout = 400 * time.Millisecond

// claimKey leases the request's key, so that no other request with the key may run. It returns nil if this request
// may run, and otherwise its response.
func (r *inboundRequest) claimKey(ctx context.Context) *wire.ResponseT {
	in, request := r.inbound, r.request
	window := in.env.keyLeaseTime()
	was, fresh := in.responses.begin(request.IdempotencyKey, request.Token, request.Attempt, window)
	if !fresh {
		return r.repeatResponse(was)
	}
	ctx, cancel := context.WithTimeout(ctx, min(claimTimeout, time.Duration(request.TimeoutUs)*time.Microsecond/2))
	defer cancel()
	grant, err := in.claims.claim(ctx, r.newLeaseRequest(window))
	switch {
	case err != nil:
		// The lease may still be granted. The request will not run, so the lease is released.
		r.releaseKey()
		return &wire.ResponseT{Ending: codeKeyNotGranted}
	case grant.Granted:
		in.responses.setState(request.IdempotencyKey, keyRunning, nil)
		return nil
	}
	in.responses.markNotExecuted(request.IdempotencyKey)
	if grant.Holder == "" { // no room for more keys
		return &wire.ResponseT{Ending: codeKeyNotGranted}
	}
	return r.holderResponse(ctx, grant.Holder)
}

// holderResponse returns the response according to what the holder of the key's lease knows about it.
func (r *inboundRequest) holderResponse(ctx context.Context, holder string) *wire.ResponseT {
	in := r.inbound
	addr, _, _ := strings.Cut(holder, "/")
	if addr == in.env.addr() && in.maintenance.successorOf(addr) == "" { // claimed by an earlier incarnation of this sidecar
		return r.lostResponse()
	}
	record, err := in.recaller.recall(ctx, addr, r.request.IdempotencyKey)
	switch {
	case err != nil || record.OutcomeUnknown || !record.Found:
		return r.lostResponse()
	case record.Running:
		return r.inProgressResponse()
	case record.Status == 0: // it never ran, and the key is being released
		return &wire.ResponseT{Ending: codeKeyNotGranted}
	}
	return r.replayResponse(&wire.ResponseT{
		Status:        record.Status,
		HeaderFields:  record.HeaderFields,
		Body:          record.Body,
		ContentLength: int64(len(record.Body)),
	})
}

// repeatResponse returns the response to a request whose key was claimed here before.
func (r *inboundRequest) repeatResponse(was keyRecord) *wire.ResponseT {
	switch {
	case was.state == keyClaiming || was.state == keyRunning:
		return r.inProgressResponse()
	case was.state == keyAnswered && was.response != nil:
		return r.replayResponse(was.response)
	}
	return r.lostResponse()
}

// replayResponse returns the response of the run that there was, for this attempt.
func (r *inboundRequest) replayResponse(first *wire.ResponseT) *wire.ResponseT {
	response := &wire.ResponseT{Status: first.Status, Body: first.Body, ContentLength: first.ContentLength}
	for _, f := range first.HeaderFields {
		if f.Name != headerAttemptID {
			response.HeaderFields = append(response.HeaderFields, f)
		}
	}
	response.HeaderFields = append(response.HeaderFields, &wire.HeaderFieldT{Name: headerAttemptID, Value: r.request.AttemptId})
	return response
}

func (r *inboundRequest) inProgressResponse() *wire.ResponseT {
	return r.localResponse(http.StatusConflict, "a request with the key is in flight")
}

func (r *inboundRequest) lostResponse() *wire.ResponseT {
	return r.localResponse(http.StatusBadGateway, "the key's request has run, or may have, and its answer is lost")
}

// localResponse returns a response of the sidecar itself in place of the server's.
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

// releaseOwnedKey releases the key if this request holds its lease. The request must not have run.
func (r *inboundRequest) releaseOwnedKey() {
	if r.ownsKey.Load() {
		r.releaseKey()
	}
}

func (r *inboundRequest) releaseKey() {
	in, request := r.inbound, r.request
	in.responses.markNotExecuted(request.IdempotencyKey)
	release := r.newLeaseRequest(0)
	release.Release = true
	in.releases.add(release)
}

// newLeaseRequest returns a request for the lease of the key, for a window from now.
func (r *inboundRequest) newLeaseRequest(window time.Duration) *wire.KeyLeaseRequestT {
	return &wire.KeyLeaseRequestT{
		Key:      r.request.IdempotencyKey,
		Token:    r.request.Token,
		Attempt:  r.request.Attempt,
		Holder:   r.inbound.env.leaseHolder(),
		WindowUs: window.Microseconds(),
	}
}
