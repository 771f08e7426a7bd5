package subset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// hashes returns n hashes that stand for names.
func hashes(n int, salt uint64) (ids []uint64) {
	for i := range n {
		ids = append(ids, Score(uint64(i)+1, salt))
	}
	return ids
}

// serverList returns servers in the order of their names, as members see them, split into two groups.
func serverList(ids []uint64) (servers []Server) {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	for i, id := range ids {
		servers = append(servers, Server{id, i >= (len(ids)+1)/2})
	}
	return servers
}

// pairSet is who draws from what, by member and server.
type pairSet map[[2]uint64]bool

func pairsOf(members []uint64, servers []Server, chosen [][]int) pairSet {
	pairs := pairSet{}
	for j, own := range chosen {
		for _, i := range own {
			pairs[[2]uint64{members[j], servers[i].ID}] = true
		}
	}
	return pairs
}

// movedFraction is the number of pairs that are new, as a fraction of those before.
func movedFraction(before, after pairSet) float64 {
	added := 0
	for p := range after {
		if !before[p] {
			added++
		}
	}
	return float64(added) / float64(len(before))
}

// span is the least and the most of something.
type span struct{ least, most int }

func (s *span) add(n int) { s.least, s.most = min(s.least, n), max(s.most, n) }

func newSpan() span { return span{least: 1 << 30} }

// evaluation measures a method at one size of a fleet. Fractions of pairs are of those before a change.
type evaluation struct {
	choose  func(members []uint64, servers []Server) [][]int
	members []uint64
	ids     []uint64 // of servers
	servers []Server
	chosen  [][]int
	before  pairSet

	replicas, sizes        span
	movedByMember          float64 // when one leaves, mean of several
	movedByServer          float64
	movedByTenth           float64 // when a tenth of the members leaves
	uncovered              float64 // servers without a live member, with a third of the members dead unnoticed
	bothGroups             bool    // every member has servers of both groups
	alike                  int     // most members that have the same servers
	overloadInMixedViews   float64 // most members of a server, as a multiple of the mean, while half of the members do not know of three
	numMembers, numServers int
}

// movedSamples is how many departures of one member or server are measured.
const movedSamples = 4

func evaluate(choose func([]uint64, []Server) [][]int, numMembers, numServers int) *evaluation {
	e := &evaluation{
		choose: choose, members: hashes(numMembers, 1), ids: hashes(numServers, 2), replicas: newSpan(), sizes: newSpan(), bothGroups: true,
		numMembers: numMembers, numServers: numServers,
	}
	e.servers = serverList(e.ids)
	e.chosen = choose(e.members, e.servers)
	e.before = pairsOf(e.members, e.servers, e.chosen)
	e.measureBalance()
	e.measureDepartures()
	e.measureDeaths()
	e.measureMixedViews()
	return e
}

func (e *evaluation) measureBalance() {
	replicas := make([]int, e.numServers)
	same := map[string]int{}
	for _, own := range e.chosen {
		e.sizes.add(len(own))
		first, second := false, false
		for _, i := range own {
			replicas[i]++
			first, second = first || !e.servers[i].SecondGroup, second || e.servers[i].SecondGroup
		}
		e.bothGroups = e.bothGroups && first && second
		slices.Sort(own)
		same[fmt.Sprint(own)]++
	}
	for _, n := range replicas {
		e.replicas.add(n)
	}
	for _, n := range same {
		e.alike = max(e.alike, n)
	}
}

func (e *evaluation) measureDepartures() {
	for sample := range movedSamples {
		member := (sample*2 + 1) * e.numMembers / (2 * movedSamples)
		fewer := slices.Delete(slices.Clone(e.members), member, member+1)
		e.movedByMember += movedFraction(e.before, pairsOf(fewer, e.servers, e.choose(fewer, e.servers))) / movedSamples
		server := (sample*2 + 1) * e.numServers / (2 * movedSamples)
		rest := serverList(slices.Delete(slices.Clone(e.ids), server, server+1))
		e.movedByServer += movedFraction(e.before, pairsOf(e.members, rest, e.choose(e.members, rest))) / movedSamples
	}
}

// measureDeaths measures a tenth of the members that leaves, and a third that dies unnoticed.
func (e *evaluation) measureDeaths() {
	rng := rand.New(rand.NewPCG(5, 5))
	gone := rng.Perm(e.numMembers)[:max(1, e.numMembers/10)]
	var left []uint64
	for j, member := range e.members {
		if !slices.Contains(gone, j) {
			left = append(left, member)
		}
	}
	e.movedByTenth = movedFraction(e.before, pairsOf(left, e.servers, e.choose(left, e.servers)))
	const samples = 20
	for range samples {
		live := make([]int, e.numServers)
		for _, j := range rng.Perm(e.numMembers)[e.numMembers/3:] {
			for _, i := range e.chosen[j] {
				live[i]++
			}
		}
		for _, n := range live {
			if n == 0 {
				e.uncovered += 1.0 / samples
			}
		}
	}
}

func (e *evaluation) measureMixedViews() {
	more := append(slices.Clone(e.members), hashes(3, 77)...)
	slices.Sort(more)
	chosenByMore := e.choose(more, e.servers)
	drawnBy := make([]int, e.numServers)
	total := 0
	for j, member := range more {
		own := chosenByMore[j]
		if at := slices.Index(e.members, member); at >= 0 && j%2 == 0 {
			own = e.chosen[at]
		}
		for _, i := range own {
			drawnBy[i]++
			total++
		}
	}
	e.overloadInMixedViews = float64(slices.Max(drawnBy)) / (float64(total) / float64(e.numServers))
}

func (e *evaluation) String() string {
	return fmt.Sprintf("replicas %d-%d sizes %d-%d; moved by a member %.1f/N, by a server %.1f/n, by a tenth %.2f; uncovered %.1f; "+
		"both groups %v; alike %d; mixed views %.2f",
		e.replicas.least, e.replicas.most, e.sizes.least, e.sizes.most, e.movedByMember*float64(e.numMembers),
		e.movedByServer*float64(e.numServers), e.movedByTenth, e.uncovered, e.bothGroups, e.alike, e.overloadInMixedViews)
}

// TestMethodsCompared logs the figures of all methods, and checks the properties that the one in service must have.
func TestMethodsCompared(t *testing.T) {
	for _, size := range [][2]int{{3, 20}, {10, 40}, {50, 60}, {50, 300}, {300, 300}, {1000, 300}} {
		members, servers := size[0], size[1]
		t.Run(fmt.Sprintf("%dx%d", members, servers), func(t *testing.T) {
			t.Parallel()
			for i, m := range methods {
				e := evaluate(m.choose, members, servers)
				t.Logf("%-48s %v", m.name, e)
				if i < len(methods)-1 || Replicas(members, servers) >= members {
					continue
				}
				if e.replicas.most-e.replicas.least > 1 || e.movedByMember*float64(members) > 2.2 || !e.bothGroups || e.sizes.least < MinServers {
					t.Errorf("the method in service has %v", e)
				}
			}
		})
	}
}

// TestScoreIsStableAcrossVersions: members of two builds compute the same assignment.
func TestScoreIsStableAcrossVersions(t *testing.T) {
	if got, want := Score(1, 2), uint64(0xdb66176cb4bb833e); got != want {
		t.Errorf("the score is %x, want %x", got, want)
	}
}

// BenchmarkChoose measures one assignment, by members and servers.
func BenchmarkChoose(b *testing.B) {
	for _, size := range [][2]int{{10, 40}, {300, 300}, {1000, 10_000}} {
		members, servers := hashes(size[0], 1), serverList(hashes(size[1], 2))
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				Choose(members, servers)
			}
		})
	}
}
