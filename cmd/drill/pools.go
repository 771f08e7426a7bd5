package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"cranegrade/internal/standin"
)

const (
	intakeHost = "intake.example.org"
	statusHost = "status.example.org"
	phases     = 4 // of the run, without and with the flood in turn
	floodTimes = 20
)

// pools runs five services in one process and lets four of them suffer in their ways: a flood of 20
// times the capacity comes in every second phase, all servers of one hang, all of one refuse, and one
// has no registry from the start. The calm one must not notice.
func pools(ctx context.Context, r *rig) error {
	small := standin.ServerConfig{Slots: 2, Queue: 4, Work: 40 * time.Millisecond, Choke: 0.05, Cold: cold, Zone: "a"}
	quick := standin.ServerConfig{Slots: 8, Queue: 16, Work: 10 * time.Millisecond, Cold: cold, Zone: "a"}
	type setup struct {
		name, host string
		cfg        standin.ServerConfig
		n          int
	}
	groups := map[string]*group{}
	file := "listen = [\"127.0.0.1:0\"]\nlimits = { cores = 1, memory_mb = 192, descriptors = 1024 }\n"
	routes := ""
	for _, s := range []setup{{"status", statusHost, quick, 2}, {"intake", intakeHost, small, 2},
		{"hung", "hung.example.org", quick, 2}, {"refusing", "refusing.example.org", quick, 2}, {"dark", "dark.example.org", quick, 2}} {
		cfgs := make([]standin.ServerConfig, s.n)
		for i := range cfgs {
			cfgs[i] = s.cfg
		}
		g, err := r.group(s.name, s.host, cfgs...)
		if err != nil {
			return err
		}
		groups[s.name] = g
		file += poolText(s.name, g.registryText())
		routes += fmt.Sprintf("\n[[routes]]\nhost = %q\npool = %q\n", s.host, s.name)
	}
	for _, s := range groups["hung"].servers {
		s.SetMode(standin.Hanging)
	}
	for _, s := range groups["refusing"].servers {
		s.SetMode(standin.Refusing)
	}
	groups["dark"].registry.Down()
	if err := r.start(file + routes); err != nil {
		return err
	}
	if err := r.settle(groups["status"], groups["intake"], groups["hung"], groups["refusing"]); err != nil {
		return err
	}

	capacity := float64(small.Slots) / small.Work.Seconds() * float64(len(groups["intake"].servers))
	phase := r.length / phases
	start := r.rec.Now()
	var faults sync.WaitGroup
	for i := 1; i < phases; i += 2 {
		r.at(ctx, &faults, float64(i)/phases, func() {
			flood := []standin.Stream{
				{Name: "flood", Host: intakeHost, Class: readClass, Rate: floodTimes * capacity / 2, For: phase, Most: 300},
				{Name: "flood", Host: intakeHost, Class: sendClass, Rate: floodTimes * capacity / 2, For: phase, Most: 300, Body: 1000}}
			r.callers.Run(ctx, flood...)
		})
	}
	calm := func(c standin.Class) standin.Stream {
		return standin.Stream{Name: "calm", Host: statusHost, Class: c, Rate: 60}
	}
	few := func(host string, c standin.Class) standin.Stream {
		name, _, _ := strings.Cut(host, ".")
		return standin.Stream{Name: name, Host: host, Class: c, Rate: 20, Most: 100}
	}
	if err := r.play(ctx, &faults, calm(readClass), calm(sendClass), calm(orderClass),
		few(intakeHost, orderClass),
		few("hung.example.org", readClass), few("hung.example.org", orderClass), few("refusing.example.org", sendClass),
		few("dark.example.org", readClass), few("dark.example.org", orderClass)); err != nil {
		return err
	}

	v := r.rec.View()
	// The first moments of a phase belong to neither.
	in := func(flooded bool) func(standin.Exchange) bool {
		return func(x standin.Exchange) bool {
			at := x.Sent - start
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
	r.figure("calm_served_without", share(false), "share of the calm pool's requests served without the flood")
	r.figure("calm_served_with", share(true), "and with it")
	r.figure("calm_p99_without_ms", quantile(without, 0.99), "")
	r.figure("calm_p99_with_ms", quantile(with, 0.99), "")
	r.figure("calm_p99_ratio", float64(quantile(with, 0.99))/float64(max(1, quantile(without, 0.99))), "at most 1.3 is wanted, on an idle machine")
	offered, served := 0, 0
	for _, x := range v.Exchanges {
		if x.Stream == "flood" {
			offered++
			if x.Status == 200 {
				served++
			}
		}
	}
	seconds := (phase * (phases / 2)).Seconds()
	r.figure("flood_offered_per_s", float64(offered)/seconds, fmt.Sprintf("of a pool that serves %.0f", capacity))
	r.figure("flood_served_per_s", float64(served)/seconds, "")
	r.figure("flood_unsent", r.callers.Unsent("flood"), "not sent, for 300 of a stream were open")
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
	r.tables = append(r.tables, streamTable(v))
	return nil
}
