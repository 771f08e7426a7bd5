// Package operator reads the operator's file: TOML that says which services a node carries. It checks
// all of it, reports every fault with its line, and makes a Plan. It is pure but for Load.
package operator

import (
	"fmt"
	"net"
	"net/textproto"
	"os"
	"slices"
	"strconv"
	"strings"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/message"
	"cranegrade/internal/pool"
	"cranegrade/internal/route"
)

// Load reads a file. An error is of the type Faults, or says why the file can't be read.
func Load(path string) (Plan, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Plan{}, fmt.Errorf("reading the operator's file: %w", err)
	}
	if info.Size() > maxFile {
		return Plan{}, Faults{{File: path, Text: fmt.Sprintf("the file is longer than %d bytes", maxFile)}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("reading the operator's file: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a file's text; name is for the faults. An error is of the type Faults.
func Parse(name string, text []byte) (Plan, error) {
	f := &document{name: name}
	root, ok := f.parse(text)
	if !ok {
		return Plan{}, f.sorted()
	}
	p := f.plan(root)
	if len(f.faults) > 0 {
		return Plan{}, f.sorted()
	}
	return p, nil
}

func (f *document) plan(t *table) Plan {
	p := Plan{Name: t.text("name", "cranegrade"), Listen: t.textList("listen"), ListenH2: t.textList("listen_h2")}
	h2 := t.tableOrEmpty("h2")
	p.H2 = H2{Streams: h2.countBetween("streams", 250, 1, 10_000), Window: h2.countBetween("window", 1<<20, 64<<10, 64<<20)}
	windowed := h2.has("window")
	h2.rejectUnknownKeys()
	f.extProc(t, &p)
	if len(p.Listen)+len(p.ListenH2) == 0 && p.ExtProc == nil && !slices.ContainsFunc(f.faults, func(x Fault) bool { return strings.HasPrefix(x.Key, "listen") }) {
		t.fault("listen", `missing: the addresses to listen on, as ["127.0.0.1:3000"], or an [ext_proc]`)
	}
	if len(p.Listen) > maxListen {
		t.fault("listen", "%d addresses, %d at most", len(p.Listen), maxListen)
		p.Listen = nil
	}
	if len(p.ListenH2) > maxListen {
		t.fault("listen_h2", "%d addresses, %d at most", len(p.ListenH2), maxListen)
		p.ListenH2 = nil
	}
	all := append(slices.Clone(p.Listen), p.ListenH2...)
	for i, a := range all {
		at := fmt.Sprintf("listen[%d]", i)
		if i >= len(p.Listen) {
			at = fmt.Sprintf("listen_h2[%d]", i-len(p.Listen))
		}
		if err := address(a, true); err != nil {
			t.fault(at, "%v", err)
		} else if slices.Contains(all[:i], a) && !strings.HasSuffix(a, ":0") {
			t.fault(at, "%s stands there twice", a)
		}
	}
	nodes, index := t.count("nodes", 1), t.count("index", 0)
	if nodes < 1 || nodes > 1e6 {
		t.fault("nodes", "%d is not between 1 and 1000000", nodes)
	} else if index >= nodes {
		t.fault("index", "%d is no index of %d nodes, which count from 0", index, nodes)
	}
	tables := t.subtables("pools")
	if len(tables) == 0 {
		t.fault("pools", "missing: a file needs at least one [[pools]]")
	}
	for _, pt := range tables {
		pool := f.pool(pt, int(nodes), int(index))
		if pool.GRPC && !t.has("listen_h2") {
			pt.fault("protocol", "grpc wants a listen_h2: nobody else can ask for it")
		}
		p.Pools = append(p.Pools, pool)
	}
	f.zones(t, tables, &p, int(nodes))
	f.fleet(t, &p, int(nodes))
	f.limits(t, tables, &p)
	if !windowed && p.MemoryMB > 0 {
		// What all callers may have on its way at once is no more than there is room for bodies.
		p.H2.Window = int(min(int64(p.H2.Window), max(message.MaxBody, p.Totals.Bodies/max(1, p.Totals.Callers))))
	}
	f.routes(t, &p)
	f.xds(t, tables, &p)
	if p.Admin = t.text("admin", ""); t.has("admin") {
		if err := loopback(p.Admin); err != nil {
			t.fault("admin", "%v", err)
		}
	}
	if p.Operator = t.text("operator", ""); t.has("operator") {
		if err := loopback(p.Operator); err != nil {
			t.fault("operator", "%v", err)
		}
	}
	if p.State = t.text("state", ""); t.has("state") {
		if info, err := os.Stat(p.State); err != nil || !info.IsDir() {
			t.fault("state", "%q is no directory", p.State)
		} else if p.Operator == "" {
			t.fault("state", "it keeps operators' orders, and no operator address takes any")
		}
	}
	names := map[string]bool{}
	for i, pp := range p.Pools {
		if pp.Name != "" && names[pp.Name] {
			tables[i].fault("name", "two pools have the name %q", pp.Name)
		}
		names[pp.Name] = true
	}
	t.rejectUnknownKeys()
	return p
}

// maxListen bounds the addresses that a node listens on.
const maxListen = 64

// address checks a host:port. Port 0 means any free one, which only a listener can have.
func address(s string, listener bool) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" {
		return fmt.Errorf("%q is no host:port", s)
	}
	n, err := strconv.Atoi(port)
	if err != nil || n < 0 || n > 65535 || n == 0 && !listener {
		return fmt.Errorf("%q has no port between 1 and 65535", s)
	}
	return nil
}

// loopback checks an address that only this machine may reach.
func loopback(s string) error {
	if err := address(s, true); err != nil {
		return err
	}
	host, _, _ := net.SplitHostPort(s)
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%q is no loopback address", s)
	}
	return nil
}

// extProc reads how proxies ask.
func (f *document) extProc(t *table, p *Plan) {
	x := t.subtable("ext_proc")
	if x == nil {
		return
	}
	p.ExtProc = &ExtProc{Listen: x.text("listen", ""), DecisionTimeout: x.duration("decide_within", 150e6), Linger: x.duration("linger", 500e6),
		Retries: x.boolean("retries", false), Streams: x.count("streams", 10_000), Rate: x.number("rate", 0),
		IDHeader: strings.ToLower(x.text("id_header", "x-request-id")), ClearRouteCache: x.boolean("clear_route_cache", false),
		HeadersOnly: x.boolean("headers_only", true), TimeLeft: x.boolean("time_left", false), RememberedRequests: x.count("remember", 100_000), ProxyStreams: x.count("proxy_streams", 0),
		RetryHeader: strings.ToLower(x.text("retry_header", defaultRetryHeader))}
	if err := address(p.ExtProc.Listen, true); err != nil {
		x.fault("listen", "%v", err)
	}
	if w := p.ExtProc.DecisionTimeout; w < 1e6 || w > 10e9 {
		x.fault("decide_within", "%v is not between 1ms and 10s", w)
	}
	if l := p.ExtProc.Linger; l < 1e6 || l > 60e9 {
		x.fault("linger", "%v is not between 1ms and 1m", l)
	}
	if n := p.ExtProc.Streams; n < 1 || n > 1<<24 {
		x.fault("streams", "%d is not between 1 and %d", n, 1<<24)
	}
	if n := p.ExtProc.RememberedRequests; n < 1 || n > 1<<24 {
		x.fault("remember", "%d is not between 1 and %d", n, 1<<24)
	}
	if h := p.ExtProc.RetryHeader; h != "" && !isToken(h) {
		x.fault("retry_header", "%q is no name of a header", h)
	} else if x.has("retry_header") && !p.ExtProc.Retries {
		x.fault("retry_header", "is of no effect without retries = true")
	}
	if !isToken(p.ExtProc.IDHeader) {
		x.fault("id_header", "%q is no name of a header", p.ExtProc.IDHeader)
	}
	x.rejectUnknownKeys()
}

// xds reads the control planes, which some pools' lists come from.
func (f *document) xds(t *table, pools []*table, p *Plan) {
	x := t.subtable("xds")
	if x == nil {
		for i, pt := range pools {
			if p.Pools[i].List.XDS != "" {
				pt.fault("xds", "there is no [xds] that says where clusters come from")
			}
		}
		return
	}
	loc := x.tableOrEmpty("locality")
	p.XDS = &XDS{Servers: x.textList("servers"), Delta: choice(x, "variant", true, map[string]bool{"delta": true, "sotw": false}),
		NodeID: x.text("node_id", p.Name), NodeCluster: x.text("node_cluster", "cranegrade"),
		Region: loc.text("region", ""), Zone: loc.text("zone", ""), SubZone: loc.text("sub_zone", ""),
		Timeout: x.duration("resource_timeout", defaultTimeout), KeepOnRemoval: x.boolean("keep_on_removal", false),
		EmptyGrace: x.duration("empty_grace", defaultGrace), MaxResponse: x.bytes("max_response", defaultMaxResponse),
		LoadReports: x.duration("load_reports", 0)}
	if len(p.XDS.Servers) == 0 {
		x.fault("servers", "missing: the control planes, the preferred one first")
	}
	for i, a := range p.XDS.Servers {
		if err := address(a, false); err != nil {
			x.fault(fmt.Sprintf("servers[%d]", i), "%v", err)
		}
	}
	if len(p.XDS.Servers) > maxListen {
		x.fault("servers", "%d control planes, %d at most", len(p.XDS.Servers), maxListen)
	}
	if p.XDS.Timeout == 0 {
		x.fault("resource_timeout", "must be over 0")
	}
	if p.XDS.MaxResponse < 1024 || p.XDS.MaxResponse > 1<<30 {
		x.fault("max_response", "%d is not between 1024 and %d", p.XDS.MaxResponse, 1<<30)
	}
	if r := p.XDS.LoadReports; r > 0 && r < 100e6 {
		x.fault("load_reports", "%v is under 100ms", r)
	}
	loc.rejectUnknownKeys()
	x.rejectUnknownKeys()
}

var (
	effects = map[string]balancer.Effect{"unsafe": balancer.Unsafe, "keyed": balancer.Keyed, "safe": balancer.Safe}
	scopes  = map[string]balancer.Scope{"cell": balancer.ScopeCell, "zone": balancer.ScopeZone, "all": balancer.ScopeAll}
	sizes   = map[string]balancer.Sizes{"unknown": balancer.SizesUnknown, "nominal": balancer.SizesNominal,
		"rough": balancer.SizesRough, "live": balancer.SizesLive}
)

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
	p.Mux = Mux{ConnectionsPerServer: mux.countBetween("connections", 4, 1, 1000), StreamsPerConnection: mux.countBetween("streams", 100, 1, 10_000)}
	mux.rejectUnknownKeys()
	if t.has("h2") && !p.H2 {
		t.fault("h2", "is only for pools whose protocol is h2 or grpc")
	}
	conns, cold, weights := t.tableOrEmpty("connections"), t.tableOrEmpty("cold"), t.tableOrEmpty("weights")
	p.Conns.Idle = conns.duration("idle", defaultIdle)
	p.Conns.ConnectWithin = conns.duration("connect_within", defaultConnect)
	if p.Conns.Idle == 0 {
		conns.fault("idle", "must be over 0")
	}
	if p.Conns.ConnectWithin == 0 {
		conns.fault("connect_within", "must be over 0")
	}
	p.Settings = balancer.Settings{Balancers: nodes, Index: index, Tier: int(t.count("tier", 0)),
		WholeWeight: weights.number("whole", defaultWhole), ClassWeight: weights.number("worst_class", defaultWorstClass),
		TenantWeight: weights.number("tenants", 0), OverShare: weights.number("over_quota", defaultOverQuota),
		WorstTenantWeight: weights.number("worst_tenant", defaultWorstTenant),
		MaxAttempts:       int(t.count("attempts", defaultAttempts)), SecondCopies: t.boolean("second_copies", false), Spares: int(t.count("fallbacks", 0)), StartCalls: int(t.count("start_calls", 0)),
		MayCancel: t.boolean("cancel", true), Sizes: choice(t, "sizes", balancer.SizesUnknown, sizes),
		Tick: 1e6, MaxRetryAfter: t.duration("retry_after", defaultRetryAfter),
		ColdFrom: cold.number("from", defaultColdFrom), WarmAfter: cold.duration("warm_after", defaultWarmAfter),
		FallMultiple: cold.number("fall_multiple", defaultFallMultiple), FallFor: cold.duration("fall_for", defaultFallFor)}
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
	f.classes(t, &p)
	f.tenants(t, weights, &p)
	conns.rejectUnknownKeys()
	cold.rejectUnknownKeys()
	weights.rejectUnknownKeys()
	f.list(t, &p)
	return p
}

// isName says that s can stand in a log line and in a file of figures as it is.
func isName(s string) bool {
	return s != "" && len(s) <= 100 && !strings.ContainsFunc(s, func(c rune) bool {
		return !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.ContainsRune("-_.", c))
	})
}

func (f *document) classes(t *table, p *Pool) {
	tables := t.subtables("classes")
	if len(tables) == 0 {
		t.fault("classes", "missing: a pool needs at least one [[pools.classes]]")
	}
	names := map[string]bool{}
	for _, ct := range tables {
		c := balancer.Class{Name: ct.text("name", ""), Effect: choice(ct, "effect", balancer.Unsafe, effects),
			Scope: choice(ct, "scope", balancer.ScopeCell, scopes), Window: ct.duration("window", 0),
			Aim: ct.duration("aim", 0), Deadline: ct.duration("deadline", 0), LateShare: ct.number("late_share", 0),
			Worth: ct.number("worth", 1), Stream: ct.boolean("stream", false)}
		if c.Stream && !p.GRPC {
			ct.fault("stream", "is only for pools whose protocol is grpc")
		}
		if c.Name == "" {
			ct.fault("name", "missing")
		} else if strings.Contains(c.Name, "/") {
			ct.fault("name", "%q has a slash, but is the first part of a path", c.Name)
		} else if names[c.Name] {
			ct.fault("name", "two classes of this pool have the name %q", c.Name)
		}
		names[c.Name] = true
		if !ct.has("effect") {
			ct.fault("effect", "missing: say whether requests are safe, keyed or unsafe to repeat")
		}
		for _, need := range []struct {
			key  string
			zero bool
		}{{"aim", c.Aim == 0}, {"deadline", c.Deadline == 0}} {
			if need.zero {
				ct.fault(need.key, "must be told, and over 0")
			}
		}
		if c.Deadline > 0 && c.Aim > c.Deadline {
			ct.fault("aim", "%v is after the deadline of %v", c.Aim, c.Deadline)
		}
		if c.LateShare > 1 {
			ct.fault("late_share", "%v is over 1: it is a share of the worth", c.LateShare)
		}
		keyed := c.Effect == balancer.Keyed
		if keyed && c.Window == 0 {
			ct.fault("window", "missing: for how long servers drop the repeats of a key")
		}
		for _, key := range []string{"window", "scope"} {
			if !keyed && ct.has(key) {
				ct.fault(key, "is only for classes whose effect is keyed")
			}
		}
		ct.rejectUnknownKeys()
		p.Settings.Classes = append(p.Settings.Classes, c)
	}
}

// maxQuotas bounds the tenants with a quota: the module goes over all of them for each request that it
// must weigh.
const maxQuotas = 64

// tenants reads who has a quota. Without any, what is told of quotas would be without effect.
func (f *document) tenants(t, weights *table, p *Pool) {
	if w := p.Settings.OverShare; w > 1 {
		weights.fault("over_quota", "%v is over 1: it is a share of the worth", w)
	}
	tables := t.subtables("tenants")
	if len(tables) == 0 {
		for _, key := range []string{"over_quota", "worst_tenant"} {
			if weights.has(key) {
				weights.fault(key, "is of no effect without [[pools.tenants]] that have quotas")
			}
		}
	}
	if len(tables) > maxQuotas {
		t.fault("tenants", "%d tenants, %d at most", len(tables), maxQuotas)
	}
	names := map[string]bool{}
	for _, tt := range tables {
		x := balancer.Tenant{Name: tt.text("name", ""), Quota: tt.number("quota", 0)}
		switch {
		case x.Name == "":
			tt.fault("name", "missing: as the callers' X-Account has it")
		case len(x.Name) > engine.MaxTenant:
			tt.fault("name", "is longer than the %d bytes that are told apart", engine.MaxTenant)
		case names[x.Name]:
			tt.fault("name", "two tenants of this pool have the name %q", x.Name)
		}
		names[x.Name] = true
		if !tt.has("quota") {
			tt.fault("quota", "missing: requests a second, over all nodes")
		}
		tt.rejectUnknownKeys()
		p.Settings.Tenants = append(p.Settings.Tenants, x)
	}
}

// list reads where a pool's servers are told.
func (f *document) list(t *table, p *Pool) {
	p.List.Registry, p.List.XDS = t.text("registry", ""), t.text("xds", "")
	tables := t.subtables("servers")
	switch {
	case t.has("xds"):
		if t.has("registry") {
			t.fault("xds", "a pool has a registry or a cluster, not both")
		}
		if p.List.XDS == "" {
			t.fault("xds", "a cluster without a name")
		}
		// servers beside it are those that were known last: they serve until the control plane says more.
	case t.has("registry") && t.has("servers"):
		t.fault("servers", "a pool has a registry or servers, not both")
	case t.has("registry"):
		if err := address(p.List.Registry, false); err != nil {
			t.fault("registry", "%v", err)
		}
	case len(tables) == 0:
		t.fault("servers", "missing: a pool needs a registry, an xds cluster or at least one [[pools.servers]]")
	}
	ids := map[string]bool{}
	for _, st := range tables {
		s := engine.Listed{Addr: st.text("address", ""), Server: balancer.Server{ID: st.text("id", ""),
			Zone: st.text("zone", ""), Cell: int(st.count("cell", 0)), Size: st.number("size", 1)}}
		if err := address(s.Addr, false); err != nil {
			st.fault("address", "%v", err)
		}
		key := "id"
		if s.ID == "" {
			s.ID, key = s.Addr, "address"
		}
		if ids[s.ID] {
			st.fault(key, "two servers of this pool have the id %q", s.ID)
		}
		ids[s.ID] = true
		if st.boolean("draining", false) {
			s.State = balancer.Draining
		}
		st.rejectUnknownKeys()
		p.List.Static = append(p.List.Static, s)
	}
	if p.List.XDS != "" && p.List.Static != nil {
		p.Known = engine.News{Full: true, Cached: true, Servers: p.List.Static}
		p.List.Static = nil
	}
}

// sharedLimit is one of the things that pools share.
type sharedLimit struct {
	key      string
	bytes    bool
	total    *int64
	quota    func(*Limits) *pool.Quota
	reserved int64 // of the total, for other than pools
}

// questionBytes is what an open question of a proxy takes, as measured (docs/design/extproc.md), rounded up.
const questionBytes = 24 << 10

// limits reads what the process may hold and each pool's part of it. Where a pool's minimum is not
// told, half the total is dealt out evenly, so that none can be starved by default.
func (f *document) limits(t *table, pools []*table, p *Plan) {
	l := t.tableOrEmpty("limits")
	p.MemoryMB, p.Cores = l.number("memory_mb", 0), l.number("cores", 0)
	descriptors := l.count("descriptors", defaultDescriptors)
	if least := int64(reservedDescriptors + 2*len(pools) + 8); descriptors < least || descriptors > 1<<24 {
		l.fault("descriptors", "%d is not between %d, the least for %d pools, and %d", descriptors, least, len(pools), 1<<24)
		descriptors = max(least, defaultDescriptors)
	}
	p.Totals = TotalsFor(int(descriptors), p.MemoryMB, len(pools))
	p.Totals.NewCallers.Min = p.Totals.Callers / 8
	// An HTTP/1.1 caller's connection carries one call at a time, so there can be no more of these.
	p.Totals.Calls, p.Totals.Held = p.Totals.Callers, p.Totals.Callers
	if p.ExtProc != nil { // a proxy's connection carries many, and what they cost is memory
		asked := p.ExtProc.Streams
		if p.MemoryMB > 0 {
			asked = min(asked, int64(p.MemoryMB*(1<<20)/4/questionBytes))
		}
		p.Totals.Calls, p.Totals.Held = p.Totals.Calls+asked, p.Totals.Held+asked
	}
	parts := []sharedLimit{
		{"calls", false, &p.Totals.Calls, func(l *Limits) *pool.Quota { return &l.Calls }, 0},
		{"held", false, &p.Totals.Held, func(l *Limits) *pool.Quota { return &l.Held }, 0},
		{"connections", false, &p.Totals.Connections, func(l *Limits) *pool.Quota { return &l.Connections }, 0},
		{"callers", false, &p.Totals.Callers, func(l *Limits) *pool.Quota { return &l.Callers }, p.Totals.NewCallers.Min},
		{"bodies", true, &p.Totals.Bodies, func(l *Limits) *pool.Quota { return &l.Bodies }, 0},
		{"long_answers", true, &p.Totals.LongAnswers, func(l *Limits) *pool.Quota { return &l.LongAnswers }, 0},
	}
	for i := range parts {
		k := &parts[i]
		*k.total = k.read(l, k.key, *k.total)
		if k.key == "callers" {
			p.Totals.NewCallers.Min = min(p.Totals.NewCallers.Min, *k.total/8)
			k.reserved = p.Totals.NewCallers.Min
		}
	}
	if sum := p.Totals.Connections + p.Totals.Callers; sum > descriptors-reservedDescriptors-int64(len(pools)) {
		l.fault("connections", "%d connections and %d callers need more than the %d descriptors, of which %d are reserved",
			p.Totals.Connections, p.Totals.Callers, descriptors, reservedDescriptors+len(pools))
	}
	l.rejectUnknownKeys()
	for i, pt := range pools {
		lt := pt.tableOrEmpty("limits")
		for _, k := range parts {
			q := k.quota(&p.Pools[i].Limits)
			if *k.total < Unlimited {
				q.Min = (*k.total - k.reserved) / int64(2*len(pools))
			}
			if kt := lt.subtable(k.key); kt != nil {
				q.Max = k.read(kt, "max", 0)
				if q.Max > 0 {
					q.Min = min(q.Min, q.Max)
				}
				q.Min = k.read(kt, "min", q.Min)
				if kt.has("max") && q.Max == 0 {
					kt.fault("max", "must be over 0")
				} else if q.Max > 0 && q.Min > q.Max {
					kt.fault("min", "%d is over the maximum of %d", q.Min, q.Max)
				}
				kt.rejectUnknownKeys()
			}
		}
		lt.rejectUnknownKeys()
		pt.rejectUnknownKeys()
	}
	for _, k := range parts {
		sum := k.reserved
		for i, pt := range pools {
			q := k.quota(&p.Pools[i].Limits)
			if q.Min > *k.total-sum {
				pt.fault("limits."+k.key, "the minima of the pools up to this one, %d for this one, pass the total of %d", q.Min, *k.total)
				break
			}
			sum += q.Min
		}
	}
}

func (k *sharedLimit) read(t *table, key string, def int64) int64 {
	if k.bytes {
		return t.bytes(key, def)
	}
	return t.count(key, def)
}

// routes reads the [[routes]] and compiles them.
func (f *document) routes(t *table, p *Plan) {
	pools := map[string]*Pool{}
	for i := range p.Pools {
		pools[p.Pools[i].Name] = &p.Pools[i]
	}
	fallback := t.text("default", "")
	if t.has("default") && pools[fallback] == nil {
		t.fault("default", "there is no pool %q", fallback)
	}
	tables := t.subtables("routes")
	if len(tables) == 0 && fallback == "" {
		t.fault("routes", "missing: without routes a default pool is needed")
	}
	routes := make([]route.Route, 0, len(tables))
	seen := map[string]int{}
	for i, rt := range tables {
		r := f.route(rt, pools)
		key := fmt.Sprintf("%q", []any{r.Host, r.Path, r.Prefix, r.Regexp, r.Methods, r.Headers, r.Classes})
		if first, is := seen[key]; is {
			f.fault(rt.path, "would never be reached: routes[%d] matches the same and stands before it", first)
		} else {
			seen[key] = i
		}
		routes = append(routes, r)
	}
	table, faults := route.Compile(routes, fallback)
	for _, x := range faults {
		at := tables[x.Route]
		if x.Key == "to" {
			x.Key = "pool"
			if at.has("split") {
				x.Key = "split"
			}
		}
		at.fault(x.Key, "%s", x.Text)
	}
	p.Routes = table
}

// route reads one of the [[routes]].
func (f *document) route(t *table, pools map[string]*Pool) route.Route {
	r := route.Route{Host: t.text("host", ""), Path: t.text("path", ""), Prefix: t.text("prefix", ""),
		Regexp: t.text("regexp", ""), Methods: t.textList("methods"), Classes: t.textList("classes"), Class: t.text("class", "")}
	if r.Host == "*" {
		r.Host = ""
	}
	r.Host = strings.ToLower(strings.TrimSuffix(r.Host, "."))
	if h := t.subtable("headers"); h != nil {
		r.Headers = headers(h)
	}
	only := t.text("pool", "")
	switch split := t.subtable("split"); {
	case split != nil && t.has("pool"):
		t.fault("split", "a route has a pool or a split, not both")
		r.To = []route.Split{{Pool: only, Weight: 1}}
	case split != nil:
		names := make([]string, 0, len(split.m))
		for name := range split.m {
			names = append(names, name)
		}
		slices.Sort(names) // the file's order is not kept; by name every node splits alike
		for _, name := range names {
			r.To = append(r.To, route.Split{Pool: name, Weight: int(min(split.count(name, 0), 1<<31))})
		}
	case t.has("pool"):
		r.To = []route.Split{{Pool: only, Weight: 1}}
	}
	for _, to := range r.To {
		key := "pool"
		if !t.has("pool") {
			key = "split." + to.Pool
		}
		p := pools[to.Pool]
		if p == nil {
			t.fault(key, "there is no pool %q", to.Pool)
			continue
		}
		for _, c := range append(r.Classes[:len(r.Classes):len(r.Classes)], r.Class) {
			if c == "" || r.Class != "" && c != r.Class {
				continue
			}
			if !slices.ContainsFunc(p.Settings.Classes, func(x balancer.Class) bool { return x.Name == c }) {
				t.fault(key, "pool %s has no class %q", to.Pool, c)
			}
		}
	}
	t.rejectUnknownKeys()
	return r
}

// headers reads the headers that a route wants: a value, or true for any.
func headers(t *table) (l []route.Header) {
	names := make([]string, 0, len(t.m))
	for name := range t.m {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		v, _ := t.get(name)
		h := route.Header{Name: textproto.CanonicalMIMEHeaderKey(name)}
		switch v := v.(type) {
		case string:
			h.Value = v
		case bool:
			if h.Present = v; !v {
				t.fault(name, "a value is wanted, or true for any")
			}
		default:
			t.fault(name, "a value is wanted, or true for any, not %s", describe(v))
		}
		if !isToken(name) {
			t.fault(name, "%q is no name of a header", name)
		}
		if slices.ContainsFunc(l, func(x route.Header) bool { return x.Name == h.Name }) {
			t.fault(name, "stands there twice in another spelling")
		}
		l = append(l, h)
	}
	return l
}

// isToken says that s can be the name of a header (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool {
		return !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", c))
	})
}
