// Package subset assigns each member of a fleet a subset of the servers, which is a form of deterministic subsetting (Beyer et al., "Site
// Reliability Engineering", chapter 20), with these properties:
//
//   - All members that know the same members and servers compute the same assignment, without exchanging messages.
//   - Every server is in the subsets of the same number of members.
//   - When a member or a server is added or removed, the number of reassigned pairs of a member and a server is close to the minimum.
//
// The method is rendezvous hashing with bounds on the load of servers and members. Every pair of a member and a server has a score, which
// depends only on their names. Pairs are assigned in descending order of score as long as the server needs another member and the member
// is below its maximum load. When a member leaves, each of its servers therefore goes to the member with the next score there, and little
// else changes. docs/design/subsets.md compares this with other methods.
//
// The package is pure. Only a Transition keeps state; it is not safe for concurrent use. The assignment must not depend on health or load
// of servers, which the decision module handles.
package subset

import (
	"cmp"
	"math"
	"slices"
)

const (
	// MinServers is the minimum size of a member's subset, if there are as many servers.
	MinServers = 4
	// MinReplicas is the minimum number of members that have a server in their subsets.
	MinReplicas = 3
	// minMeanServers is the minimum mean size of the subsets.
	minMeanServers = 5.0
	// loadFactor times the mean, rounded up, plus one is the maximum number of servers of one member. With a tighter bound a single change
	// would cascade through all members.
	loadFactor = 1.3
)

// Server is a server to assign.
type Server struct {
	ID          uint64 // hash of its name
	SecondGroup bool   // which of two groups it is in: members are assigned servers of both
}

// Replicas returns the number of members that each server is assigned to, for given numbers of members and servers.
func Replicas(members, servers int) int {
	if servers == 0 {
		return 0
	}
	return min(members, max(MinReplicas, int(math.Ceil(minMeanServers*float64(members)/float64(servers)-0.5))))
}

// Choose returns for each member the indices of its servers, ascending. members are hashes of the members' names. All slices are nil, which
// stands for all servers, if there are too few members or servers for subsets.
func Choose(members []uint64, servers []Server) [][]int {
	replicas := Replicas(len(members), len(servers))
	if replicas >= len(members) || len(servers) <= MinServers {
		return make([][]int, len(members))
	}
	var groups [2][]int
	for i, s := range servers {
		group := 0
		if s.SecondGroup {
			group = 1
		}
		groups[group] = append(groups[group], i)
	}
	chosen := make([][]int, len(members))
	for _, group := range groups {
		if len(group) > 0 {
			newAssignment(members, servers, group, replicas, chosen).run()
		}
	}
	for _, indices := range chosen {
		slices.Sort(indices)
	}
	return chosen
}

// Score returns the score of a pair, from the hashes of the member's and the server's name. It mixes them with the finalizer of SplitMix64.
// It must not change: members of different versions must compute the same scores.
func Score(member, server uint64) uint64 {
	x := member ^ (server*0x9e3779b97f4a7c15 + 0x7f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// pair is a member, a server and the score of the two.
type pair struct {
	score          uint64
	member, server int32 // indices
}

// extraCandidates is how many candidates each server has beyond its replicas, for the case that members reach their maximum load.
const extraCandidates = 16

// assignment is the state of the assignment of one group of servers.
type assignment struct {
	members  []uint64
	servers  []Server
	group    []int // indices of servers
	replicas int
	chosen   [][]int // by member, as Choose returns it

	maxLoad, minLoad int               // bounds of the number of this group's servers of a member
	load             []int             // number of this group's servers, by member
	missingReplicas  map[int]int       // how many more members a server needs, by server
	assigned         map[[2]int32]bool // by member and server
}

// newAssignment returns an assignment in which no server of the group has a member yet.
func newAssignment(members []uint64, servers []Server, group []int, replicas int, chosen [][]int) *assignment {
	mean := float64(replicas*len(group)) / float64(len(members))
	a := &assignment{
		members:         members,
		servers:         servers,
		group:           group,
		replicas:        replicas,
		chosen:          chosen,
		maxLoad:         int(math.Ceil(loadFactor*mean)) + 1,
		minLoad:         min(MinServers/2, int(mean), len(group)),
		load:            make([]int, len(members)),
		missingReplicas: make(map[int]int, len(group)),
		assigned:        make(map[[2]int32]bool, replicas*len(group)),
	}
	for _, server := range group {
		a.missingReplicas[server] = replicas
	}
	return a
}

// run assigns every server of the group to a.replicas members.
func (a *assignment) run() {
	for _, p := range a.rankedPairs() {
		if a.missingReplicas[int(p.server)] > 0 && a.load[p.member] < a.maxLoad {
			a.assign(int(p.member), int(p.server))
		}
	}
	a.completeServers()
	a.raiseToMinLoad()
}

// rankedPairs returns the pairs of each server with its highest-scoring candidates, in descending order of score.
func (a *assignment) rankedPairs() []pair {
	candidates := min(len(a.members), a.replicas+extraCandidates)
	pairs := make([]pair, 0, candidates*len(a.group))
	best := make([]pair, 0, candidates+1)
	for _, server := range a.group {
		best = best[:0]
		for member, id := range a.members {
			p := pair{score: Score(id, a.servers[server].ID), member: int32(member), server: int32(server)}
			if len(best) == candidates && p.score <= best[candidates-1].score {
				continue
			}
			at, _ := slices.BinarySearchFunc(best, p, func(x, y pair) int { return cmp.Compare(y.score, x.score) })
			best = slices.Insert(best, at, p)
			best = best[:min(candidates, len(best))]
		}
		pairs = append(pairs, best...)
	}
	slices.SortFunc(pairs, func(x, y pair) int {
		return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.server, y.server), cmp.Compare(x.member, y.member))
	})
	return pairs
}

// isAssigned reports whether a server is assigned to a member.
func (a *assignment) isAssigned(member, server int) bool {
	return a.assigned[[2]int32{int32(member), int32(server)}]
}

// assign assigns a server to a member that does not have it.
func (a *assignment) assign(member, server int) {
	a.load[member]++
	a.missingReplicas[server]--
	a.assigned[[2]int32{int32(member), int32(server)}] = true
	a.chosen[member] = append(a.chosen[member], server)
}

// unassign removes a server from a member that has it.
func (a *assignment) unassign(member, server int) {
	a.load[member]--
	a.missingReplicas[server]++
	delete(a.assigned, [2]int32{int32(member), int32(server)})
	a.chosen[member] = slices.DeleteFunc(a.chosen[member], func(s int) bool { return s == server })
}

// completeServers assigns servers that still need members to the least loaded ones, even if those have reached maxLoad.
func (a *assignment) completeServers() {
	for _, server := range a.group {
		for a.missingReplicas[server] > 0 {
			a.assign(a.leastLoaded(server), server)
		}
	}
}

// leastLoaded returns the least loaded member that does not have a server. A tie goes to the highest score.
func (a *assignment) leastLoaded(server int) int {
	best := -1
	bestLoad := math.MaxInt
	bestScore := uint64(0)
	for member, id := range a.members {
		if a.isAssigned(member, server) {
			continue
		}
		score := Score(id, a.servers[server].ID)
		if a.load[member] < bestLoad || a.load[member] == bestLoad && score > bestScore {
			best = member
			bestLoad = a.load[member]
			bestScore = score
		}
	}
	return best
}

// raiseToMinLoad reassigns servers to each member that has fewer than minLoad: in descending order of its scores, it replaces the most
// loaded member of a server.
func (a *assignment) raiseToMinLoad() {
	for member, id := range a.members {
		if a.load[member] >= a.minLoad {
			continue
		}
		byScore := slices.Clone(a.group)
		slices.SortFunc(byScore, func(s, t int) int { return cmp.Compare(Score(id, a.servers[t].ID), Score(id, a.servers[s].ID)) })
		for _, server := range byScore {
			if a.load[member] >= a.minLoad {
				break
			}
			if a.isAssigned(member, server) {
				continue
			}
			if from := a.mostLoaded(server); from >= 0 {
				a.unassign(from, server)
				a.assign(member, server)
			}
		}
	}
}

// mostLoaded returns the most loaded member of a server. A tie goes to the lowest score. It returns -1 if no member of the server has more
// than minLoad.
func (a *assignment) mostLoaded(server int) int {
	most := -1
	mostLoad := a.minLoad
	lowestScore := uint64(0)
	for member, id := range a.members {
		if !a.isAssigned(member, server) {
			continue
		}
		score := Score(id, a.servers[server].ID)
		if a.load[member] > mostLoad || a.load[member] == mostLoad && most >= 0 && score < lowestScore {
			most = member
			mostLoad = a.load[member]
			lowestScore = score
		}
	}
	return most
}
