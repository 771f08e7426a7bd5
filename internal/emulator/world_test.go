package emulator

import (
	"testing"
	"time"

	"cranegrade/balancer"
)

func run(t testing.TB, config Config) *World {
	t.Helper()
	w, err := Run(config)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func scenario(t testing.TB, name string, seed uint64, servers int, load float64) Scenario {
	t.Helper()
	s, err := NewScenario(name, seed, servers, load)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Every request gets one answer, and equal seeds give equal counts.
func TestEachRequestIsAnsweredAndSeedsRepeat(t *testing.T) {
	for _, name := range ScenarioNames() {
		for _, policy := range Policies() {
			t.Run(name+"/"+policy.Name, func(t *testing.T) {
				config := scenario(t, name, 3, 3, 0.8).Config
				config.Duration = 16 * time.Second
				config.NewModule = policy.NewModule
				first, second := run(t, config), run(t, config)
				if len(first.Violations) > 0 {
					t.Error(first.Violations)
				}
				if first.MaxLateness > time.Second {
					t.Errorf("an answer came %v after its deadline", first.MaxLateness)
				}
				for i, counts := range first.Seconds {
					if counts.Offered != counts.Good+counts.Late+counts.Rejected+counts.Failed {
						t.Errorf("second %d: %+v does not add up", i, counts)
					}
					if counts != second.Seconds[i] {
						t.Fatalf("second %d: %+v, then %+v with the same seed", i, counts, second.Seconds[i])
					}
				}
			})
		}
	}
}

func TestUnknownScenarioIsAnError(t *testing.T) {
	if _, err := NewScenario("none such", 1, 1, 1); err == nil {
		t.Error("a scenario that does not exist was built")
	}
}

// oneServer is one request a second of constant work to one server.
func oneServer(work time.Duration) Config {
	classes := ScenarioClasses(work, 1, Distribution{})[:1]
	classes[0].Share = 1
	return Config{
		Classes: classes, Tiers: []Tier{{Servers: 1, Concurrency: 4, QueueLimit: 2, Settings: scenarioSettings()}},
		Duration: 20 * time.Second, Rate: func(time.Duration) float64 { return 1 }, MaxRate: 1,
		NewModule: func(int, int, balancer.Settings) DecisionModule { return NewReference(0, 1) },
	}
}

func TestServerFaultsEndGoodput(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Server)
		good   bool
	}{
		{"idle", func(*Server) {}, true},
		{"too slow", func(s *Server) { s.SetSpeed(0.05) }, false},
		{"answers errors", func(s *Server) { s.ErrorShare = 1 }, false},
		{"rejects all", func(s *Server) { s.RejectsAll = true }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			config := oneServer(100 * time.Millisecond)
			config.Changes = []Change{{0, func(w *World) { c.change(w.Servers(0)[0]) }}}
			if got := run(t, config).Goodput(0, 20*time.Second); (got == 1) != c.good {
				t.Errorf("goodput %v", got)
			}
		})
	}
}

// High load at a server with a delayed slowdown slows it down, and rest ends that.
func TestDelayedSlowdownEndsByRest(t *testing.T) {
	config := oneServer(100 * time.Millisecond)
	config.Tiers[0].Concurrency, config.Tiers[0].QueueLimit = 50, 50
	config.Tiers[0].Slowdown = Slowdown{
		Kind: DelayedSlowdown, Threshold: 5, Factor: 3, AveragingTime: time.Second, RestShare: 0.3, RestTime: time.Second,
	}
	config.Rate = func(at time.Duration) float64 {
		if at < 4*time.Second {
			return 40
		}
		return 0.5
	}
	config.MaxRate = 40
	config.Duration = 60 * time.Second
	var underLoad, later float64
	config.Changes = []Change{
		{4 * time.Second, func(w *World) { underLoad = w.Servers(0)[0].delayed.factor }},
		{59 * time.Second, func(w *World) { later = w.Servers(0)[0].delayed.factor }},
	}
	run(t, config)
	if underLoad != 3 || later != 1 {
		t.Errorf("slower by %v under load, by %v long after it", underLoad, later)
	}
}

// The hard cases of admission control: the decision module does at least as well as the better reference, less a little.
func TestModuleAgainstReferences(t *testing.T) {
	for _, c := range []struct {
		name, scenario string
		servers        int
		load           float64
		change         func(*Config) // nil: none
	}{
		{"one request a second", "spike", 8, 0.8, func(c *Config) { constantRate(c, 1) }},
		{"ten thousand a second", "spike", 4, 0.8, func(c *Config) {
			c.Duration = 3 * time.Second
			for i := range c.Classes {
				c.Classes[i].Work = []time.Duration{250 * time.Microsecond, 250 * time.Microsecond}
			}
			constantRate(c, 10_000)
		}},
		{"a server that errs at once", "errors", 4, 0.6, nil},
		{"one class slow", "slow-class", 8, 0.8, nil},
		{"heavy tail", "heavy-tail", 8, 0.8, nil},
		{"faster for good", "faster", 8, 0.8, nil},
		{"slower for good", "slower", 8, 0.8, nil},
		{"a burst at the start", "cold-burst", 8, 0.8, nil},
		{"admission control in series", "choke", 8, 0.8, func(c *Config) { c.Tiers[1].AdmissionControl = true }},
		{"nodes that restart", "restart", 8, 0.9, nil},
		{"creep to twice the capacity", "creep", 8, 0.8, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			goodput := map[string]float64{}
			for _, policy := range Policies() {
				config := scenario(t, c.scenario, 1, c.servers, c.load).Config
				if c.change != nil {
					c.change(&config)
				}
				config.Duration = min(config.Duration, 40*time.Second)
				config.NewModule = policy.NewModule
				goodput[policy.Name] = run(t, config).Goodput(0, config.Duration)
			}
			if goodput["module"] < max(goodput["static"], goodput["none"])-0.02 {
				t.Errorf("goodput %v", goodput)
			}
		})
	}
}

func constantRate(config *Config, rate float64) {
	config.Rate, config.MaxRate = func(time.Duration) float64 { return rate }, rate
}

func TestOverloadStarvesNoClass(t *testing.T) {
	config := scenario(t, "creep", 2, 8, 0.8).Config
	config.Duration = 30 * time.Second
	constantRate(&config, 240) // 1.5 times the capacity
	for name, class := range run(t, config).Classes {
		if got := float64(class.Good) / float64(class.Offered); got < 0.3 {
			t.Errorf("%s: goodput %.3f at 1.5 times the capacity", name, got)
		}
	}
}

// A tenant that floods does not crowd out one that asks for little, if tenants are told apart.
func TestFloodingTenantDoesNotCrowdOutOthers(t *testing.T) {
	goodput := map[float64]float64{}
	for _, weight := range []float64{0, 1} {
		config := scenario(t, "spike", 5, 8, 0.8).Config
		calm, flood := config.Classes[0], config.Classes[0]
		calm.Tenant, calm.Share, flood.Tenant, flood.Share = "calm", 0.08, "flood", 0.92
		config.Classes = []Class{calm, flood}
		config.Duration = 30 * time.Second
		constantRate(&config, 400) // 2.5 times the capacity
		for i := range config.Tiers {
			config.Tiers[i].Settings.TenantWeight = weight
		}
		counts := run(t, config).Classes["read/calm"]
		goodput[weight] = float64(counts.Good) / float64(counts.Offered)
	}
	if goodput[1] < 0.9 || goodput[0] > 0.7 {
		t.Errorf("goodput of the calm tenant %.3f, %.3f where tenants are not told apart", goodput[1], goodput[0])
	}
}
