package extproc

import (
	"log"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/extproc/stream"
)

// handleOutcome ends the attempt that the proxy carried, as far as the proxy shows how it went.
func (h *streamHandler) handleOutcome(o stream.Outcome) []stream.Action {
	c := h.call
	succeeded := o.Ending == balancer.Success // whichever endpoint served it
	if o.Status != 0 {
		c.recordTransfer(o.ContentLength, o.Served)
	}
	ending := h.endingOfDestination(o)
	if !o.Answered {
		return nil // the stream broke: release deals with the call
	}
	if h.front.cfg.Retries && !succeeded {
		// The proxy may come back. The module decides now whether it may, and to which endpoint it goes then.
		c.endAttempt(nil, ending)
		if o.AwaitsRetryDecision {
			return h.decideRetry()
		}
		return nil
	}
	verdict := engine.Failed
	if succeeded {
		verdict = engine.Served
	}
	c.endWithAttempt(ending)
	h.finish(engine.Answer{Verdict: verdict})
	return nil
}

// endingOfDestination is the ending of the attempt at the endpoint that was decided, which need not be the one that
// served.
func (h *streamHandler) endingOfDestination(o stream.Outcome) balancer.Ending {
	destination, isFallback := h.call.destination(o.Served)
	switch {
	case o.Served == "" || destination == "" || o.Served == destination:
		return o.Ending
	case isFallback:
		// The proxy went down the list, because it could not use the first endpoint.
		return balancer.Unreachable
	}
	h.front.countMisrouted(destination, o.Served)
	if o.Ending == balancer.Success || o.Ending == balancer.Failure {
		return balancer.NeverSent // it ran elsewhere: the destination had no part in it
	}
	return o.Ending
}

// decideRetry tells the proxy whether it may retry the request. It may once the module has picked an endpoint for the
// next attempt, which then waits for the stream that the proxy opens for it.
func (h *streamHandler) decideRetry() []stream.Action {
	c := h.call
	timer := time.NewTimer(h.front.cfg.DecisionTimeout)
	defer timer.Stop()
	var answer engine.Answer
	select {
	case o := <-c.offers:
		if c.keepOffer(o) {
			actions, _ := h.machine.DecideRetry(stream.RetryDecision{Retry: true})
			return actions
		}
		c.pool.Engine().CallerGone(&c.Call)
		answer = engine.Answer{Verdict: engine.Failed}
	case answer = <-c.answers:
		answer = h.withoutFalsePromise(answer)
	case <-timer.C:
		answer = h.giveUp() // no endpoint is free, and the client has waited long enough
	case <-h.proxy.Context().Done():
		return nil // the next Recv fails, and release deals with the call
	}
	h.finish(answer)
	actions, _ := h.machine.DecideRetry(stream.RetryDecision{
		Rejected:   answer.Verdict == engine.Rejected,
		RetryAfter: answer.RetryAfter,
	})
	return actions
}

// countMisrouted counts a request that a proxy sent to another endpoint than was decided, and logs it at most once in a
// second.
func (f *Front) countMisrouted(destination, served string) {
	total := f.misrouted.Add(1)
	now := time.Now().Unix()
	if last := f.misroutedLoggedAt.Load(); now > last && f.misroutedLoggedAt.CompareAndSwap(last, now) {
		log.Printf("ext_proc: a proxy sent a request that was decided for %s to %s; %d requests were misrouted so far",
			destination, served, total)
	}
}
