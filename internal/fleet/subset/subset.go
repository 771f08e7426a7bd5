// Package subset says which servers each member of a fleet draws from: the same at all who know the same members and
// servers, without a word between them; every server drawn from by as many members as any other; and of all pairs
// hardly more moved than must be when a member or a server comes or goes. It is pure, keeps nothing and knows
// neither health nor load: those are the module's.
//
// The way is rendezvous hashing with bounds on both sides. Every pair of a member and a server has a score that follows
// from their two names alone. Pairs are taken in the order of their scores, as long as the server wants another member
// and the member has room. What one member had is so taken over by whoever comes next in the score at each of its
// servers, and little else moves. docs/design/subsets.md has the ways that were weighed, with figures.
package subset

import (
	"cmp"
	"math"
	"slices"
)

// Bounds of what is shared out.
const (
	LeastServers = 4   // that a member draws from, where there are as many
	LeastCopies  = 3   // members that draw from a server
	meanServers  = 5.0 // that a member draws from at the least, in the mean
	slack        = 1.3 // times the mean that a member may have of a group, and one more: tighter, and every change runs on through all
)

// Server is one that may be drawn from.
type Server struct {
	Name  uint64 // a hash of its id
	Right bool   // of the two groups that every choice is made from
}

// Copies is how many of so many members draw from each of so many servers; at most all.
func Copies(members, servers int) int {
	if servers == 0 {
		return 0
	}
	return min(members, max(LeastCopies, int(math.Ceil(meanServers*float64(members)/float64(servers)-0.5))))
}

// Choose gives the indices of the servers of each member, ascending; members are hashes of their names. A nil list:
// all servers, for there are too few to divide.
func Choose(members []uint64, servers []Server) [][]int {
	c := Copies(len(members), len(servers))
	if c >= len(members) || len(servers) <= LeastServers {
		return make([][]int, len(members))
	}
	var groups [2][]int
	for i, s := range servers {
		g := 0
		if s.Right {
			g = 1
		}
		groups[g] = append(groups[g], i)
	}
	chosen := make([][]int, len(members))
	for _, g := range groups { // apart, so that each member has of both
		choose(members, servers, g, c, chosen)
	}
	for _, l := range chosen {
		slices.Sort(l)
	}
	return chosen
}

// pair is a member that a server may have.
type pair struct {
	score          uint64
	member, server int32
}

// tops is how many members stand in line for each server, beyond those that it gets: so many may be full.
const tops = 16

// choose shares the servers of one group out.
func choose(members []uint64, servers []Server, group []int, copies int, chosen [][]int) {
	if len(group) == 0 {
		return
	}
	mean := float64(copies*len(group)) / float64(len(members))
	most, fewest := int(math.Ceil(slack*mean))+1, min(LeastServers/2, int(mean), len(group))
	line := min(len(members), copies+tops)
	pairs := make([]pair, 0, line*len(group))
	best := make([]pair, 0, line+1)
	for _, i := range group {
		best = best[:0]
		for j, m := range members {
			p := pair{Score(m, servers[i].Name), int32(j), int32(i)}
			if len(best) == line && p.score <= best[line-1].score {
				continue
			}
			at, _ := slices.BinarySearchFunc(best, p, func(a, b pair) int { return cmp.Compare(b.score, a.score) })
			best = slices.Insert(best, at, p)
			best = best[:min(line, len(best))]
		}
		pairs = append(pairs, best...)
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.server, b.server), cmp.Compare(a.member, b.member))
	})
	load := make([]int, len(members))
	wants := make(map[int32]int, len(group))
	for _, i := range group {
		wants[int32(i)] = copies
	}
	has := make(map[[2]int32]bool, copies*len(group))
	take := func(p pair) {
		load[p.member]++
		wants[p.server]--
		has[[2]int32{p.member, p.server}] = true
		chosen[p.member] = append(chosen[p.member], int(p.server))
	}
	for _, p := range pairs {
		if wants[p.server] > 0 && load[p.member] < most {
			take(p)
		}
	}
	// Who is still wanted: members with room, the least loaded first, whatever the score; beyond their room if nobody has any.
	for _, i := range group {
		for wants[int32(i)] > 0 {
			next, least, score := -1, math.MaxInt, uint64(0)
			for j, m := range members {
				s := Score(m, servers[i].Name)
				if !has[[2]int32{int32(j), int32(i)}] && (load[j] < least || load[j] == least && s > score) {
					next, least, score = j, load[j], s
				}
			}
			take(pair{0, int32(next), int32(i)})
		}
	}
	// Who has too few takes the place of one who has many, at the servers that it scores best at.
	for j, m := range members {
		if load[j] >= fewest {
			continue
		}
		order := slices.Clone(group)
		slices.SortFunc(order, func(a, b int) int { return cmp.Compare(Score(m, servers[b].Name), Score(m, servers[a].Name)) })
		for _, i := range order {
			if load[j] >= fewest {
				break
			}
			if has[[2]int32{int32(j), int32(i)}] {
				continue
			}
			from, most, score := -1, fewest, uint64(0)
			for k := range members {
				s := Score(members[k], servers[i].Name)
				if has[[2]int32{int32(k), int32(i)}] && (load[k] > most || load[k] == most && from >= 0 && s < score) {
					from, most, score = k, load[k], s
				}
			}
			if from < 0 {
				continue
			}
			load[from]--
			delete(has, [2]int32{int32(from), int32(i)})
			chosen[from] = slices.DeleteFunc(chosen[from], func(x int) bool { return x == i })
			wants[int32(i)]++
			take(pair{0, int32(j), int32(i)})
		}
	}
}

// Score is of a member and a server, by hashes of their names.
func Score(member, server uint64) uint64 {
	x := member ^ (server*0x9e3779b97f4a7c15 + 0x7f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
