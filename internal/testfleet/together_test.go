package testfleet

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cranegrade/internal/audit"
	"cranegrade/internal/fake"
	"cranegrade/internal/fleet"
	"cranegrade/internal/fleet/subset"
)

// shared waits until the subsets of these members share the servers out as evenly as they should, and gives them.
func (f *Fleet) awaitSubsets(t *testing.T, members ...int) map[[2]string]bool {
	t.Helper()
	var pairs map[[2]string]bool
	last := ""
	if !Await(timeout, func() bool {
		pairs = map[[2]string]bool{}
		copies := map[string]int{}
		for _, i := range members {
			r, err := f.Members[i].Role(t.Context())
			if err != nil || r.Moving {
				last = r.Pool
				return false
			}
			set := r.Subset
			if set == nil {
				for _, s := range f.Servers {
					set = append(set, s.ID())
				}
			}
			for _, s := range set {
				pairs[[2]string{f.Members[i].Name, s}] = true
				copies[s]++
			}
		}
		want := min(len(members), subset.Copies(len(members), len(f.Servers)))
		for _, s := range f.Servers {
			if copies[s.ID()] != want {
				last = s.ID()
				return false
			}
		}
		return true
	}) {
		t.Fatalf("the servers are not shared out evenly among %v, as by %s", members, last)
	}
	return pairs
}

// TestSharedOut grows a fleet from two to eight and shrinks it to three under load, while a server is replaced: servers are
// shared out evenly each time, and a death moves little more than what the dead had.
func TestSharedOut(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{MemberCount: 2, SpareMembers: 6, ConfiguredNodes: 2, ServerCount: 24, Seed: 7})
	f.awaitAgreement(t, true, 0, 1)
	ctx, stop := context.WithCancel(context.Background())
	var load sync.WaitGroup
	run := func(i int) { f.Members[i].RunStreams(ctx, &load, Traffic(25, time.Hour)...) }
	run(0)
	run(1)
	f.awaitSubsets(t, 0, 1)
	all := []int{0, 1, 2, 3, 4, 5, 6, 7}
	for _, i := range all[2:] {
		if err := f.Members[i].Start(); err != nil {
			t.Fatal(err)
		}
		run(i)
	}
	f.awaitAgreement(t, true, all...)
	before := f.awaitSubsets(t, all...)
	f.Members[6].Kill()
	left := []int{0, 1, 2, 3, 4, 5, 7}
	f.awaitAgreement(t, true, left...)
	after := f.awaitSubsets(t, left...)
	moved := 0
	for p := range after {
		if !before[p] {
			moved++
		}
	}
	if most := 2 * len(before) / 8; moved > most {
		t.Errorf("%d of %d pairs of a member and a server moved when one of eight died, %d at the most", moved, len(before), most)
	}
	f.Registry.Set(f.Servers[5], "DRAINING")
	f.Servers[5].Crash()
	if err := f.Servers[5].Restart(); err != nil {
		t.Fatal(err)
	}
	f.Registry.Set(f.Servers[5], "SERVING")
	for _, i := range []int{1, 3, 5, 7} {
		f.Members[i].Terminate()
	}
	f.awaitAgreement(t, true, 0, 2, 4)
	f.awaitSubsets(t, 0, 2, 4)
	stop()
	load.Wait()
	if v := assertRulesKept(t, f); v.Served < 200 {
		t.Errorf("%+v", v)
	}
}

// TestWords has one server of twelve fail every call: members put it aside on others' words, keep to that while the one that
// told most is stopped, and use it again once it is well.
func TestWords(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{MemberCount: 6, ServerCount: 12, Seed: 8})
	all := []int{0, 1, 2, 3, 4, 5}
	f.awaitAgreement(t, true, all...)
	ctx, stop := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for _, m := range f.Members {
		m.RunStreams(ctx, &load, fake.Stream{Class: ReadClass, Rate: 40, Duration: time.Hour})
	}
	aside := func(server string) (n int) {
		for _, i := range all {
			r, err := f.Members[i].Role(t.Context())
			if err == nil && slices.ContainsFunc(r.Aside, func(a fleet.AsideStatus) bool { return a.Server == server }) {
				n++
			}
		}
		return n
	}
	sick := f.Servers[4]
	sick.SetMode(fake.Failing)
	if !Await(timeout, func() bool { return aside(sick.ID()) >= 2 }) {
		t.Fatal("nobody goes by others' words")
	}
	for _, s := range f.Servers {
		if s != sick && aside(s.ID()) > 1 {
			t.Errorf("%s is well, and put aside", s.ID())
		}
	}
	f.Members[2].Pause()
	f.awaitAgreement(t, true, 0, 1, 3, 4, 5)
	sick.SetMode(fake.Serving)
	from := f.Recorder.Now()
	f.Members[2].Resume()
	if !Await(timeout, func() bool {
		n := 0
		for _, a := range f.Recorder.RecentArrivals(2000) {
			if a.Server == sick.ID() && a.FirstByteAt > from && a.Ran {
				n++
			}
		}
		return n > 20 && aside(sick.ID()) == 0
	}) {
		t.Error("the server is well again and not used")
	}
	stop()
	load.Wait()
	assertRulesKept(t, f)
}

// TestQuotas has a tenant's traffic come to one of five processes, and then to another: that one has most of the quota, all
// together never more than the whole, also while links are cut and the borrower dies.
func TestQuotas(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{MemberCount: 5, ServerCount: 4, Seed: 9, ExtraPoolSettings: "tenants = [{ name = \"acme\", quota = 50 }]"})
	all := []int{0, 1, 2, 3, 4}
	f.awaitAgreement(t, true, all...)
	watching, enough := context.WithCancel(context.Background())
	var watch sync.WaitGroup
	var most float64
	watch.Go(func() { // parts change by steps: a sum over the whole lasts as long as the older of two answers
		for watching.Err() == nil {
			sum := 0.0
			for _, i := range all {
				if r, err := f.Members[i].Role(t.Context()); err == nil && len(r.Quotas) == 1 {
					sum += r.Quotas[0].Part
				}
			}
			most = max(most, sum)
		}
	})
	part := func(i int) float64 {
		r, err := f.Members[i].Role(t.Context())
		if err != nil || len(r.Quotas) != 1 {
			return 0
		}
		return r.Quotas[0].Part
	}
	to := func(i int) (stop func()) {
		ctx, cancel := context.WithCancel(context.Background())
		var load sync.WaitGroup
		f.Members[i].RunStreams(ctx, &load, fake.Stream{Class: ReadClass, Rate: 100, Duration: time.Hour, Account: "acme"})
		return func() { cancel(); load.Wait() }
	}
	stop := to(1)
	if !Await(timeout, func() bool { return part(1) > 0.85 }) {
		t.Errorf("the only one with use has %v of the quota", part(1))
	}
	stop()
	stop = to(3)
	if !Await(timeout, func() bool { return part(3) > 0.85 && part(1) < 0.1 }) {
		t.Errorf("the only one with use has %v of the quota, the one before %v", part(3), part(1))
	}
	f.Fabric.Partition([]int{3}, []int{0, 1, 2, 4})
	f.awaitShares(t, 0, 1, 2, 4)
	if got := part(3); got > 0 {
		t.Errorf("cut off it has %v of the quota", got)
	}
	f.Fabric.Heal()
	f.awaitAgreement(t, true, all...)
	if !Await(timeout, func() bool { return part(3) > 0.85 }) {
		t.Errorf("after the cut it has %v of the quota", part(3))
	}
	stop()
	enough()
	watch.Wait()
	t.Logf("all together held %v of the whole at the most, each asked after the other", most)
	assertRulesKept(t, f)
}

// TestOneWay: two members whose own way to a server is broken, one whose ways to all are, and one that lies about others put
// nobody else off them.
func TestOneWay(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	liar, err := BuildMutant(dir, MutationLiar)
	if err != nil {
		t.Fatal(err)
	}
	f := startFleet(t, FleetConfig{SpareMembers: 6, ConfiguredNodes: 6, ServerCount: 6, Seed: 11})
	f.FleetConfig.MemberCount = 2
	// A list in which relays stand before some servers and lose every answer.
	behind := func(broken ...*fake.Server) *fake.Registry {
		own, err := fake.NewRegistry(Host, f.Recorder)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(own.Close)
		for _, s := range f.Servers {
			addr := s.Addr()
			if slices.Contains(broken, s) {
				relay, err := fake.NewRelay(addr)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(relay.Close)
				relay.DropResponses(1 << 40)
				addr = relay.Addr()
			}
			own.SetAt(s, "SERVING", addr)
		}
		return own
	}
	zone := behind(f.Servers[5])
	f.Members[0].Registry, f.Members[1].Registry, f.Members[2].Registry, f.Members[5].Program = zone, zone, behind(f.Servers...), liar
	all := []int{0, 1, 2, 3, 4, 5}
	for _, i := range all {
		if err := f.Members[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	f.awaitAgreement(t, true, all...)
	ctx, stop := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for _, m := range f.Members {
		m.RunStreams(ctx, &load, fake.Stream{Class: ReadClass, Rate: 60, Duration: time.Hour})
	}
	from := f.Recorder.Now()
	counts := func() (n map[string]int, total int) {
		n = map[string]int{}
		for _, a := range f.Recorder.History().Arrivals {
			if a.FirstByteAt > from && a.Ran {
				n[a.Server]++
				total++
			}
		}
		return n, total
	}
	if !Await(timeout, func() bool { _, total := counts(); return total > 3000 }) {
		t.Fatal("little is served")
	}
	stop()
	load.Wait()
	n, total := counts()
	for _, s := range f.Servers {
		if share := float64(n[s.ID()]) * float64(len(f.Servers)) / float64(total); share < 0.4 {
			t.Errorf("%s gets %.2f of the mean: %v", s.ID(), share, n)
		}
	}
	t.Logf("%v of %d", n, total)
	v := audit.Judge(f.Recorder.History(), audit.Options{Slack: f.Slack})
	if !v.Clean() || v.Served < 2000 {
		t.Errorf("%+v\n%s", v, strings.Join(v.Details, "\n"))
	}
}

// TestHalves cuts a fleet of eight into three and five while every server is replaced: cold servers are not pushed over by
// both together, and parts are whole again after it.
func TestHalves(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{MemberCount: 8, ServerCount: 6, Seed: 12})
	all := []int{0, 1, 2, 3, 4, 5, 6, 7}
	f.awaitAgreement(t, true, all...)
	ctx, stop := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for _, m := range f.Members {
		m.RunStreams(ctx, &load, Traffic(40, time.Hour)...)
	}
	f.Fabric.Partition([]int{0, 1, 2}, []int{3, 4, 5, 6, 7})
	for _, s := range f.Servers {
		f.Registry.Set(s, "DRAINING")
		time.Sleep(300 * time.Millisecond) // what it has ends meanwhile
		s.Crash()
		if err := s.Restart(); err != nil {
			t.Fatal(err)
		}
		f.Registry.Set(s, "SERVING")
		if sum, _ := f.SumShares(t.Context(), all...); sum > 1+1e-9 {
			t.Errorf("%v of the whole is taken", sum)
		}
	}
	f.awaitShares(t, 3, 4, 5, 6, 7)
	f.Fabric.Heal()
	f.awaitAgreement(t, true, all...)
	stop()
	load.Wait()
	if v := assertRulesKept(t, f); v.Served < 300 {
		t.Errorf("%+v", v)
	}
}
