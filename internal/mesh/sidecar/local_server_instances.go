package sidecar

import (
	"slices"
	"time"
)

const (
	// maxInstanceRecords is how many instances are remembered: the current one and the latest others, so that memory is
	// bounded however often a server restarts.
	maxInstanceRecords = 64
	// maxHeartbeatDelay is how late a heartbeat may arrive.
	maxHeartbeatDelay = 10 * time.Second
	// maxFirstCallSeq is the highest CallSeq of an instance that counts as just started. An instance numbers its calls
	// from its start, and the first few may be lost.
	maxFirstCallSeq = 3
	// callSeqUnknown is lower than the CallSeq of any heartbeat, so that the first heartbeat is applied.
	callSeqUnknown = -1
	// maxMissedHeartbeats is how many heartbeats a server may miss before it counts as gone. heartbeatSlack is added to
	// that time for delayed heartbeats.
	maxMissedHeartbeats = 3
	heartbeatSlack      = 500 * time.Millisecond
)

// heartbeatEffect is the effect of a heartbeat on the current instance.
type heartbeatEffect int

const (
	heartbeatIgnored     heartbeatEffect = iota // it was overtaken, or its instance is not the current one
	heartbeatOfCurrent                          // it belongs to the current instance
	heartbeatOfSuccessor                        // its instance has become the current one
	heartbeatUnconfirmed                        // its instance may have left before the tracker began, see confirm
)

// instanceRecord is what is remembered of a current or former instance.
type instanceRecord struct {
	callSeq      int64 // highest CallSeq that was received
	deregistered bool  // whether the instance has announced that it leaves
}

// instanceTracker decides which instance of the local server is the current one. It does no I/O and reads no clock.
//
// Heartbeats may arrive seconds late. So a heartbeat of another instance than the current one may be the first of the
// next instance, or a late one of a former instance. Former instances are remembered, except those that ended before
// this sidecar restarted. The CallSeq does not tell such an instance from the next one, since it may be higher than
// that of the current instance. So another instance becomes the current one immediately only if its CallSeq shows that
// it has just started, or if the current instance is silent. Otherwise it becomes the current one by a later heartbeat,
// if none of the current instance arrives in between. Only instances that have deregistered are excluded as long as
// they are remembered: if a former instance did become the current one, heartbeats of the running instance replace it
// again in the same way.
//
// An instance that has announced that it leaves must get no requests even if the sidecar has restarted since. So for
// maxHeartbeatDelay after the start, while a heartbeat may be older than that, a heartbeat alone makes no other instance
// the current one: it needs a health check, which fails once a server is leaving. That holds for the first calls of an
// instance as well, since it may have left right after them.
type instanceTracker struct {
	startedAt     time.Time // of the memory; the zero time stands for one that is complete
	current       string    // instance ID; empty if no server is known
	lastHeartbeat time.Time
	records       map[string]instanceRecord // by instance ID
	recordOrder   []string                  // the keys of records, in the order in which they were added

	// candidate is another instance that has sent heartbeats since the latest heartbeat of the current instance, the
	// first of them at candidateSince.
	candidate      string
	candidateSince time.Time
}

func newInstanceTracker() instanceTracker {
	return instanceTracker{records: map[string]instanceRecord{}}
}

// heartbeat applies a heartbeat that arrived now. An instance sends heartbeats at the given interval. If the result is
// heartbeatUnconfirmed, the instance becomes the current one by confirm.
func (t *instanceTracker) heartbeat(id string, callSeq int64, now time.Time, interval time.Duration) heartbeatEffect {
	former, known := t.records[id]
	if known && (former.deregistered || callSeq <= former.callSeq) {
		return heartbeatIgnored
	}
	t.remember(id, instanceRecord{callSeq: callSeq})
	switch {
	case id == t.current:
		t.setCurrent(id, now)
		return heartbeatOfCurrent
	case !known && callSeq <= maxFirstCallSeq, t.current == "", t.isSilent(now, interval), t.considerCandidate(id, now, interval):
		if now.Sub(t.startedAt) < maxHeartbeatDelay {
			return heartbeatUnconfirmed
		}
		t.setCurrent(id, now)
		return heartbeatOfSuccessor
	}
	return heartbeatIgnored
}

// confirm makes an instance the current one whose heartbeat was unconfirmed and which has passed a health check now. It
// returns false if the instance has deregistered in the meantime.
func (t *instanceTracker) confirm(id string, now time.Time) bool {
	if t.records[id].deregistered {
		return false
	}
	t.setCurrent(id, now)
	return true
}

// considerCandidate records a heartbeat of another instance. It reports whether that instance becomes the current one:
// its heartbeats have arrived for half an interval, and none of the current instance. A shorter time does not suffice,
// because late heartbeats may be delivered together.
func (t *instanceTracker) considerCandidate(id string, now time.Time, interval time.Duration) bool {
	if t.candidate != id {
		t.candidate = id
		t.candidateSince = now
		return false
	}
	return now.Sub(t.candidateSince) >= interval/2
}

// setCurrent makes an instance the current one, of which a heartbeat or health check was received now.
func (t *instanceTracker) setCurrent(id string, now time.Time) {
	t.current = id
	t.lastHeartbeat = now
	t.candidate = ""
}

// applyProbe applies the instance ID that a health check has returned. It makes the instance the current one, and
// reports true, only if there is no current one and the instance has not deregistered.
func (t *instanceTracker) applyProbe(id string, now time.Time) bool {
	if t.current != "" || t.records[id].deregistered {
		return false
	}
	t.remember(id, instanceRecord{callSeq: callSeqUnknown})
	t.setCurrent(id, now)
	return true
}

// deregister records that an instance has announced that it leaves. It reports whether it was the current one.
func (t *instanceTracker) deregister(id string) (wasCurrent bool) {
	t.remember(id, instanceRecord{deregistered: true})
	if t.current == "" || t.current != id {
		return false
	}
	t.current = ""
	return true
}

// remember stores the record of an instance. If there are too many records, it deletes the oldest, but not that of the
// current instance.
func (t *instanceTracker) remember(id string, instance instanceRecord) {
	if _, known := t.records[id]; !known {
		t.recordOrder = append(t.recordOrder, id)
	}
	t.records[id] = instance
	if len(t.records) <= maxInstanceRecords {
		return
	}
	oldest := slices.IndexFunc(t.recordOrder, func(other string) bool { return other != t.current && other != id })
	delete(t.records, t.recordOrder[oldest])
	t.recordOrder = slices.Delete(t.recordOrder, oldest, oldest+1)
}

// isSilent reports whether the current instance has missed so many heartbeats that it counts as gone.
func (t *instanceTracker) isSilent(now time.Time, interval time.Duration) bool {
	return t.current != "" && now.Sub(t.lastHeartbeat) > maxSilence(interval)
}

// maxSilence returns the time without a heartbeat after which an instance counts as gone.
func maxSilence(interval time.Duration) time.Duration {
	return interval*maxMissedHeartbeats + heartbeatSlack
}
