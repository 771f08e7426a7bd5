package membership

import "slices"

// Compatibility is the result of comparing a member with this node with respect to one pool.
type Compatibility int

// The results of a comparison.
const (
	Compatible           Compatibility = iota
	DifferentSettings                  // other settings for the pool, shown to operators. It participates, as both use the same quotas
	PoolNotServed                      // it doesn't serve the pool
	IncompatibleProtocol               // unsupported protocol version. It participates in no pool, but keeps its quota shares
)

// String returns the text that is shown to operators.
func (c Compatibility) String() string {
	return [...]string{"same", "other settings", "not in this pool", "another protocol"}[c]
}

// Compare compares a member with this node with respect to a pool.
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

// participatesIn reports whether a member takes a part of a pool's load once it is established.
func (v *View) participatesIn(m *Member, pool uint32) bool {
	if m.Name == v.self.Name {
		return true
	}
	c := v.Compare(m, pool)
	return c == Compatible || c == DifferentSettings
}

// Position is the position of this node among the members of a pool.
type Position struct {
	Order       []string // names of the established members, sorted, so that nodes with the same view have the same order
	Index       int      // of this node in Order
	Seen        int      // number of members of the pool that are alive now, established or not
	Established int      // number of established members, by which capacity is divided
}

// Position returns this node's position in a pool.
func (v *View) Position(pool uint32) Position {
	var p Position
	for name, m := range v.members {
		if !v.participatesIn(m, pool) {
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
