package drill

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/testfleet"
	zonereport "cranegrade/internal/zone/report"
)

// Sizes of the drill of zones.
const (
	zonesHost       = "zones.example.org"
	zonesHome       = "a"
	zonesNearest    = "b"
	zonesFar        = "c"
	zonesBudget     = 150 // requests a day from home to the nearest zone
	serversPerZone  = 4
	zonesSlowdown   = 8
	registryLatency = 200 * time.Millisecond // until the registry notices that servers have crashed
)

// zoneLatencies are the zones with their latency from home.
var zoneLatencies = []struct {
	zone    string
	latency time.Duration
}{{zonesHome, 0}, {zonesNearest, 3 * time.Millisecond}, {zonesFar, 8 * time.Millisecond}}

// zoneTraffic is what crossed between home and a zone: requests, and the bytes of bodies to the zone and back.
type zoneTraffic struct{ requests, out, in int64 }

// zonesDrill has the home zone of three turn slow, fail completely and come back in slow start, under load. The nearest zone has a budget,
// which only alerts may exceed. In the end the program's account, from the file that it keeps, is compared with the servers' records.
func zonesDrill(ctx context.Context, env *environment) error {
	g, err := env.startGroup("zones", zonesHost, zonesServers()...)
	if err != nil {
		return err
	}
	if err := env.startProgram(zonesConfig(filepath.Join(env.dir, "zones.db"), g)); err != nil {
		return err
	}
	if err := env.awaitWatches(g); err != nil {
		return err
	}
	start := env.recorder.Now()
	var faults sync.WaitGroup
	if env.violation == "" {
		env.scheduleHomeZoneFaults(ctx, &faults, g)
	}
	if err := env.runTraffic(ctx, &faults,
		fake.Stream{Host: zonesHost, Class: testfleet.ReadClass, Rate: 150, Account: "acme"},
		fake.Stream{Host: zonesHost, Class: testfleet.OrderClass, Rate: 20, BodyBytes: 500},
		fake.Stream{Host: zonesHost, Class: testfleet.AlertClass, Rate: 30, BodyBytes: 200, Account: "beta"},
		fake.Stream{Host: zonesHost, Class: testfleet.CampaignClass, Rate: 20, BodyBytes: 100}); err != nil {
		return err
	}
	env.node.Stop() // it writes its account to the file
	account, err := env.readZoneAccount()
	if err != nil {
		return err
	}
	h := env.recorder.History()
	env.compareZoneAccount(account, h)
	env.reportZoneShares(h, start)
	env.judgeZoneBudget(h)
	return nil
}

// zonesServers are the servers of the three zones.
func zonesServers() (configs []fake.ServerConfig) {
	for _, z := range zoneLatencies {
		for i := range serversPerZone {
			c := testfleet.InCell(testfleet.DefaultServer, i/2)
			c.Zone, c.ResponseDelay = z.zone, z.latency
			configs = append(configs, c)
		}
	}
	return configs
}

// zonesConfig is the operator's file.
func zonesConfig(state string, g *serverGroup) string {
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
`, state, zonesBudget) + testfleet.PoolConfig("zones", g.registryLine())
}

// scheduleHomeZoneFaults has the home zone's servers be slow, crash, and come back in slow start.
func (env *environment) scheduleHomeZoneFaults(ctx context.Context, faults *sync.WaitGroup, g *serverGroup) {
	home := g.servers[:serversPerZone]
	env.atShare(ctx, faults, 0.2, func() { setSlowdown(home, zonesSlowdown) })
	env.atShare(ctx, faults, 0.4, func() { setSlowdown(home, 1) })
	env.atShare(ctx, faults, 0.5, func() {
		for _, s := range home {
			s.Crash()
		}
		time.Sleep(registryLatency)
		for _, s := range home {
			g.setState(s, fake.ListDeleted)
		}
	})
	env.atShare(ctx, faults, 0.7, func() {
		for _, s := range home {
			g.startAgain(s)
		}
	})
}

// compareZoneAccount compares the program's account with what the servers of each zone saw.
func (env *environment) compareZoneAccount(account zonereport.Report, h fake.History) {
	seen := zoneTrafficSeen(h)
	allServed := !slices.ContainsFunc(h.Exchanges, func(x fake.Exchange) bool { return x.Status != http.StatusOK })
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "zone\trequests\tbytes out\tbytes in\taccounted\tbytes out\tbytes in\t\n")
	for _, z := range zoneLatencies {
		accounted, s := zoneTrafficAccounted(account, z.zone), seen[z.zone]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			z.zone, s.requests, s.out, s.in, accounted.requests, accounted.out, accounted.in)
		if env.violation == "" { // what the drill itself sends is in no account
			env.judgeZoneAccount(z.zone, accounted, s, allServed)
		}
	}
	_ = t.Flush() // into a builder
	env.tables = append(env.tables, b.String())
}

// zoneTrafficAccounted is what the account says of a zone.
func zoneTrafficAccounted(account zonereport.Report, zone string) (t zoneTraffic) {
	for _, row := range account.Rows {
		if row.To == zone {
			t.requests += row.Requests
			t.out += row.Out
			t.in += row.In
		}
	}
	return t
}

// zoneTrafficSeen is what the servers of each zone saw.
func zoneTrafficSeen(h fake.History) map[string]zoneTraffic {
	seen := map[string]zoneTraffic{}
	for _, a := range h.Arrivals {
		t := seen[a.Zone]
		t.requests++
		t.out += a.RequestBytes
		if a.ResponseBytes >= 0 {
			t.in += a.ResponseBytes
		}
		seen[a.Zone] = t
	}
	return seen
}

// judgeZoneAccount reports what is wrong with a zone's row of the account.
func (env *environment) judgeZoneAccount(zone string, accounted, seen zoneTraffic, allServed bool) {
	if zone == zonesHome {
		// Servers that crash leave requests in their sockets that were written completely and never read.
		if accounted.requests < seen.requests || accounted.out < seen.out {
			env.failf("zone %s: accounted %+v, less than its servers saw, %+v", zone, accounted, seen)
		}
		env.addFigure("unread", accounted.requests-seen.requests,
			"requests that were written completely to servers which crashed before reading them")
		return
	}
	// A response that came after its request was cancelled was written, and never read.
	late := accounted
	late.in = seen.in
	if late != seen || accounted.in > seen.in || accounted.in != seen.in && allServed {
		env.failf("zone %s: accounted %+v, its servers saw %+v", zone, accounted, seen)
	}
}

// reportZoneShares reports the share of attempts away from home in each phase of the drill.
func (env *environment) reportZoneShares(h fake.History, start time.Duration) {
	away := func(from, to float64) float64 {
		total, crossed := 0, 0
		for _, a := range h.Arrivals {
			if since := a.FirstByteAt - start; since < env.share(from) || since >= env.share(to) {
				continue
			}
			total++
			if a.Zone != zonesHome {
				crossed++
			}
		}
		return float64(crossed) / max(1, float64(total))
	}
	env.addFigure("across_calm", away(0.02, 0.2), "share of attempts away from home before the faults")
	env.addFigure("across_slow", away(0.25, 0.4), "while the home zone is eight times as slow")
	env.addFigure("across_out", away(0.55, 0.7), "while it is down")
	env.addFigure("across_after", away(0.9, 1), "after it has come back and warmed up a little")
}

// judgeZoneBudget compares the requests to the nearest zone that its budget covers with the budget.
func (env *environment) judgeZoneBudget(h fake.History) {
	spent := map[string]bool{} // by request: a retry in the same zone counts once
	for _, a := range h.Arrivals {
		if a.Zone == zonesNearest && a.Class != testfleet.AlertClass.Name {
			spent[a.ID] = true
		}
	}
	env.addFigure("budget_spent", len(spent), fmt.Sprintf("requests to the nearest zone without alerts; %d are allowed", zonesBudget))
	if len(spent) > zonesBudget {
		env.failf("%d requests crossed to b that no budget allows; %d are allowed", len(spent), zonesBudget)
	}
}

// readZoneAccount runs the program's own command that prints the account of its file.
func (env *environment) readZoneAccount() (zonereport.Report, error) {
	var stdout, stderr bytes.Buffer
	cmd := exec.Command(env.program, "zones", "-config", filepath.Join(env.dir, "node.toml"), "-format", "json", "-by", "pool,class,customer")
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		return zonereport.Report{}, fmt.Errorf("cranegrade zones: %w: %s", err, stderr.String())
	}
	return zonereport.Parse(stdout.Bytes())
}
