package line

import (
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"hollyspur"
	"hollyspur/internal/engine"
	"hollyspur/internal/exchange/classmark"
	"hollyspur/internal/exchange/dialplan"
	front "hollyspur/internal/front/http1"
	"hollyspur/internal/message"
	"hollyspur/internal/pool"
)

// Names of the protocol's headers.
const (
	hAttempt  = "Attempt-Id"
	hBudget   = "Time-Budget"
	hKey      = "Operation-Key"
	hTarget   = "Target-Instance"
	hCaller   = "Caller-Service"
	hInstance = "Instance-Id"
	hSeal     = "Server-Seal"
	hNotRun   = "Not-Executed"
	hRetry    = "Retry-After"
	// hTrace asks for, and names in the answer, the fingerprint of the merged rule and of the set that binds.
	hTrace = "Rule-Trace"
)

// Figures of the front.
const (
	longestID  = 256
	longestKey = 1024
	leastRetry = 50 * time.Millisecond
	mostRetry  = 500 * time.Millisecond
	// refusedRetry is the advice, in seconds, with a refusal that no module gives.
	refusedRetry = "0.3"
)

// order is what the line knows of a request beyond its form. It is the Note of its message.
type order struct {
	route   *dialplan.Route
	service *service
	attempt string
	key     string
	ticket  string
	tries   atomic.Int32 // attempts that went out
	noKey   atomic.Bool  // the registers could not grant its key: no more of them
	mark    *classmark.Mark
	trace   string        // what is answered to hTrace
	last    atomic.Uint32 // how the last attempt ended
}

// most is how many servers the request may be sent to.
func (o *order) most() int {
	if o.mark != nil {
		return o.mark.Tries
	}
	return o.route.Attempts
}

// again says whether the rule allows a further try after how the last one ended.
func (o *order) again() bool {
	return o.mark == nil || o.mark.Again(endingNames[hollyspur.Ending(o.last.Load())])
}

// routes implements front.Routes.
type routes struct{ *Line }

// Route finds a request's service; the class there is the route's name.
func (l routes) Route(hr *http.Request) (*pool.Pool, string, *front.Refusal) {
	path, _, _ := strings.Cut(hr.RequestURI, "?")
	r := l.plan.Load().Find(hr.Host, path)
	if !l.serving.Load() {
		return nil, "", &front.Refusal{Status: http.StatusServiceUnavailable, Text: "no confirmed configuration yet", Retry: true, Keep: bodiless(hr)}
	}
	if r == nil {
		return nil, "", &front.Refusal{Status: http.StatusNotFound, Text: "no route", Keep: bodiless(hr)}
	}
	s := l.pools.get(r.Service(rand.Float64()))
	if s == nil {
		return nil, "", &front.Refusal{Status: http.StatusServiceUnavailable, Text: "the route's service is not known yet", Retry: true, Keep: bodiless(hr)}
	}
	return s.pool, r.Name, nil
}

func bodiless(hr *http.Request) bool { return hr.ContentLength == 0 && hr.TransferEncoding == nil }

// speech is the mesh's words towards callers. It implements front.Speech.
type speech struct{ *Line }

// Own implements front.Speech: nothing that comes to Outbound is for the node itself.
func (speech) Own(*front.Front, http.ResponseWriter, *http.Request) bool { return false }

// Ahead implements front.Speech: what may run more than once is begun as it comes.
func (l speech) Ahead(hr *http.Request) bool {
	path, _, _ := strings.Cut(hr.RequestURI, "?")
	r := l.plan.Load().Find(hr.Host, path)
	return r != nil && r.Kind == dialplan.Idempotent
}

// ID implements front.Speech.
func (speech) ID(hr *http.Request) string { return hr.Header.Get(hAttempt) }

// Body implements front.Speech.
func (speech) Body(*http.Request) bool { return true }

// hops are the headers that concern one connection only (RFC 9110, section 7.6.1), and those that the mesh sets itself.
var hops = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, hCaller: true, hTarget: true, hBudget: true}

// passed are the headers that go along.
func passed(h http.Header) map[string][]string {
	out := make(map[string][]string, len(h)+1)
	for name, v := range h {
		if !hops[name] {
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

// headBytes is about how long a request's head is.
func headBytes(hr *http.Request) int {
	n := len(hr.Method) + len(hr.RequestURI) + len(hr.Host)
	for name, values := range hr.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// Read implements front.Speech.
func (l speech) Read(hr *http.Request, p *pool.Pool, class string, now time.Duration, c *engine.Call) (*message.Request, *front.Refusal) {
	r := l.plan.Load().Named(class)
	if r == nil { // dropped this very moment
		return nil, &front.Refusal{Status: http.StatusNotFound, Text: "no route", Keep: bodiless(hr)}
	}
	h := hr.Header
	o := &order{route: r, service: l.pools.get(p.Name()), attempt: h.Get(hAttempt), key: h.Get(hKey), mark: r.Mark(p.Name())}
	if o.mark != nil {
		if !r.SendsTo(p.Name()) { // the plan was changed since the service was drawn: nothing is decided by two
			return nil, &front.Refusal{Status: http.StatusServiceUnavailable, Text: "the route has just changed", Retry: true, Keep: bodiless(hr)}
		}
		if status, text := l.allows(o.mark, l.set.Load().Service); status != 0 {
			l.log.Info().Str("route", r.Name).Str("rule", o.mark.Print).Int("status", status).Msg(text)
			return nil, &front.Refusal{Status: status, Text: text, Retry: status == http.StatusServiceUnavailable, Keep: bodiless(hr)}
		}
		if h.Get(hTrace) != "" {
			o.trace = o.mark.Print + " " + l.rules.get().Bound
		}
	}
	if r.Kind == dialplan.Keyed && !l.home.inTouch() {
		return nil, &front.Refusal{Status: http.StatusServiceUnavailable, Text: "no majority of registers to grant the key", Retry: true, Keep: bodiless(hr)}
	}
	limits := l.plan.Load().Limits
	budget, err := strconv.ParseFloat(h.Get(hBudget), 64)
	switch {
	case len(h[hAttempt]) != 1 || o.attempt == "" || len(o.attempt) > longestID:
		return nil, &front.Refusal{Status: http.StatusBadRequest, Text: "not one " + hAttempt}
	case r.Kind == dialplan.Keyed && (len(h[hKey]) != 1 || o.key == "" || len(o.key) > longestKey):
		return nil, &front.Refusal{Status: http.StatusBadRequest, Text: "not one " + hKey}
	case limits.MaxHeaderBytes > 0 && headBytes(hr) > limits.MaxHeaderBytes:
		return nil, &front.Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Text: "the head is too long", Keep: bodiless(hr)}
	case limits.MaxBodyBytes > 0 && hr.ContentLength > limits.MaxBodyBytes:
		return nil, &front.Refusal{Status: http.StatusRequestEntityTooLarge, Text: "the body is too long"}
	case h.Get(hBudget) != "" && (err != nil || !(budget > 0) || budget > 1e9):
		return nil, &front.Refusal{Status: http.StatusBadRequest, Text: hBudget + " is no time in milliseconds"}
	}
	left := r.Timeout
	if o.mark != nil {
		left = o.mark.Timeout
	}
	if budget > 0 {
		left = min(left, time.Duration(budget*float64(time.Millisecond)))
	}
	out := &message.Request{Method: hr.Method, URL: &url.URL{Opaque: hr.RequestURI}, Authority: hr.Host, Header: passed(h), Runs: message.RunsOnce, Note: o}
	if r.Kind.Repeatable() {
		out.Runs = message.RunsOften
	}
	out.Most = limits.MaxBodyBytes
	if r.Kind == dialplan.Keyed {
		o.ticket = l.ticket()
	} else {
		o.key = ""
	}
	own := min(front.OwnDelay, left/4)
	c.ID, c.Class = o.attempt, class
	c.Deadline, c.Last = now+left-own, now+left-own/2
	return out, nil
}

// ticket names one call for the registers, in place of its Attempt-Id: a client that used an id twice would have two calls
// pass for one, and a later try of the second would be granted what the first holds.
func (l *Line) ticket() string { return l.life + strconv.FormatUint(l.tickets.Add(1), 36) }

// Head implements front.Speech.
func (l speech) Head(h http.Header, c *engine.Call, a engine.Answer) int {
	o := c.Payload.(*message.Request).Note.(*order)
	if o.trace != "" {
		h.Set(hTrace, o.trace)
	}
	if r, is := a.Reply.(*message.Reply); is {
		for _, f := range r.Header {
			h.Add(f.Name, f.Value)
		}
		if h.Get(hAttempt) == "" { // the server did not say
			h.Set(hAttempt, o.attempt)
		}
		return r.Status
	}
	h.Set(hAttempt, o.attempt)
	if o.mark != nil {
		l.log.Info().Str("route", o.route.Name).Str("rule", o.mark.Print).Int32("tries", o.tries.Load()).Msg("not served")
	}
	switch {
	case a.Verdict == engine.Refused, a.Verdict == engine.Failed && o.tries.Load() == 0: // it never went out, and never will
		wait := min(mostRetry, max(leastRetry, a.RetryAfter, o.route.Aim/8))
		h.Set(hRetry, strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
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
func (l speech) Refuse(h http.Header, hr *http.Request, r *front.Refusal) {
	if id := hr.Header.Get(hAttempt); id != "" && len(id) <= longestID {
		h.Set(hAttempt, id)
	}
	if r.Retry {
		h.Set(hRetry, refusedRetry)
	}
}
