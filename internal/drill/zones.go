package drill

import (
	"bytes"
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"cranegrade/internal/fake"
	zonereport "cranegrade/internal/zone/report"
)

// Sizes of the drill of zones.
const (
	zonesHost      = "zones.example.org"
	zonesHome      = "a"
	zonesBudget    = 150 // requests a day from home to the nearest zone
	serversPerZone = 4
	zonesSlowdown  = 8
)

// zoneTraffic is what crossed between home and a zone.
type zoneTraffic struct{ requests, out, in int64 }

// zonesDrill has the home zone of three turn slow, fail completely and come back cold, under load. The nearest zone has a
// budget, which only alerts may exceed. In the end the program's account, from the file that it keeps, is compared with
// the servers' own records.
func zonesDrill(ctx context.Context, r *environment) error {
	g, err := r.group("zones", zonesHost, zonesServers()...)
	if err != nil {
		return err
	}
	if err := r.start(zonesFile(filepath.Join(r.dir, "zones.db"), g)); err != nil {
		return err
	}
	if err := r.settle(g); err != nil {
		return err
	}
	start := r.records.Now()
	var faults sync.WaitGroup
	if r.violation == "" {
		r.disturbHomeZone(ctx, &faults, g)
	}
	if err := r.play(ctx, &faults, fake.Stream{Host: zonesHost, Class: readClass, Rate: 150, Account: "acme"},
		fake.Stream{Host: zonesHost, Class: orderClass, Rate: 20, BodyBytes: 500},
		fake.Stream{Host: zonesHost, Class: sendClass, Rate: 30, BodyBytes: 200, Account: "beta"},
		fake.Stream{Host: zonesHost, Class: cellClass, Rate: 20, BodyBytes: 100}); err != nil {
		return err
	}
	r.node.Stop() // what it holds is in the file now
	account, err := r.zoneAccount()
	if err != nil {
		return err
	}
	v := r.records.History()
	r.compareZoneAccount(account, v)
	r.reportZoneShares(v, start)
	r.judgeZoneBudget(v)
	return nil
}

// zonesServers are those of the three zones, each with the latency from home.
func zonesServers() (servers []fake.ServerConfig) {
	for _, z := range []struct {
		zone    string
		latency time.Duration
	}{{zonesHome, 0}, {"b", 3 * time.Millisecond}, {"c", 8 * time.Millisecond}} {
		for i := range serversPerZone {
			s := inCell(usual, i/2)
			s.Zone, s.ResponseDelay = z.zone, z.latency
			servers = append(servers, s)
		}
	}
	return servers
}

// zonesFile is the operator's file.
func zonesFile(state string, g *serverGroup) string {
	return fmt.Sprintf(`listen = ["127.0.0.1:0"]
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
`, state, zonesBudget) + poolText("zones", g.registryText())
}

// disturbHomeZone has the home zone's servers be slow, crash and come back cold.
func (r *environment) disturbHomeZone(ctx context.Context, faults *sync.WaitGroup, g *serverGroup) {
	home := g.servers[:serversPerZone]
	slow := func(factor float64) func() {
		return func() {
			for _, s := range home {
				s.SetSlowdown(factor)
			}
		}
	}
	r.at(ctx, faults, 0.2, slow(zonesSlowdown))
	r.at(ctx, faults, 0.4, slow(1))
	r.at(ctx, faults, 0.5, func() {
		for _, s := range home {
			s.Crash()
		}
		time.Sleep(200 * time.Millisecond) // the registry notices late
		for _, s := range home {
			g.registry.Set(s, "DELETED")
		}
	})
	r.at(ctx, faults, 0.7, func() {
		for _, s := range home {
			if s.Restart() == nil {
				g.registry.Set(s, "SERVING")
			}
		}
	})
}

// compareZoneAccount holds the program's account against what the servers of each zone saw.
func (r *environment) compareZoneAccount(account zonereport.Report, v fake.History) {
	seen := zoneTrafficSeen(v)
	allServed := !slices.ContainsFunc(v.Exchanges, func(x fake.Exchange) bool { return x.Status != 200 })
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "zone\trequests\tbytes out\tbytes in\taccounted\tbytes out\tbytes in\t\n")
	for _, zone := range []string{zonesHome, "b", "c"} {
		var accounted zoneTraffic
		for _, row := range account.Rows {
			if row.To == zone {
				accounted.requests += row.Requests
				accounted.out += row.Out
				accounted.in += row.In
			}
		}
		s := seen[zone]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", zone, s.requests, s.out, s.in, accounted.requests, accounted.out, accounted.in)
		if r.violation == "" { // what the rig itself sends is in no account
			r.judgeZoneAccount(zone, accounted, s, allServed)
		}
	}
	t.Flush()
	r.tables = append(r.tables, b.String())
}

// zoneTrafficSeen is what the servers of each zone saw.
func zoneTrafficSeen(v fake.History) map[string]zoneTraffic {
	seen := map[string]zoneTraffic{}
	for _, a := range v.Arrivals {
		s := seen[a.Zone]
		s.requests, s.out = s.requests+1, s.out+a.RequestBytes
		if a.ResponseBytes >= 0 {
			s.in += a.ResponseBytes
		}
		seen[a.Zone] = s
	}
	return seen
}

// judgeZoneAccount says what is wrong with a zone's row of the account.
func (r *environment) judgeZoneAccount(zone string, accounted, seen zoneTraffic, allServed bool) {
	if zone == zonesHome {
		// Servers that crash leave requests in their sockets that were written whole and never read.
		if accounted.requests < seen.requests || accounted.out < seen.out {
			r.failf("zone %s: accounted %+v, less than its servers saw, %+v", zone, accounted, seen)
		}
		r.addFigure("unread", accounted.requests-seen.requests, "requests that were written whole to servers which crashed before reading them")
		return
	}
	// An answer that came after its request was given up was written, and never read.
	late := accounted
	late.in = seen.in
	if late != seen || accounted.in > seen.in || accounted.in != seen.in && allServed {
		r.failf("zone %s: accounted %+v, its servers saw %+v", zone, accounted, seen)
	}
}

// reportZoneShares reports the share of attempts away from home in each phase of the drill.
func (r *environment) reportZoneShares(v fake.History, start time.Duration) {
	at := func(x float64) time.Duration { return time.Duration(x * float64(r.length)) }
	away := func(from, to float64) float64 {
		all, crossed := 0, 0
		for _, a := range v.Arrivals {
			if since := a.FirstByteAt - start; since >= at(from) && since < at(to) {
				if all++; a.Zone != zonesHome {
					crossed++
				}
			}
		}
		return float64(crossed) / max(1, float64(all))
	}
	r.addFigure("across_calm", away(0.02, 0.2), "share of attempts away from home before the trouble")
	r.addFigure("across_slow", away(0.25, 0.4), "while the home zone is eight times as slow")
	r.addFigure("across_out", away(0.55, 0.7), "while it is out")
	r.addFigure("across_after", away(0.9, 1), "after it has come back and warmed up a little")
}

// judgeZoneBudget holds the requests to the nearest zone that its budget covers against the budget.
func (r *environment) judgeZoneBudget(v fake.History) {
	spent := map[string]bool{} // by request: a retry in the same zone counts once
	for _, a := range v.Arrivals {
		if a.Zone == "b" && a.Class != sendClass.Name {
			spent[a.ID] = true
		}
	}
	r.addFigure("budget_spent", len(spent), fmt.Sprintf("requests to the nearest zone but alerts; %d are allowed", zonesBudget))
	if len(spent) > zonesBudget {
		r.failf("%d requests crossed to b that no budget allows; %d are allowed", len(spent), zonesBudget)
	}
}

// zoneAccount is what the program's own command tells of its file.
func (r *environment) zoneAccount() (zonereport.Report, error) {
	var out, errs bytes.Buffer
	cmd := exec.Command(r.program, "zones", "-config", filepath.Join(r.dir, "node.toml"), "-format", "json", "-by", "pool,class,customer")
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); err != nil {
		return zonereport.Report{}, fmt.Errorf("cranegrade zones: %w: %s", err, errs.String())
	}
	return zonereport.Parse(out.Bytes())
}
