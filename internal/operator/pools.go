package operator

import (
	"strings"

	"cranegrade/balancer"
)

// Bounds of a pool.
const (
	maxNameLength           = 100 // bytes
	maxConnectionsPerServer = 1000
	maxStreamsPerConnection = 10_000
	maxAttempts             = 100
	maxStartCalls           = 100_000
	maxFallbacks            = 8
)

// Words of the file, and what they stand for.
var (
	effects = map[string]balancer.Effect{
		"unsafe": balancer.NonIdempotent,
		"keyed":  balancer.IdempotentByKey,
		"safe":   balancer.Idempotent,
	}
	scopes = map[string]balancer.Scope{
		"cell": balancer.ScopeCell,
		"zone": balancer.ScopeZone,
		"all":  balancer.ScopeAll,
	}
	sizes = map[string]balancer.Sizes{
		"unknown": balancer.SizesUnknown,
		"nominal": balancer.SizesNominal,
		"rough":   balancer.SizesRough,
		"live":    balancer.SizesLive,
	}
)

// protocol is what the servers of a pool speak.
type protocol int

const (
	protocolHTTP1 protocol = iota
	protocolH2
	protocolGRPC
)

// protocols are the words of the file for protocols.
var protocols = map[string]protocol{
	"http1": protocolHTTP1,
	"h2":    protocolH2,
	"grpc":  protocolGRPC,
}

// pools reads the [[pools]] without their limits, and returns their tables.
func (d *document) pools(t *table, p *Plan, position nodePosition) []*table {
	tables := t.subtables("pools")
	if len(tables) == 0 {
		t.fault("pools", "missing: a file needs at least one [[pools]]")
	}
	for _, pt := range tables {
		pool := d.pool(pt, position)
		if pool.GRPC && !t.has("listen_h2") {
			pt.fault("protocol", "grpc wants a listen_h2: nobody else can ask for it")
		}
		p.Pools = append(p.Pools, pool)
	}
	return tables
}

// uniquePools reports names that two pools have.
func (d *document) uniquePools(tables []*table, p *Plan) {
	names := map[string]bool{}
	for i, pool := range p.Pools {
		if pool.Name != "" && names[pool.Name] {
			tables[i].fault("name", "two pools have the name %q", pool.Name)
		}
		names[pool.Name] = true
	}
}

// pool reads one of the [[pools]] without its limits. The caller reports unknown keys, once the other tables have read
// theirs.
func (d *document) pool(t *table, position nodePosition) Pool {
	p := Pool{Name: poolName(t), Pushed: true}
	spoken := choice(t, "protocol", protocolHTTP1, protocols)
	p.GRPC = spoken == protocolGRPC
	p.H2 = spoken != protocolHTTP1
	mux := t.tableOrEmpty("h2")
	p.Mux = Mux{
		ConnectionsPerServer: mux.countBetween("connections", defaultConnectionsPerServer, 1, maxConnectionsPerServer),
		StreamsPerConnection: mux.countBetween("streams", defaultStreamsPerConnection, 1, maxStreamsPerConnection),
	}
	mux.rejectUnknownKeys()
	if t.has("h2") && !p.H2 {
		t.fault("h2", "is only for pools whose protocol is h2 or grpc")
	}
	d.connections(t, &p)
	d.settings(t, &p, position)
	d.servers(t, &p)
	return p
}

// poolName reads the name of a pool, which each pool of a file must have.
func poolName(t *table) string {
	name := t.text("name", "")
	if name == "" && !t.has("name") {
		t.fault("name", "missing")
	} else if !isName(name) {
		t.fault("name", "%q is not made of letters, digits, '-', '_' and '.'", name)
	}
	return name
}

// connections reads how a pool keeps its connections to servers.
func (d *document) connections(t *table, p *Pool) {
	ct := t.tableOrEmpty("connections")
	p.Connections.Idle = ct.duration("idle", defaultIdle)
	p.Connections.ConnectWithin = ct.duration("connect_within", defaultConnect)
	if p.Connections.Idle == 0 {
		ct.fault("idle", "must be over 0")
	}
	if p.Connections.ConnectWithin == 0 {
		ct.fault("connect_within", "must be over 0")
	}
	ct.rejectUnknownKeys()
}

// settings reads the balancer's settings of a pool, with its classes and tenants.
func (d *document) settings(t *table, p *Pool, position nodePosition) {
	cold := t.tableOrEmpty("cold")
	weights := t.tableOrEmpty("weights")
	p.Settings = balancer.Settings{
		Balancers:         position.nodes,
		Index:             position.index,
		Tier:              int(t.count("tier", 0)),
		WholeWeight:       weights.number("whole", defaultWhole),
		ClassWeight:       weights.number("worst_class", defaultWorstClass),
		TenantWeight:      weights.number("tenants", 0),
		OverShare:         weights.number("over_quota", defaultOverQuota),
		WorstTenantWeight: weights.number("worst_tenant", defaultWorstTenant),
		MaxAttempts:       int(t.count("attempts", defaultAttempts)),
		SecondCopies:      t.boolean("second_copies", false),
		Spares:            int(t.count("fallbacks", 0)),
		StartCalls:        int(t.count("start_calls", 0)),
		MayCancel:         t.boolean("cancel", true),
		Sizes:             choice(t, "sizes", balancer.SizesUnknown, sizes),
		Tick:              balancerTick,
		MaxRetryAfter:     t.duration("retry_after", defaultRetryAfter),
		ColdFrom:          cold.number("from", defaultColdFrom),
		WarmAfter:         cold.duration("warm_after", defaultWarmAfter),
		FallMultiple:      cold.number("fall_multiple", defaultFallMultiple),
		FallFor:           cold.duration("fall_for", defaultFallFor),
	}
	checkSettings(t, cold, p.Settings)
	d.classes(t, p)
	d.tenants(t, weights, p)
	cold.rejectUnknownKeys()
	weights.rejectUnknownKeys()
}

// checkSettings reports what is out of bounds in a pool's table and in its table cold.
func checkSettings(t, cold *table, s balancer.Settings) {
	if s.MaxAttempts < 1 || s.MaxAttempts > maxAttempts {
		t.fault("attempts", "%d is not between 1 and %d", s.MaxAttempts, maxAttempts)
	}
	if s.StartCalls > maxStartCalls {
		t.fault("start_calls", "%d is over 100,000", s.StartCalls)
	}
	if s.Spares > maxFallbacks {
		t.fault("fallbacks", "%d is over %d", s.Spares, maxFallbacks)
	}
	if s.ColdFrom > 1 {
		cold.fault("from", "%v is over 1: it is a share of the full capacity", s.ColdFrom)
	}
}

// consistsOf reports whether s is made of ASCII letters, digits and some punctuation alone.
func consistsOf(s, punctuation string) bool {
	for _, c := range s {
		alphanumeric := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !alphanumeric && !strings.ContainsRune(punctuation, c) {
			return false
		}
	}
	return true
}

// isName reports whether s can stand in log lines and in file names as it is.
func isName(s string) bool {
	return s != "" && len(s) <= maxNameLength && consistsOf(s, "-_.")
}
