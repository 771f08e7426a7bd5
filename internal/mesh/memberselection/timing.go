package memberselection

import "time"

// Timing of a sidecar that follows a member.
const (
	// SilenceTimeout is the silence after which the followed member counts as gone. Members send a heartbeat every 300 ms.
	SilenceTimeout = 1200 * time.Millisecond
	// WaitingSilenceTimeout takes the place of SilenceTimeout while requests wait for an answer of the followed member, once they
	// have waited for WaitingThreshold.
	WaitingSilenceTimeout = 450 * time.Millisecond
	WaitingThreshold      = 250 * time.Millisecond
	// LeaderlessTimeout is how long the followed member may be without a leader before other members are dialed beside it.
	LeaderlessTimeout = 250 * time.Millisecond
	// ReachableGrace is how long requests that need the control plane may still be started after the followed member was lost or
	// lost its leader: another one is likely to be found within it.
	ReachableGrace = 400 * time.Millisecond
	// DialTimeout bounds a dial, up to the member's first message.
	DialTimeout = 600 * time.Millisecond
	// MinDialBackoff and MaxDialBackoff bound the backoff between dials of one address. It doubles with each dial that fails.
	MinDialBackoff = 20 * time.Millisecond
	MaxDialBackoff = 100 * time.Millisecond
	// LeftMemberBackoff is the backoff of a member that was left, so that the others are found first.
	LeftMemberBackoff = 400 * time.Millisecond
	// ConfirmBackoff is the backoff after a table that could not be confirmed.
	ConfirmBackoff = 150 * time.Millisecond
)

// noDeadline is later than any time.
const noDeadline = time.Duration(1<<63 - 1)
