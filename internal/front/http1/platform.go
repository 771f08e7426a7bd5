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

// ParseRequest implements Protocol.
func (platformProtocol) ParseRequest(
	hr *http.Request, p *pool.Pool, name string, now time.Duration, c *engine.Call,
) (*message.Request, *Rejection) {
	h := hr.Header
	class, known := p.Class(name)
	method := http.MethodPost
	if class.Effect == balancer.Idempotent {
		method = http.MethodGet
	}
	claim, claimed := message.ParseTimeLeft(h.Get("X-Time-Left"))
	left := min(claim, class.Deadline)
	switch ids, keys := h["X-Correlation-Id"], h["Idempotency-Key"]; {
	case len(h["Content-Length"]) > 1:
		// Of HTTP/2's net/http takes the first; a server might take another (RFC 9110, section 8.6).
		return nil, &Rejection{Status: http.StatusBadRequest, Text: "more than one content-length"}
	case !hr.ProtoAtLeast(1, 1) && !bodiless(hr):
		return nil, &Rejection{Status: http.StatusHTTPVersionNotSupported, Text: "a body needs HTTP/1.1"}
	case hr.ContentLength > maxBody:
		return nil, &Rejection{Status: http.StatusRequestEntityTooLarge, Text: "the body is too long"}
	case p.GRPC():
		return nil, &Rejection{Status: http.StatusNotImplemented, Text: "the servers of this pool speak gRPC only"}
	case !known:
		return nil, &Rejection{Status: http.StatusNotFound, Text: fmt.Sprintf("no class %.40q", name)}
	case hr.Method != method:
		return nil, &Rejection{Status: http.StatusMethodNotAllowed, Text: "requests of this class are " + method}
	case method == http.MethodGet && hr.ContentLength > 0:
		return nil, &Rejection{Status: http.StatusBadRequest, Text: "GET has no body"}
	case len(ids) != 1 || ids[0] == "":
		return nil, &Rejection{Status: http.StatusBadRequest, Text: "not one X-Correlation-Id"}
	case class.Effect == balancer.IdempotentByKey && (len(keys) != 1 || keys[0] == ""):
		// Without a key the servers would run every retry.
		return nil, &Rejection{Status: http.StatusBadRequest, Text: "not one Idempotency-Key"}
	case !claimed || claim > maxClaimFactor*class.Deadline:
		return nil, &Rejection{Status: http.StatusBadRequest, Text: "X-Time-Left is no time with the unit m or u, or too long"}
	}

	out := &message.Request{
		Method:    hr.Method,
		URL:       hr.URL,
		Authority: hr.Host,
		Header:    make(map[string][]string, 3),
	}
	for _, name := range []string{"X-Correlation-Id", "Idempotency-Key", "Content-Type"} {
		if v := h[name]; len(v) > 0 {
			out.Header[name] = v
		}
	}
	SetCommonFields(c, h, name, now, left)
	if us, err := strconv.ParseFloat(h.Get("X-Weight-Hint"), 64); err == nil && us > 0 {
		// An estimate over the deadline is of no use, and would outweigh all others in the module's mean.
		c.Cost = time.Duration(min(us*float64(time.Microsecond), float64(class.Deadline)))
	}
	return out, nil
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
