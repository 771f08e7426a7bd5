package sidecar

import (
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	front "cranegrade/internal/front/http1"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/routing"
	"cranegrade/internal/message"
	"cranegrade/internal/pool"
)

// Names of the protocol's headers.
const (
	headerAttemptID      = "Attempt-Id"
	headerTimeBudget     = "Time-Budget"
	headerOperationKey   = "Operation-Key"
	headerTargetInstance = "Target-Instance"
	headerCallerService  = "Caller-Service"
	headerInstanceID     = "Instance-Id"
	headerServerSeal     = "Server-Seal"
	headerNotExecuted    = "Not-Executed"
	headerRetryAfter     = "Retry-After"
	// headerRuleTrace asks for, and names in the answer, the fingerprint of the merged rule and of the set that binds.
	headerRuleTrace = "Rule-Trace"
)

// Figures of the front.
const (
	maxIDBytes    = 256
	maxKeyBytes   = 1024
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 500 * time.Millisecond
	// rejectedRetryAfter is the advice, in seconds, with a refusal that no module gives.
	rejectedRetryAfter = "0.3"
)

// routedRequest is what the line knows of a request beyond its form. It is the Note of its message.
type routedRequest struct {
	route         *routing.Route
	service       *service
	attemptID     string
	key           string
	token         string
	attempts      atomic.Int32 // attempts that went out
	keyNotGranted atomic.Bool  // the registers could not grant its key: no more of them
	policy        *policy.Decision
	ruleTrace     string        // what is answered to hTrace
	lastEnding    atomic.Uint32 // how the last attempt ended
}

// maxAttempts is how many servers the request may be sent to.
func (o *routedRequest) maxAttempts() int {
	if o.policy != nil {
		return o.policy.MaxAttempts
	}
	return o.route.MaxAttempts
}

// mayRetry says whether the rule allows a further try after how the last one ended.
func (o *routedRequest) mayRetry() bool {
	return o.policy == nil || o.policy.MayRetry(retryConditionNames[balancer.Ending(o.lastEnding.Load())])
}

// routeResolver implements front.Routes.
type routeResolver struct{ *Sidecar }

// Route finds a request's service; the class there is the route's name.
func (l routeResolver) Route(hr *http.Request) (*pool.Pool, string, *front.Refusal) {
	path, _, _ := strings.Cut(hr.RequestURI, "?")
	r := l.routing.Load().Match(hr.Host, path)
	if !l.serving.Load() {
		return nil, "", &front.Refusal{Status: http.StatusServiceUnavailable, Text: "no confirmed configuration yet", Retry: true, Keep: hasNoBody(hr)}
	}
	if r == nil {
		return nil, "", &front.Refusal{Status: http.StatusNotFound, Text: "no route", Keep: hasNoBody(hr)}
	}
	s := l.pools.get(r.PickService(rand.Float64()))
	if s == nil {
		return nil, "", &front.Refusal{Status: http.StatusServiceUnavailable, Text: "the route's service is not known yet", Retry: true, Keep: hasNoBody(hr)}
	}
	return s.pool, r.Name, nil
}

func hasNoBody(hr *http.Request) bool { return hr.ContentLength == 0 && hr.TransferEncoding == nil }

// callerProtocol is the mesh's words towards callers. It implements front.Speech.
type callerProtocol struct{ *Sidecar }

// Own implements front.Speech: nothing that comes to Outbound is for the node itself.
func (callerProtocol) Own(*front.Front, http.ResponseWriter, *http.Request) bool { return false }

// Ahead implements front.Speech: what may run more than once is begun as it comes.
func (l callerProtocol) Ahead(hr *http.Request) bool {
	path, _, _ := strings.Cut(hr.RequestURI, "?")
	r := l.routing.Load().Match(hr.Host, path)
	return r != nil && r.Kind == routing.Idempotent
}

// ID implements front.Speech.
func (callerProtocol) ID(hr *http.Request) string { return hr.Header.Get(headerAttemptID) }

// Body implements front.Speech.
func (callerProtocol) Body(*http.Request) bool { return true }

// unforwardedHeaders are the headers that concern one connection only (RFC 9110, section 7.6.1), and those that the mesh sets itself.
var unforwardedHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, headerCallerService: true, headerTargetInstance: true, headerTimeBudget: true}

// forwardedHeaders are the headers that go along.
func forwardedHeaders(h http.Header) map[string][]string {
	out := make(map[string][]string, len(h)+1)
	for name, v := range h {
		if !unforwardedHeaders[name] {
			out[name] = v
		}
	}
	for _, l := range h["Connection"] {
		for _, name := range strings.Split(l, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}

// headSize is about how long a request's head is.
func headSize(hr *http.Request) int {
	n := len(hr.Method) + len(hr.RequestURI) + len(hr.Host)
	for name, values := range hr.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// Read implements front.Speech.
func (l callerProtocol) Read(hr *http.Request, p *pool.Pool, class string, now time.Duration, c *engine.Call) (*message.Request, *front.Refusal) {
	r := l.routing.Load().Route(class)
	if r == nil { // dropped this very moment
		return nil, &front.Refusal{Status: http.StatusNotFound, Text: "no route", Keep: hasNoBody(hr)}
	}
	h := hr.Header
	o := &routedRequest{route: r, service: l.pools.get(p.Name()), attemptID: h.Get(headerAttemptID), key: h.Get(headerOperationKey), policy: r.PolicyDecision(p.Name())}
	if o.policy != nil {
		if !r.HasDestination(p.Name()) { // the plan was changed since the service was drawn: nothing is decided by two
			return nil, &front.Refusal{Status: http.StatusServiceUnavailable, Text: "the route has just changed", Retry: true, Keep: hasNoBody(hr)}
		}
		if status, text := l.checkPolicy(o.policy, l.settings.Load().Service); status != 0 {
			l.log.Info().Str("route", r.Name).Str("rule", o.policy.Fingerprint).Int("status", status).Msg(text)
			return nil, &front.Refusal{Status: status, Text: text, Retry: status == http.StatusServiceUnavailable, Keep: hasNoBody(hr)}
		}
		if h.Get(headerRuleTrace) != "" {
			o.ruleTrace = o.policy.Fingerprint + " " + l.policies.current().Active
		}
	}
	if r.Kind == routing.Keyed && !l.controlPlane.isReachable() {
		return nil, &front.Refusal{Status: http.StatusServiceUnavailable, Text: "no majority of registers to grant the key", Retry: true, Keep: hasNoBody(hr)}
	}
	limits := l.routing.Load().Limits
	budget, err := strconv.ParseFloat(h.Get(headerTimeBudget), 64)
	switch {
	case len(h[headerAttemptID]) != 1 || o.attemptID == "" || len(o.attemptID) > maxIDBytes:
		return nil, &front.Refusal{Status: http.StatusBadRequest, Text: "not one " + headerAttemptID}
	case r.Kind == routing.Keyed && (len(h[headerOperationKey]) != 1 || o.key == "" || len(o.key) > maxKeyBytes):
		return nil, &front.Refusal{Status: http.StatusBadRequest, Text: "not one " + headerOperationKey}
	case limits.MaxHeaderBytes > 0 && headSize(hr) > limits.MaxHeaderBytes:
		return nil, &front.Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Text: "the head is too long", Keep: hasNoBody(hr)}
	case limits.MaxBodyBytes > 0 && hr.ContentLength > limits.MaxBodyBytes:
		return nil, &front.Refusal{Status: http.StatusRequestEntityTooLarge, Text: "the body is too long"}
	case h.Get(headerTimeBudget) != "" && (err != nil || !(budget > 0) || budget > 1e9):
		return nil, &front.Refusal{Status: http.StatusBadRequest, Text: headerTimeBudget + " is no time in milliseconds"}
	}
	left := r.Timeout
	if o.policy != nil {
		left = o.policy.Timeout
	}
	if budget > 0 {
		left = min(left, time.Duration(budget*float64(time.Millisecond)))
	}
	out := &message.Request{Method: hr.Method, URL: &url.URL{Opaque: hr.RequestURI}, Authority: hr.Host, Header: forwardedHeaders(h), Runs: message.RunsOnce, Note: o}
	if r.Kind.IsIdempotent() {
		out.Runs = message.RunsOften
	}
	out.Most = limits.MaxBodyBytes
	if r.Kind == routing.Keyed {
		o.token = l.newToken()
	} else {
		o.key = ""
	}
	own := min(front.OwnDelay, left/4)
	c.ID, c.Class = o.attemptID, class
	c.Deadline, c.Last = now+left-own, now+left-own/2
	return out, nil
}

// newToken names one call for the registers, in place of its Attempt-Id: a client that used an id twice would have two calls
// pass for one, and a later try of the second would be granted what the first holds.
func (l *Sidecar) newToken() string {
	return l.incarnation + strconv.FormatUint(l.lastToken.Add(1), 36)
}

// Head implements front.Speech.
func (l callerProtocol) Head(h http.Header, c *engine.Call, a engine.Answer) int {
	o := c.Payload.(*message.Request).Note.(*routedRequest)
	if o.ruleTrace != "" {
		h.Set(headerRuleTrace, o.ruleTrace)
	}
	if r, is := a.Reply.(*message.Reply); is {
		for _, f := range r.Header {
			h.Add(f.Name, f.Value)
		}
		if h.Get(headerAttemptID) == "" { // the server did not say
			h.Set(headerAttemptID, o.attemptID)
		}
		return r.Status
	}
	h.Set(headerAttemptID, o.attemptID)
	if o.policy != nil {
		l.log.Info().Str("route", o.route.Name).Str("rule", o.policy.Fingerprint).Int32("tries", o.attempts.Load()).Msg("not served")
	}
	switch {
	case a.Verdict == engine.Refused, a.Verdict == engine.Failed && o.attempts.Load() == 0: // it never went out, and never will
		wait := min(maxRetryAfter, max(minRetryAfter, a.RetryAfter, o.route.LatencyTarget/8))
		h.Set(headerRetryAfter, strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		return http.StatusServiceUnavailable
	case a.Verdict == engine.Duplicate:
		return http.StatusConflict
	}
	if l.clock.Now() >= c.Deadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// Refuse implements front.Speech.
func (l callerProtocol) Refuse(h http.Header, hr *http.Request, r *front.Refusal) {
	if id := hr.Header.Get(headerAttemptID); id != "" && len(id) <= maxIDBytes {
		h.Set(headerAttemptID, id)
	}
	if r.Retry {
		h.Set(headerRetryAfter, rejectedRetryAfter)
	}
}
