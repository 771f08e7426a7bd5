package drill

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/testfleet"
)

// The flood: when it comes, as shares of the drill's length, and how many times the servers' capacity it is.
const (
	tenantFloodFrom   = 0.2
	tenantFloodTo     = 0.8
	tenantFloodFactor = 3.0
	floodName         = "flood"
	floodBaseLoad     = 0.1 // of the capacity, that the flooding tenant asks for all the time
	floodQuota        = 0.2 // of the capacity
	quotaMargin       = 1.3 // of what the calm tenants ask for
	tenantServers     = 3   // of each pool
)

// calmTenants are the tenants that keep to their quotas, with the share of the servers' capacity that they ask for.
var calmTenants = map[string]float64{"grocers": 0.3, "hardware": 0.2, "cafes": 0.1}

var tenantServer = fake.ServerConfig{
	Concurrency: 4, QueueLimit: 100, ServiceTime: 50 * time.Millisecond, SlowStart: testfleet.SlowStart, Zone: "a", IgnoreDisconnects: true,
}

// tenantCase is a way to configure a pool for tenants.
type tenantCase struct {
	name  string
	extra string // lines of the pool
}

// tenantCases are the three ways, with quotas by the servers' capacity in requests a second.
func tenantCases(capacity float64) []tenantCase {
	quotas := []string{fmt.Sprintf(`{ name = %q, quota = %.0f }`, floodName, floodQuota*capacity)}
	for name, share := range calmTenants {
		quotas = append(quotas, fmt.Sprintf(`{ name = %q, quota = %.0f }`, name, quotaMargin*share*capacity))
	}
	return []tenantCase{
		{"quotas", "tenants = [ " + strings.Join(quotas, ", ") + " ]\nweights = { over_quota = 0.2, worst_tenant = 0.1 }"},
		{"parts", "weights = { tenants = 1 }"},
		{"nothing", ""},
	}
}

// overloadTenants has one tenant flood at three times what the servers can handle, from a fifth of the drill on to four fifths, beside three
// that keep to their quotas. The same servers and streams stand behind a pool with quotas, one that serves tenants in equal shares, and one
// that is told nothing.
func overloadTenants(ctx context.Context, env *environment) error {
	capacity := float64(tenantServer.Concurrency*tenantServers) / tenantServer.ServiceTime.Seconds()
	cases := tenantCases(capacity)
	streams, err := env.startTenantPools(cases, capacity)
	if err != nil {
		return err
	}
	start := env.recorder.Now()
	var faults sync.WaitGroup
	if env.violation == "" {
		env.atShare(ctx, &faults, tenantFloodFrom, func() { env.floodTenantPools(ctx, tenantFloodFactor*capacity) })
	}
	if err := env.runTraffic(ctx, &faults, streams...); err != nil {
		return err
	}
	env.reportTenants(env.recorder.History(), cases, start)
	return nil
}

// startTenantPools starts the program with a pool for each case, and returns the streams to them.
func (env *environment) startTenantPools(cases []tenantCase, capacity float64) (streams []fake.Stream, err error) {
	// Enough descriptors for three floods at once, or the process's limit of calls rejects before any pool can weigh.
	config, routes := "listen = [\"127.0.0.1:0\"]\nlimits = { descriptors = 4096 }\n", ""
	for _, c := range cases {
		g, err := env.startGroup(c.name, c.name+".example.org", tenantServer, tenantServer, tenantServer)
		if err != nil {
			return nil, err
		}
		config += testfleet.PoolConfig(c.name, g.registryLine(), c.extra)
		routes += route(g.host, c.name)
		for name, share := range calmTenants {
			streams = append(streams, tenantStream(g, name, share*capacity))
		}
		streams = append(streams, tenantStream(g, floodName, floodBaseLoad*capacity))
	}
	if env.violation != "" { // what must not run twice, for the violation that runs it twice
		streams = append(streams, fake.Stream{
			Name: "order", Host: env.groups[0].host, Class: testfleet.OrderClass, Rate: 10, BodyBytes: 100,
		})
	}
	if err := env.startProgram(config + routes); err != nil {
		return nil, err
	}
	return streams, env.awaitWatches(env.groups...)
}

// tenantStream is a tenant's stream to a pool.
func tenantStream(g *serverGroup, tenant string, rate float64) fake.Stream {
	return fake.Stream{Name: g.name + "/" + tenant, Host: g.host, Class: testfleet.ReadClass, Account: tenant, Rate: rate}
}

// floodTenantPools sends the flood to every pool, each at a rate of requests a second.
func (env *environment) floodTenantPools(ctx context.Context, rate float64) {
	var streams []fake.Stream
	for _, g := range env.groups {
		s := tenantStream(g, floodName, rate)
		s.Duration, s.MaxOpen = env.share(tenantFloodTo-tenantFloodFrom), 3000
		streams = append(streams, s)
	}
	env.callers.Run(ctx, streams...)
}

// reportTenants reports the goodput of the calm tenants and of the flood for each case.
func (env *environment) reportTenants(h fake.History, cases []tenantCase, start time.Duration) {
	from, to := start+env.share(tenantFloodFrom), start+env.share(tenantFloodTo)
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "pool is told\tcalm tenants\tthe worst of them\tflood\tafter it, all")
	for _, c := range cases {
		calm, worst := calmGoodput(h, c.name, from, to)
		flood := goodput(h, c.name+"/"+floodName, from, to)
		after := goodput(h, c.name+"/", start+env.share(tenantFloodTo+0.05), start+env.length)
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\n", c.name, calm, worst, flood, after)
		env.addFigure("calm_"+c.name, calm,
			"goodput of the tenants within their quotas during the flood, where the pool is told "+c.name)
		env.addFigure("flood_"+c.name, flood, "and of the one that floods")
	}
	_ = t.Flush() // into a builder
	env.tables = append(env.tables, b.String())
	env.addStreamTable()
}

// calmGoodput is the goodput of the calm tenants of a pool, weighted by what they ask for, and the lowest of one of them.
func calmGoodput(h fake.History, pool string, from, to time.Duration) (mean, worst float64) {
	sum, weights := 0.0, 0.0
	worst = 1
	for name, share := range calmTenants {
		good := goodput(h, pool+"/"+name, from, to)
		worst = min(worst, good)
		sum += share * good
		weights += share
	}
	return sum / weights, worst
}
