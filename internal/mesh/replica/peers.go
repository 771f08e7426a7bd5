package replica

import (
	"maps"
	"slices"

	"cranegrade/internal/mesh/raft"
)

// maxRememberedAddresses is how many addresses of replicas that are no members are remembered, by id.
const maxRememberedAddresses = 64

// peerAddresses is where other replicas listen, as far as this one has heard.
type peerAddresses struct {
	self  string
	seeds []string
	known map[string]bool
	byID  map[raft.ID]string // of those that have connected
}

func newPeerAddresses(self string, seeds []string) peerAddresses {
	return peerAddresses{self: self, seeds: seeds, known: map[string]bool{}, byID: map[raft.ID]string{}}
}

// setMembers forgets all but the members, and returns their addresses in their order. Those that were taken out connect again if
// they have something to say.
func (p *peerAddresses) setMembers(members []raft.Member) []string {
	clear(p.known)
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		p.known[m.Addr] = true
		addresses = append(addresses, m.Addr)
	}
	return addresses
}

// remember notes where a replica listens.
func (p *peerAddresses) remember(id raft.ID, address string) {
	p.known[address] = true
	if len(p.byID) > maxRememberedAddresses {
		clear(p.byID)
	}
	p.byID[id] = address
}

// all returns all addresses but the replica's own, the seeds among them, in a fixed order.
func (p *peerAddresses) all() []string {
	for _, seed := range p.seeds {
		p.known[seed] = true
	}
	delete(p.known, p.self)
	return slices.Sorted(maps.Keys(p.known))
}

// SetSeeds replaces the seeds, after a reload of the deploy file.
func (r *Replica) SetSeeds(seeds []string) { r.peers.seeds = seeds }

// RememberAddress notes where a replica that connected here listens: a non-member can be notified of that only there.
func (r *Replica) RememberAddress(id raft.ID, address string) { r.peers.remember(id, address) }

// maintainConnections keeps connections to all replicas that are known, also while raft has nothing to send: sidecars' records go by
// them. A replica that is no member asks all of them to be taken in, since it may know none of them but by address.
func (r *Replica) maintainConnections() {
	addresses := r.peers.all()
	for _, address := range addresses {
		r.env.Connect(address)
	}
	if !r.raft.IsNonMember() {
		return
	}
	for _, address := range addresses {
		r.env.Send(address, raft.Message{Kind: raft.JoinRequest, From: r.self.ID, Addr: r.self.Addr, ProtocolVersion: raft.ProtocolVersion})
	}
}

// remoteLeaderAddress returns where another replica that leads listens; "": there is none, or it is this one.
func (r *Replica) remoteLeaderAddress() string {
	if r.raft.IsLeader() {
		return ""
	}
	if address := r.raft.Addr(r.raft.Leader()); address != r.self.Addr {
		return address
	}
	return ""
}

// sendAll sends messages to where their receivers listen. Those for nobody that is known are dropped.
func (r *Replica) sendAll(messages []raft.Message) {
	for _, message := range messages {
		if address := r.addressFor(message); address != "" && address != r.self.Addr {
			r.env.Send(address, message)
		}
	}
}

func (r *Replica) addressFor(message raft.Message) string {
	if message.Kind == raft.NotMember && message.Addr != "" {
		return message.Addr
	}
	if address := r.raft.Addr(message.To); address != "" {
		return address
	}
	return r.peers.byID[message.To]
}
