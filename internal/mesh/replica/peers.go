package replica

import (
	"maps"
	"slices"

	"cranegrade/internal/mesh/raft"
)

// maxRememberedAddresses is the number of addresses in peerAddresses.byID above which the map is cleared.
const maxRememberedAddresses = 64

// peerAddresses holds the known addresses of other replicas.
type peerAddresses struct {
	self      string
	seeds     []string
	addresses map[string]bool    // set of addresses to connect to
	byID      map[raft.ID]string // addresses of replicas that have connected here
}

// newPeerAddresses returns the addresses of a replica that knows only the seeds.
func newPeerAddresses(self string, seeds []string) peerAddresses {
	return peerAddresses{self: self, seeds: seeds, addresses: map[string]bool{}, byID: map[raft.ID]string{}}
}

// setMembers replaces the known addresses by those of the members, and returns the latter in the order of members. Removed members are
// dropped: they connect to this replica if they have something to send.
func (p *peerAddresses) setMembers(members []raft.Member) []string {
	clear(p.addresses)
	memberAddresses := make([]string, 0, len(members))
	for _, m := range members {
		p.addresses[m.Addr] = true
		memberAddresses = append(memberAddresses, m.Addr)
	}
	return memberAddresses
}

// remember records the address of the replica with the given ID.
func (p *peerAddresses) remember(id raft.ID, address string) {
	p.addresses[address] = true
	if len(p.byID) > maxRememberedAddresses {
		clear(p.byID)
	}
	p.byID[id] = address
}

// all returns all known addresses and the seeds, except the replica's own address, in sorted order.
func (p *peerAddresses) all() []string {
	for _, seed := range p.seeds {
		p.addresses[seed] = true
	}
	delete(p.addresses, p.self)
	return slices.Sorted(maps.Keys(p.addresses))
}

// SetSeeds replaces the seeds, after a reload of the deploy file.
func (r *Replica) SetSeeds(seeds []string) { r.peers.seeds = seeds }

// RememberAddress records the address of a replica that has connected here. Responses to a non-member can only be sent to this address,
// since the membership does not list it.
func (r *Replica) RememberAddress(id raft.ID, address string) { r.peers.remember(id, address) }

// maintainConnections keeps connections to all known replicas open, also while Raft has nothing to send, because they also carry sidecar
// records. A non-member sends a join request to all of them, since it may know only their addresses and not which one leads.
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

// remoteLeaderAddress returns the address of the leader, or "" if no leader is known or this replica leads.
func (r *Replica) remoteLeaderAddress() string {
	if r.raft.IsLeader() {
		return ""
	}
	if address := r.raft.Addr(r.raft.Leader()); address != r.self.Addr {
		return address
	}
	return ""
}

// sendAll sends Raft messages to their receivers. It drops messages to receivers whose address is not known.
func (r *Replica) sendAll(messages []raft.Message) {
	for _, message := range messages {
		if address := r.addressFor(message); address != "" && address != r.self.Addr {
			r.env.Send(address, message)
		}
	}
}

// addressFor returns the address of a message's receiver, or "" if it is not known. For the receiver of a NotMember message, the address
// from its request, which the message repeats, may be the only one known.
func (r *Replica) addressFor(message raft.Message) string {
	if message.Kind == raft.NotMember && message.Addr != "" {
		return message.Addr
	}
	if address := r.raft.Addr(message.To); address != "" {
		return address
	}
	return r.peers.byID[message.To]
}
