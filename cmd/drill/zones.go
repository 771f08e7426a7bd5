package main

import (
	"bytes"
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"cranegrade/internal/standin"
	zonereport "cranegrade/internal/zone/report"
)

// zonesDrill has the home zone of three turn slow, fail whole and come back cold, under load. The nearest zone has a
// budget, which alerts may pass and nothing else. In the end the program's account, from the file that it keeps, is
// held against the servers' own records.
func zonesDrill(ctx context.Context, r *rig) error {
	const host, most, perZone = "zones.example.org", 150, 4
	share := func(x float64) time.Duration { return time.Duration(x * float64(r.length)) }
	var servers []standin.ServerConfig
	for _, z := range []struct {
		zone string
		way  time.Duration
	}{{"a", 0}, {"b", 3 * time.Millisecond}, {"c", 8 * time.Millisecond}} {
		for i := range perZone {
			s := inCell(usual, i/2)
			s.Zone, s.Way = z.zone, z.way
			servers = append(servers, s)
		}
	}
	g, err := r.group("zones", host, servers...)
	if err != nil {
		return err
	}
	home := g.servers[:perZone]
	state := filepath.Join(r.dir, "zones.db")
	file := fmt.Sprintf(`listen = ["127.0.0.1:0"]
default = "zones"
[zones]
home = "a"
state = %q
[[zones.pairs]]
from = "a"
to = "b"
latency = "3ms"
price = 1
requests_day = %d
beyond = ["alert-send"]
[[zones.pairs]]
from = "a"
to = "c"
latency = "8ms"
price = 2
`, state, most) + poolText("zones", g.registryText())
	if err := r.start(file); err != nil {
		return err
	}
	if err := r.settle(g); err != nil {
		return err
	}
	start := r.rec.Now()
	var faults sync.WaitGroup
	if r.plant == "" {
		r.at(ctx, &faults, 0.2, func() {
			for _, s := range home {
				s.Slower(8)
			}
		})
		r.at(ctx, &faults, 0.4, func() {
			for _, s := range home {
				s.Slower(1)
			}
		})
		r.at(ctx, &faults, 0.5, func() {
			for _, s := range home {
				s.Crash()
			}
			time.Sleep(200 * time.Millisecond) // the registry notices late
			for _, s := range home {
				g.registry.Set(s, "DELETED")
			}
		})
		r.at(ctx, &faults, 0.7, func() {
			for _, s := range home {
				if s.Restart() == nil {
					g.registry.Set(s, "SERVING")
				}
			}
		})
	}
	if err := r.play(ctx, &faults, standin.Stream{Host: host, Class: readClass, Rate: 150, Account: "acme"},
		standin.Stream{Host: host, Class: orderClass, Rate: 20, Body: 500}, standin.Stream{Host: host, Class: sendClass, Rate: 30, Body: 200, Account: "beta"},
		standin.Stream{Host: host, Class: cellClass, Rate: 20, Body: 100}); err != nil {
		return err
	}
	r.node.Stop() // what it holds is in the file now
	kept, err := r.zoneAccount()
	if err != nil {
		return err
	}
	v := r.rec.View()
	type sum struct{ requests, out, in int64 }
	seen, within := map[string]sum{}, 0
	crossed := map[string]bool{}
	part := func(from, to float64) float64 {
		all, away := 0, 0
		for _, a := range v.Arrivals {
			if at := a.First - start; at >= share(from) && at < share(to) {
				if all++; a.Zone != "a" {
					away++
				}
			}
		}
		return float64(away) / max(1, float64(all))
	}
	unserved := 0
	for _, x := range v.Exchanges {
		if x.Status != 200 {
			unserved++
		}
	}
	for _, a := range v.Arrivals {
		s := seen[a.Zone]
		s.requests, s.out = s.requests+1, s.out+a.Bytes
		if a.Answered >= 0 {
			s.in += a.Answered
		}
		seen[a.Zone] = s
		if a.Zone == "b" && a.Class != sendClass.Name && !crossed[a.ID] {
			crossed[a.ID] = true
			within++
		}
	}
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "zone\trequests\tbytes out\tbytes in\taccounted\tbytes out\tbytes in\t\n")
	for _, z := range []string{"a", "b", "c"} {
		var k sum
		for _, row := range kept.Rows {
			if row.To == z {
				k.requests, k.out, k.in = k.requests+row.Requests, k.out+row.Out, k.in+row.In
			}
		}
		s := seen[z]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", z, s.requests, s.out, s.in, k.requests, k.out, k.in)
		if r.plant != "" {
			continue // what the rig itself sends is in no account
		}
		// An answer that came after its request was given up was written, and never read.
		if late := k; z != "a" {
			if late.in = s.in; late != s || k.in > s.in || k.in != s.in && unserved == 0 {
				r.failf("zone %s: accounted %+v, its servers saw %+v", z, k, s)
			}
		}
		// Servers that crash leave requests in their sockets that were written whole and never read.
		if z == "a" && (k.requests < s.requests || k.out < s.out) {
			r.failf("zone %s: accounted %+v, less than its servers saw, %+v", z, k, s)
		}
		if z == "a" {
			r.figure("unread", k.requests-s.requests, "requests that were written whole to servers which crashed before reading them")
		}
	}
	t.Flush()
	r.tables = append(r.tables, b.String())
	r.figure("across_calm", part(0.02, 0.2), "share of attempts away from home before the trouble")
	r.figure("across_slow", part(0.25, 0.4), "while the home zone is eight times as slow")
	r.figure("across_out", part(0.55, 0.7), "while it is out")
	r.figure("across_after", part(0.9, 1), "after it has come back and warmed up a little")
	r.figure("budget_spent", within, fmt.Sprintf("requests to the nearest zone but alerts; %d are allowed", most))
	if within > most {
		r.failf("%d requests crossed to b that no budget allows; %d are allowed", within, most)
	}
	return nil
}

// zoneAccount is what the program's own command tells of its file.
func (r *rig) zoneAccount() (zonereport.Report, error) {
	var out, errs bytes.Buffer
	cmd := exec.Command(r.program, "zones", "-config", filepath.Join(r.dir, "node.toml"), "-format", "json", "-by", "pool,class,customer")
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); err != nil {
		return zonereport.Report{}, fmt.Errorf("cranegrade zones: %w: %s", err, errs.String())
	}
	return zonereport.Read(out.Bytes())
}
