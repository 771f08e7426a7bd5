package emulator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"cranegrade/balancer"
)

// Scenario is an overload: a trigger of some kind, with calm before and after it.
type Scenario struct {
	Name         string
	Description  string
	TriggerStart time.Duration
	TriggerEnd   time.Duration
	Config       Config
	ServiceTime  time.Duration // mean time of an uncrowded request through all tiers
}

// scenarioServiceTime is the mean work of a request in all tiers together.
const scenarioServiceTime = 100 * time.Millisecond

// scenarioBuilder builds a scenario. Rates and capacity are requests a second.
type scenarioBuilder struct {
	*Scenario
	load     float64 // outside the trigger, as a share of the capacity
	capacity float64
	rate     float64 // outside the trigger
}

// scenarioDefinition defines a scenario by what differs from the others.
type scenarioDefinition struct {
	name         string
	description  string
	tiers        int
	distribution Distribution
	build        func(*scenarioBuilder)
}

// usualDistribution is that of the work of a request where a scenario says nothing else.
var usualDistribution = Distribution{Kind: Lognormal, CV: 1.5}

// heavyTail has a few requests that take far longer than the mean.
var heavyTail = Distribution{Kind: Pareto, CV: 2.5}

// scenarioDefinitions are in the order in which they are reported.
var scenarioDefinitions = []scenarioDefinition{
	{"choke", "the lower tier is slowed for 3 s to 1/1.3 of what is offered", 2, usualDistribution, buildChoke},
	{"spike", "1.5 times the capacity is offered for 3 s", 2, usualDistribution, buildSpike},
	{"restart", "the nodes of the first tier restart, one after the other, at full load", 2, usualDistribution, buildRestart},
	{"cold-burst", "at the very start 10 times the capacity is offered for half a second", 1, usualDistribution, buildColdBurst},
	{"creep", "what is offered creeps to 2 times the capacity and back", 2, usualDistribution, buildCreep},
	{"cliff", "1.5 times the capacity for 3 s at servers that are 3 times slower from 12 requests on", 1, usualDistribution, buildCliff},
	{
		"proportional", "1.5 times the capacity for 3 s at servers that each request slows by a tenth",
		1, usualDistribution, buildProportional,
	},
	{
		"trap", "1.5 times the capacity for 3 s at servers that high load slows by 2.5 until they have rested, or for 30 s",
		1, usualDistribution, buildTrap,
	},
	{"errors", "one server answers nine of ten requests with an error at once", 1, usualDistribution, buildErrors},
	{
		"slow-class", "one class takes 8 times as long as the others, and 1.5 times the capacity is offered for 3 s",
		1, usualDistribution, buildSlowClass,
	},
	{"faster", "the servers become twice as fast for good, and 1.8 times as much is offered", 2, usualDistribution, buildFaster},
	{"slower", "the servers become half as fast for good, and half as much is offered after 3 s", 2, usualDistribution, buildSlower},
	{"heavy-tail", "1.5 times the capacity for 3 s, of work with a heavy tail", 2, heavyTail, buildSpike},
}

// ScenarioNames are the names of the scenarios in the order in which they are reported.
func ScenarioNames() []string {
	var names []string
	for _, definition := range scenarioDefinitions {
		names = append(names, definition.name)
	}
	return names
}

// NewScenario builds a scenario with so many servers in each tier. load is what is offered outside the trigger, as a share
// of the capacity. The error says that there is no scenario of the name.
func NewScenario(name string, seed uint64, servers int, load float64) (Scenario, error) {
	i := slices.IndexFunc(scenarioDefinitions, func(d scenarioDefinition) bool { return d.name == name })
	if i < 0 {
		return Scenario{}, fmt.Errorf("no scenario %q; there are %v", name, ScenarioNames())
	}
	definition := scenarioDefinitions[i]
	// Each server has one core, and each tier has an even part of the work.
	capacity := float64(servers) / (scenarioServiceTime.Seconds() / float64(definition.tiers))
	rate := load * capacity
	scenario := Scenario{
		Name:         name,
		Description:  definition.description,
		TriggerStart: 10 * time.Second,
		TriggerEnd:   13 * time.Second,
		ServiceTime:  scenarioServiceTime,
		Config: Config{
			Seed:          seed,
			Nodes:         2,
			Classes:       ScenarioClasses(scenarioServiceTime, definition.tiers, definition.distribution),
			Duration:      60 * time.Second,
			NetworkDelay:  300 * time.Microsecond,
			ClientRetries: 1,
			Tiers:         scenarioTiers(definition.tiers, servers),
			Rate:          func(time.Duration) float64 { return rate },
			MaxRate:       rate,
		},
	}
	definition.build(&scenarioBuilder{Scenario: &scenario, load: load, capacity: capacity, rate: rate})
	return scenario, nil
}

// ScenarioClasses are a read and two writes whose work of so long is divided evenly among the tiers.
func ScenarioClasses(work time.Duration, tiers int, distribution Distribution) []Class {
	perTier := slices.Repeat([]time.Duration{work / time.Duration(tiers)}, tiers)
	target := 10 * work
	class := func(c balancer.Class, share float64) Class {
		c.Aim = target
		c.LateShare = 0.5
		return Class{Class: c, Share: share, Work: perTier, Distribution: distribution}
	}
	return []Class{
		class(balancer.Class{Name: "read", Effect: balancer.Idempotent, Deadline: 5 * target / 2, Worth: 1}, 0.6),
		class(balancer.Class{
			Name:     "send",
			Effect:   balancer.IdempotentByKey,
			Scope:    balancer.ScopeAll,
			Window:   10 * time.Second,
			Deadline: 3 * target,
			Worth:    3,
		}, 0.25),
		class(balancer.Class{Name: "order", Effect: balancer.NonIdempotent, Deadline: 3 * target, Worth: 2}, 0.15),
	}
}

// scenarioTiers are the lower tier, and the upper one before it if there are two.
func scenarioTiers(tiers, servers int) []Tier {
	upper := Tier{
		Servers:     servers,
		Concurrency: 20,
		QueueLimit:  300,
		Settings:    scenarioSettings(),
		Slowdown:    Slowdown{Kind: ProportionalSlowdown, Threshold: 24, Factor: 0.02},
	}
	lower := Tier{
		Servers:     servers,
		Concurrency: 6,
		QueueLimit:  300,
		Settings:    scenarioSettings(),
		Slowdown:    Slowdown{Kind: ProportionalSlowdown, Threshold: 6, Factor: 0.04},
	}
	if tiers == 1 {
		return []Tier{lower}
	}
	return []Tier{upper, lower}
}

// scenarioSettings returns the settings of the decision module in every scenario.
func scenarioSettings() balancer.Settings {
	return balancer.Settings{
		WholeWeight:   0.55,
		ClassWeight:   0.3,
		MaxAttempts:   4,
		MayCancel:     true,
		Tick:          5 * time.Millisecond,
		MaxRetryAfter: 2 * time.Second,
		ColdFrom:      1,
		WarmAfter:     time.Second,
		FallMultiple:  4,
		FallFor:       1500 * time.Millisecond,
	}
}

// lowerTier returns the index of the last tier.
func (b *scenarioBuilder) lowerTier() int { return len(b.Config.Tiers) - 1 }

// offerDuringTrigger offers a multiple of the capacity from the start of the trigger to its end.
func (b *scenarioBuilder) offerDuringTrigger(multiple float64) {
	start := b.TriggerStart
	end := b.TriggerEnd
	usual := b.rate
	high := multiple * b.capacity
	b.Config.Rate = func(at time.Duration) float64 {
		if at >= start && at < end {
			return high
		}
		return usual
	}
	b.Config.MaxRate = math.Max(usual, high)
}

// offerFrom offers a multiple of the usual rate from a time on.
func (b *scenarioBuilder) offerFrom(from time.Duration, multiple float64) {
	usual := b.rate
	b.Config.Rate = func(at time.Duration) float64 {
		if at >= from {
			return multiple * usual
		}
		return usual
	}
	b.Config.MaxRate = math.Max(1, multiple) * usual
}

// change has do called at a time.
func (b *scenarioBuilder) change(at time.Duration, do func(*World)) {
	b.Config.Changes = append(b.Config.Changes, Change{At: at, Do: do})
}

// changeSpeed sets the speed of all servers of a tier at a time.
func (b *scenarioBuilder) changeSpeed(at time.Duration, tier int, speed float64) {
	b.change(at, func(w *World) {
		for _, server := range w.Servers(tier) {
			server.SetSpeed(speed)
		}
	})
}

// The functions below build the scenarios; scenarioDefinitions describes what each does.

func buildChoke(b *scenarioBuilder) {
	b.changeSpeed(b.TriggerStart, b.lowerTier(), b.load/1.3)
	b.changeSpeed(b.TriggerEnd, b.lowerTier(), 1)
}

func buildSpike(b *scenarioBuilder) { b.offerDuringTrigger(1.5) }

func buildRestart(b *scenarioBuilder) {
	for node := range b.Config.Nodes {
		b.change(b.TriggerStart+time.Duration(node)*2*time.Second, func(w *World) {
			if err := w.RestartNode(node); err != nil {
				w.violation("restarting node %d: %v", node, err)
			}
		})
	}
}

func buildColdBurst(b *scenarioBuilder) {
	b.TriggerStart = 0
	b.TriggerEnd = 500 * time.Millisecond
	b.offerDuringTrigger(10)
}

func buildCreep(b *scenarioBuilder) {
	b.TriggerEnd = 30 * time.Second
	start := b.TriggerStart
	end := b.TriggerEnd
	usual := b.rate
	peak := 2 * b.capacity
	b.Config.Rate = func(at time.Duration) float64 {
		if at < start || at >= end {
			return usual
		}
		half := (end - start) / 2
		rise := 1 - math.Abs(float64(at-start-half))/float64(half)
		return usual + rise*(peak-usual)
	}
	b.Config.MaxRate = peak
}

func buildCliff(b *scenarioBuilder) {
	b.Config.Tiers[b.lowerTier()].Slowdown = Slowdown{Kind: CliffSlowdown, Threshold: 12, Factor: 3}
	b.offerDuringTrigger(1.5)
}

func buildProportional(b *scenarioBuilder) {
	b.Config.Tiers[b.lowerTier()].Slowdown = Slowdown{Kind: ProportionalSlowdown, Threshold: 4, Factor: 0.1}
	b.offerDuringTrigger(1.5)
}

func buildTrap(b *scenarioBuilder) {
	b.Config.Tiers[b.lowerTier()].Slowdown = Slowdown{
		Kind:          DelayedSlowdown,
		Threshold:     7,
		Factor:        2.5,
		AveragingTime: 2 * time.Second,
		RestShare:     0.4,
		RestTime:      2 * time.Second,
		MaxDuration:   30 * time.Second,
	}
	b.offerDuringTrigger(1.5)
}

func buildErrors(b *scenarioBuilder) {
	b.change(b.TriggerStart, func(w *World) { w.Servers(0)[0].ErrorShare = 0.9 })
	b.change(b.TriggerEnd, func(w *World) { w.Servers(0)[0].ErrorShare = 0 })
}

func buildSlowClass(b *scenarioBuilder) {
	const factor, slow = 8, 1
	classes := b.Config.Classes
	for i := range classes {
		classes[i].Aim = 4 * classes[i].Aim
		classes[i].Deadline = 4 * classes[i].Deadline
	}
	classes[slow].Work = []time.Duration{factor * scenarioServiceTime}
	meanWork := (1 - classes[slow].Share) + factor*classes[slow].Share
	b.rate /= meanWork
	b.capacity /= meanWork
	b.offerDuringTrigger(1.5)
}

func buildFaster(b *scenarioBuilder) {
	b.TriggerEnd = b.TriggerStart
	b.changeSpeed(b.TriggerStart, 0, 2)
	b.changeSpeed(b.TriggerStart, b.lowerTier(), 2)
	b.offerFrom(b.TriggerStart, 1.8)
}

func buildSlower(b *scenarioBuilder) {
	b.changeSpeed(b.TriggerStart, 0, 0.5)
	b.changeSpeed(b.TriggerStart, b.lowerTier(), 0.5)
	b.offerFrom(b.TriggerEnd, 0.5)
}

// staticLimit is the limit of the policy "static", for each server by all nodes together.
const staticLimit = 20

// Policy is a kind of decision module that is compared in scenarios.
type Policy struct {
	Name      string
	NewModule func(tier, index int, settings balancer.Settings) DecisionModule // for Config.NewModule
}

// Policies are the decision module (balancer.Balancer) and two references.
func Policies() []Policy {
	return []Policy{
		{"module", nil},
		{"static", NewStaticReference},
		{"none", NewUnlimitedReference},
	}
}

// NewStaticReference returns a Reference with an even part of the static limit in the first tier, and without a limit in the
// others.
func NewStaticReference(tier, index int, settings balancer.Settings) DecisionModule {
	limit := 0
	if tier == 0 {
		limit = max(1, staticLimit/max(1, settings.Balancers))
	}
	return NewReference(limit, referenceSeed(tier, index))
}

// NewUnlimitedReference returns a Reference without a limit.
func NewUnlimitedReference(tier, index int, _ balancer.Settings) DecisionModule {
	return NewReference(0, referenceSeed(tier, index))
}

// referenceSeed returns the seed of the reference policy at a node.
func referenceSeed(tier, index int) uint64 { return uint64(tier*100 + index) }
