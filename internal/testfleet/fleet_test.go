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

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rig-test")
	if err != nil {
		panic(err)
	}
	if program, err = Build(dir); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// patience is for what must come about on a slow machine; nothing passes by waiting for it.
const patience = 40 * time.Second

func start(t *testing.T, c FleetConfig) *Fleet {
	t.Helper()
	c.Program, c.Slack = program, 3*time.Second
	f, err := NewFleet(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, m := range f.Members {
			if m.P != nil && t.Failed() {
				t.Logf("%s:\n%s", m.Name, m.P.Tail())
			}
			if m.P != nil && m.P.Crashed() {
				t.Errorf("%s ended by itself", m.Name)
			}
		}
		f.Close()
	})
	if err := f.StartAll(c.Members); err != nil {
		t.Fatal(err)
	}
	return f
}

func (f *Fleet) agree(t *testing.T, parts bool, members ...int) {
	t.Helper()
	if _, err := f.Agree(patience, parts, members...); err != nil {
		t.Fatal(err)
	}
}

// judge holds all four rules over all members together.
func judge(t *testing.T, f *Fleet) audit.Verdict {
	t.Helper()
	v := audit.Judge(f.Rec.View(), audit.Options{Slack: f.Slack})
	if !v.Clean() {
		t.Errorf("rules broken: %+v\n%s", v, strings.Join(v.Details, "\n"))
	}
	return v
}

// standing waits until just these of all members have a part.
func (f *Fleet) standing(t *testing.T, with ...int) {
	t.Helper()
	last := ""
	if !Await(patience, func() bool {
		var is []int
		last = ""
		for _, m := range f.Members {
			if !m.Lives() {
				continue
			}
			r, err := m.Role()
			if err != nil {
				return false
			}
			if r.Standing {
				is = append(is, m.I)
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
	f := start(t, FleetConfig{Members: 5, Servers: 8, Seed: 1, Pool: "tenants = [{ name = \"acme\", quota = 100 }]"})
	f.agree(t, true, 0, 1, 2, 3, 4)
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for _, m := range f.Members {
		m.Stream(ctx, &all, Traffic(30, time.Hour)...)
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
	f.agree(t, true, 0, 1, 2) // the majority takes over what they had
	for _, i := range []int{3, 4} {
		if err := f.Members[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	f.agree(t, true, 0, 1, 2, 3, 4)

	f.Fabric.Part([]int{0, 1}, []int{2, 3, 4})
	f.standing(t, 2, 3, 4)
	f.agree(t, true, 2, 3, 4)
	f.agree(t, false, 0, 1) // they go on serving, as two, with no part of any ration
	f.Fabric.Heal()
	f.agree(t, true, 0, 1, 2, 3, 4)

	f.Members[2].Pause()
	f.agree(t, true, 0, 1, 3, 4)
	f.Members[2].Resume()
	if r, err := f.Members[2].Role(); err != nil || r.Standing && r.Divisor != 5 {
		t.Errorf("just after it was stopped it holds %+v, %v", r, err)
	}
	f.agree(t, true, 0, 1, 2, 3, 4)

	f.Members[0].Leave()
	f.agree(t, true, 1, 2, 3, 4)
	if err := f.Members[0].Start(); err != nil {
		t.Fatal(err)
	}
	f.agree(t, true, 0, 1, 2, 3, 4)
	stop()
	all.Wait()
	if v := judge(t, f); v.Served < 100 {
		t.Errorf("%+v", v)
	}
}
