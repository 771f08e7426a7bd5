// Package fleet makes this node a member of a fleet of nodes that share servers.
//
// It owns the connections to the other members: the gossip (hashicorp/memberlist, that is SWIM with Lifeguard), the heartbeats by which
// members grant each other their shares, and the digests of what they observe of servers. What it receives it hands to
// membership, shares and outlier, which are pure and decide everything; what comes out it publishes to a Pool for each pool, and a
// Module in front of the pool's decision module applies it. The package must decide nothing about a request.
//
// Time is BootTime, which goes on while the process or the machine is suspended: a process that was suspended finds that its share has
// expired before it acts on it. docs/design/membership.md and docs/design/subsets.md describe the design, docs/fleet.md the operation.
package fleet
