package node

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"hollyspur"
)

// ownDelay is what the node leaves of a caller's time for its own work and the way back, so that
// the answer is there before the caller has given up.
const ownDelay = 20 * time.Millisecond

const (
	// arrival is how long a request may take from its first byte, or on a new connection from when that
	// came up, to its last.
	arrival = 2500 * time.Millisecond
	// drain is how long the rest of a request is read on that was turned away: a connection closed
	// with bytes unread is reset, and the answer may be lost with it.
	drain        = 300 * time.Millisecond
	idleTimeout  = 30 * time.Second
	writeTimeout = 5 * time.Second
	maxHeader    = 16 << 10
	// bodiesShare of the memory is for callers' bodies: every caller with the longest is too much.
	bodiesShare = 0.1
	// longClaim is how many times its class's deadline a caller may claim to wait.
	longClaim = 10
)

// front takes callers' requests and writes their answers.
type front struct {
	loop     *loop
	classes  map[string]hollyspur.Class
	bodyRoom atomic.Int64 // bytes left for callers' bodies
}

func newFront(l *loop, cfg Config) *front {
	f := &front{loop: l, classes: map[string]hollyspur.Class{}}
	for _, c := range cfg.Settings.Classes {
		f.classes[c.Name] = c
	}
	f.bodyRoom.Store(math.MaxInt64)
	if cfg.MemoryMB > 0 {
		f.bodyRoom.Store(int64(cfg.MemoryMB * bodiesShare * (1 << 20)))
	}
	return f
}

type callerKey struct{}

func (f *front) server() *http.Server {
	return &http.Server{Handler: f, ReadHeaderTimeout: arrival, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader, DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, callerKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateIdle {
				c.(*caller).rest()
			}
		}}
}

// ServeHTTP answers one request. It is no ServeMux, which would redirect paths that it cleans.
func (f *front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if hr.Method == http.MethodGet && hr.URL.Path == "/health/ready" && bodiless(hr) {
		return // 200: the front listens only once requests can be handled
	}
	from := hr.Context().Value(callerKey{}).(*caller)
	r, err := f.check(hr)
	if err == nil {
		defer f.bodyRoom.Add(hr.ContentLength)
		if f.bodyRoom.Add(-hr.ContentLength) < 0 {
			w.Header().Set("Retry-After", "1") // harmless: nothing was done for it
			err = &refusal{http.StatusServiceUnavailable, "no room for the body"}
		} else {
			err = f.readBody(w, hr, r, from)
		}
	}
	if err != nil {
		// What follows on the connection can't be told from the rest of what was not understood.
		from.refuse()
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(drain))
		w.Header().Set("Connection", "close")
		http.Error(w, err.text, err.status)
		return
	}
	if !from.take() {
		panic(http.ErrAbortHandler)
	}
	f.loop.post(func() { f.loop.accept(r) })
	select {
	case a := <-r.answer:
		write(w, a)
		f.loop.upstream.free(a.body)
	case <-hr.Context().Done():
		f.loop.post(func() { f.loop.gone(r) })
		// Returning would answer 200 with nothing in it, should the caller still read.
		panic(http.ErrAbortHandler)
	}
}

// refusal says why a request was turned away before any attempt and without a word to the module.
type refusal struct {
	status int
	text   string
}

// bodiless says that no body comes with a request. A length beside a Transfer-Encoding is gone by the
// time that the request is seen here, and one of HTTP/1.0 has lost any Transfer-Encoding.
func bodiless(hr *http.Request) bool { return hr.ContentLength == 0 && hr.TransferEncoding == nil }

// check reads a request's head.
func (f *front) check(hr *http.Request) (*request, *refusal) {
	now := f.loop.clock.now()
	h := hr.Header
	name, _, _ := strings.Cut(strings.TrimPrefix(hr.URL.Path, "/"), "/")
	class, known := f.classes[name]
	method := http.MethodPost
	if class.Effect == hollyspur.Safe {
		method = http.MethodGet
	}
	claim, claimed := parseTimeLeft(h.Get("X-Time-Left"))
	left := min(claim, class.Deadline)
	switch ids, keys := h["X-Correlation-Id"], h["Idempotency-Key"]; {
	case hr.TransferEncoding != nil:
		// Callers that we serve tell the length; with both, others see an end where we see none.
		return nil, &refusal{http.StatusLengthRequired, "Transfer-Encoding is not taken"}
	case !hr.ProtoAtLeast(1, 1) && !bodiless(hr):
		return nil, &refusal{http.StatusHTTPVersionNotSupported, "a body needs HTTP/1.1"}
	case hr.ContentLength > maxBody:
		return nil, &refusal{http.StatusRequestEntityTooLarge, "the body is too long"}
	case !known:
		return nil, &refusal{http.StatusNotFound, fmt.Sprintf("no class %.40q", name)}
	case hr.Method != method:
		return nil, &refusal{http.StatusMethodNotAllowed, "requests of this class are " + method}
	case method == http.MethodGet && !bodiless(hr):
		return nil, &refusal{http.StatusBadRequest, "GET has no body"}
	case len(ids) != 1 || ids[0] == "":
		return nil, &refusal{http.StatusBadRequest, "not one X-Correlation-Id"}
	case class.Effect == hollyspur.Keyed && (len(keys) != 1 || keys[0] == ""):
		// Without its key the servers would run every repeat.
		return nil, &refusal{http.StatusBadRequest, "not one Idempotency-Key"}
	case !claimed || claim > longClaim*class.Deadline:
		return nil, &refusal{http.StatusBadRequest, "X-Time-Left is no time with the unit m or u, or too long"}
	}

	out := &http.Request{Method: hr.Method, URL: hr.URL, Host: hr.Host, ContentLength: hr.ContentLength,
		Header: http.Header{"User-Agent": nil}}
	for _, name := range []string{"X-Correlation-Id", "Idempotency-Key", "Content-Type"} {
		if v := h.Values(name); len(v) > 0 {
			out.Header[name] = v
		}
	}
	own := min(ownDelay, left/4)
	r := &request{callerID: h.Get("X-Correlation-Id"), class: name, repeat: h.Get("X-Repeat") == "1",
		deadline: now + left - own, last: now + left - own/2, forward: out, answer: make(chan answer, 1)}
	if us, err := strconv.ParseFloat(h.Get("X-Weight-Hint"), 64); err == nil && us > 0 {
		// More than the deadline is no guess, and would outweigh all others in the module's mean.
		r.cost = time.Duration(min(us*float64(time.Microsecond), float64(class.Deadline)))
	}
	return r, nil
}

// readBody reads the body. One that doesn't end must not hold its connection for good; but the limit
// is lifted afterwards: run out once the body is in, it would pass for the caller's going away, and
// its request would be lost.
func (f *front) readBody(w http.ResponseWriter, hr *http.Request, r *request, from *caller) *refusal {
	if hr.ContentLength == 0 {
		return nil
	}
	rc := http.NewResponseController(w)
	err := rc.SetReadDeadline(from.start().Add(arrival))
	r.body = make([]byte, hr.ContentLength)
	if err == nil {
		_, err = io.ReadFull(hr.Body, r.body)
	}
	if err == nil {
		err = rc.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return &refusal{http.StatusBadRequest, "the body did not come whole"}
	}
	return nil
}

// parseTimeLeft reads a number and a unit: m for milliseconds, u for microseconds.
func parseTimeLeft(s string) (d time.Duration, ok bool) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(s, "u")
	}
	v, err := strconv.ParseFloat(number, 64)
	v *= float64(unit)
	if !ok || err != nil || !(v >= 1 && v < math.MaxInt64) { // NaN is neither
		return 0, false
	}
	return time.Duration(v), true
}

func write(w http.ResponseWriter, a answer) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	h := w.Header()
	h["Content-Type"] = nil // no guessing
	if a.contentType != "" {
		h.Set("Content-Type", a.contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
	}
	w.WriteHeader(a.status)
	w.Write(a.body) // an error means that the caller has gone
}
