package membership

import "time"

// Lease configures how long a grant is valid. It must be the same at all members: it is a part of the roster's hash, so that members with
// different leases don't accept each other's grants.
type Lease struct {
	Duration time.Duration // how long a grant is valid, counted from when its receiver sent the heartbeat that it echoes
	Nodes    int           // minimum number of members that found the fleet
}

// All other times are derived from the lease. They ensure that a grant, a report or a loan has expired at its receiver before its sender
// stops counting it. The margins allow for clocks that run at different rates.

// failureTimeout is the time without a heartbeat after which a member is considered failed.
func (l Lease) failureTimeout() time.Duration { return l.Duration * 13 / 10 }

// rejoinDelay is how long a member that had failed gets no grant after its first new heartbeat.
func (l Lease) rejoinDelay() time.Duration { return l.Duration * 17 / 10 }

// admissionDelay is how long a member waits after its admission before it uses its share.
func (l Lease) admissionDelay() time.Duration { return l.Duration * 6 / 10 }

// MaxLoan is the maximum duration of a loan of a part of a share. For at most one lease duration after a member's first new heartbeat a
// lender may still omit that member from its divisor, and so lend from a share that is too large. rejoinDelay and admissionDelay are long
// enough for the loans of that time to end before the member uses its share.
func (l Lease) MaxLoan() time.Duration { return l.Duration / 2 }

// HeartbeatInterval is the time between two rounds of heartbeats.
func (l Lease) HeartbeatInterval() time.Duration { return l.Duration / 6 }
