// Package subset assigns each member of a fleet the servers that it draws from, as deterministic subsetting does (Beyer et al., "Site
// Reliability Engineering", chapter 20), with these properties:
//
//   - All members that know the same members and servers compute the same assignment, without a message between them.
//   - Every server is drawn from by as many members as any other.
//   - When a member or a server comes or goes, hardly more pairs of both change than must.
//
// The method is rendezvous hashing with bounds on both sides. Every pair of a member and a server has a score that depends on their two
// names alone. Pairs are assigned in the order of their scores while the server needs another member and the member has room. So
// what a member had is taken over by the next in the score at each of its servers, and little else moves. docs/design/subsets.md
// compares it with other methods.
//
// The package is pure. Only a Transition keeps state; it is not safe for concurrent use. Health and load of servers must not matter here:
// they are the decision module's.
package subset

import (
	"cmp"
	"math"
	"slices"
)

const (
	// MinServers is how many servers a member draws from at least, where there are as many.
	MinServers = 4
	// MinReplicas is how many members draw from each server at least.
	MinReplicas = 3
	// minMeanServers is how many servers a member draws from at least, in the mean.
	minMeanServers = 5.0
	// loadFactor bounds the servers of one member, as a multiple of the mean and one more. With a tighter bound any change would run on
	// through all members.
	loadFactor = 1.3
)

// Server is a server that may be drawn from.
type Server struct {
	ID          uint64 // hash of its name
	SecondGroup bool   // in which of two groups it is: each member is assigned servers of both
}

// Replicas returns how many of so many members draw from each of so many servers.
func Replicas(members, servers int) int {
	if servers == 0 {
		return 0
	}
	return min(members, max(MinReplicas, int(math.Ceil(minMeanServers*float64(members)/float64(servers)-0.5))))
}

// Choose returns for each member the indices of its servers, ascending. members are hashes of their names. A nil slice stands for all
// servers, where there are too few of them to divide.
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

// Score is that of a member and a server, by hashes of their names: the finalizer of SplitMix64. All members must compute the same, so it
// must not change.
func Score(member, server uint64) uint64 {
	x := member ^ (server*0x9e3779b97f4a7c15 + 0x7f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// pair is a member and a server that it may draw from.
type pair struct {
	score          uint64
	member, server int32 // indices
}

// spareCandidates is how many members are considered for each server beyond those that it needs: as many may be full.
const spareCandidates = 16

// assignment assigns the servers of one group.
type assignment struct {
	members  []uint64
	servers  []Server
	group    []int // indices of servers
	replicas int
	chosen   [][]int // by member, as Choose returns it

	maxLoad, minLoad int               // servers of this group that a member has
	load             []int             // by member
	missing          map[int]int       // members that a server still needs
	assigned         map[[2]int32]bool // by member and server
}

// newAssignment returns an assignment of a group in which no server has a member yet.
func newAssignment(members []uint64, servers []Server, group []int, replicas int, chosen [][]int) *assignment {
	mean := float64(replicas*len(group)) / float64(len(members))
	a := &assignment{
		members:  members,
		servers:  servers,
		group:    group,
		replicas: replicas,
		chosen:   chosen,
		maxLoad:  int(math.Ceil(loadFactor*mean)) + 1,
		minLoad:  min(MinServers/2, int(mean), len(group)),
		load:     make([]int, len(members)),
		missing:  make(map[int]int, len(group)),
		assigned: make(map[[2]int32]bool, replicas*len(group)),
	}
	for _, server := range group {
		a.missing[server] = replicas
	}
	return a
}

// run assigns every server of the group to as many members as it needs.
func (a *assignment) run() {
	for _, p := range a.rankedPairs() {
		if a.missing[int(p.server)] > 0 && a.load[p.member] < a.maxLoad {
			a.assign(int(p.member), int(p.server))
		}
	}
	a.fillServers()
	a.fillMembers()
}

// rankedPairs returns each server's best candidates, the highest scores first.
func (a *assignment) rankedPairs() []pair {
	candidates := min(len(a.members), a.replicas+spareCandidates)
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

// has reports whether a server is assigned to a member.
func (a *assignment) has(member, server int) bool {
	return a.assigned[[2]int32{int32(member), int32(server)}]
}

// assign assigns a server to a member that does not have it.
func (a *assignment) assign(member, server int) {
	a.load[member]++
	a.missing[server]--
	a.assigned[[2]int32{int32(member), int32(server)}] = true
	a.chosen[member] = append(a.chosen[member], server)
}

// unassign takes a server from a member that has it.
func (a *assignment) unassign(member, server int) {
	a.load[member]--
	a.missing[server]++
	delete(a.assigned, [2]int32{int32(member), int32(server)})
	a.chosen[member] = slices.DeleteFunc(a.chosen[member], func(s int) bool { return s == server })
}

// fillServers gives each server that still needs members the least loaded ones, beyond maxLoad if no member has room.
func (a *assignment) fillServers() {
	for _, server := range a.group {
		for a.missing[server] > 0 {
			a.assign(a.leastLoaded(server), server)
		}
	}
}

// leastLoaded returns the least loaded member that a server does not have, of several the one with the highest score.
func (a *assignment) leastLoaded(server int) int {
	best := -1
	bestLoad := math.MaxInt
	bestScore := uint64(0)
	for member, id := range a.members {
		if a.has(member, server) {
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

// fillMembers has each member with fewer than minLoad servers take the place of one with many, at the servers that it scores best at.
func (a *assignment) fillMembers() {
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
			if a.has(member, server) {
				continue
			}
			if from := a.mostLoaded(server); from >= 0 {
				a.unassign(from, server)
				a.assign(member, server)
			}
		}
	}
}

// mostLoaded returns the most loaded member of a server, of several the one with the lowest score. It returns -1 if none has more
// than minLoad.
func (a *assignment) mostLoaded(server int) int {
	most := -1
	mostLoad := a.minLoad
	lowestScore := uint64(0)
	for member, id := range a.members {
		if !a.has(member, server) {
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
