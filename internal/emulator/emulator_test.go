package emulator

import (
	"testing"
	"time"

	"cranegrade/balancer"
)

// Every request gets one answer, whatever is played, and the same seed plays the same.
func TestPlaysAreWholeAndRepeat(t *testing.T) {
	for _, name := range Names {
		for policy, decider := range Policies() {
			s := NewShape(name, 3, 3, 0.8)
			s.Plan.Length = 16 * time.Second
			s.Plan.Decider = decider
			first, err := Play(s.Plan)
			if err != nil {
				t.Fatal(err)
			}
			if len(first.Broken) > 0 {
				t.Errorf("%s, %s: %v", name, policy, first.Broken)
			}
			if first.Slowest > time.Second {
				t.Errorf("%s, %s: an answer came %v after its deadline", name, policy, first.Slowest)
			}
			again, _ := Play(s.Plan)
			for i, x := range first.Seconds {
				if x.Offered != x.Good+x.Late+x.Refused+x.Failed {
					t.Errorf("%s, %s, second %d: %+v does not add up", name, policy, i, x)
				}
				if x != again.Seconds[i] {
					t.Fatalf("%s, %s, second %d: %+v, then %+v with the same seed", name, policy, i, x, again.Seconds[i])
				}
			}
		}
	}
}

// one sends one request a second of fixed work to one server.
func one(work time.Duration, change func(*Plan)) Plan {
	c := Classes(work, 1, Dist{})[:1]
	c[0].Share = 1
	p := Plan{
		Classes: c, Tiers: []Tier{{Servers: 1, Slots: 4, Queue: 2, Settings: settings()}}, Length: 20 * time.Second,
		Rate: func(time.Duration) float64 { return 1 }, Most: 1,
		Decider: func(int, int, balancer.Settings) Decider { return NewReference(0, 1) },
	}
	if change != nil {
		change(&p)
	}
	return p
}

func TestServersShareTheirCores(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Plan)
		good   bool
	}{
		"idle":     {nil, true},
		"too slow": {func(p *Plan) { p.At = []Change{{0, func(w *World) { w.Servers(0)[0].SetSpeed(0.05) }}} }, false},
		"errors":   {func(p *Plan) { p.At = []Change{{0, func(w *World) { w.Servers(0)[0].Errors = 1 }}} }, false},
		"refuses":  {func(p *Plan) { p.At = []Change{{0, func(w *World) { w.Servers(0)[0].Refuses = true }}} }, false},
	} {
		w, err := Play(one(100*time.Millisecond, c.change))
		if err != nil {
			t.Fatal(err)
		}
		if got := w.Goodput(0, 20*time.Second); (got == 1) != c.good {
			t.Errorf("%s: goodput %v", name, got)
		}
	}
}

// A crowd at a server with a delayed slowdown springs the trap, and rest ends it.
func TestDelayedSlowdown(t *testing.T) {
	p := one(100*time.Millisecond, func(p *Plan) {
		p.Tiers[0].Slots, p.Tiers[0].Queue = 50, 50
		p.Tiers[0].Slowdown = Slowdown{Kind: "delayed", At: 5, Factor: 3, Over: time.Second, Below: 0.3, Rest: time.Second}
		p.Rate = func(at time.Duration) float64 {
			if at < 4*time.Second {
				return 40
			}
			return 0.5
		}
		p.Most = 40
		p.Length = 60 * time.Second
	})
	var slow, later float64
	p.At = []Change{{4 * time.Second, func(w *World) { slow = w.Servers(0)[0].slower }}, {59 * time.Second, func(w *World) { later = w.Servers(0)[0].slower }}}
	if _, err := Play(p); err != nil {
		t.Fatal(err)
	}
	if slow != 3 || later != 1 {
		t.Errorf("slower by %v in the crowd, by %v long after it", slow, later)
	}
}

// The hard cases of admission: the module does at least as well as the better reference, less a little.
func TestHardCases(t *testing.T) {
	cases := map[string]func() Plan{
		"one request a second": func() Plan {
			s := NewShape("spike", 1, 8, 0.8)
			s.Plan.Rate, s.Plan.Most = func(time.Duration) float64 { return 1 }, 1
			return s.Plan
		},
		"ten thousand a second": func() Plan {
			s := NewShape("spike", 1, 4, 0.8)
			s.Plan.Length = 3 * time.Second
			for i := range s.Plan.Classes {
				s.Plan.Classes[i].Work = []time.Duration{250 * time.Microsecond, 250 * time.Microsecond}
			}
			s.Plan.Rate, s.Plan.Most = func(time.Duration) float64 { return 10_000 }, 10_000
			return s.Plan
		},
		"a server that errs at once": func() Plan { return NewShape("errors", 1, 4, 0.6).Plan },
		"one class slow":             func() Plan { return NewShape("slow-class", 1, 8, 0.8).Plan },
		"heavy tail":                 func() Plan { return NewShape("heavy-tail", 1, 8, 0.8).Plan },
		"faster for good":            func() Plan { return NewShape("faster", 1, 8, 0.8).Plan },
		"slower for good":            func() Plan { return NewShape("slower", 1, 8, 0.8).Plan },
		"a burst at the start":       func() Plan { return NewShape("cold-burst", 1, 8, 0.8).Plan },
		"admission in series": func() Plan {
			s := NewShape("choke", 1, 8, 0.8)
			s.Plan.Tiers[1].Admits = true
			return s.Plan
		},
		"nodes that begin anew":       func() Plan { return NewShape("restart", 1, 8, 0.9).Plan },
		"creep to twice the capacity": func() Plan { return NewShape("creep", 1, 8, 0.8).Plan },
	}
	for name, plan := range cases {
		t.Run(name, func(t *testing.T) {
			got := map[string]float64{}
			for policy, decider := range Policies() {
				p := plan()
				p.Length = min(p.Length, 40*time.Second)
				p.Decider = decider
				w, err := Play(p)
				if err != nil {
					t.Fatal(err)
				}
				got[policy] = w.Goodput(0, p.Length)
			}
			if got["module"] < max(got["static"], got["none"])-0.02 {
				t.Errorf("goodput %v", got)
			}
		})
	}
}

// In overload the class that is served worst is not starved.
func TestWorstClassInOverload(t *testing.T) {
	s := NewShape("creep", 2, 8, 0.8)
	s.Plan.Rate, s.Plan.Most, s.Plan.Length = func(time.Duration) float64 { return 240 }, 240, 30*time.Second // 1.5 times
	w, err := Play(s.Plan)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range w.Classes {
		if got := float64(c.Good) / float64(c.Offered); got < 0.3 {
			t.Errorf("%s: goodput %.3f at 1.5 times the capacity", name, got)
		}
	}
}

// A tenant that floods does not crowd out the one that asks for little.
func TestFloodingTenant(t *testing.T) {
	got := map[float64]float64{}
	for _, weight := range []float64{0, 1} {
		s := NewShape("spike", 5, 8, 0.8)
		read := s.Plan.Classes[0]
		calm, flood := read, read
		calm.Tenant, calm.Share, flood.Tenant, flood.Share = "calm", 0.08, "flood", 0.92
		s.Plan.Classes = []Class{calm, flood}
		s.Plan.Rate, s.Plan.Most, s.Plan.Length = func(time.Duration) float64 { return 400 }, 400, 30*time.Second // 2.5 times
		for i := range s.Plan.Tiers {
			s.Plan.Tiers[i].Settings.TenantWeight = weight
		}
		w, err := Play(s.Plan)
		if err != nil {
			t.Fatal(err)
		}
		c := w.Classes["read/calm"]
		got[weight] = float64(c.Good) / float64(c.Offered)
	}
	if got[1] < 0.9 || got[0] > 0.7 {
		t.Errorf("goodput of the calm tenant %.3f, %.3f where tenants are not told apart", got[1], got[0])
	}
}
