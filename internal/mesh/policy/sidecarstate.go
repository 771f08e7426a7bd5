package policy

import "time"

// SidecarState is the state of a rollout at a sidecar: the set that it has received, the active set that it uses, and
// when that was last confirmed. Methods return the next state.
type SidecarState struct {
	Received    string // fingerprint of the set that it has received
	Active      string // fingerprint of the set that it uses
	ActiveIndex uint64 // the log entry that activated it
	HasPolicies bool   // it has received or used a non-empty set at any time; otherwise it is never fenced
	// ConfirmedAt is when, by its own monotonic clock, the sidecar sent the latest request whose response confirmed Active. The arrival
	// of the response would be too late, because the set may have been replaced while the response was in flight.
	ConfirmedAt time.Duration
}

// Receive returns the state after the sidecar has received a set.
func (s SidecarState) Receive(fingerprint string) SidecarState {
	s.Received = fingerprint
	s.HasPolicies = s.HasPolicies || fingerprint != ""
	return s
}

// Activate returns the state after a notice that the log entry at an index has activated a set. adopt says that the
// sidecar must use the set that it has received from now on. reload says that it has not received the activated set and
// must read all items again. A notice that is not newer than the active set changes nothing.
func (s SidecarState) Activate(fingerprint string, index uint64) (_ SidecarState, adopt, reload bool) {
	switch {
	case index <= s.ActiveIndex:
		return s, false, false
	case fingerprint != s.Received:
		return s, false, true
	}
	s.Active = fingerprint
	s.ActiveIndex = index
	return s, true, false
}

// Restore returns the state after a linearizable read, requested at requestedAt, has returned the active set.
func (s SidecarState) Restore(fingerprint string, index uint64, requestedAt time.Duration) SidecarState {
	if index < s.ActiveIndex {
		return s
	}
	s.Active = fingerprint
	s.ActiveIndex = index
	s.HasPolicies = s.HasPolicies || fingerprint != ""
	s.ConfirmedAt = max(s.ConfirmedAt, requestedAt)
	return s
}

// Confirm returns the state after a linearizable read, requested at requestedAt, has returned the fingerprints of the
// active and the agreed set. It returns false if the sidecar's sets differ from those, so that it must read all items
// again.
func (s SidecarState) Confirm(active string, index uint64, agreed string, requestedAt time.Duration) (SidecarState, bool) {
	if active != s.Active || index != s.ActiveIndex || agreed != s.Received {
		return s, false
	}
	s.ConfirmedAt = max(s.ConfirmedAt, requestedAt)
	return s, true
}

// IsFenced reports whether the sidecar may no longer use its active set, because it was not confirmed within FenceTimeout.
func (s SidecarState) IsFenced(now time.Duration) bool {
	return s.HasPolicies && now-s.ConfirmedAt > FenceTimeout
}
