package memberselection

import "time"

// Timing of a sidecar that follows a member.
const (
	// SilenceTimeout is how long the followed member may send nothing before it is abandoned. Members send a heartbeat every
	// 300 ms.
	SilenceTimeout = 1200 * time.Millisecond
	// WaitingSilenceTimeout replaces SilenceTimeout once requests have waited for an answer from the followed member for
	// WaitingThreshold.
	WaitingSilenceTimeout = 450 * time.Millisecond
	WaitingThreshold      = 250 * time.Millisecond
	// LeaderlessTimeout is how long the followed member may be without a leader before the other members are dialed too.
	LeaderlessTimeout = 250 * time.Millisecond
	// ReachableGrace is how long requests that need the control plane may still be started after the followed connection was
	// closed or the followed member lost its leader. Another member with a leader is usually found within that time.
	ReachableGrace = 400 * time.Millisecond
	// DialTimeout bounds the time from the start of a dial to the member's first message.
	DialTimeout = 600 * time.Millisecond
	// MinDialBackoff and MaxDialBackoff bound the backoff between dials of one address. It doubles with each failed dial.
	MinDialBackoff = 20 * time.Millisecond
	MaxDialBackoff = 100 * time.Millisecond
	// AbandonedMemberBackoff is how long an abandoned member is not dialed again, so that the sidecar connects to another
	// member first.
	AbandonedMemberBackoff = 400 * time.Millisecond
	// ConfirmBackoff is the time from a failed confirmation of the table to the next attempt.
	ConfirmBackoff = 150 * time.Millisecond
)

// noDeadline is later than any time.
const noDeadline = time.Duration(1<<63 - 1)
