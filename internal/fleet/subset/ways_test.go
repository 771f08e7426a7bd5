package subset

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"

	"cranegrade/balancer"
)

// way is how members could share servers: the servers of each.
type way func(members []uint64, servers []Server) [][]int

func names(n int, salt uint64) (l []uint64) {
	for i := range n {
		l = append(l, Score(uint64(i)+1, salt))
	}
	return l
}

// list makes servers in the order of their names, as members see them, cut into two groups.
func list(ids []uint64) (l []Server) {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	for i, id := range ids {
		l = append(l, Server{id, i >= (len(ids)+1)/2})
	}
	return l
}

// sizeOf is the size that the module's own way gives a subset.
func sizeOf(members, servers int) int {
	return min(servers, max(LeastServers, int(math.Ceil(3*float64(servers)/float64(members)))))
}

// ways are those weighed.
var ways = []struct {
	name string
	way  way
}{
	{"striping by number (as without a fleet)", func(members []uint64, servers []Server) (l [][]int) {
		for i := range members {
			l = append(l, balancer.Stripes(len(servers), sizeOf(len(members), len(servers)), len(members), i))
		}
		return l
	}},
	{"aperture on a ring", func(members []uint64, servers []Server) (l [][]int) {
		k := sizeOf(len(members), len(servers))
		for i := range members {
			var own []int
			at := i * len(servers) / len(members)
			for j := range k {
				own = append(own, (at+j)%len(servers))
			}
			l = append(l, own)
		}
		return l
	}},
	{"rendezvous, each member picks", func(members []uint64, servers []Server) (l [][]int) {
		k := sizeOf(len(members), len(servers))
		for _, m := range members {
			own := make([]int, len(servers))
			for i := range own {
				own[i] = i
			}
			sort.Slice(own, func(a, b int) bool { return Score(m, servers[own[a]].Name) > Score(m, servers[own[b]].Name) })
			l = append(l, own[:k])
		}
		return l
	}},
	{"rendezvous, each server picks", func(members []uint64, servers []Server) [][]int {
		l := make([][]int, len(members))
		c := Copies(len(members), len(servers))
		order := make([]int, len(members))
		for i, s := range servers {
			for j := range order {
				order[j] = j
			}
			sort.Slice(order, func(a, b int) bool { return Score(members[order[a]], s.Name) > Score(members[order[b]], s.Name) })
			for _, j := range order[:c] {
				l[j] = append(l[j], i)
			}
		}
		return l
	}},
	{"consistent hashing, bounded loads", func(members []uint64, servers []Server) [][]int {
		l := make([][]int, len(members))
		c := Copies(len(members), len(servers))
		most := int(math.Ceil(1.25 * float64(c*len(servers)) / float64(len(members))))
		type point struct {
			at     uint64
			member int
		}
		var ring []point
		for j, m := range members {
			for v := range 40 {
				ring = append(ring, point{Score(m, uint64(v)+99), j})
			}
		}
		sort.Slice(ring, func(a, b int) bool { return ring[a].at < ring[b].at })
		for i, s := range servers {
			at := sort.Search(len(ring), func(x int) bool { return ring[x].at >= s.Name })
			for got, n := 0, 0; got < c && n < len(ring); n++ {
				j := ring[(at+n)%len(ring)].member
				if len(l[j]) < most && !slices.Contains(l[j], i) {
					l[j] = append(l[j], i)
					got++
				}
			}
		}
		return l
	}},
	{"permuted rounds", func(members []uint64, servers []Server) [][]int {
		// Each round deals a permutation of the servers out to a lot of members.
		l := make([][]int, len(members))
		k := sizeOf(len(members), len(servers))
		lot := max(1, len(servers)/k)
		for j := range members {
			perm := rand.New(rand.NewPCG(uint64(j/lot), 7)).Perm(len(servers))
			at := j % lot * k
			l[j] = append(l[j], perm[at:min(len(perm), at+k)]...)
		}
		return l
	}},
	{"rendezvous, bounded on both sides (in service)", func(members []uint64, servers []Server) [][]int {
		l := Choose(members, servers)
		for j := range l {
			if l[j] == nil {
				for i := range servers {
					l[j] = append(l[j], i)
				}
			}
		}
		return l
	}},
}

// pairs are who draws from what, by name.
func pairsOf(members []uint64, servers []Server, l [][]int) map[[2]uint64]bool {
	p := map[[2]uint64]bool{}
	for j, own := range l {
		for _, i := range own {
			p[[2]uint64{members[j], servers[i].Name}] = true
		}
	}
	return p
}

// moved is the share of the pairs of before that are new after.
func moved(before, after map[[2]uint64]bool) float64 {
	n := 0
	for p := range after {
		if !before[p] {
			n++
		}
	}
	return float64(n) / float64(len(before))
}

type figures struct {
	copies, sizes  [2]int  // least and most
	member, server float64 // pairs moved when one leaves, mean of several
	tenth          float64 // and when a tenth of the members does
	uncovered      float64 // servers without a member that lives, a third of the members dead unnoticed
	both           bool    // every member has of both groups
	twins          int     // most members that have the same servers
	differ         float64 // most copies over the mean while members' views differ by 3
}

func weigh(w way, n, servers int) (f figures) {
	members, ids := names(n, 1), names(servers, 2)
	all := list(ids)
	l := w(members, all)
	copies := make([]int, servers)
	f.copies, f.sizes, f.both = [2]int{1 << 30, 0}, [2]int{1 << 30, 0}, true
	same := map[string]int{}
	for _, own := range l {
		f.sizes = [2]int{min(f.sizes[0], len(own)), max(f.sizes[1], len(own))}
		left, right := false, false
		for _, i := range own {
			copies[i]++
			left, right = left || !all[i].Right, right || all[i].Right
		}
		f.both = f.both && left && right
		slices.Sort(own)
		same[fmt.Sprint(own)]++
	}
	for _, c := range copies {
		f.copies = [2]int{min(f.copies[0], c), max(f.copies[1], c)}
	}
	for _, k := range same {
		f.twins = max(f.twins, k)
	}
	before := pairsOf(members, all, l)
	const tries = 4
	for t := range tries {
		x := (t*2 + 1) * n / (2 * tries)
		less := slices.Delete(slices.Clone(members), x, x+1)
		f.member += moved(before, pairsOf(less, all, w(less, all))) / tries
		y := (t*2 + 1) * servers / (2 * tries)
		some := list(slices.Delete(slices.Clone(ids), y, y+1))
		f.server += moved(before, pairsOf(members, some, w(members, some))) / tries
	}
	rng := rand.New(rand.NewPCG(5, 5))
	gone := rng.Perm(n)[:max(1, n/10)]
	var left []uint64
	for j, m := range members {
		if !slices.Contains(gone, j) {
			left = append(left, m)
		}
	}
	f.tenth = moved(before, pairsOf(left, all, w(left, all)))
	for range 20 {
		live := make([]int, servers)
		for _, j := range rng.Perm(n)[n/3:] {
			for _, i := range l[j] {
				live[i]++
			}
		}
		for _, c := range live {
			if c == 0 {
				f.uncovered += 1.0 / 20
			}
		}
	}
	// Half of the members have not heard yet that three have come.
	more := append(slices.Clone(members), names(3, 77)...)
	slices.Sort(more)
	m := w(more, all)
	sum := make([]int, servers)
	total := 0
	for j, name := range more {
		own := m[j]
		if at := slices.Index(members, name); at >= 0 && j%2 == 0 {
			own = l[at]
		}
		for _, i := range own {
			sum[i]++
			total++
		}
	}
	f.differ = float64(slices.Max(sum)) / (float64(total) / float64(servers))
	return f
}

// TestWays prints the figures of all ways, and holds the one in service to what is asked of it.
func TestWays(t *testing.T) {
	for _, size := range [][2]int{{3, 20}, {10, 40}, {50, 60}, {50, 300}, {300, 300}, {1000, 300}} {
		n, servers := size[0], size[1]
		t.Logf("%d members, %d servers", n, servers)
		for i, w := range ways {
			f := weigh(w.way, n, servers)
			t.Logf("  %-48s copies %d-%d sizes %d-%d; moved by a member %.1f/N, by a server %.1f/n, by a tenth %.2f; uncovered %.1f; both %v; alike %d; views differ %.2f",
				w.name, f.copies[0], f.copies[1], f.sizes[0], f.sizes[1], f.member*float64(n), f.server*float64(servers), f.tenth, f.uncovered, f.both, f.twins, f.differ)
			if i < len(ways)-1 || Copies(n, servers) >= n {
				continue
			}
			if f.copies[1]-f.copies[0] > 1 || f.member*float64(n) > 2.2 || !f.both || f.sizes[0] < LeastServers {
				t.Errorf("%d members, %d servers: %+v", n, servers, f)
			}
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range [][2]int{{10, 40}, {300, 300}, {1000, 10_000}} {
		members, servers := names(size[0], 1), list(names(size[1], 2))
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				Choose(members, servers)
			}
		})
	}
}
