package http1

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/message"
	"cranegrade/internal/pool"
)

// platformProtocol is the Protocol of the platform's protocol.
type platformProtocol struct{}

// ServeOwn implements Protocol: GET /health/ready says whether the node accepts clients.
func (platformProtocol) ServeOwn(f *Front, w http.ResponseWriter, hr *http.Request) bool {
	if hr.Method != http.MethodGet || hr.URL.Path != "/health/ready" || !bodiless(hr) {
		return false
	}
	f.closeIfDraining(w, nil)
	if f.unready.Load() {
		http.Error(w, "clients are sent away", http.StatusServiceUnavailable)
	}
	return true // otherwise 200: the front listens only when requests can be handled
}

// MayStartEarly implements Protocol: pipelined requests are not started ahead.
func (platformProtocol) MayStartEarly(*http.Request) bool { return false }

// RequestID implements Protocol.
func (platformProtocol) RequestID(*http.Request) string { return "" }

// MayHaveBody implements Protocol.
func (platformProtocol) MayHaveBody(hr *http.Request) bool { return hr.Method != http.MethodGet }

// SetRejectionHeader implements Protocol.
func (platformProtocol) SetRejectionHeader(h http.Header, _ *http.Request, r *Rejection) {
	if r.MayRetry {
		h.Set("Retry-After", "1")
	}
}

// SetResponseHeader implements Protocol.
func (platformProtocol) SetResponseHeader(h http.Header, _ *engine.Call, a engine.Answer) int {
	if r, is := a.Reply.(*message.Reply); is && r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64))
	}
	return statusOf[a.Verdict]
}

// maxClaimFactor is the limit on a caller's X-Time-Left, in deadlines of the class.
const maxClaimFactor = 10

// ParseRequest implements Protocol. The checks come in the order in which callers are told of what is wrong.
func (platformProtocol) ParseRequest(
	hr *http.Request, p *pool.Pool, name string, now time.Duration, c *engine.Call,
) (*message.Request, *Rejection) {
	if rejection := checkFraming(hr); rejection != nil {
		return nil, rejection
	}
	class, rejection := requestedClass(hr, p, name)
	if rejection != nil {
		return nil, rejection
	}
	if rejection := checkIDs(hr.Header, class.Effect); rejection != nil {
		return nil, rejection
	}
	left, rejection := timeLeft(hr.Header, class.Deadline)
	if rejection != nil {
		return nil, rejection
	}
	SetCommonFields(c, hr.Header, name, now, left)
	c.Cost = hintedCost(hr.Header, class.Deadline)
	return platformMessage(hr), nil
}

// checkFraming checks the length of a request's body, whatever the request asks for.
func checkFraming(hr *http.Request) *Rejection {
	switch {
	case len(hr.Header["Content-Length"]) > 1:
		// Of HTTP/2's net/http takes the first; a server might take another (RFC 9110, section 8.6).
		return &Rejection{Status: http.StatusBadRequest, Text: "more than one content-length"}
	case !hr.ProtoAtLeast(1, 1) && !bodiless(hr):
		return &Rejection{Status: http.StatusHTTPVersionNotSupported, Text: "a body needs HTTP/1.1"}
	case hr.ContentLength > maxBody:
		return &Rejection{Status: http.StatusRequestEntityTooLarge, Text: "the body is too long"}
	}
	return nil
}

// requestedClass returns the class of that name, if the pool has it and the request has the method of its effect.
func requestedClass(hr *http.Request, p *pool.Pool, name string) (balancer.Class, *Rejection) {
	class, known := p.Class(name)
	method := http.MethodPost
	if class.Effect == balancer.Idempotent {
		method = http.MethodGet
	}
	switch {
	case p.GRPC():
		return class, &Rejection{Status: http.StatusNotImplemented, Text: "the servers of this pool speak gRPC only"}
	case !known:
		return class, &Rejection{Status: http.StatusNotFound, Text: fmt.Sprintf("no class %.40q", name)}
	case hr.Method != method:
		return class, &Rejection{Status: http.StatusMethodNotAllowed, Text: "requests of this class are " + method}
	case method == http.MethodGet && hr.ContentLength > 0:
		return class, &Rejection{Status: http.StatusBadRequest, Text: "GET has no body"}
	}
	return class, nil
}

// checkIDs checks that a request has one id, and one key if its class needs that.
func checkIDs(h http.Header, effect balancer.Effect) *Rejection {
	ids, keys := h["X-Correlation-Id"], h["Idempotency-Key"]
	switch {
	case len(ids) != 1 || ids[0] == "":
		return &Rejection{Status: http.StatusBadRequest, Text: "not one X-Correlation-Id"}
	case effect == balancer.IdempotentByKey && (len(keys) != 1 || keys[0] == ""):
		// Without a key the servers would run every retry.
		return &Rejection{Status: http.StatusBadRequest, Text: "not one Idempotency-Key"}
	}
	return nil
}

// timeLeft returns how long the caller waits, but no longer than the deadline of the class.
func timeLeft(h http.Header, deadline time.Duration) (time.Duration, *Rejection) {
	claim, ok := message.ParseTimeLeft(h.Get("X-Time-Left"))
	if !ok || claim > maxClaimFactor*deadline {
		return 0, &Rejection{Status: http.StatusBadRequest, Text: "X-Time-Left is no time with the unit m or u, or too long"}
	}
	return min(claim, deadline), nil
}

// hintedCost returns the caller's estimate of the work, or 0 if it gives none. An estimate over the deadline of the class is of
// no use, and would outweigh all others in the module's mean.
func hintedCost(h http.Header, deadline time.Duration) time.Duration {
	us, err := strconv.ParseFloat(h.Get("X-Weight-Hint"), 64)
	if err != nil || !(us > 0) { // written so that NaN counts as none
		return 0
	}
	return time.Duration(min(us*float64(time.Microsecond), float64(deadline)))
}

// platformMessage returns a caller's request as the message that is sent to servers.
func platformMessage(hr *http.Request) *message.Request {
	out := &message.Request{
		Method:    hr.Method,
		URL:       hr.URL,
		Authority: hr.Host,
		Header:    make(map[string][]string, 3),
	}
	for _, name := range []string{"X-Correlation-Id", "Idempotency-Key", "Content-Type"} {
		if v := hr.Header[name]; len(v) > 0 {
			out.Header[name] = v
		}
	}
	return out
}

// SetCommonFields fills in the fields of a call that every protocol reads from the same header fields: id, class,
// tenant and zone; and its deadline, if the caller waits for left from now on.
func SetCommonFields(c *engine.Call, h http.Header, class string, now, left time.Duration) {
	c.ID = h.Get("X-Correlation-Id")
	c.Class = class
	c.ClientRetry = h.Get("X-Repeat") == "1"
	c.Tenant = h.Get("X-Account")
	c.CallerZone = h.Get(message.CallerZone)
	c.SetTimeLeft(now, left, ProxyOverhead)
}

// statusOf maps verdicts to status codes.
var statusOf = map[engine.Verdict]int{
	engine.Served:    http.StatusOK,
	engine.Rejected:  http.StatusServiceUnavailable,
	engine.Failed:    http.StatusBadGateway,
	engine.Duplicate: http.StatusConflict,
}
