package sidecar

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"cranegrade/internal/engine"
	front "cranegrade/internal/front/http1"
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/routing"
	"cranegrade/internal/message"
	"cranegrade/internal/pool"
)

const (
	maxIDBytes  = 256
	maxKeyBytes = 1024
	// maxTimeBudgetMS is the largest time budget that is accepted, in milliseconds.
	maxTimeBudgetMS = 1e9
	minRetryAfter   = 50 * time.Millisecond
	maxRetryAfter   = 500 * time.Millisecond
	// retryAfterDivisor: a rejected caller is told to wait at least the route's latency target divided by this.
	retryAfterDivisor = 8
	// ownDelayDivisor: the sidecar reserves at most the time of a request divided by this for its own work.
	ownDelayDivisor = 4
	// rejectedRetryAfter is the Retry-After, in seconds, of rejections that the decision module does not make.
	rejectedRetryAfter = "0.3"
)

// callerProtocol is the mesh's protocol towards callers: it reads their requests and writes their responses. It implements front.Protocol.
type callerProtocol struct {
	env           *environment
	configuration *configuration
	pools         *servicePools
	controlPlane  *controlPlaneConn
	tokens        *tokenSource
}

// ServeOwn implements front.Protocol: nothing that comes to Outbound is for the node itself.
func (*callerProtocol) ServeOwn(*front.Front, http.ResponseWriter, *http.Request) bool { return false }

// MayStartEarly implements front.Protocol: pipelined requests of idempotent routes are begun before the responses to earlier ones.
func (p *callerProtocol) MayStartEarly(hr *http.Request) bool {
	route := matchRoute(p.configuration.routing.Load(), hr)
	return route != nil && route.Kind == routing.Idempotent
}

// RequestID implements front.Protocol.
func (*callerProtocol) RequestID(hr *http.Request) string { return hr.Header.Get(headerAttemptID) }

// MayHaveBody implements front.Protocol.
func (*callerProtocol) MayHaveBody(*http.Request) bool { return true }

// ParseRequest implements front.Protocol: it checks a request and makes the message that the pool takes.
func (p *callerProtocol) ParseRequest(hr *http.Request, from *pool.Pool, class string, now time.Duration, c *engine.Call) (
	*message.Request, *front.Rejection,
) {
	route := p.configuration.routing.Load().Route(class)
	if route == nil { // it was removed after Route had found it
		return nil, reject(hr, http.StatusNotFound, "no route")
	}
	h := hr.Header
	routed := &routedRequest{
		route:     route,
		service:   p.pools.get(from.Name()),
		attemptID: h.Get(headerAttemptID),
		key:       h.Get(headerOperationKey),
		policy:    route.PolicyDecision(from.Name()),
	}
	if routed.policy != nil {
		if rejection := p.applyPolicy(hr, from.Name(), routed); rejection != nil {
			return nil, rejection
		}
	}
	if route.Kind == routing.Keyed && !p.controlPlane.isReachable() {
		return nil, reject(hr, http.StatusServiceUnavailable, "no quorum of control-plane members to grant the key")
	}
	limits := &p.configuration.routing.Load().Limits
	budget, rejection := checkForm(hr, routed, limits)
	if rejection != nil {
		return nil, rejection
	}
	left := routed.timeLeft(budget)
	out := &message.Request{
		Method:      hr.Method,
		URL:         &url.URL{Opaque: hr.RequestURI},
		Authority:   hr.Host,
		Header:      forwardedHeaders(h),
		Idempotency: message.NotIdempotent,
		FrontData:   routed,
	}
	if route.Kind.IsIdempotent() {
		out.Idempotency = message.Idempotent
	}
	out.MaxBodyBytes = limits.MaxBodyBytes
	if route.Kind == routing.Keyed {
		routed.token = p.tokens.next()
	} else {
		routed.key = ""
	}
	own := min(front.ProxyOverhead, left/ownDelayDivisor)
	c.ID = routed.attemptID
	c.Class = class
	c.Deadline = now + left - own
	c.FallbackAt = now + left - own/2
	return out, nil
}

// applyPolicy checks a request against its effective policy, and records the rule trace if the caller asks for it.
func (p *callerProtocol) applyPolicy(hr *http.Request, service string, routed *routedRequest) *front.Rejection {
	if !routed.route.HasDestination(service) { // the table changed since Route: a request must not be decided by two tables
		return reject(hr, http.StatusServiceUnavailable, "the route has just changed")
	}
	effective := routed.policy
	if status, text := p.configuration.checkPolicy(effective, p.env.settings.Load().Service); status != 0 {
		p.log(routed.route, effective).Int("status", status).Str("reason", text).Msg("request rejected by policy")
		return reject(hr, status, text)
	}
	if hr.Header.Get(headerRuleTrace) != "" {
		routed.ruleTrace = effective.Fingerprint + " " + p.configuration.policies.current().Active
	}
	return nil
}

// checkForm validates the headers and sizes of a request, and returns its time budget in milliseconds; 0: it has none.
func checkForm(hr *http.Request, routed *routedRequest, limits *config.LimitsSpec) (budget float64, _ *front.Rejection) {
	h := hr.Header
	keyed := routed.route.Kind == routing.Keyed
	budget, err := strconv.ParseFloat(h.Get(headerTimeBudget), 64)
	switch {
	case len(h[headerAttemptID]) != 1 || routed.attemptID == "" || len(routed.attemptID) > maxIDBytes:
		return 0, &front.Rejection{Status: http.StatusBadRequest, Text: "not one " + headerAttemptID}
	case keyed && (len(h[headerOperationKey]) != 1 || routed.key == "" || len(routed.key) > maxKeyBytes):
		return 0, &front.Rejection{Status: http.StatusBadRequest, Text: "not one " + headerOperationKey}
	case limits.MaxHeaderBytes > 0 && headSize(hr) > limits.MaxHeaderBytes:
		return 0, reject(hr, http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
	case limits.MaxBodyBytes > 0 && hr.ContentLength > limits.MaxBodyBytes:
		return 0, &front.Rejection{Status: http.StatusRequestEntityTooLarge, Text: "the body is too long"}
	case h.Get(headerTimeBudget) != "" && (err != nil || !(budget > 0) || budget > maxTimeBudgetMS):
		return 0, &front.Rejection{Status: http.StatusBadRequest, Text: headerTimeBudget + " is no time in milliseconds"}
	}
	return budget, nil
}

// timeLeft returns the time for a request: that of the route or of the policy, but no more than the caller's budget, in milliseconds.
func (r *routedRequest) timeLeft(budget float64) time.Duration {
	left := r.route.Timeout
	if r.policy != nil {
		left = r.policy.Timeout
	}
	if budget > 0 {
		left = min(left, time.Duration(budget*float64(time.Millisecond)))
	}
	return left
}

// SetResponseHeader implements front.Protocol: it writes the header of a response and returns its status.
func (p *callerProtocol) SetResponseHeader(h http.Header, c *engine.Call, a engine.Answer) int {
	routed := c.Payload.(*message.Request).FrontData.(*routedRequest)
	if routed.ruleTrace != "" {
		h.Set(headerRuleTrace, routed.ruleTrace)
	}
	if r, is := a.Reply.(*message.Reply); is {
		for _, f := range r.Header {
			h.Add(f.Name, f.Value)
		}
		if h.Get(headerAttemptID) == "" { // the server did not set it
			h.Set(headerAttemptID, routed.attemptID)
		}
		return r.Status
	}
	h.Set(headerAttemptID, routed.attemptID)
	if routed.policy != nil {
		p.log(routed.route, routed.policy).Int32("attempts", routed.attempts.Load()).Msg("request not served")
	}
	switch {
	// Rejected: no attempt can have run, or the route is idempotent. Without an attempt nothing can have run either. A retry is safe.
	case a.Verdict == engine.Rejected, a.Verdict == engine.Failed && routed.attempts.Load() == 0:
		wait := min(maxRetryAfter, max(minRetryAfter, a.RetryAfter, routed.route.LatencyTarget/retryAfterDivisor))
		h.Set(headerRetryAfter, strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		return http.StatusServiceUnavailable
	case a.Verdict == engine.Duplicate:
		return http.StatusConflict
	}
	if p.env.clock.Now() >= c.Deadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// SetRejectionHeader implements front.Protocol.
func (p *callerProtocol) SetRejectionHeader(h http.Header, hr *http.Request, r *front.Rejection) {
	if id := hr.Header.Get(headerAttemptID); id != "" && len(id) <= maxIDBytes {
		h.Set(headerAttemptID, id)
	}
	if r.MayRetry {
		h.Set(headerRetryAfter, rejectedRetryAfter)
	}
}

// log begins a log line about a request with an effective policy.
func (p *callerProtocol) log(route *routing.Route, effective *policy.Decision) *zerolog.Event {
	return p.env.log.Info().Str("route", route.Name).Str("policy_fingerprint", effective.Fingerprint)
}
