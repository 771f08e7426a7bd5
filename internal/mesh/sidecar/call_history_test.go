package sidecar

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"cranegrade/internal/mesh/history"
)

// kindOfCall is the kind of a call by how often the servers may run it.
type kindOfCall string

const (
	onceCall       kindOfCall = "once"
	keyedCall      kindOfCall = "keyed"
	repeatableCall kindOfCall = "often"
)

// callerAnswer is the response that a caller received, with the Attempt-Id, seal and body that it contains. A Status of 0 means that the connection
// ended without a response.
type callerAnswer struct {
	Status          int
	AttemptID, Seal string
	Body            string
	RetryAfter      string
}

// observedCall is what the caller and the servers observed of one call.
type observedCall struct {
	kind    kindOfCall
	key     string
	calls   int // how often the caller made it; more than once if it reused the Attempt-Id
	answers []callerAnswer
	runs    []string // IDs of the servers that ran it, in order
}

// callHistory records what callers and servers observed, and checks it independently of the code under test.
type callHistory struct {
	start  time.Time
	mu     sync.Mutex // guards below
	calls  map[string]*observedCall
	order  []string        // Attempt-Ids in the order in which they were first recorded
	events history.History // runs and responses
}

func newCallHistory() *callHistory {
	return &callHistory{start: time.Now(), calls: map[string]*observedCall{}}
}

// keyWindow is the time in which the request of a key may run at most once. It is longer than any test. A call of kind onceCall is recorded with its
// Attempt-Id as its key.
const keyWindow = time.Hour

// call returns the record of a call. The caller holds mu.
func (h *callHistory) call(attempt string) *observedCall {
	c := h.calls[attempt]
	if c == nil {
		c = &observedCall{}
		h.calls[attempt] = c
		h.order = append(h.order, attempt)
	}
	return c
}

// recordCall records that a caller makes a call.
func (h *callHistory) recordCall(attempt string, kind kindOfCall, key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.call(attempt)
	c.kind, c.key = kind, key
	c.calls++
}

// recordRun records that a server runs a call.
func (h *callHistory) recordRun(attempt, server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.call(attempt)
	c.runs = append(c.runs, server)
	key := c.key
	if c.kind == onceCall {
		key = attempt
	}
	if key != "" {
		h.events.Runs = append(h.events.Runs, history.Run{At: time.Since(h.start), Server: server, Key: key, Window: keyWindow, Request: attempt})
	}
}

// recordResponse records the response to a call, or that there was none.
func (h *callHistory) recordResponse(attempt string, t callerAnswer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.call(attempt)
	c.answers = append(c.answers, t)
	if t.Status != 0 {
		h.events.Answers = append(h.events.Answers, history.Answer{
			At: time.Since(h.start), Process: "caller", Request: attempt,
			AnsweredRequest: t.AttemptID,
		})
	}
}

// runs returns how often a call has run.
func (h *callHistory) runs(attempt string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.call(attempt).runs)
}

// answers returns how many responses to a call were recorded.
func (h *callHistory) answers(attempt string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.call(attempt).answers)
}

// sealOf returns the seal of a test server's response to a call.
func sealOf(attempt string) string { return "seal." + attempt }

// violations checks these rules and returns a text for each violation:
//   - Each call gets exactly one response, which is its own.
//   - A call that is not idempotent runs at most once. Of all calls with the same key, at most one runs, once.
//   - The statuses 503, 429, 421 and 408 are only returned for calls that never ran, unless they are idempotent; 503 comes with Retry-After.
//   - A successful response to a repeated key is the response of the run that there was.
func (h *callHistory) violations() (l []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	report := func(format string, args ...any) { l = append(l, fmt.Sprintf(format, args...)) }
	for _, v := range history.AtMostOnce(&h.events) {
		report("TWICE: %v", v)
	}
	for _, v := range history.MatchedAnswers(&h.events) {
		report("MIXED: %v", v)
	}
	runsOfKey := map[string][]string{}
	for _, r := range h.events.Runs {
		runsOfKey[r.Key] = append(runsOfKey[r.Key], r.Request)
	}
	for _, attempt := range h.order {
		c := h.calls[attempt]
		if len(c.answers) != c.calls {
			report("ANSWERS: %s was called %d times and has %d responses", attempt, c.calls, len(c.answers))
		}
		for _, t := range c.answers {
			h.checkResponse(attempt, c, t, runsOfKey[c.key], report)
		}
	}
	return l
}

// checkResponse checks one response to a call. The caller holds mu.
func (h *callHistory) checkResponse(attempt string, c *observedCall, t callerAnswer, runsOfKey []string, report func(string, ...any)) {
	switch t.Status {
	case 408, 421, 429, 503:
		if c.kind != repeatableCall && len(c.runs) > 0 {
			report("REFUSED: %s has run, but its response has status %d", attempt, t.Status)
		}
		if t.Status == 503 && t.RetryAfter == "" {
			report("REFUSED: the response to %s has status 503 and no Retry-After", attempt)
		}
	case 200:
		ran := attempt
		if c.key != "" && len(runsOfKey) == 1 {
			ran = runsOfKey[0]
		}
		if t.Seal != sealOf(ran) || !strings.HasPrefix(t.Body, bodyOf(ran)) {
			report("MIXED: the response to %s has seal %q and body %.40q, want those of %s", attempt, t.Seal, t.Body, ran)
		}
		if len(h.calls[ran].runs) == 0 {
			report("MIXED: %s has a successful response, but never ran", attempt)
		}
	}
}

// bodyOf returns the beginning of the body of a test server's response to a call.
func bodyOf(attempt string) string { return "ran " + attempt + "\n" }
