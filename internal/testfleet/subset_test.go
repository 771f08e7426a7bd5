package testfleet

import (
	"testing"

	"cranegrade/internal/fleet/subset"
)

// memberServer is a member and a server of its subset.
type memberServer struct{ member, server string }

// awaitSubsets waits until the subsets of these members cover the servers as evenly as they should, and returns them.
func (f *Fleet) awaitSubsets(t *testing.T, members ...int) map[memberServer]bool {
	t.Helper()
	var pairs map[memberServer]bool
	lastUneven := ""
	if !Await(eventTimeout, func() bool {
		var ok bool
		pairs, lastUneven, ok = f.evenSubsets(t, members)
		return ok
	}) {
		t.Fatalf("the servers are not spread evenly over %v, as by %s", members, lastUneven)
	}
	return pairs
}

// evenSubsets returns the subsets of the members, or the pool or server by which they are not even yet.
func (f *Fleet) evenSubsets(t *testing.T, members []int) (pairs map[memberServer]bool, uneven string, ok bool) {
	t.Helper()
	pairs = map[memberServer]bool{}
	copies := map[string]int{}
	for _, i := range members {
		role, err := f.Members[i].Role(t.Context())
		if err != nil || role.Moving {
			return nil, role.Pool, false
		}
		servers := role.Subset
		if servers == nil { // all of them
			for _, s := range f.Servers {
				servers = append(servers, s.ID())
			}
		}
		for _, s := range servers {
			pairs[memberServer{f.Members[i].Name, s}] = true
			copies[s]++
		}
	}
	want := min(len(members), subset.Replicas(len(members), len(f.Servers)))
	for _, s := range f.Servers {
		if copies[s.ID()] != want {
			return nil, s.ID(), false
		}
	}
	return pairs, "", true
}

// TestSubsetsStayEven grows a fleet from two to eight and shrinks it to three under load, while a server is replaced. The subsets are even
// each time, and a death moves little more than what the dead member had.
func TestSubsetsStayEven(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{MemberCount: 2, SpareMembers: 6, ConfiguredNodes: 2, ServerCount: 24, Seed: 7})
	f.awaitAgreement(t, true, 0, 1)
	stops := []func(){f.startStreams(t, []int{0, 1}, Traffic(25, untilStopped)...)}
	f.awaitSubsets(t, 0, 1)
	all := memberIndices(8)
	for _, i := range all[2:] {
		f.startMembers(t, i)
		stops = append(stops, f.startStreams(t, []int{i}, Traffic(25, untilStopped)...))
	}
	f.awaitAgreement(t, true, all...)
	before := f.awaitSubsets(t, all...)

	f.Members[6].Kill()
	survivors := []int{0, 1, 2, 3, 4, 5, 7}
	f.awaitAgreement(t, true, survivors...)
	after := f.awaitSubsets(t, survivors...)
	moved := 0
	for pair := range after {
		if !before[pair] {
			moved++
		}
	}
	if most := 2 * len(before) / 8; moved > most {
		t.Errorf("%d of %d pairs of a member and a server moved when one of eight died, at most %d expected", moved, len(before), most)
	}

	f.restartServer(t, f.Servers[5], 0)
	for _, i := range []int{1, 3, 5, 7} {
		f.Members[i].Terminate()
	}
	f.awaitAgreement(t, true, 0, 2, 4)
	f.awaitSubsets(t, 0, 2, 4)
	for _, stop := range stops {
		stop()
	}
	assertServed(t, f, 200)
}
