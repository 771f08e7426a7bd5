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

// platformProtocol is the Speech of the protocol's page.
type platformProtocol struct{}

// Own implements Speech: whoever asks hears whether clients are taken.
func (platformProtocol) Own(f *Front, w http.ResponseWriter, hr *http.Request) bool {
	if hr.Method != http.MethodGet || hr.URL.Path != "/health/ready" || !bodiless(hr) {
		return false
	}
	f.closeIfDraining(w, nil)
	if f.unready.Load() {
		http.Error(w, "clients are sent away", http.StatusServiceUnavailable)
	}
	return true // else 200: the front listens only once requests can be handled
}

// Ahead implements Speech: the library takes requests one after another.
func (platformProtocol) Ahead(*http.Request) bool { return false }

// ID implements Speech.
func (platformProtocol) ID(*http.Request) string { return "" }

// Body implements Speech.
func (platformProtocol) Body(hr *http.Request) bool { return hr.Method != http.MethodGet }

// Refuse implements Speech.
func (platformProtocol) Refuse(h http.Header, _ *http.Request, r *Refusal) {
	if r.Retry {
		h.Set("Retry-After", "1")
	}
}

// Head implements Speech.
func (platformProtocol) Head(h http.Header, _ *engine.Call, a engine.Answer) int {
	if r, is := a.Reply.(*message.Reply); is && r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64))
	}
	return statusOf[a.Verdict]
}

// maxClaimFactor is how many times its class's deadline a caller may claim to wait.
const maxClaimFactor = 10

// Read implements Speech.
func (platformProtocol) Read(hr *http.Request, p *pool.Pool, name string, now time.Duration, c *engine.Call) (*message.Request, *Refusal) {
	h := hr.Header
	class, known := p.Class(name)
	method := http.MethodPost
	if class.Effect == balancer.Safe {
		method = http.MethodGet
	}
	claim, claimed := message.ParseTimeLeft(h.Get("X-Time-Left"))
	left := min(claim, class.Deadline)
	switch ids, keys := h["X-Correlation-Id"], h["Idempotency-Key"]; {
	case len(h["Content-Length"]) > 1:
		// The library takes the first of HTTP/2's; whoever stands behind us might take another.
		return nil, &Refusal{Status: http.StatusBadRequest, Text: "more than one content-length"}
	case !hr.ProtoAtLeast(1, 1) && !bodiless(hr):
		return nil, &Refusal{Status: http.StatusHTTPVersionNotSupported, Text: "a body needs HTTP/1.1"}
	case hr.ContentLength > maxBody:
		return nil, &Refusal{Status: http.StatusRequestEntityTooLarge, Text: "the body is too long"}
	case p.GRPC():
		return nil, &Refusal{Status: http.StatusNotImplemented, Text: "the servers of this pool speak gRPC only"}
	case !known:
		return nil, &Refusal{Status: http.StatusNotFound, Text: fmt.Sprintf("no class %.40q", name)}
	case hr.Method != method:
		return nil, &Refusal{Status: http.StatusMethodNotAllowed, Text: "requests of this class are " + method}
	case method == http.MethodGet && hr.ContentLength > 0:
		return nil, &Refusal{Status: http.StatusBadRequest, Text: "GET has no body"}
	case len(ids) != 1 || ids[0] == "":
		return nil, &Refusal{Status: http.StatusBadRequest, Text: "not one X-Correlation-Id"}
	case class.Effect == balancer.Keyed && (len(keys) != 1 || keys[0] == ""):
		// Without its key the servers would run every repeat.
		return nil, &Refusal{Status: http.StatusBadRequest, Text: "not one Idempotency-Key"}
	case !claimed || claim > maxClaimFactor*class.Deadline:
		return nil, &Refusal{Status: http.StatusBadRequest, Text: "X-Time-Left is no time with the unit m or u, or too long"}
	}

	out := &message.Request{Method: hr.Method, URL: hr.URL, Authority: hr.Host, Header: make(map[string][]string, 3)}
	for _, name := range []string{"X-Correlation-Id", "Idempotency-Key", "Content-Type"} {
		if v := h[name]; len(v) > 0 {
			out.Header[name] = v
		}
	}
	Describe(c, h, name, now, left)
	if us, err := strconv.ParseFloat(h.Get("X-Weight-Hint"), 64); err == nil && us > 0 {
		// More than the deadline is no guess, and would outweigh all others in the module's mean.
		c.Cost = time.Duration(min(us*float64(time.Microsecond), float64(class.Deadline)))
	}
	return out, nil
}

// Describe fills in what the head of any request tells of a call: who asks, of what class, and until when, where its
// caller waits so long from now.
func Describe(c *engine.Call, h http.Header, class string, now, left time.Duration) {
	own := min(OwnDelay, left/4)
	c.ID, c.Class, c.Repeat = h.Get("X-Correlation-Id"), class, h.Get("X-Repeat") == "1"
	c.Deadline, c.Last = now+left-own, now+left-own/2
	c.Tenant, c.From = h.Get("X-Account"), h.Get(message.CallerZone)
}

// statusOf of the verdicts, by the protocol's page.
var statusOf = map[engine.Verdict]int{
	engine.Served:    http.StatusOK,
	engine.Refused:   http.StatusServiceUnavailable,
	engine.Failed:    http.StatusBadGateway,
	engine.Duplicate: http.StatusConflict,
}
