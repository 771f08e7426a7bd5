package hollyspur

import "math"

const (
	subsetLeast = 4   // servers that a copy draws from at the least
	subsetShare = 3.0 // and at the least this many times its fair share of the servers
)

// takeSubset keeps a copy to a few servers. Hundreds of copies over the whole list know nothing: their own counts are
// zero, a sick server is met once a minute, and connections fill its table.
func (b *Balancer) takeSubset() []*server {
	n := len(b.ready)
	size := max(subsetLeast, int(math.Ceil(subsetShare*b.fairServers())))
	if size >= n || b.set.Balancers <= 1 {
		return b.ready
	}
	l := make([]*server, 0, size)
	for _, i := range Stripes(n, size, b.set.Balancers, b.set.Index) {
		l = append(l, b.ready[i])
	}
	return l
}

// Stripes names size of n servers in the shared order for one of so many copies, evenly from along that order, so
// that all servers are drawn from by equally many copies. size is at most n.
func Stripes(n, size, copies, index int) []int {
	l := make([]int, 0, size)
	step := 1
	for i := range size {
		// Each block of the order has its own turn of the copies, lest fixed cliques share servers;
		// a step that divides their number would leave some servers with more of them.
		turn := (float64(index*step%copies) + 0.5) / float64(copies)
		for step++; gcd(step, copies) > 1; step++ {
		}
		l = append(l, int((float64(i)+turn)*float64(n)/float64(size)))
	}
	return l
}

func gcd(a, b int) int {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}
