package node

import (
	"errors"
	"fmt"
	"io"
	"log"
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
	headerTimeout = 10 * time.Second
	bodyTimeout   = 10 * time.Second // beyond the time that the caller has left
	idleTimeout   = 2 * time.Minute
	maxHeader     = 16 << 10
)

// front takes callers' requests and writes their answers.
type front struct {
	loop   *loop
	effect map[string]hollyspur.Effect // by class; an unknown one is unsafe

	conns   atomic.Int64 // callers' connections
	crowded int64        // from so many on they are closed after an answer, to make room
}

func newFront(l *loop, set hollyspur.Settings, mostConns int) *front {
	f := &front{loop: l, effect: map[string]hollyspur.Effect{}, crowded: int64(mostConns) * 3 / 4}
	for _, c := range set.Classes {
		f.effect[c.Name] = c.Effect
	}
	return f
}

func (f *front) server() *http.Server {
	return &http.Server{Handler: f, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader,
		ConnState: func(_ net.Conn, s http.ConnState) {
			switch s {
			case http.StateNew:
				f.conns.Add(1)
			case http.StateClosed, http.StateHijacked:
				f.conns.Add(-1)
			}
		}}
}

// ServeHTTP answers one request. It is no ServeMux, which would redirect paths that it cleans.
func (f *front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if hr.Method == http.MethodGet && hr.URL.Path == "/health/ready" {
		return // 200: the front listens only once requests can be handled
	}
	if f.conns.Load() >= f.crowded {
		w.Header().Set("Connection", "close")
	}
	r, err := f.read(w, hr)
	if err != nil {
		status := http.StatusBadRequest
		if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		http.Error(w, err.Error(), status)
		return
	}
	f.loop.post(func() { f.loop.accept(r) })
	select {
	case a := <-r.answer:
		write(w, a)
	case <-hr.Context().Done():
		f.loop.post(func() { f.loop.gone(r) })
		// Returning would answer 200 with nothing in it, should the caller still read.
		panic(http.ErrAbortHandler)
	}
}

// read takes a request in, its body included.
func (f *front) read(w http.ResponseWriter, hr *http.Request) (*request, error) {
	now := f.loop.clock.now()
	h := hr.Header
	left, err := parseTimeLeft(h.Get("X-Time-Left"))
	if err != nil {
		return nil, err
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(hr.URL.Path, "/"), "/")
	switch {
	case hr.Method != http.MethodGet && hr.Method != http.MethodPost:
		return nil, fmt.Errorf("method %s is neither GET nor POST", hr.Method)
	case class == "":
		return nil, errors.New("the path names no class")
	case h.Get("X-Correlation-Id") == "":
		return nil, errors.New("X-Correlation-Id is missing")
	case f.effect[class] == hollyspur.Keyed && h.Get("Idempotency-Key") == "":
		// Without its key the servers would run every repeat.
		return nil, errors.New("Idempotency-Key is missing")
	}
	// A body that never ends must not hold the connection for good. The limit leaves more than the
	// caller's time, and is lifted afterwards: run out once the body is in, it would pass for the
	// caller's going away, and its request would be lost.
	rc := http.NewResponseController(w)
	if hr.ContentLength != 0 {
		if err := rc.SetReadDeadline(time.Now().Add(left + bodyTimeout)); err != nil {
			return nil, err
		}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, hr.Body, maxBody))
	if err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}

	out := &http.Request{Method: hr.Method, URL: hr.URL, Host: hr.Host, ContentLength: int64(len(body)),
		Header: http.Header{"User-Agent": nil}}
	for _, name := range []string{"X-Correlation-Id", "Idempotency-Key", "Content-Type"} {
		if v := h.Values(name); len(v) > 0 {
			out.Header[name] = v
		}
	}
	own := min(ownDelay, left/4)
	r := &request{class: class, repeat: h.Get("X-Repeat") == "1",
		deadline: now + left - own, last: now + left - own/2,
		forward: out, body: body, answer: make(chan answer, 1)}
	if us, err := strconv.ParseFloat(h.Get("X-Weight-Hint"), 64); err == nil && us > 0 && us < 1e12 {
		r.cost = time.Duration(us * float64(time.Microsecond))
	}
	return r, nil
}

// parseTimeLeft reads a number and a unit: m for milliseconds, u for microseconds.
func parseTimeLeft(s string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(s, "u")
	}
	v, err := strconv.ParseFloat(number, 64)
	d := v * float64(unit)
	if !ok || err != nil || math.IsNaN(d) || d < 1 || d > float64(24*time.Hour) {
		return 0, fmt.Errorf("X-Time-Left: %q is no time with the unit m or u", s)
	}
	return time.Duration(d), nil
}

// persistentListener survives failed accepts: on Linux they also report what befell a connection or
// the network for a moment, and http.Server gives up on most of these.
type persistentListener struct{ net.Listener }

const acceptPause = 20 * time.Millisecond

func (l persistentListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		log.Printf("accept: %v", err)
		time.Sleep(acceptPause)
	}
}

func write(w http.ResponseWriter, a answer) {
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
