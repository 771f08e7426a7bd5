package fleet

import (
	"cmp"
	"slices"

	"cranegrade/balancer"
	"cranegrade/internal/fleet/membership"
	"cranegrade/internal/fleet/subset"
)

// assignment is how the servers of a pool are assigned to its members, as one member sees it.
type assignment struct {
	own     []string            // servers that this member draws from, sorted; nil means all, for there is no other member
	drawnBy map[string][]uint64 // by server: NameIDs of the members that draw from it
	peers   []string            // other members that draw from any server of own
}

// maxInlinePairs is the most pairs of members and servers that are assigned on the engine's goroutine. More are assigned on another one.
const maxInlinePairs = 20_000

// assignSubsets assigns the servers to the members of a role. If there are many, the result is adopted later.
func (m *Module) assignSubsets(role *Role) {
	if m.pendingAssignment != nil {
		return // the caller calls again once the pending assignment is adopted
	}
	m.listChanged = false
	m.order = role.Order
	clear(m.startedAt)
	servers := make([]balancer.Server, 0, len(m.listed))
	for _, s := range m.listed {
		if s.State == balancer.Ready {
			servers = append(servers, s)
			m.startedAt[s.ID] = s.StartedAt
		}
	}
	order := role.Order
	self := role.Index
	sized := m.sized
	switch {
	case len(order) < 2 || self >= len(order):
		m.adoptAssignment(assignment{})
	case len(order)*len(servers) <= m.maxInlinePairs:
		m.adoptAssignment(assign(order, self, servers, sized))
	default:
		result := make(chan assignment, 1) // the goroutine ends also if nobody receives
		m.pendingAssignment = result
		go func() { result <- assign(order, self, servers, sized) }()
	}
}

// adoptPending adopts an assignment that was computed meanwhile. It does not block.
func (m *Module) adoptPending() {
	select {
	case a := <-m.pendingAssignment: // never ready if it is nil
		m.adoptAssignment(a)
	default:
	}
}

// adoptAssignment makes an assignment the present one. Servers move into and out of this member's subset step by step (subset.Transition),
// so that the servers' loads change gradually.
func (m *Module) adoptAssignment(a assignment) {
	m.pendingAssignment = nil
	m.drawnBy = a.drawnBy
	m.peers = a.peers
	if a.own == nil { // no subset: this member may use every server at once
		m.transition = subset.NewTransition(moveInterval)
	}
	m.transition.SetTarget(a.own, func(server string) bool {
		_, listed := m.startedAt[server]
		return listed
	})
	subsetSize := len(a.own)
	if subsetSize == 0 {
		subsetSize = len(m.startedAt)
	}
	m.detector.SetServers(m.startedAt, subsetSize)
}

// assign assigns servers to members, as the member with index self sees it. It reorders servers. sized reports whether the servers' sizes
// are known.
func assign(members []string, self int, servers []balancer.Server, sized bool) assignment {
	sortLikeModule(servers, sized)
	candidates := make([]subset.Server, len(servers))
	for i, s := range servers {
		candidates[i] = subset.Server{ID: membership.NameID(s.ID), SecondGroup: i >= (len(servers)+1)/2}
	}
	ids := make([]uint64, len(members))
	for i, name := range members {
		ids[i] = membership.NameID(name)
	}
	chosen := subset.Choose(ids, candidates)
	if chosen[self] == nil {
		return assignAll(members, ids, self, servers)
	}
	a := assignment{drawnBy: make(map[string][]uint64, len(servers))}
	for member, own := range chosen {
		for _, i := range own {
			a.drawnBy[servers[i].ID] = append(a.drawnBy[servers[i].ID], ids[member])
		}
	}
	isPeer := map[uint64]bool{}
	for _, i := range chosen[self] {
		a.own = append(a.own, servers[i].ID)
		for _, id := range a.drawnBy[servers[i].ID] {
			isPeer[id] = true
		}
	}
	slices.Sort(a.own)
	for member, name := range members {
		if member != self && isPeer[ids[member]] {
			a.peers = append(a.peers, name)
		}
	}
	return a
}

// assignAll has every member draw from every server.
func assignAll(members []string, ids []uint64, self int, servers []balancer.Server) assignment {
	a := assignment{drawnBy: make(map[string][]uint64, len(servers))}
	for _, s := range servers {
		a.drawnBy[s.ID] = ids
		a.own = append(a.own, s.ID)
	}
	slices.Sort(a.own)
	a.peers = slices.Delete(slices.Clone(members), self, self+1)
	return a
}

// sortLikeModule sorts servers as the decision module does, so that the two halves are the groups that it chooses from.
func sortLikeModule(servers []balancer.Server, sized bool) {
	size := func(s balancer.Server) float64 {
		if sized && s.Size > 0 {
			return s.Size
		}
		return 1
	}
	slices.SortFunc(servers, func(a, b balancer.Server) int {
		return cmp.Or(cmp.Compare(size(b), size(a)), cmp.Compare(a.Cell, b.Cell), cmp.Compare(a.ID, b.ID))
	})
}
