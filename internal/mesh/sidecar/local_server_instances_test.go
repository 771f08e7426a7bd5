package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a late heartbeat that makes a former instance the current one for good. It happened when the sidecar had restarted since the former
// instance ended, and so did not remember it, and the heartbeat's CallSeq was above that of the running instance: all heartbeats of the running instance
// were then acknowledged but ignored, and it got no requests until its next start.
//
// Each case is a sequence of heartbeats with the instance that is the current one after each.
func TestInstanceTracker(t *testing.T) {
	const interval = time.Second
	type heartbeat struct {
		after   time.Duration // since the previous heartbeat
		id      string
		callSeq int64
		current string
	}
	for name, heartbeats := range map[string][]heartbeat{
		"a late heartbeat of a forgotten instance": {{0, "b", 7, "b"}, {0, "a", 900, "b"}, {interval, "b", 8, "b"}},
		"late heartbeats of a forgotten instance, delivered together": {
			{0, "b", 7, "b"}, {0, "a", 898, "b"}, {interval / 10, "a", 899, "b"}, {interval / 10, "a", 900, "b"}, {interval, "b", 8, "b"},
		},
		"late heartbeats between those of the running instance": {
			{0, "b", 7, "b"}, {interval / 2, "a", 898, "b"}, {interval / 2, "b", 8, "b"}, {interval / 2, "a", 899, "b"}, {interval / 2, "b", 9, "b"},
		},
		"a late heartbeat arrives first": {{0, "a", 900, "a"}, {interval / 2, "b", 7, "a"}, {interval, "b", 8, "b"}, {interval, "b", 9, "b"}},
		"a late heartbeat of a former instance that had just started": {
			{0, "b", 7, "b"}, {0, "a", 2, "a"}, {interval, "b", 8, "a"}, {interval, "b", 9, "b"},
		},
		"the next instance starts":                     {{0, "a", 900, "a"}, {0, "b", 1, "b"}, {interval, "a", 901, "b"}, {0, "b", 2, "b"}, {0, "a", 902, "b"}},
		"the next instance, its first heartbeats lost": {{0, "a", 900, "a"}, {interval, "b", 9, "a"}, {interval, "b", 10, "b"}},
		"the next instance after silence":              {{0, "a", 900, "a"}, {5 * interval, "b", 9, "b"}},
		"overtaken heartbeats of a former instance": {
			{0, "a", 900, "a"}, {0, "b", 1, "b"}, {interval, "a", 800, "b"}, {interval, "a", 899, "b"}, {interval, "a", 900, "b"},
		},
		"overtaken heartbeats of the current instance": {{0, "a", 9, "a"}, {0, "a", 8, "a"}, {0, "a", 10, "a"}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newInstanceTracker()
			now := time.Unix(1000, 0)
			for n, h := range heartbeats {
				now = now.Add(h.after)
				tracker.heartbeat(h.id, h.callSeq, now, interval)
				assert.Equal(t, tracker.current, h.current, "after heartbeat %d", n)
			}
		})
	}
}

// An instance that has deregistered never becomes the current one again, even if it was not the current one when it deregistered.
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
	assert.Assert(t, !tracker.applyProbe("a", now))
	assert.Assert(t, tracker.applyProbe("c", now))
	assert.Equal(t, tracker.heartbeat("c", 0, now, interval), heartbeatOfCurrent)
}

// The number of remembered instances is bounded. The current one is always among them.
func TestInstanceTrackerIsBounded(t *testing.T) {
	tracker := newInstanceTracker()
	now := time.Unix(1000, 0)
	tracker.heartbeat("current", 50, now, time.Second)
	for n := range 10 * maxInstanceRecords {
		tracker.heartbeat(string(rune('a'+n)), int64(1000+n), now, time.Second)
		assert.Assert(t, len(tracker.records) <= maxInstanceRecords+1)
	}
	assert.Equal(t, tracker.heartbeat("current", 49, now, time.Second), heartbeatIgnored)
	assert.Equal(t, tracker.heartbeat("current", 51, now, time.Second), heartbeatOfCurrent)
}
