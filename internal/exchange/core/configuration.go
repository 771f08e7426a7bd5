package core

import "slices"

// Configuration is who votes, as an entry of the log says. It holds from the moment that the entry is in the log.
type Configuration struct {
	Index   uint64 // of the entry
	Members []Member
	// Outgoing are the voters of the configuration before, while a joint change is under way: until its entry is committed
	// and the one behind it takes them out, whatever is decided takes a majority of Outgoing and one of Members.
	Outgoing []Member
	Version  uint32 // what all Members were known to speak when it was made
}

func configurationOf(e Entry) Configuration {
	return Configuration{Index: e.Index, Members: e.Members, Outgoing: e.Outgoing, Version: e.Version}
}

// joint says that a change is half done.
func (f Configuration) joint() bool { return len(f.Outgoing) > 0 }

// votes says that an id is a voter of it.
func (f Configuration) votes(id ID) bool {
	return contains(f.Members, id) || contains(f.Outgoing, id)
}

// voters are all of them, each once.
func (f Configuration) voters() []Member {
	all := slices.Clone(f.Members)
	for _, m := range f.Outgoing {
		if !contains(f.Members, m.ID) {
			all = append(all, m)
		}
	}
	return all
}

// quorum says that those that count are enough to decide: a majority, and while a change is half done one of either set.
func (f Configuration) quorum(counts func(ID) bool) bool {
	return majority(f.Members, counts) && (!f.joint() || majority(f.Outgoing, counts))
}

// alone says that one member decides by itself.
func (f Configuration) alone(id ID) bool { return f.quorum(func(x ID) bool { return x == id }) }

func majority(members []Member, counts func(ID) bool) bool {
	n := 0
	for _, m := range members {
		if counts(m.ID) {
			n++
		}
	}
	return n > len(members)/2
}

func contains(members []Member, id ID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id })
}
