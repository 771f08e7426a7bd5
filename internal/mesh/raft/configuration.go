package raft

import "slices"

// Configuration is who votes, as an entry of the log says. It holds from the moment that the entry is in the log.
type Configuration struct {
	Index   uint64 // of the entry
	Members []Member
	// Outgoing are the voters of the configuration before, while a joint change is under way: until its entry is committed
	// and the one behind it takes them out, whatever is decided takes a majority of Outgoing and one of Members.
	Outgoing        []Member
	ProtocolVersion uint32 // what all Members were known to speak when it was made
}

func configurationOf(e Entry) Configuration {
	return Configuration{Index: e.Index, Members: e.Members, Outgoing: e.Outgoing, ProtocolVersion: e.ProtocolVersion}
}

// isJoint says that a change is half done.
func (f Configuration) isJoint() bool { return len(f.Outgoing) > 0 }

// isVoter says that an id is a voter of it.
func (f Configuration) isVoter(id ID) bool {
	return containsMember(f.Members, id) || containsMember(f.Outgoing, id)
}

// voters are all of them, each once.
func (f Configuration) voters() []Member {
	all := slices.Clone(f.Members)
	for _, m := range f.Outgoing {
		if !containsMember(f.Members, m.ID) {
			all = append(all, m)
		}
	}
	return all
}

// hasQuorum says that those that count are enough to decide: a majority, and while a change is half done one of either set.
func (f Configuration) hasQuorum(counts func(ID) bool) bool {
	return hasMajority(f.Members, counts) && (!f.isJoint() || hasMajority(f.Outgoing, counts))
}

// isSoleVoter says that one member decides by itself.
func (f Configuration) isSoleVoter(id ID) bool {
	return f.hasQuorum(func(x ID) bool { return x == id })
}

func hasMajority(members []Member, counts func(ID) bool) bool {
	n := 0
	for _, m := range members {
		if counts(m.ID) {
			n++
		}
	}
	return n > len(members)/2
}

func containsMember(members []Member, id ID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id })
}
