// Package membership decides which members a fleet of nodes has, and which share of the fleet's quotas this node may use.
//
// It holds two descriptions of the fleet, with different guarantees:
//
//   - A View follows what the gossip reports, and settles it: a member is established once it has been seen for long enough. Positions,
//     subsets of servers and capacity are derived from it. It may be wrong for some seconds, which costs service but breaks no limit.
//   - A Roster decides which members have to be assumed able to act, and whether this node may act itself. Quotas are divided by
//     it. The shares of all members must never add up to more than the whole, whatever the network does.
//
// The gossip is SWIM with Lifeguard's extensions (hashicorp/memberlist). The roster's grants are leases (Gray and Cheriton, "Leases: An
// Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency"), given by a majority, and its voters change by joint
// majorities (Raft paper, section 6). docs/design/membership.md has the whole argument.
//
// The package is pure. Time is an argument: elapsed time on this node's own clock, which goes on while the process is suspended. It
// starts no goroutine and does no I/O, and none of its types is safe for concurrent use: package fleet calls them under its lock. It
// must not own a list of servers, or decide anything about a request.
package membership
