package drill

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"cranegrade/internal/fake"
)

const (
	intakeHost = "intake.example.org"
	statusHost = "status.example.org"
	phases     = 4 // of the run, without and with the flood in turn
	floodTimes = 20
)

// The servers of the pools: few and slow ones for the pool that is flooded, quick ones for the others.
var (
	floodedServer = fake.ServerConfig{Concurrency: 2, QueueLimit: 4, ServiceTime: 40 * time.Millisecond, QueueSlowdown: 0.05, SlowStart: cold, Zone: "a"}
	quickServer   = fake.ServerConfig{Concurrency: 8, QueueLimit: 16, ServiceTime: 10 * time.Millisecond, SlowStart: cold, Zone: "a"}
)

// pools runs five services in one process and lets four of them suffer in their ways: a flood of 20
// times the capacity comes in every second phase, all servers of one hang, all of one refuse, and one
// has no registry from the start. The calm one must not notice.
func pools(ctx context.Context, r *environment) error {
	groups, err := r.startPools()
	if err != nil {
		return err
	}
	capacity := float64(floodedServer.Concurrency) / floodedServer.ServiceTime.Seconds() * float64(len(groups["intake"].servers))
	phase := r.length / phases
	start := r.records.Now()
	var faults sync.WaitGroup
	r.floodEverySecondPhase(ctx, &faults, phase, floodTimes*capacity)
	calm := func(c fake.Class) fake.Stream {
		return fake.Stream{Name: "calm", Host: statusHost, Class: c, Rate: 60}
	}
	few := func(host string, c fake.Class) fake.Stream {
		name, _, _ := strings.Cut(host, ".")
		return fake.Stream{Name: name, Host: host, Class: c, Rate: 20, MaxOpen: 100}
	}
	if err := r.play(ctx, &faults, calm(readClass), calm(sendClass), calm(orderClass),
		few(intakeHost, orderClass),
		few("hung.example.org", readClass), few("hung.example.org", orderClass), few("refusing.example.org", sendClass),
		few("dark.example.org", readClass), few("dark.example.org", orderClass)); err != nil {
		return err
	}
	v := r.records.History()
	r.judgeCalmPool(v, start, phase)
	r.reportFlood(v, (phase * (phases / 2)).Seconds(), capacity)
	r.tables = append(r.tables, streamTable(v))
	return nil
}

// startPools starts the servers, each group with its fault, and the program; it returns the groups by name.
func (r *environment) startPools() (map[string]*serverGroup, error) {
	groups := map[string]*serverGroup{}
	file := "listen = [\"127.0.0.1:0\"]\nlimits = { cores = 1, memory_mb = 192, descriptors = 1024 }\n"
	routes := ""
	for _, s := range []struct {
		name, host string
		server     fake.ServerConfig
	}{
		{"status", statusHost, quickServer},
		{"intake", intakeHost, floodedServer},
		{"hung", "hung.example.org", quickServer},
		{"refusing", "refusing.example.org", quickServer},
		{"dark", "dark.example.org", quickServer},
	} {
		g, err := r.group(s.name, s.host, s.server, s.server)
		if err != nil {
			return nil, err
		}
		groups[s.name] = g
		file += poolText(s.name, g.registryText())
		routes += fmt.Sprintf("\n[[routes]]\nhost = %q\npool = %q\n", s.host, s.name)
	}
	for _, s := range groups["hung"].servers {
		s.SetMode(fake.Hanging)
	}
	for _, s := range groups["refusing"].servers {
		s.SetMode(fake.Rejecting)
	}
	groups["dark"].registry.Down()
	if err := r.start(file + routes); err != nil {
		return nil, err
	}
	return groups, r.settle(groups["status"], groups["intake"], groups["hung"], groups["refusing"])
}

// floodEverySecondPhase sends a rate of requests a second to the pool that is flooded, in every second phase.
func (r *environment) floodEverySecondPhase(ctx context.Context, faults *sync.WaitGroup, phase time.Duration, rate float64) {
	for i := 1; i < phases; i += 2 {
		r.at(ctx, faults, float64(i)/phases, func() {
			flood := []fake.Stream{
				{Name: "flood", Host: intakeHost, Class: readClass, Rate: rate / 2, Duration: phase, MaxOpen: 300},
				{Name: "flood", Host: intakeHost, Class: sendClass, Rate: rate / 2, Duration: phase, MaxOpen: 300, BodyBytes: 1000},
			}
			r.callers.Run(ctx, flood...)
		})
	}
}

// judgeCalmPool compares what the calm pool served with and without the flood.
func (r *environment) judgeCalmPool(v fake.History, start, phase time.Duration) {
	// The first moments of a phase belong to neither.
	in := func(flooded bool) func(fake.Exchange) bool {
		return func(x fake.Exchange) bool {
			at := x.SentAt - start
			i := int(at / phase)
			return x.Stream == "calm" && i < phases && (i%2 == 1) == flooded && at-time.Duration(i)*phase > phase/10
		}
	}
	share := func(flooded bool) (served float64) {
		n := 0
		for _, x := range v.Exchanges {
			if in(flooded)(x) {
				n++
				if x.Status == 200 {
					served++
				}
			}
		}
		return served / max(1, float64(n))
	}
	without, with := times(v.Exchanges, in(false)), times(v.Exchanges, in(true))
	ratio := float64(quantile(with, 0.99)) / float64(max(1, quantile(without, 0.99)))
	r.addFigure("calm_served_without", share(false), "share of the calm pool's requests served without the flood")
	r.addFigure("calm_served_with", share(true), "and with it")
	r.addFigure("calm_p99_without_ms", quantile(without, 0.99), "")
	r.addFigure("calm_p99_with_ms", quantile(with, 0.99), "")
	r.addFigure("calm_p99_ratio", ratio, "at most 1.3 is wanted, on an idle machine")
	if n := len(without); n == 0 || len(with) == 0 {
		r.failf("the calm pool served nothing: %d without the flood, %d with it", n, len(with))
	}
	// On a slow machine both shares move by chance. What is judged there is what a pool without walls would show: the flood is 20
	// times what its own pool serves, and of requests that shared its fate a tenth would be served.
	least := share(false) - 0.02
	if r.slack > 0 {
		least = share(false) / 2
	}
	if share(true) < least {
		r.failf("the calm pool served %.3f of its requests under the flood, %.3f without", share(true), share(false))
	}
}

// reportFlood reports how much of the flood came and was served, over the seconds that it lasted.
func (r *environment) reportFlood(v fake.History, seconds, capacity float64) {
	offered, served := 0, 0
	for _, x := range v.Exchanges {
		if x.Stream == "flood" {
			offered++
			if x.Status == 200 {
				served++
			}
		}
	}
	r.addFigure("flood_offered_per_s", float64(offered)/seconds, fmt.Sprintf("of a pool that serves %.0f", capacity))
	r.addFigure("flood_served_per_s", float64(served)/seconds, "")
	r.addFigure("flood_unsent", r.callers.Unsent("flood"), "not sent, for 300 of a stream were open")
}
