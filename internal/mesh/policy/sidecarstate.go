package policy

import "time"

// SidecarState is a sidecar's side of a rollout: the set that it has received, the one that is active, and until when it may go
// by that. Methods return the next state.
type SidecarState struct {
	Received    string // fingerprint of the set among its items
	Active      string // fingerprint of the set that it goes by
	ActiveIndex uint64 // the log entry that activated it
	HasPolicies bool   // it has heard of a set; a sidecar that has not is never fenced
	// ConfirmedAt is when it last asked and was told that Active is so, by its own steady clock. It is not when the answer
	// came: the set may have been replaced while that was on its way.
	ConfirmedAt time.Duration
}

// Receive is the state once the sidecar has a set.
func (s SidecarState) Receive(fingerprint string) SidecarState {
	s.Received, s.HasPolicies = fingerprint, s.HasPolicies || fingerprint != ""
	return s
}

// Activate is the state after an update that an entry activated a set. adopt: the sidecar goes by the set that it has received
// from now on. reload: it has not received that set, or has missed one, and must read all items again. An older update changes
// nothing.
func (s SidecarState) Activate(fingerprint string, index uint64) (_ SidecarState, adopt, reload bool) {
	switch {
	case index <= s.ActiveIndex:
		return s, false, false
	case fingerprint != s.Received:
		return s, false, true
	}
	s.Active, s.ActiveIndex = fingerprint, index
	return s, true, false
}

// Restore is the state after the sidecar was given the active set, by a confirmed read that it asked for at a time.
func (s SidecarState) Restore(fingerprint string, index uint64, asked time.Duration) SidecarState {
	if index < s.ActiveIndex {
		return s
	}
	s.Active, s.ActiveIndex, s.HasPolicies = fingerprint, index, s.HasPolicies || fingerprint != ""
	s.ConfirmedAt = max(s.ConfirmedAt, asked)
	return s
}

// Confirm is the state after a confirmed read, asked for at a time, named the active set and the agreed one; false if they are
// others than the sidecar's, which must read all items again.
func (s SidecarState) Confirm(active string, index uint64, agreed string, asked time.Duration) (SidecarState, bool) {
	if active != s.Active || index != s.ActiveIndex || agreed != s.Received {
		return s, false
	}
	s.ConfirmedAt = max(s.ConfirmedAt, asked)
	return s, true
}

// IsFenced says that the sidecar may go by its set no longer.
func (s SidecarState) IsFenced(now time.Duration) bool {
	return s.HasPolicies && now-s.ConfirmedAt > FenceTimeout
}
