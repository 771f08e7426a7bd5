package operator

import (
	"fmt"
	"math"
	"slices"

	"cranegrade/internal/zone"
)

var unknowns = map[string]zone.Unknown{"last": zone.Last, "home": zone.AsHome, "never": zone.Never}

// maxPairs bounds the pairs of zones in a file.
const maxPairs = zone.MaxZones * zone.MaxZones

// zones reads [zones], and which pools it is for: all that don't say otherwise.
func (f *document) zones(t *table, pools []*table, p *Plan, nodes int) {
	x := t.subtable("zones")
	for i, pt := range pools {
		p.Pools[i].Zoned = pt.boolean("zones", x != nil)
		if x == nil && p.Pools[i].Zoned {
			pt.fault("zones", "there is no [zones] that says which zone is home")
		}
		p.Pools[i].List.Levels = p.Pools[i].Zoned && p.Pools[i].List.XDS != ""
	}
	if x == nil {
		return
	}
	z := &Zones{State: x.text("state", ""), Config: zone.Config{
		Home: x.text("home", ""), Second: x.number("second", 0),
		Unknown: choice(x, "unknown", zone.Last, unknowns), Nodes: max(1, nodes), Costs: map[zone.Pair]zone.Cost{},
	}}
	p.Zones = z
	if z.Config.Home == "" {
		x.fault("home", "missing: the zone that this node stands in")
	}
	def := x.tableOrEmpty("default")
	z.Config.Default = cost(def)
	def.rejectUnknownKeys()
	tables := x.subtables("pairs")
	if len(tables) > maxPairs {
		x.fault("pairs", "%d pairs, %d at most", len(tables), maxPairs)
		tables = nil
	}
	z.readPairs(tables, p.classNames(), nodes)
	if !slices.ContainsFunc(p.Pools, func(pp Pool) bool { return pp.Zoned }) {
		x.fault("home", "no pool is served by zone")
	}
	x.rejectUnknownKeys()
}

// classNames are those of all pools.
func (p *Plan) classNames() map[string]bool {
	classes := map[string]bool{}
	for _, pool := range p.Pools {
		for _, c := range pool.Settings.Classes {
			classes[c.Name] = true
		}
	}
	return classes
}

// readPairs reads the [[zones.pairs]]: what a call from one zone to another costs, and how many there may be.
func (z *Zones) readPairs(tables []*table, classes map[string]bool, nodes int) {
	for _, pt := range tables {
		pair := zone.Pair{From: pt.text("from", ""), To: pt.text("to", "")}
		switch _, twice := z.Config.Costs[pair]; {
		case !pt.has("from") || !pt.has("to"):
			pt.fault("from", "a pair needs from and to")
		case pair.From == pair.To:
			pt.fault("to", "a pair is of two zones, not of %q twice", pair.From)
		case twice:
			pt.fault("from", "the pair %v stands there twice", pair)
		}
		z.Config.Costs[pair] = cost(pt)
		if l, limited := zoneLimit(pt, pair, classes, nodes); limited {
			z.Limits = append(z.Limits, l)
		}
		pt.rejectUnknownKeys()
	}
}

// zoneLimit reads this node's part of a pair's limits; limited: the pair has one.
func zoneLimit(pt *table, pair zone.Pair, classes map[string]bool, nodes int) (l zone.Limit, limited bool) {
	l = zone.Limit{
		Pair: pair, RequestsHour: pt.count("requests_hour", 0), RequestsDay: pt.count("requests_day", 0),
		BytesHour: pt.bytes("bytes_hour", 0), BytesDay: pt.bytes("bytes_day", 0), Beyond: pt.textList("beyond"),
		Lend: pt.number("lend", 0), Reply: pt.bytes("reply", 0),
	}
	limited = l.RequestsHour+l.RequestsDay+l.BytesHour+l.BytesDay > 0
	for i, name := range l.Beyond {
		if !classes[name] {
			pt.fault(fmt.Sprintf("beyond[%d]", i), "no pool has a class %q", name)
		}
	}
	for _, key := range []string{"beyond", "lend", "reply"} {
		if pt.has(key) && !limited {
			pt.fault(key, "is of no effect without a limit of the pair")
		}
	}
	if l.Lend > 10 {
		pt.fault("lend", "%v is over 10: it is a share of the limits", l.Lend)
	}
	for key, n := range map[string]int64{
		"requests_hour": l.RequestsHour, "requests_day": l.RequestsDay, "bytes_hour": l.BytesHour, "bytes_day": l.BytesDay,
	} {
		if n > 0 && n < int64(nodes) {
			pt.fault(key, "%d is less than one for each of %d nodes, which have a part of it each", n, nodes)
		}
	}
	if limited {
		part := func(n int64) int64 { return n / int64(max(1, nodes)) }
		l.RequestsHour, l.RequestsDay, l.BytesHour, l.BytesDay = part(l.RequestsHour), part(l.RequestsDay), part(l.BytesHour), part(l.BytesDay)
	}
	return l, limited
}

// cost reads what a call costs; never is an infinite price.
func cost(t *table) zone.Cost {
	c := zone.Cost{Latency: t.duration("latency", 0), Price: t.number("price", 0)}
	if t.boolean("never", false) {
		if t.has("price") {
			t.fault("price", "of a pair that is never used")
		}
		c.Price = math.Inf(1)
	}
	return c
}
