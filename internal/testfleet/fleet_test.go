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
)

var programPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rig-test")
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

// patience is for what must come about on a slow machine; nothing passes by waiting for it.
const timeout = 40 * time.Second

func startFleet(t *testing.T, c FleetConfig) *Fleet {
	t.Helper()
	c.Program, c.Slack = programPath, 3*time.Second
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

func (f *Fleet) awaitAgreement(t *testing.T, parts bool, members ...int) {
	t.Helper()
	if _, err := f.AwaitAgreement(t.Context(), timeout, parts, members...); err != nil {
		t.Fatal(err)
	}
}

// judge holds all four rules over all members together.
func assertRulesKept(t *testing.T, f *Fleet) audit.Verdict {
	t.Helper()
	v := audit.Judge(f.Recorder.History(), audit.Options{Slack: f.Slack})
	if !v.Clean() {
		t.Errorf("rules broken: %+v\n%s", v, strings.Join(v.Details, "\n"))
	}
	return v
}

// standing waits until just these of all members have a part.
func (f *Fleet) awaitShares(t *testing.T, with ...int) {
	t.Helper()
	last := ""
	if !Await(timeout, func() bool {
		var is []int
		last = ""
		for _, m := range f.Members {
			if !m.IsRunning() {
				continue
			}
			r, err := m.Role(t.Context())
			if err != nil {
				return false
			}
			if r.Standing {
				is = append(is, m.Index)
			}
			last += fmt.Sprintf("%s %+v\n", m.Name, r)
		}
		return slices.Equal(is, with)
	}) {
		t.Fatalf("not just %v have a part:\n%s", with, last)
	}
}

// TestMembers leads five processes through a death of two, a partition, a stop, and a leave, under load.
func TestMembers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{MemberCount: 5, ServerCount: 8, Seed: 1, ExtraPoolSettings: "tenants = [{ name = \"acme\", quota = 100 }]"})
	f.awaitAgreement(t, true, 0, 1, 2, 3, 4)
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for _, m := range f.Members {
		m.RunStreams(ctx, &all, Traffic(30, time.Hour)...)
	}
	all.Go(func() { // cold servers all the while
		for i := 0; ctx.Err() == nil; i++ {
			x := f.Servers[i%len(f.Servers)]
			x.Crash()
			if x.Restart() == nil {
				f.Registry.Set(x, "SERVING")
			}
			select {
			case <-time.After(700 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	})

	f.Members[3].Kill()
	f.Members[4].Kill()
	f.awaitAgreement(t, true, 0, 1, 2) // the majority takes over what they had
	for _, i := range []int{3, 4} {
		if err := f.Members[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	f.awaitAgreement(t, true, 0, 1, 2, 3, 4)

	f.Fabric.Partition([]int{0, 1}, []int{2, 3, 4})
	f.awaitShares(t, 2, 3, 4)
	f.awaitAgreement(t, true, 2, 3, 4)
	f.awaitAgreement(t, false, 0, 1) // they go on serving, as two, with no part of any ration
	f.Fabric.Heal()
	f.awaitAgreement(t, true, 0, 1, 2, 3, 4)

	f.Members[2].Pause()
	f.awaitAgreement(t, true, 0, 1, 3, 4)
	f.Members[2].Resume()
	if r, err := f.Members[2].Role(t.Context()); err != nil || r.Standing && r.Divisor != 5 {
		t.Errorf("just after it was stopped it holds %+v, %v", r, err)
	}
	f.awaitAgreement(t, true, 0, 1, 2, 3, 4)

	f.Members[0].Terminate()
	f.awaitAgreement(t, true, 1, 2, 3, 4)
	if err := f.Members[0].Start(); err != nil {
		t.Fatal(err)
	}
	f.awaitAgreement(t, true, 0, 1, 2, 3, 4)
	stop()
	all.Wait()
	if v := assertRulesKept(t, f); v.Served < 100 {
		t.Errorf("%+v", v)
	}
}
