package testfleet

import (
	"slices"
	"testing"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/fleet"
)

// ejectedBy is how many of the members keep a server aside because of what others report.
func (f *Fleet) ejectedBy(t *testing.T, members []int, server string) (count int) {
	t.Helper()
	for _, i := range members {
		role, err := f.Members[i].Role(t.Context())
		if err == nil && slices.ContainsFunc(role.Aside, func(a fleet.AsideStatus) bool { return a.Server == server }) {
			count++
		}
	}
	return count
}

// TestReportsOfOthersEjectAServer has one server of twelve fail every request. Members eject it because of what others report, keep to that
// while a member that reported it is paused, and use it again once it is healthy.
func TestReportsOfOthersEjectAServer(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{MemberCount: 6, ServerCount: 12, Seed: 8})
	all := memberIndices(6)
	f.awaitAgreement(t, true, all...)
	stop := f.startStreams(t, all, fake.Stream{Class: ReadClass, Rate: 40, Duration: untilStopped})
	failing := f.Servers[4]
	failing.SetMode(fake.Failing)
	if !Await(eventTimeout, func() bool { return f.ejectedBy(t, all, failing.ID()) >= 2 }) {
		t.Fatal("nobody ejects the server because of others' reports")
	}
	for _, s := range f.Servers {
		if s != failing && f.ejectedBy(t, all, s.ID()) > 1 {
			t.Errorf("%s is healthy, and ejected", s.ID())
		}
	}
	f.Members[2].Pause()
	f.awaitAgreement(t, true, 0, 1, 3, 4, 5)
	failing.SetMode(fake.Serving)
	from := f.Recorder.Now()
	f.Members[2].Resume()
	if !Await(eventTimeout, func() bool {
		served := 0
		for _, a := range f.Recorder.RecentArrivals(2000) {
			if a.Server == failing.ID() && a.FirstByteAt > from && a.Ran {
				served++
			}
		}
		return served > 20 && f.ejectedBy(t, all, failing.ID()) == 0
	}) {
		t.Error("the server is healthy again and not used")
	}
	stop()
	assertRulesKept(t, f)
}

// TestLocalFaultsAccuseNobody: two members whose own way to a server is broken, one whose ways to all servers are, and one that lies about
// others do not keep the rest from using the servers.
func TestLocalFaultsAccuseNobody(t *testing.T) {
	t.Parallel()
	const (
		leastShare   = 0.4 // of the mean, that each server must get
		minRequests  = 3000
		minSucceeded = 2000
	)
	liar, err := BuildMutant(t.TempDir(), MutationLiar)
	if err != nil {
		t.Fatal(err)
	}
	f := startFleet(t, FleetConfig{SpareMembers: 6, ConfiguredNodes: 6, ServerCount: 6, Seed: 11})
	f.MemberCount = 2
	brokenToOne := f.registryWithBrokenLinks(t, f.Servers[5])
	f.Members[0].Registry, f.Members[1].Registry = brokenToOne, brokenToOne
	f.Members[2].Registry = f.registryWithBrokenLinks(t, f.Servers...)
	f.Members[5].Program = liar
	all := memberIndices(6)
	f.startMembers(t, all...)
	f.awaitAgreement(t, true, all...)
	stop := f.startStreams(t, all, fake.Stream{Class: ReadClass, Rate: 60, Duration: untilStopped})
	from := f.Recorder.Now()
	if !Await(eventTimeout, func() bool {
		_, total := f.requestsSince(from)
		return total > minRequests
	}) {
		t.Fatal("little is served")
	}
	stop()
	counts, total := f.requestsSince(from)
	for _, s := range f.Servers {
		share := float64(counts[s.ID()]) * float64(len(f.Servers)) / float64(total)
		if share < leastShare {
			t.Errorf("%s gets %.2f of the mean: %v", s.ID(), share, counts)
		}
	}
	t.Logf("%v of %d", counts, total)
	assertServed(t, f, minSucceeded)
}

// registryWithBrokenLinks returns a registry that lists some servers at relays that drop every response.
func (f *Fleet) registryWithBrokenLinks(t *testing.T, broken ...*fake.Server) *fake.Registry {
	t.Helper()
	const everyResponse = 1 << 40
	registry, err := fake.NewRegistry(Host, f.Recorder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(registry.Close)
	for _, s := range f.Servers {
		addr := s.Addr()
		if slices.Contains(broken, s) {
			relay, err := fake.NewRelay(addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(relay.Close)
			relay.DropResponses(everyResponse)
			addr = relay.Addr()
		}
		registry.SetAt(s, fake.ListServing, addr)
	}
	return registry
}

// requestsSince counts the requests that ran since a time of the recorder, by server and in total.
func (f *Fleet) requestsSince(from time.Duration) (counts map[string]int, total int) {
	counts = map[string]int{}
	for _, a := range f.Recorder.History().Arrivals {
		if a.FirstByteAt > from && a.Ran {
			counts[a.Server]++
			total++
		}
	}
	return counts, total
}
