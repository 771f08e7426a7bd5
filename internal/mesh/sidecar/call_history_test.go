package sidecar

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"cranegrade/internal/mesh/history"
)

// kindOfCall classifies calls by how often they may run.
type kindOfCall string

const (
	onceCall       kindOfCall = "once"
	keyedCall      kindOfCall = "keyed"
	repeatableCall kindOfCall = "often"
)

// callerAnswer is the response that a caller got: the status, the request that the response names, its seal and body. Status 0: the connection
// ended without a response.
type callerAnswer struct {
	Status          int
	AttemptID, Seal string
	Body            string
	RetryAfter      string
}

// callSeen is one call as its caller and the servers saw it.
type callSeen struct {
	kind    kindOfCall
	key     string
	asked   int // times: more than one where a caller uses an id again
	answers []callerAnswer
	runs    []string // servers that ran it, in order
}

// callHistory records what callers and servers saw, and checks it independently of the code under test.
type callHistory struct {
	start time.Time
	mu    sync.Mutex // guards below
	calls map[string]*callSeen
	order []string
	seen  history.History // runs and answers
}

func newCallHistory() *callHistory {
	return &callHistory{start: time.Now(), calls: map[string]*callSeen{}}
}

// keyWindow is how long a key may run only once. It is longer than any test. A call that may run once counts as a key of its own.
const keyWindow = time.Hour

func (h *callHistory) call(attempt string) *callSeen {
	c := h.calls[attempt]
	if c == nil {
		c = &callSeen{}
		h.calls[attempt] = c
		h.order = append(h.order, attempt)
	}
	return c
}

func (h *callHistory) asked(attempt string, kind kindOfCall, key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.call(attempt)
	c.kind, c.key = kind, key
	c.asked++
}

func (h *callHistory) ran(attempt, server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.call(attempt)
	c.runs = append(c.runs, server)
	key := c.key
	if c.kind == onceCall {
		key = attempt
	}
	if key != "" {
		h.seen.Runs = append(h.seen.Runs, history.Run{At: time.Since(h.start), Server: server, Key: key, Window: keyWindow, Request: attempt})
	}
}

func (h *callHistory) answered(attempt string, t callerAnswer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.call(attempt)
	c.answers = append(c.answers, t)
	if t.Status != 0 {
		h.seen.Answers = append(h.seen.Answers, history.Answer{
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

// answers returns how many responses a call has got.
func (h *callHistory) answers(attempt string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.call(attempt).answers)
}

// sealOf returns the seal of a server's response to a call.
func sealOf(attempt string) string { return "seal." + attempt }

// violations returns the violations of these rules: each call gets exactly one response, its own; a call that is not idempotent runs at most once,
// for a key over all its calls; 503, 429, 421 and 408 are only returned for calls that never ran; a successful repeat returns the response
// of the first run.
func (h *callHistory) violations() (l []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	wrong := func(format string, args ...any) { l = append(l, fmt.Sprintf(format, args...)) }
	for _, v := range history.AtMostOnce(&h.seen) {
		wrong("TWICE: %v", v)
	}
	for _, v := range history.MatchedAnswers(&h.seen) {
		wrong("MIXED: %v", v)
	}
	runsOfKey := map[string][]string{}
	for _, r := range h.seen.Runs {
		runsOfKey[r.Key] = append(runsOfKey[r.Key], r.Request)
	}
	for _, attempt := range h.order {
		c := h.calls[attempt]
		if len(c.answers) != c.asked {
			wrong("ANSWERS: %s was asked %d times and has %d answers", attempt, c.asked, len(c.answers))
		}
		for _, t := range c.answers {
			h.judge(attempt, c, t, runsOfKey[c.key], wrong)
		}
	}
	return l
}

// judge checks one response. The caller holds the lock.
func (h *callHistory) judge(attempt string, c *callSeen, t callerAnswer, runsOfKey []string, wrong func(string, ...any)) {
	switch t.Status {
	case 408, 421, 429, 503:
		if c.kind != repeatableCall && len(c.runs) > 0 {
			wrong("REFUSED: %s has run and is told %d", attempt, t.Status)
		}
		if t.Status == 503 && t.RetryAfter == "" {
			wrong("REFUSED: %s is told 503 and not when to come back", attempt)
		}
	case 200:
		ran := attempt
		if c.key != "" && len(runsOfKey) == 1 {
			ran = runsOfKey[0]
		}
		if t.Seal != sealOf(ran) || !strings.HasPrefix(t.Body, bodyOf(ran)) {
			wrong("MIXED: %s has seal %q and body %.40q, wanted those of %s", attempt, t.Seal, t.Body, ran)
		}
		if len(h.calls[ran].runs) == 0 {
			wrong("MIXED: %s has a success and never ran", attempt)
		}
	}
}

// bodyOf returns the beginning of the response to a call.
func bodyOf(attempt string) string { return "ran " + attempt + "\n" }
