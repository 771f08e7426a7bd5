package testfleet

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cranegrade/internal/audit"
	"cranegrade/internal/fake"
)

const (
	// eventTimeout is for events that must come about, also on a slow machine. No test passes by waiting for it.
	eventTimeout = 40 * time.Second
	// auditSlack is how late the program may be on a slow machine, where rules are judged and not speed.
	auditSlack = 3 * time.Second
	// untilStopped is the duration of streams that end with the test.
	untilStopped = time.Hour
)

// programPath is the program, built once for all tests.
var programPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "testfleet")
	if err != nil {
		panic(err)
	}
	if programPath, err = Build(dir); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// startFleet starts a fleet that is closed with the test. It prints the members' logs if the test fails.
func startFleet(t *testing.T, c FleetConfig) *Fleet {
	t.Helper()
	c.Program, c.Slack = programPath, auditSlack
	f, err := NewFleet(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, m := range f.Members {
			if m.Process != nil && t.Failed() {
				t.Logf("%s:\n%s", m.Name, m.Process.Tail())
			}
			if m.Process != nil && m.Process.Crashed() {
				t.Errorf("%s ended by itself", m.Name)
			}
		}
		f.Close()
	})
	if err := f.StartAll(c.MemberCount); err != nil {
		t.Fatal(err)
	}
	return f
}

// memberIndices are the numbers of the first n members.
func memberIndices(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// startMembers starts members one after the other.
func (f *Fleet) startMembers(t *testing.T, members ...int) {
	t.Helper()
	for _, i := range members {
		if err := f.Members[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
}

// startStreams sends streams to each of these members until stop is called, which waits for their end, or the test ends.
func (f *Fleet) startStreams(t *testing.T, members []int, streams ...fake.Stream) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, i := range members {
		f.Members[i].RunStreams(ctx, &running, slices.Clone(streams)...)
	}
	stop = func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(stop)
	return stop
}

// awaitAgreement is AwaitAgreement within the test's time-out.
func (f *Fleet) awaitAgreement(t *testing.T, withShares bool, members ...int) {
	t.Helper()
	if _, err := f.AwaitAgreement(t.Context(), eventTimeout, withShares, members...); err != nil {
		t.Fatal(err)
	}
}

// awaitShares waits until exactly these of the running members have a share.
func (f *Fleet) awaitShares(t *testing.T, members ...int) {
	t.Helper()
	lastReports := ""
	if !Await(eventTimeout, func() bool {
		var holders []int
		lastReports = ""
		for _, m := range f.Members {
			if !m.IsRunning() {
				continue
			}
			role, err := m.Role(t.Context())
			if err != nil {
				return false
			}
			if role.Standing {
				holders = append(holders, m.Index)
			}
			lastReports += fmt.Sprintf("%s %+v\n", m.Name, role)
		}
		return slices.Equal(holders, members)
	}) {
		t.Fatalf("not exactly %v have a share:\n%s", members, lastReports)
	}
}

// assertShareSum checks that the shares that all members have at one moment do not add up to more than 1.
func (f *Fleet) assertShareSum(t *testing.T) {
	t.Helper()
	watch := &ShareWatch{}
	previous := f.askForShares(t.Context())
	if !Await(eventTimeout, func() bool {
		current := f.askForShares(t.Context())
		counts := f.addSample(watch, previous, current)
		previous = current
		return counts
	}) {
		t.Error("the members never had their shares at one moment")
	}
	if watch.Violations > 0 {
		t.Error("more than the whole was taken: " + watch.FirstViolation)
	}
}

// restartServer drains a server, crashes it after a while, and starts it again in slow start.
func (f *Fleet) restartServer(t *testing.T, s *fake.Server, drainTime time.Duration) {
	t.Helper()
	f.Registry.Set(s, fake.ListDraining)
	time.Sleep(drainTime)
	s.Crash()
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	f.Registry.Set(s, fake.ListServing)
}

// assertRulesKept judges the history of all members together by the four rules.
func assertRulesKept(t *testing.T, f *Fleet) audit.Result {
	t.Helper()
	v := audit.Check(f.Recorder.History(), audit.Options{Slack: f.Slack})
	if !v.Passed() {
		t.Errorf("rules broken: %+v\n%s", v, strings.Join(v.Violations, "\n"))
	}
	return v
}

// assertServed is assertRulesKept of a run in which at least so many requests were served.
func assertServed(t *testing.T, f *Fleet, least int) {
	t.Helper()
	if v := assertRulesKept(t, f); v.Served < least {
		t.Errorf("%d requests served, at least %d expected: %+v", v.Served, least, v)
	}
}

// TestFleetSurvivesFaults leads five processes under load, with servers that restart all the time, through the death of two, a partition, a
// pause and a planned stop.
func TestFleetSurvivesFaults(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{
		MemberCount: 5, ServerCount: 8, Seed: 1, ExtraPoolSettings: "tenants = [{ name = \"acme\", quota = 100 }]",
	})
	all := memberIndices(5)
	f.awaitAgreement(t, true, all...)
	stop := f.startStreams(t, all, Traffic(30, untilStopped)...)
	stopRestarts := f.keepRestartingServers(t, 700*time.Millisecond)

	f.Members[3].Kill()
	f.Members[4].Kill()
	f.awaitAgreement(t, true, 0, 1, 2) // the majority takes over their shares
	f.startMembers(t, 3, 4)
	f.awaitAgreement(t, true, all...)

	f.Fabric.Partition([]int{0, 1}, []int{2, 3, 4})
	f.awaitShares(t, 2, 3, 4)
	f.awaitAgreement(t, true, 2, 3, 4)
	f.awaitAgreement(t, false, 0, 1) // they keep serving, as two, without a share
	f.Fabric.Heal()
	f.awaitAgreement(t, true, all...)

	f.Members[2].Pause()
	f.awaitAgreement(t, true, 0, 1, 3, 4)
	f.Members[2].Resume()
	if role, err := f.Members[2].Role(t.Context()); err != nil || role.Standing && role.Divisor != 5 {
		t.Errorf("just after its pause it reports %+v, %v", role, err)
	}
	f.awaitAgreement(t, true, all...)

	f.Members[0].Terminate()
	f.awaitAgreement(t, true, 1, 2, 3, 4)
	f.startMembers(t, 0)
	f.awaitAgreement(t, true, all...)
	stop()
	stopRestarts()
	assertServed(t, f, 100)
}

// keepRestartingServers crashes and starts one server after the other at an interval until stop is called or the test ends.
func (f *Fleet) keepRestartingServers(t *testing.T, interval time.Duration) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			s := f.Servers[i%len(f.Servers)]
			s.Crash()
			if s.Restart() == nil {
				f.Registry.Set(s, fake.ListServing)
			}
			select {
			case <-time.After(interval):
			case <-ctx.Done():
			}
		}
	})
	stop = func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(stop)
	return stop
}
