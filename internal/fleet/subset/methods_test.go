package subset

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"

	"cranegrade/balancer"
)

// method is a method of subsetting. Its function has the signature of Choose.
type method struct {
	name   string
	choose func(members []uint64, servers []Server) [][]int
}

// methods are compared in docs/design/subsets.md. The last one is used in production.
var methods = []method{
	{"striping by number (as without a fleet)", stripe},
	{"aperture on a ring", ringAperture},
	{"rendezvous, each member picks", membersPick},
	{"rendezvous, each server picks", serversPick},
	{"consistent hashing, bounded loads", boundedConsistentHashing},
	{"permuted rounds", permutedRounds},
	{"rendezvous, bounded on both sides (in service)", chooseExplicit},
}

// subsetSize returns the size of the subsets that the decision module computes without a fleet.
func subsetSize(members, servers int) int {
	return min(servers, max(MinServers, int(math.Ceil(3*float64(servers)/float64(members)))))
}

// stripe returns the subsets that the decision module computes without a fleet.
func stripe(members []uint64, servers []Server) (chosen [][]int) {
	for i := range members {
		chosen = append(chosen, balancer.SubsetIndexes(len(servers), subsetSize(len(members), len(servers)), len(members), i))
	}
	return chosen
}

// ringAperture gives each member consecutive servers on a ring, starting at its own position.
func ringAperture(members []uint64, servers []Server) (chosen [][]int) {
	size := subsetSize(len(members), len(servers))
	for i := range members {
		var own []int
		first := i * len(servers) / len(members)
		for j := range size {
			own = append(own, (first+j)%len(servers))
		}
		chosen = append(chosen, own)
	}
	return chosen
}

// membersPick gives each member the servers with its highest scores.
func membersPick(members []uint64, servers []Server) (chosen [][]int) {
	size := subsetSize(len(members), len(servers))
	for _, member := range members {
		own := indices(len(servers))
		sort.Slice(own, func(a, b int) bool { return Score(member, servers[own[a]].ID) > Score(member, servers[own[b]].ID) })
		chosen = append(chosen, own[:size])
	}
	return chosen
}

// serversPick assigns each server to the members with its highest scores.
func serversPick(members []uint64, servers []Server) [][]int {
	chosen := make([][]int, len(members))
	for i, s := range servers {
		order := indices(len(members))
		sort.Slice(order, func(a, b int) bool { return Score(members[order[a]], s.ID) > Score(members[order[b]], s.ID) })
		for _, member := range order[:Replicas(len(members), len(servers))] {
			chosen[member] = append(chosen[member], i)
		}
	}
	return chosen
}

// boundedConsistentHashing is consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam), with 40 points per member on the
// ring.
func boundedConsistentHashing(members []uint64, servers []Server) [][]int {
	const pointsPerMember = 40
	chosen := make([][]int, len(members))
	replicas := Replicas(len(members), len(servers))
	maxLoad := int(math.Ceil(1.25 * float64(replicas*len(servers)) / float64(len(members))))
	type point struct {
		hash   uint64
		member int
	}
	var ring []point
	for j, member := range members {
		for v := range pointsPerMember {
			ring = append(ring, point{Score(member, uint64(v)+99), j})
		}
	}
	sort.Slice(ring, func(a, b int) bool { return ring[a].hash < ring[b].hash })
	for i, s := range servers {
		start := sort.Search(len(ring), func(x int) bool { return ring[x].hash >= s.ID })
		for assigned, n := 0, 0; assigned < replicas && n < len(ring); n++ {
			j := ring[(start+n)%len(ring)].member
			if len(chosen[j]) < maxLoad && !slices.Contains(chosen[j], i) {
				chosen[j] = append(chosen[j], i)
				assigned++
			}
		}
	}
	return chosen
}

// permutedRounds is the deterministic subsetting of the SRE book: in each round, a permutation of the servers is divided among some
// members.
func permutedRounds(members []uint64, servers []Server) [][]int {
	chosen := make([][]int, len(members))
	size := subsetSize(len(members), len(servers))
	perRound := max(1, len(servers)/size)
	for j := range members {
		permutation := rand.New(rand.NewPCG(uint64(j/perRound), 7)).Perm(len(servers))
		start := j % perRound * size
		chosen[j] = append(chosen[j], permutation[start:min(len(permutation), start+size)]...)
	}
	return chosen
}

// chooseExplicit returns the result of Choose, with all servers listed in place of nil.
func chooseExplicit(members []uint64, servers []Server) [][]int {
	chosen := Choose(members, servers)
	for j := range chosen {
		if chosen[j] == nil {
			chosen[j] = indices(len(servers))
		}
	}
	return chosen
}

// indices returns the integers from 0 to n-1.
func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}
