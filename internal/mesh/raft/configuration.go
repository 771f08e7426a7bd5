package raft

import "slices"

// Configuration is the membership as one entry of the log states it. A member counts by the latest configuration in its log, whether
// or not that is committed (Raft paper, section 6).
type Configuration struct {
	Index   uint64 // of the entry
	Members []Member
	// Outgoing are the voters of the configuration before, while a joint change is under way. Until the joint entry is committed
	// and the next one takes them out, every decision takes a majority of Outgoing and one of Members.
	Outgoing        []Member
	ProtocolVersion uint32 // that all Members were known to speak when the entry was made
}

// isJoint reports whether a joint change is under way.
func (c Configuration) isJoint() bool { return len(c.Outgoing) > 0 }

// isVoter reports whether a member's vote counts.
func (c Configuration) isVoter(id ID) bool {
	return containsMember(c.Members, id) || containsMember(c.Outgoing, id)
}

// voters are Members and Outgoing, each member once.
func (c Configuration) voters() []Member {
	all := slices.Clone(c.Members)
	for _, member := range c.Outgoing {
		if !containsMember(c.Members, member.ID) {
			all = append(all, member)
		}
	}
	return all
}

// hasQuorum reports whether the members that count are enough to decide: a majority, and during a joint change a majority of each
// set by itself. Either set alone could decide against what the other one has decided (Raft paper, section 6).
func (c Configuration) hasQuorum(counts func(ID) bool) bool {
	return hasMajority(c.Members, counts) && (!c.isJoint() || hasMajority(c.Outgoing, counts))
}

// isSoleVoter reports whether a member is a quorum by itself.
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

func containsMember(members []Member, id ID) bool {
	return slices.ContainsFunc(members, func(member Member) bool { return member.ID == id })
}
