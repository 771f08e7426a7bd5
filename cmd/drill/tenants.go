package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"cranegrade/internal/standin"
)

// tenantCase is a way to tell a pool of its tenants.
type tenantCase struct {
	name string
	more string // keys of the pool
}

// overloadTenants has one tenant flood at three times what the servers can do, from a fifth of the drill on to
// four fifths, beside three that keep within their quotas. The same servers and streams stand behind a pool
// that knows of quotas, one that serves tenants by equal parts, and one that is told nothing.
func overloadTenants(ctx context.Context, r *rig) error {
	const from, to, floods = 0.2, 0.8, 3.0
	share := func(x float64) time.Duration { return time.Duration(x * float64(r.length)) }
	tenants := map[string]float64{"grocers": 0.3, "hardware": 0.2, "cafes": 0.1}
	cfg := standin.ServerConfig{Slots: 4, Queue: 100, Work: 50 * time.Millisecond, Cold: cold, Zone: "a", Stubborn: true}
	const servers = 3
	capacity := float64(cfg.Slots*servers) / cfg.Work.Seconds()
	quotas := []string{fmt.Sprintf(`{ name = "flood", quota = %.0f }`, 0.2*capacity)}
	for name, part := range tenants {
		quotas = append(quotas, fmt.Sprintf(`{ name = %q, quota = %.0f }`, name, 1.3*part*capacity))
	}
	cases := []tenantCase{
		{"quotas", "tenants = [ " + strings.Join(quotas, ", ") + " ]\nweights = { over_quota = 0.2, worst_tenant = 0.1 }"},
		{"parts", "weights = { tenants = 1 }"},
		{"nothing", ""},
	}
	// Room for three floods at once, or the process's limit of calls refuses before any pool can weigh.
	file, routes := "listen = [\"127.0.0.1:0\"]\nlimits = { descriptors = 4096 }\n", ""
	var streams []standin.Stream
	for _, c := range cases {
		g, err := r.group(c.name, c.name+".example.org", cfg, cfg, cfg)
		if err != nil {
			return err
		}
		file += poolText(c.name, g.registryText(), c.more)
		routes += fmt.Sprintf("\n[[routes]]\nhost = %q\npool = %q\n", g.host, c.name)
		for name, part := range tenants {
			streams = append(streams, standin.Stream{Name: c.name + "/" + name, Host: g.host, Class: readClass, Account: name, Rate: part * capacity})
		}
		streams = append(streams, standin.Stream{Name: c.name + "/flood", Host: g.host, Class: readClass, Account: "flood", Rate: 0.1 * capacity})
	}
	if r.plant != "" { // what must not run twice, for the breach that runs it twice
		streams = append(streams, standin.Stream{Name: "order", Host: r.groups[0].host, Class: orderClass, Rate: 10, Body: 100})
	}
	if err := r.start(file + routes); err != nil {
		return err
	}
	if err := r.settle(r.groups...); err != nil {
		return err
	}
	start := r.rec.Now()
	var faults sync.WaitGroup
	if r.plant == "" {
		r.at(ctx, &faults, from, func() {
			var l []standin.Stream
			for _, g := range r.groups {
				l = append(l, standin.Stream{Name: g.name + "/flood", Host: g.host, Class: readClass, Account: "flood",
					Rate: floods * capacity, For: share(to - from), Most: 3000})
			}
			r.callers.Run(ctx, l...)
		})
	}
	if err := r.play(ctx, &faults, streams...); err != nil {
		return err
	}
	v := r.rec.View()
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "pool is told\tcalm tenants\tthe worst of them\tflood\tafter it, all")
	for _, c := range cases {
		var sum, n float64
		worst := 1.0
		for name := range tenants {
			x := goodput(v, c.name+"/"+name, start+share(from), start+share(to))
			worst = min(worst, x)
			sum, n = sum+tenants[name]*x, n+tenants[name]
		}
		flood := goodput(v, c.name+"/flood", start+share(from), start+share(to))
		after := goodput(v, c.name+"/", start+share(to+0.05), start+r.length)
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\n", c.name, sum/n, worst, flood, after)
		r.figure("calm_"+c.name, sum/n, "goodput of the tenants within their quotas during the flood, where the pool is told "+c.name)
		r.figure("flood_"+c.name, flood, "and of the one that floods")
	}
	t.Flush()
	r.tables = append(r.tables, b.String(), streamTable(v))
	return nil
}
