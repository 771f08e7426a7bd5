package raft

import "slices"

// Configuration is the membership that one entry of the log defines. A member always uses the latest configuration in its log, whether or
// not that is committed (Raft paper, section 6).
type Configuration struct {
	Index   uint64 // of the entry
	Members []Member
	// Outgoing is the voters of the previous configuration, during a joint change. Until the joint entry is committed and the next one
	// removes them, every decision needs both a majority of Outgoing and a majority of Members.
	Outgoing        []Member
	ProtocolVersion uint32 // that all Members were known to speak when the entry was appended
}

// isJoint reports whether this is the configuration of a joint change.
func (c Configuration) isJoint() bool { return len(c.Outgoing) > 0 }

// isVoter reports whether a member's vote counts.
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

// hasQuorum reports whether the members for which counts is true are a quorum: a majority, and during a joint change a majority of each of
// the two sets. With a majority of only one set, the other could decide otherwise (Raft paper, section 6).
func (c Configuration) hasQuorum(counts func(ID) bool) bool {
	return hasMajority(c.Members, counts) && (!c.isJoint() || hasMajority(c.Outgoing, counts))
}

// isSoleVoter reports whether a member alone is a quorum.
func (c Configuration) isSoleVoter(id ID) bool {
	return c.hasQuorum(func(other ID) bool { return other == id })
}

// hasMajority reports whether more than half of the members count.
func hasMajority(members []Member, counts func(ID) bool) bool {
	counted := 0
	for _, member := range members {
		if counts(member.ID) {
			counted++
		}
	}
	return counted > len(members)/2
}

// containsMember reports whether a member with an ID is among the members.
func containsMember(members []Member, id ID) bool {
	return slices.ContainsFunc(members, func(member Member) bool { return member.ID == id })
}
