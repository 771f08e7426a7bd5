package membership

import "slices"

// Compatibility is how a member compares with this node as far as one pool goes.
type Compatibility int

// The results of a comparison.
const (
	Compatible           Compatibility = iota
	DifferentSettings                  // other settings of the pool. It counts, for both use the same quotas; operators are shown it
	PoolNotServed                      // it does not serve the pool, and does not count in it
	IncompatibleProtocol               // it speaks another protocol: it does not count, but it may act
)

// String returns the text that operators read.
func (c Compatibility) String() string {
	return [...]string{"same", "other settings", "not in this pool", "another protocol"}[c]
}

// Compare compares a member with this node as far as a pool goes.
func (v *View) Compare(m *Member, pool uint32) Compatibility {
	own, _ := v.self.serves(pool)
	digest, served := m.serves(pool)
	switch {
	case m.Protocol < MinProtocol || m.Protocol > Protocol:
		return IncompatibleProtocol
	case !served:
		return PoolNotServed
	case digest != own && !m.AllPools && !v.self.AllPools:
		return DifferentSettings
	}
	return Compatible
}

// takesPartIn reports whether a member shares in a pool's work, as soon as it is established.
func (v *View) takesPartIn(m *Member, pool uint32) bool {
	if m.Name == v.self.Name {
		return true
	}
	c := v.Compare(m, pool)
	return c == Compatible || c == DifferentSettings
}

// Position is where this node stands among the members of a pool.
type Position struct {
	Order       []string // names of the established members, sorted: the same at all nodes that have seen the same
	Index       int      // of this node in Order
	Seen        int      // members of the pool that are alive now, whether established or not
	Established int      // established members: what capacity is divided by
}

// Position returns this node's position in a pool.
func (v *View) Position(pool uint32) Position {
	var p Position
	for name, m := range v.members {
		if !v.takesPartIn(m, pool) {
			continue
		}
		if m.State == Alive {
			p.Seen++
		}
		if m.Established {
			p.Order = append(p.Order, name)
		}
	}
	slices.Sort(p.Order)
	p.Established = len(p.Order)
	p.Index, _ = slices.BinarySearch(p.Order, v.self.Name)
	return p
}
