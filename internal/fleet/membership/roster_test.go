package membership

import (
	"math"
	"slices"
	"testing"
	"time"
)

// settleTime is long enough for rosters with a lease of one second to converge after any fault.
const settleTime = 4 * time.Second

// noShare is the divisor of a process without a valid share.
var noShare = math.Inf(1)

// repeat returns n equal divisors.
func repeat(n int, divisor float64) []float64 { return slices.Repeat([]float64{divisor}, n) }

// TestSharesDuringAndAfterFaults checks the divisors of all members during and after single faults.
func TestSharesDuringAndAfterFaults(t *testing.T) {
	for name, c := range map[string]struct {
		members, founders int
		fault             func(*simulation)
		during, after     []float64 // divisors, by order of start
	}{
		"no fault": {
			members: 5, founders: 5, fault: func(*simulation) {},
			during: repeat(5, 5), after: repeat(5, 5),
		},
		"partition of 1 and 4": {
			members: 5, founders: 5, fault: func(s *simulation) { s.partition([]int{0}, []int{1, 2, 3, 4}) },
			during: []float64{noShare, 4, 4, 4, 4}, after: repeat(5, 5),
		},
		"partition of 3 and 3": {
			members: 6, founders: 6, fault: func(s *simulation) { s.partition([]int{0, 1, 2}, []int{3, 4, 5}) },
			during: repeat(6, noShare), after: repeat(6, 6),
		},
		"partition of three sides": {
			members: 5, founders: 5, fault: func(s *simulation) { s.partition([]int{0, 1}, []int{2, 3}, []int{4}) },
			during: repeat(5, noShare), after: repeat(5, 5),
		},
		"one link cut": {
			members: 3, founders: 3, fault: func(s *simulation) { s.cut[[2]string{"n0", "n2"}], s.cut[[2]string{"n2", "n0"}] = true, true },
			during: repeat(3, 3), after: repeat(3, 3),
		},
		"inbound links of one member cut": {
			members: 5, founders: 5, fault: func(s *simulation) { s.cutInbound("n0") },
			during: []float64{noShare, 5, 5, 5, 5}, after: repeat(5, 5),
		},
		"outbound links of one member cut": {
			members: 5, founders: 5, fault: func(s *simulation) { s.cutOutbound("n0") },
			during: []float64{noShare, 4, 4, 4, 4}, after: repeat(5, 5),
		},
		"two members crash": {
			members: 5, founders: 5, fault: func(s *simulation) { s.kill(0, 1) },
			during: repeat(3, 3), after: repeat(3, 3),
		},
		"all but one member crash": {
			members: 5, founders: 5, fault: func(s *simulation) { s.kill(1, 2, 3, 4) },
			during: []float64{noShare}, after: []float64{noShare},
		},
		"restart at once": {
			members: 5, founders: 5, fault: func(s *simulation) { s.kill(0); s.introduce(s.processes[1], s.start("n0", 1)) },
			during: repeat(5, 5), after: repeat(5, 5),
		},
		"two members leave": {
			members: 5, founders: 5, fault: func(s *simulation) { s.processes[0].leave(s.now); s.processes[1].leave(s.now) },
			during: []float64{noShare, noShare, 3, 3, 3}, after: []float64{noShare, noShare, 3, 3, 3},
		},
		"one member paused": {
			members: 5, founders: 5, fault: func(s *simulation) { s.processes[4].paused = true },
			during: []float64{4, 4, 4, 4, noShare}, after: repeat(5, 5),
		},
		"two members join": {
			members: 3, founders: 3, fault: func(s *simulation) {
				s.introduce(s.processes[0], s.start("n8", 1))
				s.introduce(s.processes[1], s.start("n9", 1))
			},
			during: repeat(5, 5), after: repeat(5, 5),
		},
		"two of five founders started": {
			members: 2, founders: 5, fault: func(*simulation) {},
			during: repeat(2, noShare), after: repeat(2, noShare),
		},
		"duplicate name": {
			members: 3, founders: 3, fault: func(s *simulation) {
				p := s.start("n0", 1)
				p.name = "duplicate" // names its links in the simulation; its roster has the name n0
				s.introduce(s.processes[1], p)
			},
			during: []float64{3, 3, 3, noShare}, after: []float64{3, 3, 3, noShare},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(Lease{Duration: time.Second, Nodes: c.founders})
			s.startGroup(c.members)
			s.run(t, settleTime)
			c.fault(s)
			s.run(t, settleTime)
			if got := s.divisors(); !slices.Equal(got, c.during) {
				t.Errorf("during the fault the divisors are %v, want %v\n%s", got, c.during, s.describe())
			}
			s.cut = map[[2]string]bool{}
			for _, p := range s.processes {
				p.paused = false
			}
			s.run(t, settleTime)
			if got := s.divisors(); !slices.Equal(got, c.after) {
				t.Errorf("after the fault the divisors are %v, want %v\n%s", got, c.after, s.describe())
			}
		})
	}
}

// TestLoansFollowDemand checks that the only one of eight members with demand gets nearly the whole quota within two lease durations, also
// after the demand has moved to another member and after a lender has crashed. The shares never add up to more than the whole.
func TestLoansFollowDemand(t *testing.T) {
	const nearlyAll = 0.88
	s := newSimulation(Lease{Duration: time.Second, Nodes: 8})
	s.startGroup(8)
	s.run(t, settleTime)
	for _, demanding := range []int{0, 5} {
		for i, p := range s.processes {
			p.loans.SetDemand(quota, 0)
			if i == demanding {
				p.loans.SetDemand(quota, 2)
			}
		}
		s.run(t, 2*time.Second)
		if share := s.processes[demanding].quotaShare(s.now); share < nearlyAll {
			t.Errorf("member %d, the only one with demand, has %v of the whole, want at least %v", demanding, share, nearlyAll)
		}
	}
	s.processes[2].dead = true // its loans are lost with it
	s.run(t, 4*time.Second)
	if share := s.processes[5].quotaShare(s.now); share < nearlyAll {
		t.Errorf("after a lender's crash the only member with demand has %v of the whole, want at least %v", share, nearlyAll)
	}
}
