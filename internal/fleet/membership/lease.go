package membership

import "time"

// Lease sets for how long a grant is valid. It must be the same at all members: members with another Lease have another roster
// hash, so that neither accepts the other's grants.
type Lease struct {
	Duration time.Duration // how long a member may act on a grant, from when it sent the heartbeat that the grant echoes
	Nodes    int           // the least number of members that found the fleet
}

// The other times follow from the lease. Each is chosen so that what one member takes back has run out at the other one first; the
// margins allow for clocks that run at different rates.

// failureTimeout is how long a member has to be silent until it is considered failed.
func (l Lease) failureTimeout() time.Duration { return l.Duration * 13 / 10 }

// rejoinDelay is how long a member that had failed is granted nothing after it is heard again.
func (l Lease) rejoinDelay() time.Duration { return l.Duration * 17 / 10 }

// admissionDelay is how long a member that was admitted waits before it uses its share.
func (l Lease) admissionDelay() time.Duration { return l.Duration * 6 / 10 }

// MaxLoan is the longest time that a part of a share may be lent for. A lender that does not count a member yet lends from
// too large a share, for at most a lease after that member is heard again: rejoinDelay and admissionDelay are longer than
// the loans given in that time.
func (l Lease) MaxLoan() time.Duration { return l.Duration / 2 }

// HeartbeatInterval is the time between two rounds of heartbeats.
func (l Lease) HeartbeatInterval() time.Duration { return l.Duration / 6 }
