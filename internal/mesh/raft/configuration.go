package raft

import "slices"

// Configuration is the membership defined by one entry of the log. A member always uses the latest configuration in its log, whether or not
// that entry is committed (Raft paper, section 6).
type Configuration struct {
	Index   uint64 // of the entry that defines it
	Members []Member
	// Outgoing are the voters of the previous configuration during a joint change, and empty otherwise. Until the joint entry is committed
	// and the next configuration entry ends the change, every decision needs a majority of Outgoing and a majority of Members.
	Outgoing        []Member
	ProtocolVersion uint32 // spoken by all Members, as known when the entry was appended
}

// isJoint reports whether this is the joint configuration of a change in progress.
func (c Configuration) isJoint() bool { return len(c.Outgoing) > 0 }

// isVoter reports whether a member's votes and acknowledgements count.
func (c Configuration) isVoter(id ID) bool {
	return containsMember(c.Members, id) || containsMember(c.Outgoing, id)
}

// voters returns Members and Outgoing, each member once.
func (c Configuration) voters() []Member {
	all := slices.Clone(c.Members)
	for _, member := range c.Outgoing {
		if !containsMember(c.Members, member.ID) {
			all = append(all, member)
		}
	}
	return all
}

// hasQuorum reports whether the members for which counts returns true form a quorum: a majority of Members, and during a joint change also
// a majority of Outgoing. If a majority of one set were enough, the other set could make a conflicting decision (Raft paper, section 6).
func (c Configuration) hasQuorum(counts func(ID) bool) bool {
	return hasMajority(c.Members, counts) && (!c.isJoint() || hasMajority(c.Outgoing, counts))
}

// isSoleVoter reports whether a member forms a quorum by itself.
func (c Configuration) isSoleVoter(id ID) bool {
	return c.hasQuorum(func(other ID) bool { return other == id })
}

// hasMajority reports whether counts returns true for more than half of the members.
func hasMajority(members []Member, counts func(ID) bool) bool {
	counted := 0
	for _, member := range members {
		if counts(member.ID) {
			counted++
		}
	}
	return counted > len(members)/2
}

// containsMember reports whether one of the members has the ID.
func containsMember(members []Member, id ID) bool {
	return slices.ContainsFunc(members, func(member Member) bool { return member.ID == id })
}
