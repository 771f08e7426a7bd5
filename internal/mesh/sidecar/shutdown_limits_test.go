package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// No request is given up before the last sixth of a grace period, however short that is. In the fault that this test guards against the reserves at its
// end were fixed, 1 s together, and calls at work were answered 502 in the first two thirds of a grace period of 3 s (seed 139 of TestSoak).
func TestNoRequestIsGivenUpBeforeLastSixth(t *testing.T) {
	for grace := time.Millisecond; grace < time.Minute; grace = grace*5/4 + 1 {
		limits := newShutdownLimits(grace)
		assert.Assert(t, limits.blockedRequests >= grace*5/6, "%v of %v", limits, grace)
		assert.Assert(t, limits.requests > limits.blockedRequests, "%v of %v", limits, grace)
		assert.Assert(t, limits.requests < grace, "%v of %v", limits, grace)
	}
}

// The reserves of long grace periods do not grow with them.
func TestShutdownReservesAreBounded(t *testing.T) {
	for grace, want := range map[time.Duration]shutdownLimits{
		6 * time.Second:  {blockedRequests: 5 * time.Second, requests: 5300 * time.Millisecond},
		10 * time.Second: {blockedRequests: 9 * time.Second, requests: 9300 * time.Millisecond},
	} {
		assert.Equal(t, newShutdownLimits(grace), want)
	}
}
