package raft

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
)

func (n *testMember) clone() *testMember {
	member, raft, rng := *n, *n.raft, *n.raft.rng
	member.log = slices.Clone(n.log)
	raft.rng = &rng
	raft.log.entries = slices.Clone(raft.log.entries)
	raft.log.configuration.Members = slices.Clone(raft.log.configuration.Members)
	raft.reads = slices.Clone(raft.reads)
	raft.votes = maps.Clone(raft.votes)
	raft.peers = slices.Clone(raft.peers)
	for i, peer := range raft.peers {
		p := *peer
		p.inflight = slices.Clone(p.inflight)
		if p.transfer != nil {
			transfer := *p.transfer
			p.transfer = &transfer
		}
		raft.peers[i] = &p
	}
	if raft.incoming != nil {
		incoming := *raft.incoming
		incoming.data = slices.Clone(incoming.data)
		raft.incoming = &incoming
	}
	member.raft = &raft
	return &member
}

func (model *modelState) clone() *modelState {
	state := *model
	state.nodes = make([]*testMember, len(model.nodes))
	for i, n := range model.nodes {
		state.nodes[i] = n.clone()
	}
	state.network, state.history = slices.Clone(model.network), slices.Clone(model.history)
	state.applied, state.leaders = maps.Clone(model.applied), maps.Clone(model.leaders)
	state.readFloor, state.configurations = maps.Clone(model.readFloor), maps.Clone(model.configurations)
	return &state
}

// stateHash hashes numbers and bytes.
type stateHash struct{ buffer []byte }

func (h *stateHash) numbers(values ...uint64) {
	for _, value := range values {
		h.buffer = binary.AppendUvarint(h.buffer, value)
	}
}

func (h *stateHash) flags(values ...bool) {
	for _, value := range values {
		if value {
			h.numbers(1)
		} else {
			h.numbers(0)
		}
	}
}

func (h *stateHash) sum() uint64 {
	hash := fnv.New64a()
	hash.Write(h.buffer)
	return hash.Sum64()
}

// hash identifies a state. Times are left out: they only matter through their effects, which are part of the state.
func (model *modelState) hash() uint64 {
	h := &stateHash{buffer: make([]byte, 0, 1<<10)}
	for _, n := range model.nodes {
		n.hashInto(h)
	}
	messages := make([]string, 0, len(model.network))
	for _, m := range model.network {
		messages = append(messages, m.modelKey())
	}
	slices.Sort(messages)
	for _, text := range messages {
		h.buffer = append(h.buffer, text...)
	}
	h.numbers(uint64(model.faultsLeft), model.acknowledgedIndex, uint64(model.proposed), uint64(model.leaderTicksLeft),
		uint64(model.compactionsLeft))
	for id := range uint64(3) {
		h.numbers(model.readFloor[id+1])
	}
	return h.sum()
}

func (n *testMember) hashInto(h *stateHash) {
	r := n.raft
	configuration := r.log.configuration
	h.numbers(uint64(r.config.Self.ID), uint64(r.role), r.term, uint64(r.vote), uint64(r.leaderID))
	h.numbers(r.log.committed, r.log.applied, r.log.savedIndex, r.log.snapshot.Index)
	h.numbers(configuration.Index, uint64(len(configuration.Members)), uint64(len(configuration.Outgoing)))
	for _, e := range r.log.entries {
		h.numbers(e.Index, e.Term, uint64(e.Kind), uint64(len(e.Members)))
		h.buffer = append(h.buffer, e.Data...)
	}
	for _, m := range configuration.voters() {
		h.numbers(uint64(m.ID))
		if p := r.peers.get(m.ID); p != nil {
			h.numbers(p.match, p.next)
			h.flags(p.paused)
		}
		h.flags(r.votes[m.ID])
	}
	for _, m := range configuration.Outgoing {
		h.numbers(uint64(m.ID))
	}
	for _, p := range r.peers {
		h.numbers(uint64(p.ID), p.match, p.next)
		h.flags(p.isJoining, p.leaveGranted)
		h.numbers(uint64(p.lastLeaveRequestAt))
		if p.transfer != nil {
			h.numbers(p.transfer.snapshot.Index, p.transfer.sentBytes, p.transfer.ackedBytes)
		}
	}
	if r.incoming != nil {
		h.numbers(r.incoming.position.index, uint64(len(r.incoming.data)))
	}
	h.flags(r.leave.requested, r.leave.granted)
	h.numbers(n.hardState.Term, uint64(n.hardState.Vote), n.snapshot.Index, uint64(len(n.log)), uint64(n.disksLost))
}

// modelKey identifies a message in a state.
func (m Message) modelKey() string {
	h := &stateHash{buffer: make([]byte, 0, 64)}
	h.numbers(uint64(m.Kind), uint64(m.From), uint64(m.To), m.Term, m.Index, m.LogTerm, m.Commit, m.Hint, m.Offset)
	h.numbers(uint64(len(m.Entries)))
	if m.Reject {
		h.buffer = append(h.buffer, 'n')
	}
	for _, e := range m.Entries {
		h.numbers(e.Term)
	}
	return string(append(h.buffer, '|'))
}
