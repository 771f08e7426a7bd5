// Package fleet makes this node a member of a fleet of load balancer nodes that send requests to the same servers.
//
// It does the network I/O with the other members: gossip (hashicorp/memberlist, which implements SWIM with Lifeguard), heartbeats with
// which members grant each other shares of the pools' quotas, and digests of the failures that members observe at servers. Received
// messages go to packages membership, shares and outlier, which are pure and make all decisions. The results are published to one Pool
// per pool, and a Module in front of the pool's decision module applies them. This package makes no decision about a request.
//
// All times are BootTime, which advances while the process or the machine is suspended, so a process that was suspended finds its share
// expired before it acts on it. docs/design/membership.md and docs/design/subsets.md describe the design, docs/fleet.md the operation.
package fleet
