package sidecar

import (
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testkit"
)

// budget returns the Time-Budget of the request, and fails the test unless there is exactly one.
func (a *arrival) budget(t testing.TB) time.Duration {
	t.Helper()
	values := a.request.Header[headerTimeBudget]
	assert.Equal(t, len(values), 1, "%v", a.request.Header)
	milliseconds, err := strconv.ParseInt(values[0], 10, 64)
	assert.NilError(t, err)
	return time.Duration(milliseconds) * time.Millisecond
}

// Each request carries exactly one Time-Budget to its server, whatever its kind and whether or not the caller sent one. It is never longer than the
// caller's time budget or the route's timeout.
func TestTimeBudgetOnEveryRequest(t *testing.T) {
	const routeTimeout = 20 * time.Second // of the routes in startCallChain
	x := startCallChain(t, 1)
	arrivals := make(chan *arrival, maxScriptedArrivals)
	x.attachServer(0, func(a *arrival) bool {
		a.readBody()
		arrivals <- a
		a.succeed()
		return true
	})
	for _, kind := range []kindOfCall{onceCall, keyedCall, repeatableCall} {
		for _, behavior := range []string{"plain", "upload"} {
			for _, budget := range []time.Duration{0, testkit.Limit / 2, 2 * routeTimeout} {
				await(t, func() bool { return x.callWithBudget(kind, behavior, budget) == 200 })
				limit := routeTimeout
				if budget > 0 {
					limit = min(limit, budget)
				}
				var got time.Duration
				for len(arrivals) > 0 {
					got = (<-arrivals).budget(t)
				}
				assert.Assert(t, got > 0 && got <= limit, "%s %s with %v: the server received a time budget of %v", kind, behavior, budget, got)
			}
		}
	}
}

// callWithBudget makes a call with a Time-Budget, or without one if budget is 0, and returns the status of its response.
func (x *callChain) callWithBudget(kind kindOfCall, behavior string, budget time.Duration) (status int) {
	x.t.Helper()
	attempt, key := newAttemptID(), ""
	if kind == keyedCall {
		key = "k-" + attempt
	}
	text := requestText(attempt, kind, behavior, key, budget)
	if budget == 0 {
		text = withoutHeader(text, headerTimeBudget)
	}
	caller := x.dial()
	defer caller.c.Close()
	_ = caller.c.SetDeadline(time.Now().Add(testkit.Limit))
	_, err := io.WriteString(caller.c, text)
	assert.NilError(x.t, err)
	return caller.readAnswer().Status
}

// withoutHeader removes a header field that a request contains once.
func withoutHeader(request, name string) string {
	before, after, _ := strings.Cut(request, name+": ")
	_, after, _ = strings.Cut(after, "\r\n")
	return before + after
}

// The time budget of a retry is what the first attempt has left of its own, so that the retry stays within the caller's time budget.
func TestRetryGetsRemainingTimeBudget(t *testing.T) {
	const (
		budget        = testkit.Limit / 2
		firstDuration = 700 * time.Millisecond
	)
	x := startCallChain(t, 2)
	arrivals := make(chan *arrival, maxScriptedArrivals)
	for n := range x.far {
		x.attachServer(n, func(a *arrival) bool {
			a.readBody()
			arrivals <- a
			if len(arrivals) == 1 { // the first attempt: the connection ends after firstDuration
				time.Sleep(firstDuration)
				return false
			}
			a.succeed()
			return true
		})
	}
	assert.Equal(t, x.call(repeatableCall, "plain", "", budget).Status, 200)
	first, retry := (<-arrivals).budget(t), (<-arrivals).budget(t)
	assert.Assert(t, first > budget/2 && first <= budget, "the first attempt had a time budget of %v", first)
	assert.Assert(t, retry <= budget-firstDuration, "the retry had a time budget of %v, %v after the first attempt with %v", retry, firstDuration, first)
}
