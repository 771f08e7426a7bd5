package sidecar

import "time"

const (
	// maxFormerInstances is how many former instances are remembered. Beyond it all are forgotten, so that memory is
	// bounded however often a server restarts.
	maxFormerInstances = 64
	// maxFirstCallSeq is the highest CallSeq of an instance that has only just started: an instance counts its calls
	// from its start, and a few may be lost.
	maxFirstCallSeq = 3
	// callSeqUnknown is lower than the sequence number of any heartbeat, so that the first one counts.
	callSeqUnknown = -1
	// maxMissedHeartbeats is how many heartbeats a server may miss before it counts as gone, and heartbeatSlack the time
	// besides, for heartbeats that are late.
	maxMissedHeartbeats = 3
	heartbeatSlack      = 500 * time.Millisecond
)

// heartbeatEffect says what a heartbeat is to the instance that is known.
type heartbeatEffect int

const (
	heartbeatIgnored   heartbeatEffect = iota // overtaken, or late of an instance that has ended
	heartbeatOfCurrent                        // of the current instance
	heartbeatOfNext                           // its instance is the current one from now on
)

// formerInstance is what is remembered of an instance, the current one included.
type formerInstance struct {
	callSeq      int64 // highest one that was received
	deregistered bool  // it has said itself that it leaves
}

// instanceTracker decides which instance of the local server is the current one. It is pure: the time is an argument.
//
// A heartbeat may come seconds late, so one of another instance may be the first of the next instance, or a late one of
// a former instance. A former one is known unless this sidecar has restarted since it ended. Its CallSeq says nothing
// then: it may be higher than that of the current instance. So another instance takes over at once only if its CallSeq
// says that it has just started, or if the current one is silent. Otherwise it takes over with a later heartbeat if none
// of the current instance has come in between. No instance but one that has deregistered is excluded for good: if a
// former one did take over, heartbeats of the living one take over in turn.
type instanceTracker struct {
	current       string // ID; empty if no server is known
	lastHeartbeat time.Time
	known         map[string]formerInstance

	// challenger is another instance whose heartbeats have come since the latest one of the current instance.
	challenger      string
	challengerSince time.Time
}

func newInstanceTracker() instanceTracker {
	return instanceTracker{known: map[string]formerInstance{}}
}

// heartbeat applies a heartbeat that came now. Heartbeats of an instance come at the given interval.
func (t *instanceTracker) heartbeat(id string, callSeq int64, now time.Time, interval time.Duration) heartbeatEffect {
	former, known := t.known[id]
	if known && (former.deregistered || callSeq <= former.callSeq) {
		return heartbeatIgnored
	}
	t.remember(id, formerInstance{callSeq: callSeq})
	switch {
	case id == t.current:
		t.setCurrent(id, now)
		return heartbeatOfCurrent
	case t.current == "", !known && callSeq <= maxFirstCallSeq, t.isSilent(now, interval), t.challenge(id, now, interval):
		t.setCurrent(id, now)
		return heartbeatOfNext
	}
	return heartbeatIgnored
}

// challenge notes a heartbeat of another instance. It reports whether that instance takes over: its heartbeats have come
// for half an interval, and none of the current one. Late heartbeats that are delivered together do not suffice.
func (t *instanceTracker) challenge(id string, now time.Time, interval time.Duration) bool {
	if t.challenger != id {
		t.challenger = id
		t.challengerSince = now
		return false
	}
	return now.Sub(t.challengerSince) >= interval/2
}

// setCurrent notes that the current instance was heard of.
func (t *instanceTracker) setCurrent(id string, now time.Time) {
	t.current = id
	t.lastHeartbeat = now
	t.challenger = ""
}

// probed applies the instance that a health check has named. It reports whether it is the current one from now on, which
// it is only if none is known.
func (t *instanceTracker) probed(id string, now time.Time) bool {
	if t.current != "" || t.known[id].deregistered {
		return false
	}
	t.remember(id, formerInstance{callSeq: callSeqUnknown})
	t.setCurrent(id, now)
	return true
}

// deregister notes that an instance has said that it leaves. It reports whether it was the current one.
func (t *instanceTracker) deregister(id string) (wasCurrent bool) {
	t.remember(id, formerInstance{deregistered: true})
	if t.current == "" || t.current != id {
		return false
	}
	t.current = ""
	return true
}

// remember stores what is known of an instance. If there are too many, it forgets the former ones.
func (t *instanceTracker) remember(id string, instance formerInstance) {
	if len(t.known) > maxFormerInstances {
		current := t.known[t.current]
		clear(t.known)
		if t.current != "" {
			t.known[t.current] = current
		}
	}
	t.known[id] = instance
}

// isSilent reports whether so many heartbeats of the current instance were missed that it counts as gone.
func (t *instanceTracker) isSilent(now time.Time, interval time.Duration) bool {
	return t.current != "" && now.Sub(t.lastHeartbeat) > maxSilence(interval)
}

// maxSilence returns after what silence an instance counts as gone.
func maxSilence(interval time.Duration) time.Duration {
	return interval*maxMissedHeartbeats + heartbeatSlack
}
