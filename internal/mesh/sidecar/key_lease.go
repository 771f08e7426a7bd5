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
	// claimTimeout bounds a lease request, in addition to half of the time of its request.
	claimTimeout = 400 * time.Millisecond
	// leaseSlack is how much longer than its window a key is leased, because the window begins when its request is
	// sent, before the lease.
	leaseSlack = 2 * time.Second
)

// keyLeaseTime returns how long a key is leased: its window in the settings, and leaseSlack.
func (e *environment) keyLeaseTime() time.Duration {
	return e.settings.Load().Bounds.KeyWindowS.Duration() + leaseSlack
}

// leaseHolder names this incarnation of the sidecar as the holder of key leases. It includes the incarnation because a
// sidecar that has restarted knows nothing of the leases that it held before.
func (e *environment) leaseHolder() string { return e.addr() + "/" + e.incarnation }

// holderAddr returns the address of the sidecar that leaseHolder names.
func holderAddr(holder string) string {
	addr, _, _ := strings.Cut(holder, "/")
	return addr
}

// tokenSource makes the tokens that identify a keyed call to the control plane. The client's Attempt-Id would not do:
// if a client used an ID twice, two calls would count as one, and an attempt of the second would be granted the lease
// that the first holds. Any goroutine may call next.
type tokenSource struct {
	incarnation string
	last        atomic.Uint64
}

// next returns a token that no other call in the mesh has.
func (t *tokenSource) next() string {
	return t.incarnation + strconv.FormatUint(t.last.Add(1), tokenBase)
}

// tokenBase is the numeral base of the count in a token. It is the largest that strconv has, for short tokens.
const tokenBase = 36

// claimKey leases the request's key, so that no other request with the key may run. It returns nil if this request may
// run, and otherwise its response. It is called before the first byte goes to the server: if there is no lease, nothing
// has run.
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
		// The lease may still be granted. The request will not run, so the lease is released.
		r.releaseKey()
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

// holderResponse returns the response according to what the holder of the key's lease knows about it.
func (r *inboundRequest) holderResponse(ctx context.Context, holder string) *wire.ResponseT {
	server := r.inbound
	addr := holderAddr(holder)
	if addr == server.env.addr() && server.maintenance.successorOf(addr) == "" {
		return r.lostResponse() // an earlier incarnation of this sidecar held the lease, and its records ended with it
	}
	record, err := server.recaller.recall(ctx, addr, r.request.IdempotencyKey)
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
func (r *inboundRequest) repeatResponse(earlier keyRecord) *wire.ResponseT {
	switch {
	case earlier.state == keyClaiming || earlier.state == keyRunning:
		return r.inProgressResponse()
	case earlier.state == keyAnswered && earlier.response != nil:
		return r.replayResponse(earlier.response)
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

// inProgressResponse returns the response to a repeat of a request that runs.
func (r *inboundRequest) inProgressResponse() *wire.ResponseT {
	return r.localResponse(http.StatusConflict, "a request with the key is in flight")
}

// lostResponse returns the response to a repeat of a request that may have run, and whose response is not stored. The
// request is not run again.
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

// releaseKey records that the request never ran, and queues the release of the key's lease.
func (r *inboundRequest) releaseKey() {
	r.inbound.responses.markNotExecuted(r.request.IdempotencyKey)
	release := r.newLeaseRequest(0)
	release.Release = true
	r.inbound.releases.add(release)
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
