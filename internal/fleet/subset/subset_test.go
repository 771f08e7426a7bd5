package subset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// hashes returns n distinct IDs, as hashes of names. Different salts give different lists.
func hashes(n int, salt uint64) (ids []uint64) {
	for i := range n {
		ids = append(ids, Score(uint64(i)+1, salt))
	}
	return ids
}

// serverList returns servers sorted by ID and split into two groups of equal size.
func serverList(ids []uint64) (servers []Server) {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	for i, id := range ids {
		servers = append(servers, Server{id, i >= (len(ids)+1)/2})
	}
	return servers
}

// pairSet contains the assigned pairs of a member and a server.
type pairSet map[[2]uint64]bool

// pairsOf returns the pairs of an assignment that Choose or another method returned.
func pairsOf(members []uint64, servers []Server, chosen [][]int) pairSet {
	pairs := pairSet{}
	for j, own := range chosen {
		for _, i := range own {
			pairs[[2]uint64{members[j], servers[i].ID}] = true
		}
	}
	return pairs
}

// movedFraction returns the number of new pairs as a fraction of the pairs before.
func movedFraction(before, after pairSet) float64 {
	added := 0
	for p := range after {
		if !before[p] {
			added++
		}
	}
	return float64(added) / float64(len(before))
}

// span is the range of a series of numbers.
type span struct{ least, most int }

// add extends the range to include n.
func (s *span) add(n int) { s.least, s.most = min(s.least, n), max(s.most, n) }

// newSpan returns a span to which no number was added. It is for numbers from 0 to 1<<30.
func newSpan() span { return span{least: 1 << 30} }

// evaluation contains the measurements of a method at one size of the fleet. Moved pairs are fractions of those before the change.
type evaluation struct {
	choose  func(members []uint64, servers []Server) [][]int
	members []uint64
	ids     []uint64 // of servers
	servers []Server
	chosen  [][]int
	before  pairSet

	replicas, sizes        span
	movedByMember          float64 // pairs that move when one member leaves, mean of departureSamples
	movedByServer          float64 // the same for a server
	movedByTenth           float64 // the same for a tenth of the members at once
	uncovered              float64 // mean number of servers without a live member after a third of the members died, before the others detect it
	bothGroups             bool    // every member has servers of both groups
	sameSubset             int     // maximum number of members with the same subset
	overloadInMixedViews   float64 // maximum number of members of a server, relative to the mean, while half of the members do not know three new ones
	numMembers, numServers int
}

// departureSamples is the number of members and of servers whose departures are measured, each by itself.
const departureSamples = 4

// evaluate takes all measurements of a method at one size of the fleet.
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
	e.measureMemberLosses()
	e.measureMixedViews()
	return e
}

// measureBalance measures how evenly servers and members are assigned.
func (e *evaluation) measureBalance() {
	replicas := make([]int, e.numServers)
	bySubset := map[string]int{}
	for _, own := range e.chosen {
		e.sizes.add(len(own))
		first, second := false, false
		for _, i := range own {
			replicas[i]++
			first, second = first || !e.servers[i].SecondGroup, second || e.servers[i].SecondGroup
		}
		e.bothGroups = e.bothGroups && first && second
		slices.Sort(own)
		bySubset[fmt.Sprint(own)]++
	}
	for _, n := range replicas {
		e.replicas.add(n)
	}
	for _, n := range bySubset {
		e.sameSubset = max(e.sameSubset, n)
	}
}

// measureDepartures measures the pairs that move when one member or one server leaves.
func (e *evaluation) measureDepartures() {
	for sample := range departureSamples {
		member := (sample*2 + 1) * e.numMembers / (2 * departureSamples)
		fewer := slices.Delete(slices.Clone(e.members), member, member+1)
		e.movedByMember += movedFraction(e.before, pairsOf(fewer, e.servers, e.choose(fewer, e.servers))) / departureSamples
		server := (sample*2 + 1) * e.numServers / (2 * departureSamples)
		rest := serverList(slices.Delete(slices.Clone(e.ids), server, server+1))
		e.movedByServer += movedFraction(e.before, pairsOf(e.members, rest, e.choose(e.members, rest))) / departureSamples
	}
}

// measureMemberLosses measures the departure of a tenth of the members, and undetected deaths of a third.
func (e *evaluation) measureMemberLosses() {
	rng := rand.New(rand.NewPCG(5, 5))
	leaving := rng.Perm(e.numMembers)[:max(1, e.numMembers/10)]
	var remaining []uint64
	for j, member := range e.members {
		if !slices.Contains(leaving, j) {
			remaining = append(remaining, member)
		}
	}
	e.movedByTenth = movedFraction(e.before, pairsOf(remaining, e.servers, e.choose(remaining, e.servers)))
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

// measureMixedViews measures the load of servers while half of the members do not know three new ones.
func (e *evaluation) measureMixedViews() {
	allMembers := append(slices.Clone(e.members), hashes(3, 77)...)
	slices.Sort(allMembers)
	chosenFromAll := e.choose(allMembers, e.servers)
	replicas := make([]int, e.numServers)
	total := 0
	for j, member := range allMembers {
		own := chosenFromAll[j]
		if at := slices.Index(e.members, member); at >= 0 && j%2 == 0 {
			own = e.chosen[at]
		}
		for _, i := range own {
			replicas[i]++
			total++
		}
	}
	e.overloadInMixedViews = float64(slices.Max(replicas)) / (float64(total) / float64(e.numServers))
}

func (e *evaluation) String() string {
	return fmt.Sprintf("replicas %d-%d sizes %d-%d; moved by a member %.1f/N, by a server %.1f/n, by a tenth %.2f; uncovered %.1f; "+
		"both groups %v; same subset %d; mixed views %.2f",
		e.replicas.least, e.replicas.most, e.sizes.least, e.sizes.most, e.movedByMember*float64(e.numMembers),
		e.movedByServer*float64(e.numServers), e.movedByTenth, e.uncovered, e.bothGroups, e.sameSubset, e.overloadInMixedViews)
}

// TestCompareMethods logs the measurements of all methods, and checks the guaranteed properties of the one that is used in production.
func TestCompareMethods(t *testing.T) {
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
					t.Errorf("the method used in production: %v; want replicas that differ by at most 1, at most 2.2/N moved by a member, "+
						"servers of both groups, and subsets of at least %d", e, MinServers)
				}
			}
		})
	}
}

// TestScoreIsStableAcrossVersions: members of different versions run side by side during an upgrade and must compute
// the same assignment.
func TestScoreIsStableAcrossVersions(t *testing.T) {
	if got, want := Score(1, 2), uint64(0xdb66176cb4bb833e); got != want {
		t.Errorf("the score is %x, want %x", got, want)
	}
}

// BenchmarkChoose measures one assignment, by numbers of members and servers.
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
