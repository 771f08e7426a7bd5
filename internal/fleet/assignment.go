package fleet

import (
	"cmp"
	"slices"

	"cranegrade/balancer"
	"cranegrade/internal/fleet/membership"
	"cranegrade/internal/fleet/subset"
)

// assignment is the assignment of a pool's servers to its members, from the point of view of one member.
type assignment struct {
	own             []string            // servers in this member's subset, sorted; nil for all, if there is no other member
	membersByServer map[string][]uint64 // NameIDs of the members whose subsets contain a server
	peers           []string            // other members whose subsets share a server with own
}

// maxInlinePairs is the largest number of pairs of a member and a server that is assigned on the engine's goroutine. Larger assignments are
// computed on another goroutine, so that they do not delay requests.
const maxInlinePairs = 20_000

// assignSubsets assigns the ready servers to the members of a role. With more than maxInlinePairs, adoptPending adopts the result later.
func (m *Module) assignSubsets(role *Role) {
	if m.pendingAssignment != nil {
		return // listChanged and members stay, so the next update calls again
	}
	m.listChanged = false
	m.members = role.Order
	clear(m.startTimes)
	servers := make([]balancer.Server, 0, len(m.listedServers))
	for _, s := range m.listedServers {
		if s.State == balancer.Ready {
			servers = append(servers, s)
			m.startTimes[s.ID] = s.StartedAt
		}
	}
	order := role.Order
	self := role.Index
	useSizes := m.useSizes
	switch {
	case len(order) < 2 || self >= len(order):
		m.adoptAssignment(assignment{})
	case len(order)*len(servers) <= m.maxInlinePairs:
		m.adoptAssignment(assign(order, self, servers, useSizes))
	default:
		result := make(chan assignment, 1) // buffered, so that the goroutine ends even if nobody receives
		m.pendingAssignment = result
		go func() { result <- assign(order, self, servers, useSizes) }()
	}
}

// adoptPending adopts the pending assignment if it is computed. It does not block.
func (m *Module) adoptPending() {
	select {
	case a := <-m.pendingAssignment: // a nil channel is never ready
		m.adoptAssignment(a)
	default:
	}
}

// adoptAssignment makes an assignment the current one. Servers enter and leave this member's subset step by step (subset.Transition), so
// that the load of the servers changes gradually.
func (m *Module) adoptAssignment(a assignment) {
	m.pendingAssignment = nil
	m.membersByServer = a.membersByServer
	m.peers = a.peers
	if a.own == nil { // no subset: this member may use every server at once
		m.transition = subset.NewTransition(moveInterval)
	}
	m.transition.SetTarget(a.own, func(server string) bool {
		_, listed := m.startTimes[server]
		return listed
	})
	subsetSize := len(a.own)
	if subsetSize == 0 {
		subsetSize = len(m.startTimes)
	}
	m.detector.SetServers(m.startTimes, subsetSize)
}

// assign assigns servers to members, from the point of view of the member with index self. It sorts servers in place. useSizes says whether
// to order them by size.
func assign(members []string, self int, servers []balancer.Server, useSizes bool) assignment {
	sortLikeDecisionModule(servers, useSizes)
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
	a := assignment{membersByServer: make(map[string][]uint64, len(servers))}
	for member, own := range chosen {
		for _, i := range own {
			a.membersByServer[servers[i].ID] = append(a.membersByServer[servers[i].ID], ids[member])
		}
	}
	isPeer := map[uint64]bool{}
	for _, i := range chosen[self] {
		a.own = append(a.own, servers[i].ID)
		for _, id := range a.membersByServer[servers[i].ID] {
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

// assignAll assigns every server to every member.
func assignAll(members []string, ids []uint64, self int, servers []balancer.Server) assignment {
	a := assignment{membersByServer: make(map[string][]uint64, len(servers))}
	for _, s := range servers {
		a.membersByServer[s.ID] = ids
		a.own = append(a.own, s.ID)
	}
	slices.Sort(a.own)
	a.peers = slices.Delete(slices.Clone(members), self, self+1)
	return a
}

// sortLikeDecisionModule sorts servers in the decision module's order, so that the two halves are the two groups from which it picks
// candidates.
func sortLikeDecisionModule(servers []balancer.Server, useSizes bool) {
	size := func(s balancer.Server) float64 {
		if useSizes && s.Size > 0 {
			return s.Size
		}
		return 1
	}
	slices.SortFunc(servers, func(a, b balancer.Server) int {
		return cmp.Or(cmp.Compare(size(b), size(a)), cmp.Compare(a.Cell, b.Cell), cmp.Compare(a.ID, b.ID))
	})
}
