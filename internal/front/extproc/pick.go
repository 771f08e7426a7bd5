package extproc

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/extproc/stream"
	"cranegrade/internal/message"
	"cranegrade/internal/pool"
)

// attemptCountHeader is the proxy's count of the attempts of a request (include_request_attempt_count).
const attemptCountHeader = "x-envoy-attempt-count"

// minTimeLeftDivisor says which share of the decision time-out must be left for a request to be started: a quarter.
const minTimeLeftDivisor = 4

// proxyDelay is the part of a request's time that is kept for the way through the proxy and this node; no more than a
// quarter of what is left.
const proxyDelay = 20 * time.Millisecond

// callerZoneHeader is message.CallerZone in the lower case of stream.Request.
var callerZoneHeader = strings.ToLower(message.CallerZone)

// pickEndpoint has the engine pick an endpoint for a request, or finds the call that another stream began for it, and
// waits for the decision.
func (h *streamHandler) pickEndpoint(r *stream.Request) []stream.Action {
	if rejection := h.checkLimits(); rejection != nil {
		return h.machine.Respond(*rejection)
	}
	for {
		rejection, err := h.startCall(r)
		switch {
		case errors.Is(err, pool.ErrRetired):
			continue // the routes have been changed and name another pool
		case rejection != nil:
			return h.machine.Respond(*rejection)
		}
		return h.awaitDecision()
	}
}

// checkLimits rejects a request that is late or beyond its proxy's limits.
func (h *streamHandler) checkLimits() *stream.ImmediateResponse {
	f := h.front
	h.decideBy = f.arrival(h.proxy.Context()) + f.cfg.DecisionTimeout
	if f.cfg.Clock.Now() > h.decideBy-f.cfg.DecisionTimeout/minTimeLeftDivisor {
		// The node is overloaded. A late decision is worth nothing, so a request that has waited for most of its time is
		// not started, in favour of those that came after it and can be decided in time.
		f.late.Add(1)
		return unavailable("this processor is overloaded")
	}
	f.mu.Lock()
	ok := f.limits.takeToken(f.cfg.Clock.Now(), h.usage)
	f.mu.Unlock()
	if !ok || !h.withinLimit {
		return unavailable("too many questions of this proxy")
	}
	return nil
}

// startCall sets the call of the stream, a new one or the open one of an earlier attempt, or returns a rejection. The
// only error is pool.ErrRetired: the request is to be routed again.
func (h *streamHandler) startCall(r *stream.Request) (*stream.ImmediateResponse, error) {
	f := h.front
	id := r.Get(f.cfg.IDHeader)
	attemptCount, _ := strconv.Atoi(r.Get(attemptCountHeader)) // 0 if it is missing or invalid
	p, class, rejection := f.cfg.Routes.Route(r, id)
	if rejection != nil {
		return rejection, nil
	}
	if r.Subset != nil && len(r.Subset) == 0 {
		return unavailable("the subset of endpoints is empty"), nil
	}
	c, rejection := f.newCall(r, p, class, id)
	if rejection != nil {
		return rejection, nil
	}
	now := f.cfg.Clock.Now()
	if found, open, answer := f.calls.findOrAdd(now, c.key, c); found {
		return h.resumeCall(open, answer, attemptCount), nil
	}
	if attemptCount > 1 && requiresAtMostOnce(c.class()) {
		// A retry of a request that is not known here: this node has been restarted, or the proxy asked another node
		// before. The earlier attempts may have run.
		h.call = c
		h.finish(engine.Answer{Verdict: engine.Failed})
		return &stream.ImmediateResponse{
			Status:  http.StatusBadGateway,
			Details: "an earlier try is not known here and may have run",
		}, nil
	}
	if err := c.admit(); err != nil {
		f.calls.finish(now, c.key, c, engine.Answer{}, 0)
		if errors.Is(err, pool.ErrRetired) {
			return nil, err
		}
		return unavailable(err.Error()), nil
	}
	h.call = c
	c.attach(h.id, attemptCount)
	p.Engine().Submit(&c.Call)
	return nil, nil
}

// resumeCall takes over the open call of an earlier attempt. A request that has finished (open is nil) gets its answer
// again and no endpoint.
func (h *streamHandler) resumeCall(open *call, answer engine.Answer, attemptCount int) *stream.ImmediateResponse {
	if open == nil {
		response := immediateResponse(answer)
		return &response
	}
	if !open.attach(h.id, attemptCount) {
		return &stream.ImmediateResponse{Status: http.StatusConflict, Details: "a request with this id is open"}
	}
	// The proxy has given up its last attempt, which may have run.
	h.call = open
	open.endAttempt(nil, balancer.Canceled)
	return nil
}

// newCall makes a call of a request, or returns a rejection.
func (f *Front) newCall(r *stream.Request, p *pool.Pool, className, id string) (*call, *stream.ImmediateResponse) {
	class, known := p.Class(className)
	if !known {
		return nil, &stream.ImmediateResponse{Status: http.StatusNotFound, Details: fmt.Sprintf("no class %.40q", className)}
	}
	if class.Effect == balancer.IdempotentByKey && len(r.Header["idempotency-key"]) != 1 {
		return nil, &stream.ImmediateResponse{Status: http.StatusBadRequest, Details: "not one Idempotency-Key"}
	}
	left, ok := timeLeft(r, class.Deadline)
	if !ok {
		return nil, &stream.ImmediateResponse{Status: http.StatusBadRequest, Details: "the time left is no time"}
	}
	c := &call{pool: p, offers: make(chan offer, 1), answers: make(chan engine.Answer, 1)}
	if id != "" {
		c.key = p.Name() + "\x00" + id
	}
	c.Call = engine.Call{
		ID:             id,
		Class:          className,
		Receiver:       c,
		Payload:        c,
		ClientRetry:    r.Get("x-repeat") == "1",
		Tenant:         r.Get("x-account"),
		CandidateAddrs: r.Subset,
		CallerZone:     r.Get(callerZoneHeader),
		Size:           message.ParseContentLength(r.Get("content-length")),
	}
	c.SetTimeLeft(f.cfg.Clock.Now(), left, proxyDelay)
	return c, nil
}
