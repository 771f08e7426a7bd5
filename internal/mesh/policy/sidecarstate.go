package policy

import "time"

// SidecarState is a sidecar's side of a rollout: the set that it has received, the active set, and until when it may
// use that. Methods return the next state.
type SidecarState struct {
	Received    string // fingerprint of the set among its items
	Active      string // fingerprint of the set that it uses
	ActiveIndex uint64 // the log entry that activated it
	HasPolicies bool   // it has ever heard of a set; otherwise it is never fenced
	// ConfirmedAt is when it sent the latest request whose response confirmed Active, by its own monotonic clock. The time of the
	// response would not do, because the set may have been replaced while the response was in flight.
	ConfirmedAt time.Duration
}

// Receive returns the state after the sidecar has received a set.
func (s SidecarState) Receive(fingerprint string) SidecarState {
	s.Received = fingerprint
	s.HasPolicies = s.HasPolicies || fingerprint != ""
	return s
}

// Activate returns the state after a notice that an entry has activated a set. adopt says that the sidecar uses the
// set that it has received from now on; reload that it has not received the activated set and has to read all items
// again. An older notice changes nothing.
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

// Restore returns the state after a linearizable read, requested at a time, has returned the active set.
func (s SidecarState) Restore(fingerprint string, index uint64, asked time.Duration) SidecarState {
	if index < s.ActiveIndex {
		return s
	}
	s.Active = fingerprint
	s.ActiveIndex = index
	s.HasPolicies = s.HasPolicies || fingerprint != ""
	s.ConfirmedAt = max(s.ConfirmedAt, asked)
	return s
}

// Confirm returns the state after a linearizable read, requested at a time, has returned which sets are active and
// agreed on. It returns false if the sidecar has others and must read all items again.
func (s SidecarState) Confirm(active string, index uint64, agreed string, asked time.Duration) (SidecarState, bool) {
	if active != s.Active || index != s.ActiveIndex || agreed != s.Received {
		return s, false
	}
	s.ConfirmedAt = max(s.ConfirmedAt, asked)
	return s, true
}

// IsFenced reports whether the sidecar may no longer use its active set.
func (s SidecarState) IsFenced(now time.Duration) bool {
	return s.HasPolicies && now-s.ConfirmedAt > FenceTimeout
}
