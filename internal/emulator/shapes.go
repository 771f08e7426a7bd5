package emulator

import (
	"math"
	"time"

	"cranegrade/balancer"
)

// Shape is an overload: a trigger of some kind, and calm before and after it.
type Shape struct {
	Name, About string
	Before, End time.Duration // of the trigger
	Plan        Plan
	Service     time.Duration // mean time of an uncrowded request through the chain
}

// Names of the shapes, in the order in which they are told.
var Names = []string{"choke", "spike", "restart", "cold-burst", "creep", "cliff", "proportional", "trap", "errors", "slow-class", "faster", "slower", "heavy-tail"}

// Classes are a read and two writes of the shapes, whose work is so long in all over two tiers.
func Classes(work time.Duration, tiers int, d Dist) []Class {
	part := make([]time.Duration, tiers)
	for i := range part {
		part[i] = work / time.Duration(tiers)
	}
	aim := 10 * work
	return []Class{
		{Class: balancer.Class{Name: "read", Effect: balancer.Idempotent, Aim: aim, Deadline: 5 * aim / 2, LateShare: 0.5, Worth: 1}, Share: 0.6, Work: part, Dist: d},
		{Class: balancer.Class{Name: "send", Effect: balancer.IdempotentByKey, Scope: balancer.ScopeAll, Window: 10 * time.Second, Aim: aim, Deadline: 3 * aim, LateShare: 0.5, Worth: 3}, Share: 0.25, Work: part, Dist: d},
		{Class: balancer.Class{Name: "order", Effect: balancer.NonIdempotent, Aim: aim, Deadline: 3 * aim, LateShare: 0.5, Worth: 2}, Share: 0.15, Work: part, Dist: d},
	}
}

// settings are what a node of the shapes is told.
func settings() balancer.Settings {
	return balancer.Settings{
		WholeWeight: 0.55, ClassWeight: 0.3, MaxAttempts: 4, MayCancel: true,
		Tick: 5 * time.Millisecond, MaxRetryAfter: 2 * time.Second, ColdFrom: 1, WarmAfter: time.Second,
		FallMultiple: 4, FallFor: 1500 * time.Millisecond,
	}
}

// NewShape builds a shape: servers of the lower tier, and as many of the upper one where it has two.
// load is what is offered before and after the trigger, as a share of the capacity.
func NewShape(name string, seed uint64, servers int, load float64) Shape {
	const work = 100 * time.Millisecond
	s := Shape{Name: name, Before: 10 * time.Second, End: 13 * time.Second, Service: work}
	d := Dist{Kind: "lognormal", CV: 1.5}
	tiers := 2
	switch name {
	case "heavy-tail":
		d = Dist{Kind: "pareto", CV: 2.5}
	case "errors", "cold-burst", "slow-class", "cliff", "proportional", "trap":
		tiers = 1
	}
	classes := Classes(work, tiers, d)
	upper := Tier{
		Servers: servers, Slots: 20, Queue: 300, Settings: settings(),
		Slowdown: Slowdown{Kind: "proportional", At: 24, Factor: 0.02},
	}
	lower := Tier{
		Servers: servers, Slots: 6, Queue: 300, Settings: settings(),
		Slowdown: Slowdown{Kind: "proportional", At: 6, Factor: 0.04},
	}
	p := Plan{Seed: seed, Nodes: 2, Classes: classes, Length: 60 * time.Second, Wire: 300 * time.Microsecond, Retries: 1}
	if tiers == 2 {
		p.Tiers = []Tier{upper, lower}
	} else {
		p.Tiers = []Tier{lower}
	}
	// Both tiers have a core a server and half of the work: what either can do.
	capacity := float64(servers) / (work.Seconds() / float64(tiers))
	rate := load * capacity
	steady := func(time.Duration) float64 { return rate }
	p.Rate, p.Most = steady, rate
	burst := func(over float64) {
		p.Rate = func(at time.Duration) float64 {
			if at >= s.Before && at < s.End {
				return over * capacity
			}
			return rate
		}
		p.Most = math.Max(rate, over*capacity)
	}
	last := len(p.Tiers) - 1
	speed := func(at time.Duration, tier int, v float64) {
		p.At = append(p.At, Change{at, func(w *World) {
			for _, x := range w.Servers(tier) {
				x.SetSpeed(v)
			}
		}})
	}
	switch name {
	case "choke":
		s.About = "the lower tier is slowed for 3 s to 1/1.3 of what is offered"
		speed(s.Before, last, load/1.3)
		speed(s.End, last, 1)
	case "trap":
		s.About = "1.5 times the capacity for 3 s at servers that a crowd slows by 2.5 until they have rested, or for 30 s"
		p.Tiers[last].Slowdown = Slowdown{Kind: "delayed", At: 7, Factor: 2.5, Over: 2 * time.Second, Below: 0.4, Rest: 2 * time.Second, Most: 30 * time.Second}
		burst(1.5)
	case "spike":
		s.About = "1.5 times the capacity is offered for 3 s"
		burst(1.5)
	case "restart":
		s.About = "the nodes of the first tier begin anew, one after the other, at full load"
		for i := range p.Nodes {
			p.At = append(p.At, Change{s.Before + time.Duration(i)*2*time.Second, func(w *World) { w.Restart(i) }})
		}
	case "cold-burst":
		s.About = "at its very start 10 times the capacity is offered for half a second"
		s.Before, s.End = 0, 500*time.Millisecond
		burst(10)
	case "creep":
		s.About = "what is offered creeps to 2 times the capacity and back"
		s.End = 30 * time.Second
		p.Rate = func(at time.Duration) float64 {
			if at < s.Before || at >= s.End {
				return rate
			}
			half := (s.End - s.Before) / 2
			up := 1 - math.Abs(float64(at-s.Before-half))/float64(half)
			return rate + up*(2*capacity-rate)
		}
		p.Most = 2 * capacity
	case "cliff":
		s.About = "1.5 times the capacity for 3 s at servers that are 3 times slower from 12 held on"
		p.Tiers[last].Slowdown = Slowdown{Kind: "cliff", At: 12, Factor: 3}
		burst(1.5)
	case "proportional":
		s.About = "1.5 times the capacity for 3 s at servers that each held request slows by a tenth"
		p.Tiers[last].Slowdown = Slowdown{Kind: "proportional", At: 4, Factor: 0.1}
		burst(1.5)
	case "errors":
		s.About = "one server of the list answers nine of ten with an error at once"
		p.At = append(p.At, Change{s.Before, func(w *World) { w.Servers(0)[0].Errors = 0.9 }},
			Change{s.End, func(w *World) { w.Servers(0)[0].Errors = 0 }})
	case "slow-class":
		s.About = "one class takes 8 times as long as the others, and 1.5 times the capacity is offered for 3 s"
		for i := range p.Classes {
			p.Classes[i].Aim, p.Classes[i].Deadline = 4*p.Classes[i].Aim, 4*p.Classes[i].Deadline
		}
		p.Classes[1].Work = []time.Duration{8 * work}
		rate /= 0.75 + 8*0.25
		capacity /= 0.75 + 8*0.25
		burst(1.5)
	case "faster":
		s.About = "a build twice as fast, for good, and so much more is offered"
		s.End = s.Before
		speed(s.Before, 0, 2)
		speed(s.Before, last, 2)
		p.Rate = func(at time.Duration) float64 {
			if at >= s.Before {
				return 1.8 * rate
			}
			return rate
		}
		p.Most = 1.8 * rate
	case "slower":
		s.About = "a build half as fast, for good, and so much less is offered after 3 s"
		speed(s.Before, 0, 0.5)
		speed(s.Before, last, 0.5)
		p.Rate = func(at time.Duration) float64 {
			if at >= s.End {
				return rate / 2
			}
			return rate
		}
	case "heavy-tail":
		s.About = "1.5 times the capacity for 3 s, of work with a heavy tail"
		burst(1.5)
	}
	s.Plan = p
	return s
}

// Policies are the deciders that are compared: the module and two references.
func Policies() map[string]func(tier, index int, set balancer.Settings) Decider {
	reference := func(limit int) func(int, int, balancer.Settings) Decider {
		return func(tier, index int, set balancer.Settings) Decider {
			l := 0
			if tier == 0 && limit > 0 {
				l = max(1, limit/max(1, set.Balancers))
			}
			return NewReference(l, uint64(tier*100+index))
		}
	}
	return map[string]func(int, int, balancer.Settings) Decider{"module": nil, "static": reference(20), "none": reference(0)}
}
