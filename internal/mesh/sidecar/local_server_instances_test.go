package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A sidecar restarts between the ends of two instances, so it does not know the former one. A late heartbeat of that one, with a CallSeq above that of the
// present instance, made it the current one, and the present instance counted as gone: record.ServerID was "i-1" from then on, all heartbeats of "i-2" were
// acknowledged and ignored, and its server got nothing until its next start.
//
// Each script is a list of heartbeats with the instance that is current after each.
func TestInstanceTracker(t *testing.T) {
	const interval = time.Second
	type heartbeat struct {
		after   time.Duration // since the one before
		id      string
		callSeq int64
		current string
	}
	for name, script := range map[string][]heartbeat{
		"late of an unknown instance": {{0, "b", 7, "b"}, {0, "a", 900, "b"}, {interval, "b", 8, "b"}},
		"late ones of an unknown instance, delivered together": {
			{0, "b", 7, "b"}, {0, "a", 898, "b"}, {interval / 10, "a", 899, "b"}, {interval / 10, "a", 900, "b"}, {interval, "b", 8, "b"},
		},
		"late ones between those of the present instance": {
			{0, "b", 7, "b"}, {interval / 2, "a", 898, "b"}, {interval / 2, "b", 8, "b"}, {interval / 2, "a", 899, "b"}, {interval / 2, "b", 9, "b"},
		},
		"a late one comes first": {{0, "a", 900, "a"}, {interval / 2, "b", 7, "a"}, {interval, "b", 8, "b"}, {interval, "b", 9, "b"}},
		"a late one of a former instance that had just started": {
			{0, "b", 7, "b"}, {0, "a", 2, "a"}, {interval, "b", 8, "a"}, {interval, "b", 9, "b"},
		},
		"the next instance starts":                     {{0, "a", 900, "a"}, {0, "b", 1, "b"}, {interval, "a", 901, "b"}, {0, "b", 2, "b"}, {0, "a", 902, "b"}},
		"the next instance, its first heartbeats lost": {{0, "a", 900, "a"}, {interval, "b", 9, "a"}, {interval, "b", 10, "b"}},
		"the next instance after a silence":            {{0, "a", 900, "a"}, {5 * interval, "b", 9, "b"}},
		"a former instance's heartbeats are overtaken": {
			{0, "a", 900, "a"}, {0, "b", 1, "b"}, {interval, "a", 800, "b"}, {interval, "a", 899, "b"}, {interval, "a", 900, "b"},
		},
		"overtaken": {{0, "a", 9, "a"}, {0, "a", 8, "a"}, {0, "a", 10, "a"}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newInstanceTracker()
			now := time.Unix(1000, 0)
			for n, h := range script {
				now = now.Add(h.after)
				tracker.heartbeat(h.id, h.callSeq, now, interval)
				assert.Equal(t, tracker.current, h.current, "after heartbeat %d", n)
			}
		})
	}
}

// An instance that has deregistered never comes back, and its end is noted though it is not the current one.
func TestDeregisteredInstanceNeverComesBack(t *testing.T) {
	const interval = time.Second
	tracker := newInstanceTracker()
	now := time.Unix(1000, 0)
	tracker.heartbeat("a", 9, now, interval)
	tracker.heartbeat("b", 1, now, interval)
	assert.Assert(t, !tracker.deregister("a"))
	assert.Assert(t, tracker.deregister("b"))
	for callSeq := int64(10); callSeq < 20; callSeq++ {
		now = now.Add(interval)
		assert.Equal(t, tracker.heartbeat("a", callSeq, now, interval), heartbeatIgnored)
		assert.Equal(t, tracker.heartbeat("b", callSeq, now, interval), heartbeatIgnored)
	}
	assert.Assert(t, !tracker.probed("a", now))
	assert.Assert(t, tracker.probed("c", now))
	assert.Equal(t, tracker.heartbeat("c", 0, now, interval), heartbeatOfCurrent)
}

// However many instances there were, a bounded number is remembered, the current one among them.
func TestInstanceTrackerIsBounded(t *testing.T) {
	tracker := newInstanceTracker()
	now := time.Unix(1000, 0)
	tracker.heartbeat("current", 50, now, time.Second)
	for n := range 10 * maxFormerInstances {
		tracker.heartbeat(string(rune('a'+n)), int64(1000+n), now, time.Second)
		assert.Assert(t, len(tracker.known) <= maxFormerInstances+1)
	}
	assert.Equal(t, tracker.heartbeat("current", 49, now, time.Second), heartbeatIgnored)
	assert.Equal(t, tracker.heartbeat("current", 51, now, time.Second), heartbeatOfCurrent)
}
