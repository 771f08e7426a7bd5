package drill

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"cranegrade/internal/fake"
)

// tenantCase is a way to tell a pool of its tenants.
type tenantCase struct {
	name string
	more string // keys of the pool
}

// The flood: when it comes, as shares of the drill's length, and how many times the servers' capacity it is.
const (
	floodFrom   = 0.2
	floodTo     = 0.8
	floodFactor = 3.0
)

// calmTenants are those within their quotas, by the part of the servers' capacity that they ask for.
var calmTenants = map[string]float64{"grocers": 0.3, "hardware": 0.2, "cafes": 0.1}

// Each pool has three such servers.
const tenantServers = 3

var tenantServer = fake.ServerConfig{Concurrency: 4, QueueLimit: 100, ServiceTime: 50 * time.Millisecond, SlowStart: cold, Zone: "a", IgnoreDisconnects: true}

// overloadTenants has one tenant flood at three times what the servers can do, from a fifth of the drill on to
// four fifths, beside three that keep within their quotas. The same servers and streams stand behind a pool
// that knows of quotas, one that serves tenants by equal parts, and one that is told nothing.
func overloadTenants(ctx context.Context, r *environment) error {
	capacity := float64(tenantServer.Concurrency*tenantServers) / tenantServer.ServiceTime.Seconds()
	cases := tenantCases(capacity)
	// Room for three floods at once, or the process's limit of calls refuses before any pool can weigh.
	file, routes := "listen = [\"127.0.0.1:0\"]\nlimits = { descriptors = 4096 }\n", ""
	var streams []fake.Stream
	for _, c := range cases {
		g, err := r.group(c.name, c.name+".example.org", tenantServer, tenantServer, tenantServer)
		if err != nil {
			return err
		}
		file += poolText(c.name, g.registryText(), c.more)
		routes += fmt.Sprintf("\n[[routes]]\nhost = %q\npool = %q\n", g.host, c.name)
		for name, part := range calmTenants {
			streams = append(streams, fake.Stream{Name: c.name + "/" + name, Host: g.host, Class: readClass, Account: name, Rate: part * capacity})
		}
		streams = append(streams, fake.Stream{Name: c.name + "/flood", Host: g.host, Class: readClass, Account: "flood", Rate: 0.1 * capacity})
	}
	if r.violation != "" { // what must not run twice, for the breach that runs it twice
		streams = append(streams, fake.Stream{Name: "order", Host: r.groups[0].host, Class: orderClass, Rate: 10, BodyBytes: 100})
	}
	if err := r.start(file + routes); err != nil {
		return err
	}
	if err := r.settle(r.groups...); err != nil {
		return err
	}
	start := r.records.Now()
	var faults sync.WaitGroup
	if r.violation == "" {
		r.at(ctx, &faults, floodFrom, func() { r.floodTenants(ctx, floodFactor*capacity) })
	}
	if err := r.play(ctx, &faults, streams...); err != nil {
		return err
	}
	r.reportTenants(r.records.History(), cases, start)
	return nil
}

// tenantCases are the three ways, with quotas by the servers' capacity in requests a second.
func tenantCases(capacity float64) []tenantCase {
	quotas := []string{fmt.Sprintf(`{ name = "flood", quota = %.0f }`, 0.2*capacity)}
	for name, part := range calmTenants {
		quotas = append(quotas, fmt.Sprintf(`{ name = %q, quota = %.0f }`, name, 1.3*part*capacity))
	}
	return []tenantCase{
		{"quotas", "tenants = [ " + strings.Join(quotas, ", ") + " ]\nweights = { over_quota = 0.2, worst_tenant = 0.1 }"},
		{"parts", "weights = { tenants = 1 }"},
		{"nothing", ""},
	}
}

// floodTenants sends the flood to every pool, each at a rate of requests a second.
func (r *environment) floodTenants(ctx context.Context, rate float64) {
	var l []fake.Stream
	for _, g := range r.groups {
		l = append(l, fake.Stream{
			Name: g.name + "/flood", Host: g.host, Class: readClass, Account: "flood",
			Rate: rate, Duration: r.part(floodTo - floodFrom), MaxOpen: 3000,
		})
	}
	r.callers.Run(ctx, l...)
}

// part is a part of the drill's length.
func (r *environment) part(x float64) time.Duration { return time.Duration(x * float64(r.length)) }

// reportTenants reports the goodput of the calm tenants and of the flood for each case.
func (r *environment) reportTenants(v fake.History, cases []tenantCase, start time.Duration) {
	from, to := start+r.part(floodFrom), start+r.part(floodTo)
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "pool is told\tcalm tenants\tthe worst of them\tflood\tafter it, all")
	for _, c := range cases {
		var sum, n float64
		worst := 1.0
		for name, part := range calmTenants {
			x := goodput(v, c.name+"/"+name, from, to)
			worst = min(worst, x)
			sum, n = sum+part*x, n+part
		}
		flood := goodput(v, c.name+"/flood", from, to)
		after := goodput(v, c.name+"/", start+r.part(floodTo+0.05), start+r.length)
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\n", c.name, sum/n, worst, flood, after)
		r.addFigure("calm_"+c.name, sum/n, "goodput of the tenants within their quotas during the flood, where the pool is told "+c.name)
		r.addFigure("flood_"+c.name, flood, "and of the one that floods")
	}
	t.Flush()
	r.tables = append(r.tables, b.String(), streamTable(v))
}
