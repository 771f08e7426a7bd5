package sidecar

import (
	"math"
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
	// maxIDBytes and maxKeyBytes are the longest Attempt-Id and Operation-Key that are accepted, in bytes.
	maxIDBytes  = 256
	maxKeyBytes = 1024
	// maxTimeBudgetMS is the largest time budget that is accepted, in milliseconds.
	maxTimeBudgetMS = 1e9
	// minRetryAfter and maxRetryAfter bound the Retry-After of rejections that the decision module makes.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 500 * time.Millisecond
	// retryAfterDivisor sets the shortest Retry-After of a rejection: the route's latency target divided by it.
	retryAfterDivisor = 8
	// rejectionRetryAfterSeconds is the Retry-After of requests that are rejected before they reach the decision module.
	rejectionRetryAfterSeconds = "0.3"
	// unlimitedTimeBudget is the time budget of a request without a Time-Budget header.
	unlimitedTimeBudget = time.Duration(math.MaxInt64)
)

// callerProtocol is the mesh's protocol towards callers: it reads their requests and writes their responses. It
// implements front.Protocol.
type callerProtocol struct {
	env           *environment
	configuration *configuration
	pools         *servicePools
	controlPlane  *controlPlaneConn
	tokens        *tokenSource
}

// ServeOwn implements front.Protocol: no request to the outbound listener is addressed to the sidecar itself.
func (*callerProtocol) ServeOwn(*front.Front, http.ResponseWriter, *http.Request) bool { return false }

// MayStartEarly implements front.Protocol: a pipelined request of an idempotent route may start before the responses to
// earlier requests on its connection are complete.
func (p *callerProtocol) MayStartEarly(request *http.Request) bool {
	route := matchRoute(p.configuration.routing.Load(), request)
	return route != nil && route.Kind == routing.Idempotent
}

// RequestID implements front.Protocol.
func (*callerProtocol) RequestID(request *http.Request) string {
	return request.Header.Get(headerAttemptID)
}

// MayHaveBody implements front.Protocol.
func (*callerProtocol) MayHaveBody(*http.Request) bool { return true }

// ParseRequest implements front.Protocol: it validates a request and returns the message that the pool sends. Nothing
// is sent before it returns, so a caller may retry after any rejection.
func (p *callerProtocol) ParseRequest(
	request *http.Request, from *pool.Pool, class string, now time.Duration, call *engine.Call,
) (*message.Request, *front.Rejection) {
	route := p.configuration.routing.Load().Route(class)
	if route == nil { // the route was removed after Route had matched it
		return nil, reject(request, http.StatusNotFound, "no route")
	}
	routed := &routedRequest{
		route:     route,
		service:   p.pools.get(from.Name()),
		attemptID: request.Header.Get(headerAttemptID),
		key:       request.Header.Get(headerOperationKey),
		policy:    route.PolicyDecision(from.Name()),
	}
	if routed.policy != nil {
		if rejection := p.applyPolicy(request, from.Name(), routed); rejection != nil {
			return nil, rejection
		}
	}
	if route.Kind == routing.Keyed && !p.controlPlane.isReachable() {
		return nil, reject(request, http.StatusServiceUnavailable, "no quorum of control-plane members to grant the key")
	}
	limits := &p.configuration.routing.Load().Limits
	budget, rejection := validateRequest(request, routed, limits)
	if rejection != nil {
		return nil, rejection
	}
	if route.Kind == routing.Keyed {
		routed.token = p.tokens.next()
	} else {
		routed.key = ""
	}
	call.SetTimeLeft(now, routed.timeout(budget), front.ProxyOverhead)
	call.ID = routed.attemptID
	call.Class = class
	return newOutboundMessage(request, routed, limits), nil
}

// newOutboundMessage converts a caller's request to the message that is sent to servers.
func newOutboundMessage(request *http.Request, routed *routedRequest, limits *config.LimitsSpec) *message.Request {
	m := &message.Request{
		Method:       request.Method,
		URL:          &url.URL{Opaque: request.RequestURI},
		Authority:    request.Host,
		Header:       forwardedHeaders(request.Header),
		Idempotency:  message.NotIdempotent,
		MaxBodyBytes: limits.MaxBodyBytes,
		FrontData:    routed,
	}
	if routed.route.Kind.IsIdempotent() {
		m.Idempotency = message.Idempotent
	}
	return m
}

// applyPolicy checks a request against its effective policy, and sets the rule trace if the caller asks for it.
func (p *callerProtocol) applyPolicy(request *http.Request, service string, routed *routedRequest) *front.Rejection {
	// A service that is not among the route's destinations was chosen from an earlier routing table. A request must not be
	// decided by two tables.
	if !routed.route.HasDestination(service) {
		return reject(request, http.StatusServiceUnavailable, "the route has just changed")
	}
	effective := routed.policy
	if denial := p.configuration.checkPolicy(effective, p.env.settings.Load().Service); denial != nil {
		p.logRequest(routed.route, effective).Int("status", denial.status).Str("reason", denial.reason).Msg("request rejected by policy")
		return reject(request, denial.status, denial.reason)
	}
	if request.Header.Get(headerRuleTrace) != "" {
		routed.ruleTrace = effective.Fingerprint + " " + p.configuration.policies.current().Active
	}
	return nil
}

// validateRequest checks the headers and sizes of a request. It returns the request's time budget, which is
// unlimitedTimeBudget if there is no Time-Budget header.
func validateRequest(request *http.Request, routed *routedRequest, limits *config.LimitsSpec) (time.Duration, *front.Rejection) {
	header := request.Header
	keyed := routed.route.Kind == routing.Keyed
	budgetText := header.Get(headerTimeBudget)
	budgetMS, err := strconv.ParseFloat(budgetText, 64)
	switch {
	case len(header[headerAttemptID]) != 1 || routed.attemptID == "" || len(routed.attemptID) > maxIDBytes:
		return 0, &front.Rejection{Status: http.StatusBadRequest, Text: "not one " + headerAttemptID}
	case keyed && (len(header[headerOperationKey]) != 1 || routed.key == "" || len(routed.key) > maxKeyBytes):
		return 0, &front.Rejection{Status: http.StatusBadRequest, Text: "not one " + headerOperationKey}
	case limits.MaxHeaderBytes > 0 && headSize(request) > limits.MaxHeaderBytes:
		return 0, reject(request, http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
	case limits.MaxBodyBytes > 0 && request.ContentLength > limits.MaxBodyBytes:
		return 0, &front.Rejection{Status: http.StatusRequestEntityTooLarge, Text: "the body is too long"}
	case budgetText == "":
		return unlimitedTimeBudget, nil
	case err != nil || !(budgetMS > 0) || budgetMS > maxTimeBudgetMS: // NaN is not greater than 0
		return 0, &front.Rejection{Status: http.StatusBadRequest, Text: headerTimeBudget + " is no time in milliseconds"}
	}
	return time.Duration(budgetMS * float64(time.Millisecond)), nil
}

// SetResponseHeader implements front.Protocol: it writes the header of a response and returns its status.
func (p *callerProtocol) SetResponseHeader(header http.Header, call *engine.Call, answer engine.Answer) int {
	routed := call.Payload.(*message.Request).FrontData.(*routedRequest)
	if routed.ruleTrace != "" {
		header.Set(headerRuleTrace, routed.ruleTrace)
	}
	if reply, fromServer := answer.Reply.(*message.Reply); fromServer {
		setReplyHeader(header, reply, routed)
		return reply.Status
	}
	header.Set(headerAttemptID, routed.attemptID)
	if routed.policy != nil {
		p.logRequest(routed.route, routed.policy).Int32("attempts", routed.attempts.Load()).Msg("request not served")
	}
	return p.setFailureHeader(header, call, answer, routed)
}

// setReplyHeader copies the header of a server's response.
func setReplyHeader(header http.Header, reply *message.Reply, routed *routedRequest) {
	for _, field := range reply.Header {
		header.Add(field.Name, field.Value)
	}
	if header.Get(headerAttemptID) == "" { // the server did not set it
		header.Set(headerAttemptID, routed.attemptID)
	}
}

// setFailureHeader sets the header of a response that the sidecar generates itself, and returns its status. It sets a
// Retry-After only where a retry is safe: if the call was rejected, since then no attempt can have run or the route is
// idempotent, and if no attempt was made at all.
func (p *callerProtocol) setFailureHeader(
	header http.Header, call *engine.Call, answer engine.Answer, routed *routedRequest,
) int {
	noAttempt := answer.Verdict == engine.Failed && routed.attempts.Load() == 0
	switch {
	case answer.Verdict == engine.Rejected || noAttempt:
		wait := max(minRetryAfter, answer.RetryAfter, routed.route.LatencyTarget/retryAfterDivisor)
		header.Set(headerRetryAfter, formatRetryAfter(min(maxRetryAfter, wait)))
		return http.StatusServiceUnavailable
	case answer.Verdict == engine.Duplicate:
		return http.StatusConflict
	case p.env.clock.Now() >= call.Deadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// formatRetryAfter formats a Retry-After in seconds with three decimal places. RFC 9110, section 10.2.3, only allows
// whole seconds, but callers of the mesh accept fractions.
func formatRetryAfter(wait time.Duration) string {
	const decimals, bits = 3, 64
	return strconv.FormatFloat(wait.Seconds(), 'f', decimals, bits)
}

// SetRejectionHeader implements front.Protocol.
func (p *callerProtocol) SetRejectionHeader(header http.Header, request *http.Request, rejection *front.Rejection) {
	if id := request.Header.Get(headerAttemptID); id != "" && len(id) <= maxIDBytes {
		header.Set(headerAttemptID, id)
	}
	if rejection.MayRetry {
		header.Set(headerRetryAfter, rejectionRetryAfterSeconds)
	}
}

// logRequest begins a log line about a request with an effective policy.
func (p *callerProtocol) logRequest(route *routing.Route, effective *policy.Decision) *zerolog.Event {
	return p.env.log.Info().Str("route", route.Name).Str("policy_fingerprint", effective.Fingerprint)
}
