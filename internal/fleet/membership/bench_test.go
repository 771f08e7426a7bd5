package membership

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRoster measures the work of a node in a round of heartbeats: computing its share once, and one heartbeat for each other member.
func BenchmarkRoster(b *testing.B) {
	for _, members := range []int{5, 50, 300} {
		s := newSimulation(Lease{Duration: time.Second, Nodes: members})
		s.startGroup(members)
		for range 50 {
			s.step(50 * ms)
		}
		p := s.processes[0]
		b.Run(fmt.Sprintf("share/%d", members), func(b *testing.B) {
			for b.Loop() {
				p.roster.Share(p.clock(s.now))
			}
		})
		b.Run(fmt.Sprintf("heartbeat/%d", members), func(b *testing.B) {
			for b.Loop() {
				p.roster.Heartbeat("n1")
			}
		})
	}
}
