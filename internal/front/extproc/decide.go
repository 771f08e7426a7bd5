package extproc

import (
	"fmt"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/extproc/stream"
)

// awaitDecision waits until the engine offers an attempt of the call or answers it, for no longer than the proxy does.
func (h *streamHandler) awaitDecision() []stream.Action {
	timer := time.NewTimer(h.decideBy - h.front.cfg.Clock.Now())
	defer timer.Stop()
	for {
		select {
		case o := <-h.call.offers:
			if actions, ok := h.decide(o); ok {
				return actions
			}
		case answer := <-h.call.answers:
			h.finish(answer)
			return h.machine.Respond(immediateResponse(answer))
		case <-timer.C:
			return h.decisionTimedOut()
		case <-h.proxy.Context().Done():
			return h.machine.End()
		}
	}
}

// decide tells the proxy the endpoint of an attempt. It returns false if the attempt can't be made any more.
func (h *streamHandler) decide(o offer) (actions []stream.Action, ok bool) {
	if ending, ok := o.attempt.MayWrite(); !ok {
		o.attempt.End(ending, nil)
		return nil, false
	}
	if o.ctx.Err() != nil {
		o.attempt.End(balancer.NeverSent, nil)
		return nil, false
	}
	// From here on the proxy may have the decision, and the endpoint the request.
	h.call.carry(o)
	actions, _ = h.machine.Decide(h.decision(o.attempt))
	return actions, true
}

// decision is the decision that the proxy is sent for an attempt.
func (h *streamHandler) decision(a *engine.Attempt) stream.Decision {
	cfg := &h.front.cfg
	d := stream.Decision{
		Endpoint:        a.Endpoint.Addr,
		ClearRouteCache: cfg.ClearRouteCache,
		HeadersOnly:     cfg.HeadersOnly,
		AtMostOnce:      requiresAtMostOnce(h.call.class()),
		MayHaveRun:      h.call.mayHaveRun(),
	}
	if cfg.Retries {
		d.RetryHeader = cfg.RetryHeader
	}
	for _, endpoint := range a.Spares {
		if endpoint.Usable() {
			d.Fallbacks = append(d.Fallbacks, endpoint.Addr)
		}
	}
	if cfg.TimeLeft {
		d.TimeLeft = a.Timeout
	} else if d.Fallbacks == nil {
		d.Cached = h.front.responses.response(d)
	}
	return d
}

// decisionTimedOut answers a request for which no endpoint was found before the proxy's own time-out. Nothing was
// decided on this stream, but an earlier attempt may have run.
func (h *streamHandler) decisionTimedOut() []stream.Action {
	answer := h.giveUp()
	h.finish(answer)
	response := immediateResponse(answer)
	response.Details = fmt.Sprintf("no server within %v", h.front.cfg.DecisionTimeout)
	return h.machine.Respond(response)
}

// giveUp withdraws the call from the engine, and returns the answer that the client gets instead of the engine's.
func (h *streamHandler) giveUp() engine.Answer {
	h.call.pool.Engine().CallerGone(&h.call.Call)
	return h.withoutFalsePromise(engine.Answer{Verdict: engine.Rejected, RetryAfter: time.Second})
}

// withoutFalsePromise changes an answer into a failure where the request may have run and must not run again: a
// rejection would tell the client that it can safely retry.
func (h *streamHandler) withoutFalsePromise(answer engine.Answer) engine.Answer {
	if h.call.mayHaveRun() && requiresAtMostOnce(h.call.class()) {
		answer.Verdict = engine.Failed
	}
	return answer
}
