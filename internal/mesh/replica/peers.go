package replica

import (
	"maps"
	"slices"

	"cranegrade/internal/mesh/raft"
)

// maxRememberedAddresses is how many addresses of non-members are remembered, by ID.
const maxRememberedAddresses = 64

// peerAddresses holds the known addresses of other replicas.
type peerAddresses struct {
	self  string
	seeds []string
	known map[string]bool    // a set
	byID  map[raft.ID]string // of those that have connected
}

// newPeerAddresses returns the addresses of a replica that knows the seeds alone.
func newPeerAddresses(self string, seeds []string) peerAddresses {
	return peerAddresses{self: self, seeds: seeds, known: map[string]bool{}, byID: map[raft.ID]string{}}
}

// setMembers replaces the known addresses by those of the members, and returns these in order. Removed members connect by themselves if
// they have something to send.
func (p *peerAddresses) setMembers(members []raft.Member) []string {
	clear(p.known)
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		p.known[m.Addr] = true
		addresses = append(addresses, m.Addr)
	}
	return addresses
}

// remember records the address of a replica.
func (p *peerAddresses) remember(id raft.ID, address string) {
	p.known[address] = true
	if len(p.byID) > maxRememberedAddresses {
		clear(p.byID)
	}
	p.byID[id] = address
}

// all returns all known addresses and the seeds, without the replica's own, in a fixed order.
func (p *peerAddresses) all() []string {
	for _, seed := range p.seeds {
		p.known[seed] = true
	}
	delete(p.known, p.self)
	return slices.Sorted(maps.Keys(p.known))
}

// SetSeeds replaces the seeds, after a reload of the deploy file.
func (r *Replica) SetSeeds(seeds []string) { r.peers.seeds = seeds }

// RememberAddress records the address of a replica that has connected here. A non-member can only be answered there.
func (r *Replica) RememberAddress(id raft.ID, address string) { r.peers.remember(id, address) }

// maintainConnections keeps connections to all known replicas, also while Raft has nothing to send, because they also carry the records of
// sidecars. A non-member asks all of them to let it join, since it may know them only by address.
func (r *Replica) maintainConnections() {
	addresses := r.peers.all()
	for _, address := range addresses {
		r.env.Connect(address)
	}
	if !r.raft.IsNonMember() {
		return
	}
	for _, address := range addresses {
		r.env.Send(address, raft.Message{
			Kind:            raft.JoinRequest,
			From:            r.self.ID,
			Addr:            r.self.Addr,
			ProtocolVersion: raft.ProtocolVersion,
		})
	}
}

// remoteLeaderAddress returns the address of the leader if it is another replica, or "" if none is known or this replica leads.
func (r *Replica) remoteLeaderAddress() string {
	if r.raft.IsLeader() {
		return ""
	}
	if address := r.raft.Addr(r.raft.Leader()); address != r.self.Addr {
		return address
	}
	return ""
}

// sendAll sends messages to the addresses of their receivers. Messages to unknown receivers are dropped.
func (r *Replica) sendAll(messages []raft.Message) {
	for _, message := range messages {
		if address := r.addressFor(message); address != "" && address != r.self.Addr {
			r.env.Send(address, message)
		}
	}
}

// addressFor returns the address of a message's receiver, or "" if it is not known. The receiver of a NotMember may only be known by the
// address in its request.
func (r *Replica) addressFor(message raft.Message) string {
	if message.Kind == raft.NotMember && message.Addr != "" {
		return message.Addr
	}
	if address := r.raft.Addr(message.To); address != "" {
		return address
	}
	return r.peers.byID[message.To]
}
