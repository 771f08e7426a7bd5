package operator

import (
	"fmt"
	"math"
	"slices"

	"cranegrade/internal/zone"
)

const (
	// maxPairs bounds the pairs of zones in a file.
	maxPairs = zone.MaxZones * zone.MaxZones
	// maxLend bounds how much of a limit may be lent, as a multiple of the limit.
	maxLend = 10
)

// unknowns are the words for what to do with a caller whose zone is not known.
var unknowns = map[string]zone.UnknownZonePolicy{
	"last":  zone.UnknownZoneLast,
	"home":  zone.UnknownZoneAsHome,
	"never": zone.UnknownZoneNever,
}

// zones reads [zones], and which pools are served by zone: all that don't say otherwise.
func (d *document) zones(t *table, pools []*table, p *Plan, nodes int) {
	zt := t.subtable("zones")
	for i, pt := range pools {
		pool := &p.Pools[i]
		pool.Zoned = pt.boolean("zones", zt != nil)
		if zt == nil && pool.Zoned {
			pt.fault("zones", "there is no [zones] that says which zone is home")
		}
		pool.List.Levels = pool.Zoned && pool.List.XDS != ""
	}
	if zt == nil {
		return
	}
	z := &Zones{
		State: zt.text("state", ""),
		Config: zone.Config{
			Home:          zt.text("home", ""),
			LatencyWeight: zt.number("second", 0),
			UnknownZones:  choice(zt, "unknown", zone.UnknownZoneLast, unknowns),
			Nodes:         max(1, nodes),
			Costs:         map[zone.Pair]zone.Cost{},
		},
	}
	p.Zones = z
	if z.Config.Home == "" {
		zt.fault("home", "missing: the zone that this node stands in")
	}
	defaultCost := zt.tableOrEmpty("default")
	z.Config.DefaultCost = zoneCost(defaultCost)
	defaultCost.rejectUnknownKeys()
	pairs := zt.subtables("pairs")
	if len(pairs) > maxPairs {
		zt.fault("pairs", "%d pairs, %d at most", len(pairs), maxPairs)
		pairs = nil
	}
	z.readPairs(pairs, p.classNames(), nodes)
	if !slices.ContainsFunc(p.Pools, func(pool Pool) bool { return pool.Zoned }) {
		zt.fault("home", "no pool is served by zone")
	}
	zt.rejectUnknownKeys()
}

// classNames returns the names of the classes of all pools.
func (p *Plan) classNames() map[string]bool {
	names := map[string]bool{}
	for _, pool := range p.Pools {
		for _, c := range pool.Settings.Classes {
			names[c.Name] = true
		}
	}
	return names
}

// readPairs reads the [[zones.pairs]]: the cost of a request from one zone to another, and the limits of such requests.
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
		z.Config.Costs[pair] = zoneCost(pt)
		if l, limited := zoneLimit(pt, pair, classes, nodes); limited {
			z.Limits = append(z.Limits, l)
		}
		pt.rejectUnknownKeys()
	}
}

// zoneLimit reads a pair's limits and returns this node's part of them. limited reports whether the pair has any.
func zoneLimit(pt *table, pair zone.Pair, classes map[string]bool, nodes int) (l zone.Limit, limited bool) {
	l = zone.Limit{
		Pair:          pair,
		RequestsHour:  pt.count("requests_hour", 0),
		RequestsDay:   pt.count("requests_day", 0),
		BytesHour:     pt.bytes("bytes_hour", 0),
		BytesDay:      pt.bytes("bytes_day", 0),
		ExemptClasses: pt.textList("beyond"),
		OutageShare:   pt.number("lend", 0),
		ResponseBytes: pt.bytes("reply", 0),
	}
	limited = l.RequestsHour+l.RequestsDay+l.BytesHour+l.BytesDay > 0
	checkZoneLimit(pt, l, limited, classes, nodes)
	if limited {
		parts := int64(max(1, nodes))
		l.RequestsHour /= parts
		l.RequestsDay /= parts
		l.BytesHour /= parts
		l.BytesDay /= parts
	}
	return l, limited
}

// checkZoneLimit checks the limits of a pair as the file has them, for all nodes.
func checkZoneLimit(pt *table, l zone.Limit, limited bool, classes map[string]bool, nodes int) {
	for i, name := range l.ExemptClasses {
		if !classes[name] {
			pt.fault(fmt.Sprintf("beyond[%d]", i), "no pool has a class %q", name)
		}
	}
	for _, key := range []string{"beyond", "lend", "reply"} {
		if pt.has(key) && !limited {
			pt.fault(key, "is of no effect without a limit of the pair")
		}
	}
	if l.OutageShare > maxLend {
		pt.fault("lend", "%v is over %d: it is a share of the limits", l.OutageShare, maxLend)
	}
	for key, n := range map[string]int64{
		"requests_hour": l.RequestsHour,
		"requests_day":  l.RequestsDay,
		"bytes_hour":    l.BytesHour,
		"bytes_day":     l.BytesDay,
	} {
		if n > 0 && n < int64(nodes) {
			pt.fault(key, "%d is less than one for each of %d nodes, which have a part of it each", n, nodes)
		}
	}
}

// zoneCost reads the cost of a request. The key never stands for an infinite price.
func zoneCost(t *table) zone.Cost {
	c := zone.Cost{Latency: t.duration("latency", 0), Price: t.number("price", 0)}
	if t.boolean("never", false) {
		if t.has("price") {
			t.fault("price", "of a pair that is never used")
		}
		c.Price = math.Inf(1)
	}
	return c
}
