// Package membership determines the members of a fleet of nodes, and the share of the fleet's quotas that this node may use.
//
// It has two models of the fleet, with different guarantees:
//
//   - A View follows the gossip and damps its changes: a member is established once it has been alive for long enough. Positions, subsets
//     of servers and capacity are derived from it. It may be wrong for some seconds, which impairs service but exceeds no limit.
//   - A Roster determines which members may still be using their shares, and whether this node may use its own. It is the base for the
//     division of quotas. The shares of all members must never add up to more than the whole, whatever the network does.
//
// The gossip protocol is SWIM with the Lifeguard extensions (hashicorp/memberlist). The roster's grants are leases (Gray and Cheriton,
// "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency"), given by a majority of its voters. The set of
// voters changes as in joint consensus (Raft paper, section 6). docs/design/membership.md has the complete safety argument.
//
// The package is pure. Time is an argument: elapsed time on this node's own clock, which also advances while the process is suspended. The
// package starts no goroutine and does no I/O, and none of its types is safe for concurrent use: package fleet calls them under its lock.
// It must not own a list of servers, or decide anything about a request.
package membership
