package operator

import (
	"strings"

	"cranegrade/balancer"
)

var (
	effects = map[string]balancer.Effect{"unsafe": balancer.NonIdempotent, "keyed": balancer.IdempotentByKey, "safe": balancer.Idempotent}
	scopes  = map[string]balancer.Scope{"cell": balancer.ScopeCell, "zone": balancer.ScopeZone, "all": balancer.ScopeAll}
	sizes   = map[string]balancer.Sizes{
		"unknown": balancer.SizesUnknown, "nominal": balancer.SizesNominal,
		"rough": balancer.SizesRough, "live": balancer.SizesLive,
	}
)

// pools reads the [[pools]] but for their limits, with the tables that they stand in.
func (f *document) pools(t *table, p *Plan, nodes, index int) []*table {
	tables := t.subtables("pools")
	if len(tables) == 0 {
		t.fault("pools", "missing: a file needs at least one [[pools]]")
	}
	for _, pt := range tables {
		pool := f.pool(pt, nodes, index)
		if pool.GRPC && !t.has("listen_h2") {
			pt.fault("protocol", "grpc wants a listen_h2: nobody else can ask for it")
		}
		p.Pools = append(p.Pools, pool)
	}
	return tables
}

// uniquePools reports names that two pools have.
func (f *document) uniquePools(tables []*table, p *Plan) {
	names := map[string]bool{}
	for i, pp := range p.Pools {
		if pp.Name != "" && names[pp.Name] {
			tables[i].fault("name", "two pools have the name %q", pp.Name)
		}
		names[pp.Name] = true
	}
}

// pool reads a [[pools]] but for its limits.
func (f *document) pool(t *table, nodes, index int) Pool {
	p := Pool{Name: t.text("name", ""), Pushed: true}
	if p.Name == "" && !t.has("name") {
		t.fault("name", "missing")
	} else if !isName(p.Name) {
		t.fault("name", "%q is not made of letters, digits, '-', '_' and '.'", p.Name)
	}
	protocol := choice(t, "protocol", "http1", map[string]string{"http1": "http1", "h2": "h2", "grpc": "grpc"})
	p.GRPC = protocol == "grpc"
	p.H2 = p.GRPC || protocol == "h2"
	mux := t.tableOrEmpty("h2")
	p.Mux = Mux{
		ConnectionsPerServer: mux.countBetween("connections", 4, 1, 1000),
		StreamsPerConnection: mux.countBetween("streams", 100, 1, 10_000),
	}
	mux.rejectUnknownKeys()
	if t.has("h2") && !p.H2 {
		t.fault("h2", "is only for pools whose protocol is h2 or grpc")
	}
	f.connections(t, &p)
	f.settings(t, &p, nodes, index)
	f.list(t, &p)
	return p
}

// connections reads how a pool's connections to its servers are kept.
func (f *document) connections(t *table, p *Pool) {
	conns := t.tableOrEmpty("connections")
	p.Conns.Idle = conns.duration("idle", defaultIdle)
	p.Conns.ConnectWithin = conns.duration("connect_within", defaultConnect)
	if p.Conns.Idle == 0 {
		conns.fault("idle", "must be over 0")
	}
	if p.Conns.ConnectWithin == 0 {
		conns.fault("connect_within", "must be over 0")
	}
	conns.rejectUnknownKeys()
}

// settings reads what the balancer is told of a pool.
func (f *document) settings(t *table, p *Pool, nodes, index int) {
	cold, weights := t.tableOrEmpty("cold"), t.tableOrEmpty("weights")
	p.Settings = balancer.Settings{
		Balancers: nodes, Index: index, Tier: int(t.count("tier", 0)),
		WholeWeight: weights.number("whole", defaultWhole), ClassWeight: weights.number("worst_class", defaultWorstClass),
		TenantWeight: weights.number("tenants", 0), OverShare: weights.number("over_quota", defaultOverQuota),
		WorstTenantWeight: weights.number("worst_tenant", defaultWorstTenant),
		MaxAttempts:       int(t.count("attempts", defaultAttempts)), SecondCopies: t.boolean("second_copies", false),
		Spares: int(t.count("fallbacks", 0)), StartCalls: int(t.count("start_calls", 0)),
		MayCancel: t.boolean("cancel", true), Sizes: choice(t, "sizes", balancer.SizesUnknown, sizes),
		Tick: 1e6, MaxRetryAfter: t.duration("retry_after", defaultRetryAfter),
		ColdFrom: cold.number("from", defaultColdFrom), WarmAfter: cold.duration("warm_after", defaultWarmAfter),
		FallMultiple: cold.number("fall_multiple", defaultFallMultiple), FallFor: cold.duration("fall_for", defaultFallFor),
	}
	if p.Settings.MaxAttempts < 1 || p.Settings.MaxAttempts > 100 {
		t.fault("attempts", "%d is not between 1 and 100", p.Settings.MaxAttempts)
	}
	if p.Settings.StartCalls > 100_000 {
		t.fault("start_calls", "%d is over 100,000", p.Settings.StartCalls)
	}
	if p.Settings.Spares > 8 {
		t.fault("fallbacks", "%d is over 8", p.Settings.Spares)
	}
	if p.Settings.ColdFrom > 1 {
		cold.fault("from", "%v is over 1: it is a share of the full capacity", p.Settings.ColdFrom)
	}
	f.classes(t, p)
	f.tenants(t, weights, p)
	cold.rejectUnknownKeys()
	weights.rejectUnknownKeys()
}

// isName says that s can stand in a log line and in a file of figures as it is.
func isName(s string) bool {
	return s != "" && len(s) <= 100 && !strings.ContainsFunc(s, func(c rune) bool {
		return !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.ContainsRune("-_.", c))
	})
}
